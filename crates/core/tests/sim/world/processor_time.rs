//! Nodes whose steps take time, and that may be slow.
//!
//! Without it a step takes no time in the world, and no node is ever behind. With it a node works on one input
//! after the other, and what comes meanwhile waits, as in the real shell: ticks first, then what keeps a rule,
//! then reports and users' requests in their order. Reports whose senders have given up are refused unread.

use super::*;
use rudderreel_core::units::Span;
use rudderreel_core::LongStep;
use std::collections::VecDeque;

/// The next tick comes so long after the one before, or as long after as that took, but no later than this.
const TICK_MS: u64 = 20;
const LONGEST_PAUSE_MS: u64 = 200;
/// How long the sender of a report, and of a batch, waits.
const WORKER_WAITS_MS: u64 = 3_500;
pub(super) const BATCH_WAITS_MS: u64 = 1_800;

/// An input that waits, since when.
pub(super) struct Waiting {
    since: u64,
    input: Input,
}

/// How a node works.
pub(super) struct Work {
    waiting: VecDeque<Waiting>,
    /// Until when it is busy, and what it owes of a millisecond.
    busy_until: u64,
    owed_us: u64,
    /// So many times longer each step takes.
    slowness: f64,
}

impl Default for Work {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            busy_until: 0,
            owed_us: 0,
            slowness: 1.0,
        }
    }
}

impl Work {
    /// The process has ended.
    pub fn forget(&mut self) {
        self.waiting.clear();
        (self.busy_until, self.owed_us) = (0, 0);
    }

    fn next(&mut self) -> Option<Waiting> {
        let rank = |waiting: &Waiting| match waiting.input {
            Input::Tick => 0,
            Input::User(..) | Input::ForwardedRequest { .. } | Input::Admin { .. } => 2,
            Input::StatusReport(..) | Input::ForwardedReports(..) => 2,
            _ => 1,
        };
        let first = (self.waiting.iter().enumerate()).min_by_key(|(at, w)| (rank(w), *at));
        let at = first.map(|(at, _)| at)?;
        self.waiting.remove(at)
    }

    /// Milliseconds that a step takes here.
    fn take_time(&mut self, cost_us: u64) -> u64 {
        self.owed_us += (cost_us as f64 * self.slowness) as u64;
        let ms = self.owed_us / 1_000;
        self.owed_us %= 1_000;
        ms
    }
}

/// Microseconds that an input takes on a node with 3.2% of a core, besides looks and cycles. They are of the
/// size that was measured, rounded; only that they are paid matters here.
fn cost_us(input: &Input) -> u64 {
    match input {
        Input::Tick => 300,
        Input::ForwardedReports(_, batch) => 3_000 + 600 * batch.reports.len() as u64,
        Input::Direct { .. } => 6_000,
        Input::Store { .. } | Input::Cloud(..) => 3_500,
        Input::ForwardedReportsReply(..) | Input::HeartbeatReply(..) => 1_500,
        _ => 3_000,
    }
}

/// The same for looks and cycles, by machine.
fn long_step_us(step: Option<LongStep>, machines: usize) -> u64 {
    let by_machine = match step {
        Some(LongStep::Reconcile) => 50,
        Some(LongStep::Cycle) => 300,
        None => 0,
    };
    by_machine * machines as u64
}

impl World {
    /// Has each step of a node take so many times longer.
    pub fn slow_down(&mut self, node: usize, times: f64) {
        self.nodes[node].work.slowness = times;
    }

    /// An input comes to a node whose steps take time.
    pub(super) fn enqueue(&mut self, node: usize, input: Input) {
        let since = self.now;
        let work = &mut self.nodes[node].work;
        work.waiting.push_back(Waiting { since, input });
        self.work_on(node);
    }

    /// Takes the inputs that wait, until the node is busy.
    pub(super) fn work_on(&mut self, node: usize) {
        while self.now >= self.nodes[node].work.busy_until {
            let Some(Waiting { since, input }) = self.nodes[node].work.next() else {
                return;
            };
            let waited = self.now - since;
            let clock = self.clock(node).time;
            if let Some(core) = self.nodes[node].process.as_mut() {
                core.record_input_wait(clock, Span(waited));
                self.take(node, input, waited);
            }
        }
    }

    fn take(&mut self, node: usize, input: Input, waited: u64) {
        match input {
            Input::StatusReport(req, _) if waited > WORKER_WAITS_MS => {
                self.respond(node, req, 503, "{}".into());
            }
            // Its sender has been told already that there is no answer.
            Input::ForwardedReports(..) if waited > BATCH_WAITS_MS => {}
            input => self.take_timed(node, input),
        }
    }

    fn take_timed(&mut self, node: usize, input: Input) {
        let is_tick = matches!(input, Input::Tick);
        let cost = cost_us(&input);
        let life = self.nodes[node].life;
        self.step_now(node, input);
        let machines = self.agents.len();
        let Some(core) = self.nodes[node].process.as_mut() else {
            return;
        };
        let cost = cost + long_step_us(core.long_step(), machines);
        let took = self.nodes[node].work.take_time(cost);
        self.nodes[node].work.busy_until = self.now + took;
        let ended = self.clock(node).time + Span(took);
        if let Some(core) = self.nodes[node].process.as_mut() {
            core.step_ended(ended, Span(took));
        }
        if is_tick {
            let pause = took.clamp(TICK_MS, LONGEST_PAUSE_MS);
            self.after(took + pause, Event::Tick(node, life));
        }
        if took > 0 {
            self.after(took, Event::Free(node, life));
        }
    }
}

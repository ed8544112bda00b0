//! Nodes whose steps take simulated time, and that may be slow.
//!
//! In other scenarios a step takes no simulated time, and no node ever falls behind. Here a node processes one input
//! after the other, and inputs that arrive meanwhile are queued as in the controller program: ticks come first, then
//! inputs that are needed to keep the rules, then reports and users' requests in order of arrival. Reports whose
//! senders have given up are rejected without being processed.

use super::*;
use rudderreel_core::units::Span;
use rudderreel_core::LongStep;
use std::collections::VecDeque;

/// Shortest and longest time from the end of a tick to the next one; within them, it is as long as the tick took.
const MIN_TICK_GAP_MS: u64 = 20;
const MAX_TICK_GAP_MS: u64 = 200;
/// Time in the queue after which a report is refused, since its sender has given up.
const QUEUED_REPORT_TIMEOUT_MS: u64 = 3_500;
/// Time after which the sender of a batch of reports gives up.
pub(super) const BATCH_TIMEOUT_MS: u64 = 1_800;

/// An input in the queue, and its time of arrival.
pub(super) struct QueuedInput {
    since: u64,
    input: Input,
}

/// The processor of a node, and the inputs that wait for it.
pub(super) struct Processor {
    waiting: VecDeque<QueuedInput>,
    /// End of the current step.
    busy_until: u64,
    /// Processor time below a millisecond that is carried over to the next step.
    remainder_us: u64,
    /// Factor by which each step takes longer.
    slowdown: f64,
}

impl Default for Processor {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            busy_until: 0,
            remainder_us: 0,
            slowdown: 1.0,
        }
    }
}

impl Processor {
    /// Drops the queue when the process restarts.
    pub fn clear(&mut self) {
        self.waiting.clear();
        (self.busy_until, self.remainder_us) = (0, 0);
    }

    /// Removes and returns the next input to process.
    fn next(&mut self) -> Option<QueuedInput> {
        let rank = |waiting: &QueuedInput| match waiting.input {
            Input::Tick => 0,
            Input::User(..) | Input::ForwardedRequest { .. } | Input::Admin { .. } => 2,
            Input::StatusReport(..) | Input::ForwardedReports(..) => 2,
            _ => 1,
        };
        let first = (self.waiting.iter().enumerate()).min_by_key(|(at, w)| (rank(w), *at));
        let at = first.map(|(at, _)| at)?;
        self.waiting.remove(at)
    }

    /// Returns the duration of a step in milliseconds, with the remainder of earlier steps.
    fn duration_ms(&mut self, cost_us: u64) -> u64 {
        self.remainder_us += (cost_us as f64 * self.slowdown) as u64;
        let ms = self.remainder_us / 1_000;
        self.remainder_us %= 1_000;
        ms
    }
}

/// Returns the microseconds that an input takes on a node with 3.2% of a core, without reconciliations and scheduling
/// cycles. The values are approximate; only that each input takes time matters here.
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

/// Returns the microseconds that a reconciliation or a scheduling cycle takes, in proportion to the machines.
fn long_step_us(step: Option<LongStep>, machines: usize) -> u64 {
    let us_per_machine = match step {
        Some(LongStep::Reconcile) => 50,
        Some(LongStep::Cycle) => 300,
        None => 0,
    };
    us_per_machine * machines as u64
}

impl World {
    /// Makes each step of a node take `times` as long.
    pub fn slow_down(&mut self, node: usize, times: f64) {
        self.nodes[node].processor.slowdown = times;
    }

    /// Queues an input for a node whose steps take time.
    pub(super) fn enqueue(&mut self, node: usize, input: Input) {
        let since = self.now;
        let processor = &mut self.nodes[node].processor;
        processor.waiting.push_back(QueuedInput { since, input });
        self.process_queue(node);
    }

    /// Processes queued inputs until the node is busy.
    pub(super) fn process_queue(&mut self, node: usize) {
        while self.now >= self.nodes[node].processor.busy_until {
            let Some(QueuedInput { since, input }) = self.nodes[node].processor.next() else {
                return;
            };
            let waited = self.now - since;
            let clock = self.clock(node).time;
            if let Some(core) = self.nodes[node].process.as_mut() {
                core.record_input_wait(clock, Span(waited));
                self.process_input(node, input, waited);
            }
        }
    }

    fn process_input(&mut self, node: usize, input: Input, waited: u64) {
        match input {
            Input::StatusReport(req, _) if waited > QUEUED_REPORT_TIMEOUT_MS => {
                self.respond(node, req, 503, "{}".into());
            }
            // The sender of the batch has already given up.
            Input::ForwardedReports(..) if waited > BATCH_TIMEOUT_MS => {}
            input => self.step_timed(node, input),
        }
    }

    fn step_timed(&mut self, node: usize, input: Input) {
        let is_tick = matches!(input, Input::Tick);
        let cost = cost_us(&input);
        let generation = self.nodes[node].generation;
        self.step_now(node, input);
        let machines = self.agents.len();
        let Some(core) = self.nodes[node].process.as_mut() else {
            return;
        };
        let cost = cost + long_step_us(core.long_step(), machines);
        let took = self.nodes[node].processor.duration_ms(cost);
        self.nodes[node].processor.busy_until = self.now + took;
        let ended = self.clock(node).time + Span(took);
        if let Some(core) = self.nodes[node].process.as_mut() {
            core.step_ended(ended, Span(took));
        }
        if is_tick {
            let gap = took.clamp(MIN_TICK_GAP_MS, MAX_TICK_GAP_MS);
            self.schedule(took + gap, Event::Tick(node, generation));
        }
        if took > 0 {
            self.schedule(took, Event::ProcessorFree(node, generation));
        }
    }
}

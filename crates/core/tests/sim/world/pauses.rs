//! Processes that stand still while their clocks run on, as on a machine that swaps or whose hypervisor is busy.
//!
//! What comes meanwhile waits in sockets and queues until the process goes on, and looks fresh then. Its senders give
//! up in their time. Answers to the process's own calls have arrived by then, or the calls have run out of time; calls
//! that it was about to make go out late. The draws here are made only for a process that stands still, so that days
//! without pauses stay as they are.

use super::*;

/// How long the senders of requests wait for an answer.
pub(super) const REPORT_TIMEOUT_MS: u64 = 4_000;
pub(super) const PEER_TIMEOUT_MS: u64 = 1_000;
const STATUS_TIMEOUT_MS: u64 = 2_000;
const USER_TIMEOUT_MS: u64 = 5_000;
/// How long the process waits for answers to its own calls.
const CALL_TIMEOUT_MS: u64 = 1_200;
const WATCH_TIMEOUT_MS: u64 = 12_000;
/// The pause after a watch without an answer.
const WATCH_RETRY_MS: u64 = 300;
/// What has waited is read within this time, in no fixed order.
const READ_WITHIN_MS: u64 = 150;

/// An input that waits in a socket or queue.
struct WaitingInput {
    since: u64,
    input: Input,
}

/// Until when a process stands still, and what waits for it.
#[derive(Default)]
pub(super) struct Pause {
    until: u64,
    waiting: Vec<WaitingInput>,
}

impl World {
    /// Has a process stand still until a moment.
    pub fn pause(&mut self, node: usize, until: u64) {
        if self.nodes[node].process.is_none() {
            return;
        }
        self.nodes[node].pause.until = until;
        let life = self.nodes[node].life;
        self.after(until - self.now, Event::Resume(node, life));
    }

    /// Whether a process stands still.
    pub fn is_paused(&self, node: usize) -> bool {
        self.now < self.nodes[node].pause.until
    }

    /// How long a process will still stand still.
    pub(super) fn remaining_pause(&self, node: usize) -> u64 {
        self.nodes[node].pause.until.saturating_sub(self.now)
    }

    /// Whether whoever asks a node now will have given up before it goes on.
    pub(super) fn outlasts(&self, node: usize, timeout_ms: u64) -> bool {
        self.remaining_pause(node) > timeout_ms
    }

    /// An input comes to a process that stands still.
    pub(super) fn wait_for_resume(&mut self, node: usize, input: Input) {
        let since = self.now;
        (self.nodes[node].pause.waiting).push(WaitingInput { since, input });
    }

    /// A process goes on, unless it was stopped for longer meanwhile.
    pub(super) fn resume(&mut self, node: usize, life: u32) {
        if !self.alive(node, life) || self.is_paused(node) {
            return;
        }
        for WaitingInput { since, input } in std::mem::take(&mut self.nodes[node].pause.waiting) {
            let waited = self.now - since;
            let input = self.after_waiting(node, input, waited);
            let delay = self.rng.random_range(0..READ_WITHIN_MS);
            self.after(delay, Event::Input(node, life, input));
        }
    }

    /// What a process makes of an input that has waited: nobody reads the answer any more, or its own call has run
    /// out of time, or the answer to it is read after all.
    fn after_waiting(&mut self, node: usize, input: Input, waited: u64) -> Input {
        let (request, timeout_ms) = match &input {
            Input::StatusReport(request, _) => (*request, REPORT_TIMEOUT_MS),
            Input::User(request, UserRequest::Status(_)) => (*request, STATUS_TIMEOUT_MS),
            Input::User(request, _) => (*request, USER_TIMEOUT_MS),
            _ => return self.call_after_waiting(input, waited),
        };
        if waited > timeout_ms {
            (self.nodes[node].requesters).insert(request, Requester::Nobody);
        }
        input
    }

    fn call_after_waiting(&mut self, input: Input, waited: u64) -> Input {
        if waited <= CALL_TIMEOUT_MS || self.rng.random_bool(0.5) {
            return input;
        }
        match input {
            Input::Store { call, sent_at, .. } => Input::Store {
                call,
                sent_at,
                answer: StoreAnswer::Unknown,
            },
            Input::Direct {
                machine, commands, ..
            } => Input::Direct {
                machine,
                commands,
                outcome: DirectOutcome::Unknown,
            },
            other => other,
        }
    }

    /// Whether a call that is about to leave a process does so only when it goes on: the process stopped between
    /// the step that wants it and the sending.
    pub(super) fn is_held_back(&mut self, node: usize, life: u32) -> bool {
        self.alive(node, life) && self.is_paused(node) && self.rng.random_bool(0.5)
    }

    /// A direct call leaves a process, which looks at the time once more before. If the process stands still it has left
    /// before, or does so when the process goes on.
    pub(super) fn send_direct(
        &mut self,
        node: usize,
        life: u32,
        machine: MachineId,
        body: DirectCommands,
        send_until: Option<Time>,
    ) {
        if self.is_held_back(node, life) {
            let delay = self.remaining_pause(node);
            let queued = Event::DirectQueued(node, life, machine, body, send_until);
            return self.after(delay, queued);
        }
        let now = self.clock(node).time;
        if send_until.is_some_and(|until| now >= until) && self.alive(node, life) {
            let not_called = Input::Direct {
                machine,
                commands: body,
                outcome: DirectOutcome::NotCalled,
            };
            return self.step(node, not_called);
        }
        self.direct(node, life, machine, body, false);
    }

    /// When a call that was held back is said to have been sent: the clock is read before or after the pause.
    pub(super) fn sending_time(&mut self, node: usize, before: Time) -> Time {
        if self.rng.random_bool(0.5) {
            return before;
        }
        let pause = rudderreel_core::units::Span(self.remaining_pause(node));
        self.clock(node).time + pause
    }

    /// Whether the watch of a process that stands still runs out of time; then it is begun again after a moment.
    pub(super) fn watch_runs_out(&mut self, node: usize) -> bool {
        self.outlasts(node, WATCH_TIMEOUT_MS) && self.rng.random_bool(0.5)
    }

    /// Begins a watch again. In an outage open watches wait, but a new one is refused.
    pub(super) fn retry_watch(&mut self, node: usize, life: u32, after: Version) {
        let is_refused = self.store.down || self.now < self.nodes[node].cut_from_store_until;
        if is_refused {
            self.after(WATCH_RETRY_MS, Event::RetryWatch(node, life, after));
        } else {
            let sent = self.clock(node).time;
            self.watch(node, life, after, sent);
        }
    }

    /// When a watch that ran out of time is begun again.
    pub(super) fn watch_retry_delay(&self, node: usize) -> u64 {
        self.remaining_pause(node) + WATCH_RETRY_MS
    }

    /// How long a pause that is drawn lasts: a moment, some leases, or longer than cancelled tasks may remain.
    pub(super) fn random_pause_ms(&mut self) -> u64 {
        let cancel = self.scenario.cancel_ms();
        match self.rng.random_range(0..4) {
            0 => self.rng.random_range(200..1_500),
            1 => self.rng.random_range(1_500..4_500),
            2 => self.rng.random_range(4_500..cancel),
            _ => self.rng.random_range(cancel..cancel + 6_000),
        }
    }
}

//! Process pauses: a process doesn't run while its clocks do, as on a machine that swaps or whose hypervisor is busy.
//!
//! Inputs that arrive during a pause wait in sockets and queues until the process resumes, which then can't tell how
//! long they have waited. Their senders give up at their own timeouts. By the time the process resumes, answers to its
//! own calls have arrived, or the calls have timed out; calls that it was about to make are sent late. Random numbers
//! are drawn here only for a paused process, so that runs without pauses keep their random sequence.

use super::*;

/// Times after which the senders of requests give up waiting for an answer.
pub(super) const REPORT_TIMEOUT_MS: u64 = 4_000;
pub(super) const PEER_TIMEOUT_MS: u64 = 1_000;
const STATUS_TIMEOUT_MS: u64 = 2_000;
const USER_TIMEOUT_MS: u64 = 5_000;
/// Times after which the process gives up waiting for answers to its own calls.
const CALL_TIMEOUT_MS: u64 = 1_200;
const WATCH_TIMEOUT_MS: u64 = 12_000;
/// Delay before a watch without an answer is opened again.
const WATCH_RETRY_MS: u64 = 300;
/// Time within which inputs that have waited are read after a pause, in no fixed order.
const READ_WITHIN_MS: u64 = 150;

/// An input that waits in a socket or queue, and its time of arrival.
struct WaitingInput {
    since: u64,
    input: Input,
}

/// The end of a process's pause, and the inputs that wait for it.
#[derive(Default)]
pub(super) struct Pause {
    until: u64,
    waiting: Vec<WaitingInput>,
}

impl World {
    /// Pauses a process until a given time.
    pub fn pause(&mut self, node: usize, until: u64) {
        if self.nodes[node].process.is_none() {
            return;
        }
        self.nodes[node].pause.until = until;
        let generation = self.nodes[node].generation;
        self.schedule(until - self.now, Event::Resume(node, generation));
    }

    /// Returns whether a process is paused.
    pub fn is_paused(&self, node: usize) -> bool {
        self.now < self.nodes[node].pause.until
    }

    /// Returns the remaining time of a process's pause, in milliseconds.
    pub(super) fn remaining_pause(&self, node: usize) -> u64 {
        self.nodes[node].pause.until.saturating_sub(self.now)
    }

    /// Returns whether a sender with this timeout that calls a node now will have given up before the node resumes.
    pub(super) fn pause_outlasts(&self, node: usize, timeout_ms: u64) -> bool {
        self.remaining_pause(node) > timeout_ms
    }

    /// Queues an input for a paused process.
    pub(super) fn queue_while_paused(&mut self, node: usize, input: Input) {
        let since = self.now;
        (self.nodes[node].pause.waiting).push(WaitingInput { since, input });
    }

    /// Resumes a process and delivers the inputs that have waited, unless the pause was extended meanwhile.
    pub(super) fn resume(&mut self, node: usize, generation: u32) {
        if !self.alive(node, generation) || self.is_paused(node) {
            return;
        }
        for WaitingInput { since, input } in std::mem::take(&mut self.nodes[node].pause.waiting) {
            let waited = self.now - since;
            let input = self.after_waiting(node, input, waited);
            let delay = self.rng.random_range(0..READ_WITHIN_MS);
            self.schedule(delay, Event::Input(node, generation, input));
        }
    }

    /// Returns an input that has waited as the process reads it: the answer to a request is dropped if its sender has
    /// given up, and a call of the process itself has timed out or its answer is read after all.
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

    /// Draws whether a call of a paused process is sent only when the process resumes: the pause then began between
    /// the step that makes the call and the sending.
    pub(super) fn is_held_back(&mut self, node: usize, generation: u32) -> bool {
        self.alive(node, generation) && self.is_paused(node) && self.rng.random_bool(0.5)
    }

    /// Returns the send time that is recorded for a call that was held back: the clock was read before the pause or is
    /// read after it.
    pub(super) fn sending_time(&mut self, node: usize, before: Time) -> Time {
        if self.rng.random_bool(0.5) {
            return before;
        }
        let pause = rudderreel_core::units::Span(self.remaining_pause(node));
        self.clock(node).time + pause
    }

    /// Draws whether the watch of a paused process times out; it is then opened again after a delay.
    pub(super) fn watch_times_out(&mut self, node: usize) -> bool {
        self.pause_outlasts(node, WATCH_TIMEOUT_MS) && self.rng.random_bool(0.5)
    }

    /// Opens a watch again. In an outage open watches wait, but a new one is refused.
    pub(super) fn retry_watch(&mut self, node: usize, generation: u32, after: Version) {
        let is_refused = self.store.down || self.now < self.nodes[node].cut_from_store_until;
        if is_refused {
            self.schedule(WATCH_RETRY_MS, Event::RetryWatch(node, generation, after));
        } else {
            let sent = self.clock(node).time;
            self.watch(node, generation, after, sent);
        }
    }

    /// Returns the delay after which a watch that timed out is opened again, in milliseconds.
    pub(super) fn watch_retry_delay(&self, node: usize) -> u64 {
        self.remaining_pause(node) + WATCH_RETRY_MS
    }

    /// Draws the length of a pause: short, some leases long, or longer than the tasks of a cancelled job may remain.
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

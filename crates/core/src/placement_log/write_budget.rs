//! The budget of writes to the store that segments and cascade cancellations share.
//!
//! It is a token bucket that is refilled at the leader's share of the store's write rate and holds at most one second's
//! worth. When both writers wait they take turns, since a writer that always went first could starve the other.

use crate::units::Time;

/// A token bucket for puts and deletes, and the writer whose turn it is.
#[derive(Default)]
pub(super) struct WriteBudget {
    tokens: f64,
    refilled_at: Time,
    next_writer: Writer,
    /// Whether records of cascade cancellations wait to be written.
    cancellations_waiting: bool,
}

/// A writer that takes from the budget. When both wait, the one whose turn it is may take the next writes.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Writer {
    #[default]
    Segments,
    Cancellations,
}

impl WriteBudget {
    /// Takes writes for segments, all or none. Returns whether they were taken: there were enough, and either no
    /// cancellations waited or it was the segments' turn.
    pub(super) fn take_for_segments(
        &mut self,
        writes: usize,
        writes_per_s: f64,
        now: Time,
    ) -> bool {
        self.refill(writes_per_s, now);
        let writes = writes as f64;
        let others_turn = self.cancellations_waiting && self.next_writer == Writer::Cancellations;
        // A transaction of more than a second's worth waits for a full bucket and leaves a negative balance.
        let taken = !others_turn && self.tokens >= writes.min(writes_per_s);
        if taken {
            self.tokens -= writes;
            self.next_writer = Writer::Cancellations;
        }
        taken
    }

    /// Takes writes for records of cascade cancellations, at most `wanted` and as many as there are. Returns the
    /// number taken. They never wait for more than one write to be available, or segments would take it each time.
    /// Without an open commit of a segment it is their turn in any case.
    pub(super) fn take_for_cancellations(
        &mut self,
        wanted: usize,
        has_open_segments: bool,
        writes_per_s: f64,
        now: Time,
    ) -> usize {
        self.refill(writes_per_s, now);
        self.cancellations_waiting = wanted > 0;
        if self.next_writer != Writer::Cancellations && has_open_segments {
            return 0;
        }
        let taken = wanted.min(self.tokens.max(0.0) as usize);
        if taken > 0 {
            self.tokens -= taken as f64;
            self.next_writer = Writer::Segments;
        }
        taken
    }

    /// Returns writes to the budget that were taken and not needed.
    pub(super) fn give_back(&mut self, writes: usize) {
        self.tokens += writes as f64;
    }

    fn refill(&mut self, writes_per_s: f64, now: Time) {
        let earned = (now - self.refilled_at).as_secs() * writes_per_s;
        self.tokens = (self.tokens + earned).min(writes_per_s);
        self.refilled_at = now;
    }
}

#[cfg(test)]
mod tests;

//! A call that is repeated as long as something depends on it, such as the renewal of a lease.

use crate::units::{Span, Time};

/// The schedule of a repeated call, of which at most one is open at a time.
#[derive(Clone, Copy, Debug)]
pub struct PeriodicCall {
    interval: Span,
    retry_interval: Span,
    next_at: Time,
    is_open: bool,
}

impl PeriodicCall {
    /// Creates a schedule whose first call is due at once and the following ones at `interval`. A call that failed is
    /// repeated after `retry_interval`.
    pub fn new(interval: Span, retry_interval: Span) -> Self {
        Self {
            interval,
            retry_interval,
            next_at: Time(0),
            is_open: false,
        }
    }

    /// Returns the schedule as it is when a call was just answered: the next call is due after the interval.
    pub fn answered_at(self, now: Time) -> Self {
        Self {
            next_at: now + self.interval,
            is_open: false,
            ..self
        }
    }

    /// Begins a call if one is due and none is open. Returns whether a call begins.
    pub fn begin_if_due(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_at && !self.is_open;
        if is_due {
            self.next_at = now + self.interval;
            self.is_open = true;
        }
        is_due
    }

    /// Records that the open call has ended.
    pub fn end(&mut self) {
        self.is_open = false;
    }

    /// Schedules the next call after the retry interval, since a call failed.
    pub fn retry(&mut self, now: Time) {
        self.next_at = now + self.retry_interval;
    }
}

#[cfg(test)]
mod tests;

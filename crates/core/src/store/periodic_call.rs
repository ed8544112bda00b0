//! A call that is repeated for as long as something depends on it, such as the renewal of a lease.

use crate::units::{Span, Time};

/// When a call is repeated. One is open at a time.
#[derive(Clone, Copy, Debug)]
pub struct PeriodicCall {
    interval: Span,
    retry_interval: Span,
    next_at: Time,
    is_open: bool,
}

impl PeriodicCall {
    /// A call that is due at once, then at an interval; one that failed is repeated after another.
    pub fn new(interval: Span, retry_interval: Span) -> Self {
        Self {
            interval,
            retry_interval,
            next_at: Time(0),
            is_open: false,
        }
    }

    /// The same, of which one was just answered.
    pub fn answered_at(self, now: Time) -> Self {
        Self {
            next_at: now + self.interval,
            is_open: false,
            ..self
        }
    }

    /// Begins a call if one is due; returns whether it did.
    pub fn begin_if_due(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_at && !self.is_open;
        if is_due {
            self.next_at = now + self.interval;
            self.is_open = true;
        }
        is_due
    }

    /// The open call was answered.
    pub fn end(&mut self) {
        self.is_open = false;
    }

    /// The call failed: the next follows sooner.
    pub fn retry(&mut self, now: Time) {
        self.next_at = now + self.retry_interval;
    }
}

#[cfg(test)]
mod tests;

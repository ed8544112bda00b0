//! Renewing the lease that the leader's key hangs on.

use crate::units::{Span, Time};

/// How often the lease is renewed.
const LEASE_RENEWAL_INTERVAL: Span = Span(750);
/// A renewal that failed is repeated after so long.
const LEASE_RENEWAL_RETRY_INTERVAL: Span = Span(250);

/// The renewals of the lease that this node holds while it leads. One is open at a time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LeaseRenewal {
    next_at: Time,
    is_open: bool,
}

impl LeaseRenewal {
    /// The renewals of a lease that was just taken.
    pub(super) fn of_new_lease(now: Time) -> Self {
        Self {
            next_at: now + LEASE_RENEWAL_INTERVAL,
            is_open: false,
        }
    }

    /// Begins a renewal if one is due; returns whether it did.
    pub(super) fn begin_if_due(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_at && !self.is_open;
        if is_due {
            self.next_at = now + LEASE_RENEWAL_INTERVAL;
            self.is_open = true;
        }
        is_due
    }

    /// The open renewal was answered.
    pub(super) fn end(&mut self) {
        self.is_open = false;
    }

    /// The renewal failed: the next follows sooner.
    pub(super) fn retry(&mut self, now: Time) {
        self.next_at = now + LEASE_RENEWAL_RETRY_INTERVAL;
    }
}

#[cfg(test)]
mod tests;

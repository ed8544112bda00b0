//! Freshness of the cache: up to which revision it is complete, and when that was surely still the newest one.
//!
//! A read of the store, a listing or a call of the watch shows the store as it was when the call was *sent*, or later.
//! So whatever was committed before that moment is in the cache once the answer has been applied. The time at which the
//! answer was received proves nothing: it may have waited in a socket while this process was paused.

use crate::units::{Span, Time};
use rudderreel_wire::ids::Version;

/// The revision up to which the cache is complete, and the latest moment for which that is confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheConfirmation {
    revision: Version,
    confirmed_at: Option<Time>,
}

impl CacheConfirmation {
    /// Returns the revision up to which every change has been applied.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Returns the latest moment for which it is known that the cache holds everything committed before it; `None` if
    /// there is none.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Returns the time since the moment that `confirmed_at` returns; `None` if there is none.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.confirmed_at.map(|at| now - at)
    }

    /// Returns the fields that describe the confirmation in log lines.
    pub fn log_fields(&self, now: Time) -> String {
        let age = (self.age(now)).map_or("none".into(), |age| age.0.to_string());
        format!("cache_revision={} cache_age_ms={age}", self.revision)
    }

    /// Records that every change up to a revision has been applied, as shown by the answer to a call that was sent at
    /// `sent_at`.
    pub fn confirm(&mut self, revision: Version, sent_at: Time) {
        self.revision = self.revision.max(revision);
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Drops the confirmed moment, since changes may have been missed.
    pub fn invalidate(&mut self) {
        self.confirmed_at = None;
    }
}

#[cfg(test)]
mod tests;

//! How old the cache may be: up to which revision it is complete, and when that was surely still the newest one.
//!
//! A read of the store, a listing or a call of the watch shows the store as it was when the call was *sent*, or later.
//! So whatever was committed before that moment is in the cache once the answer has been applied. How long ago the
//! answer came proves nothing: it may have waited in a socket while this process stood still.

use crate::units::{Span, Time};
use rudderreel_wire::ids::Version;

/// Up to which revision the cache is complete, and since when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheConfirmation {
    revision: Version,
    confirmed_at: Option<Time>,
}

impl CacheConfirmation {
    /// The revision up to which every change has been applied.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// The latest moment of which it is known that the cache holds all that was committed before it.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// How long ago that moment is; none if there was none.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.confirmed_at.map(|at| now - at)
    }

    /// What log lines say of it.
    pub fn log_fields(&self, now: Time) -> String {
        let age = (self.age(now)).map_or("none".into(), |age| age.0.to_string());
        format!("cache_revision={} cache_age_ms={age}", self.revision)
    }

    /// Every change up to a revision has been applied, as the answer to a call showed that was sent at a moment.
    pub fn confirm(&mut self, revision: Version, sent_at: Time) {
        self.revision = self.revision.max(revision);
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Changes may have been missed.
    pub fn invalidate(&mut self) {
        self.confirmed_at = None;
    }
}

#[cfg(test)]
mod tests;

//! Filling the cache: all watched keys are listed page by page, then a watch reports every change since.
//!
//! The watch begins at the revision of the first page, so it also reports what changes while the later pages are
//! read. A record that is applied twice does no harm, since the cache compares versions. Until a listing has ended
//! the cache may lack changes, so a listing that fails is repeated until one succeeds.

use super::job_cache::JobCache;
use crate::io::Value;
use crate::store::records::LeaderKey;
use crate::units::{Span, Time};
use rudderreel_wire::ids::Version;
use rudderreel_wire::state::Page;

/// Delay before a listing that failed is begun again.
const LISTING_RETRY_INTERVAL: Span = Span(250);

/// Whether a listing is in progress, and when the next may begin.
#[derive(Clone, Copy, Debug)]
pub enum CacheSync {
    /// No listing is in progress.
    Idle {
        /// The earliest moment at which a listing may begin.
        next_at: Time,
    },
    /// Pages are being read.
    Listing,
}

impl Default for CacheSync {
    fn default() -> Self {
        Self::Idle { next_at: Time(0) }
    }
}

impl CacheSync {
    /// Returns whether a listing may begin now.
    pub fn may_begin(&self, now: Time) -> bool {
        matches!(self, Self::Idle { next_at } if now >= *next_at)
    }

    /// Records that a listing has begun.
    pub fn begin(&mut self) {
        *self = Self::Listing;
    }

    /// Records that a listing has ended. The next begins only if the watch is lost.
    pub fn complete(&mut self) {
        *self = Self::default();
    }

    /// Records that a page could not be read: a listing may begin again after the retry interval.
    pub fn retry_later(&mut self, now: Time) {
        *self = Self::Idle {
            next_at: now + LISTING_RETRY_INTERVAL,
        };
    }
}

/// The state of a listing of all watched keys between two pages. It is passed along with the call for the next page,
/// since several listings may be in progress: when the watch is lost during a listing, a second one begins beside it.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The revision of the first page, at which the watch begins.
    revision: Version,
    /// When the call for the first page was sent.
    sent_at: Time,
    /// Leader keys that the pages held so far.
    leader_keys: Vec<LeaderKey>,
}

impl Listing {
    /// Begins a listing with its first page, the call for which was sent at `sent_at`.
    pub fn from_first_page(page: &Page<Value>, sent_at: Time) -> Self {
        Self {
            revision: page.revision,
            sent_at,
            leader_keys: Vec::new(),
        }
    }

    /// Returns the revision at which the watch begins.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Returns when the call for the first page was sent. Everything that was committed before is in the listing.
    pub fn sent_at(&self) -> Time {
        self.sent_at
    }

    /// Applies a page to the cache. A leader key that no page held does not exist; the last page removes it.
    pub fn apply(&mut self, page: &Page<Value>, cache: &mut JobCache) {
        for item in &page.items {
            self.leader_keys.extend(LeaderKey::of_name(&item.key));
            cache.apply_item(&item.key, item.version, &item.value);
        }
        if page.more {
            return;
        }
        for key in LeaderKey::ALL {
            if !self.leader_keys.contains(&key) {
                cache.update_leader(key, self.revision, None);
            }
        }
    }
}

#[cfg(test)]
mod tests;

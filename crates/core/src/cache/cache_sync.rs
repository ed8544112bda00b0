//! Filling the cache: all watched keys are listed page by page, then a watch reports every change since.
//!
//! The watch begins at the revision of the first page. What changes while the later pages are read is seen by the
//! watch, too, and a record that is applied twice does no harm, since the cache goes by versions. Until a listing
//! has ended the cache may lack changes, so a listing that fails is repeated until one succeeds.

use super::job_cache::JobCache;
use crate::io::Value;
use crate::store::records::LeaderKey;
use crate::units::{Span, Time};
use rudderreel_wire::ids::Version;
use rudderreel_wire::state::Page;

/// A listing that failed is begun again after so long.
const LISTING_RETRY_INTERVAL: Span = Span(250);

/// Whether a listing is under way, and when the next may begin.
#[derive(Clone, Copy, Debug)]
pub enum CacheSync {
    /// No listing is under way. One may begin from this moment on.
    Idle {
        /// The moment.
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
    /// Whether a listing may begin now.
    pub fn may_begin(&self, now: Time) -> bool {
        matches!(self, Self::Idle { next_at } if now >= *next_at)
    }

    /// A listing has begun.
    pub fn begin(&mut self) {
        *self = Self::Listing;
    }

    /// A listing has ended. The next follows only if the watch is lost.
    pub fn complete(&mut self) {
        *self = Self::default();
    }

    /// A page could not be read.
    pub fn retry_later(&mut self, now: Time) {
        *self = Self::Idle {
            next_at: now + LISTING_RETRY_INTERVAL,
        };
    }
}

/// The listing of all watched keys, from one page to the next. It travels with the call for the next page: when the
/// watch is lost in the middle of a listing, a second one begins beside it.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The revision of the first page, which the watch begins at.
    revision: Version,
    /// When the call for the first page was sent.
    sent_at: Time,
    /// Leaders' keys that were found.
    leader_keys: Vec<LeaderKey>,
}

impl Listing {
    /// A listing that begins with a page, the call for which was sent at a moment.
    pub fn from_first_page(page: &Page<Value>, sent_at: Time) -> Self {
        Self {
            revision: page.revision,
            sent_at,
            leader_keys: Vec::new(),
        }
    }

    /// The revision that the watch begins at.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// When the call for the first page was sent: what was committed before is in the listing.
    pub fn sent_at(&self) -> Time {
        self.sent_at
    }

    /// Applies a page to the cache. A leader's key that no page held does not exist.
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

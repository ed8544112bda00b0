//! Fills the cache of watched keys by a listing and keeps it current by a watch (see [`crate::cache::cache_sync`]).

use crate::cache::cache_sync::Listing;
use crate::io::{Output, StartRevocation, StoreAnswer, StoreCall, Value};
use crate::node::pending_call::PendingCall;
use crate::node::Node;
use crate::store::calls::CallPriority;
use crate::store::periodic_call::PeriodicCall;
use crate::store::records::WATCHED_PREFIX;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::Version;
use rudderreel_wire::job::JobState;
use rudderreel_wire::state::Events;

/// Age that a leader's cache may reach before it is confirmed by a call.
const CACHE_CONFIRMATION_INTERVAL: Span = Span(750);
/// Delay before a failed confirmation call is repeated.
const CACHE_CONFIRMATION_RETRY_INTERVAL: Span = Span(250);

/// Returns the periodic call that confirms a leader's cache. Its interval is zero: the age of the cache decides whether
/// a call is due.
pub(super) fn cache_confirmation_calls() -> PeriodicCall {
    PeriodicCall::new(Span(0), CACHE_CONFIRMATION_RETRY_INTERVAL)
}

impl Node {
    /// Handles the loss of the watch's position. Until all keys have been listed again the cache may lack changes; the
    /// tick repeats a listing that fails.
    pub(super) fn watch_lost(&mut self, now: Time) {
        self.job_cache.set_complete(false);
        self.hand_confirmation_to_leader(now);
        self.begin_cache_sync();
    }

    /// Begins a listing if the cache is not complete, no listing is in progress, and the delay after a failed one has
    /// passed.
    pub(super) fn begin_cache_sync_if_due(&mut self, now: Now) {
        if !self.job_cache.is_complete() && self.cache_sync.may_begin(now.time) {
            self.begin_cache_sync();
        }
    }

    fn begin_cache_sync(&mut self) {
        self.cache_sync.begin();
        self.request_listing_page(None, None);
    }

    fn request_listing_page(&mut self, listing: Option<Listing>, after: Option<String>) {
        let call = StoreCall::List(WATCHED_PREFIX.into(), after);
        let purpose = PendingCall::CacheSync(listing);
        self.store_calls.enqueue(CallPriority::User, call, purpose);
    }

    /// Handles the answer to the call for a page of a listing.
    pub(super) fn cache_sync_page_answered(
        &mut self,
        listing: Option<Listing>,
        sent: Time,
        answer: StoreAnswer,
        now: Now,
    ) {
        let StoreAnswer::Page(page) = answer else {
            return self.cache_sync.retry_later(now.time);
        };
        let mut listing = listing.unwrap_or_else(|| Listing::from_first_page(&page, sent));
        listing.apply(&page, &mut self.job_cache);
        self.apply_cached_settings(now);
        match page.items.last() {
            Some(last) if page.more => {
                self.request_listing_page(Some(listing), Some(last.key.clone()))
            }
            _ => self.complete_cache_sync(&listing, now.time),
        }
    }

    fn complete_cache_sync(&mut self, listing: &Listing, now: Time) {
        let revision = listing.revision();
        self.cache_sync.complete();
        self.job_cache.set_complete(true);
        self.cache_confirmed(revision, listing.sent_at(), now);
        self.advance_cancellation_watermark(revision);
        self.out.push(Output::Watch(revision));
    }

    /// Applies the changes that the watch has reported, and continues the watch from the revision that the cache or the
    /// watch has reached, whichever is later.
    pub(super) fn watch_events_received(&mut self, sent: Time, changes: Events<Value>, now: Now) {
        let revision = changes.revision;
        self.apply_changes(sent, changes, now);
        // While a listing is in progress nothing is confirmed, and the cache's revision stays behind the watch.
        let known = self.job_cache.confirmation().revision();
        self.out.push(Output::Watch(known.max(revision)));
    }

    /// Applies all changes since the cache's revision or an earlier one, as returned by a call that was sent at `sent`.
    /// If the cache has reached their revision already, the changes are known, and only the confirmation is recorded.
    fn apply_changes(&mut self, sent: Time, changes: Events<Value>, now: Now) {
        let revision = changes.revision;
        if revision > self.job_cache.confirmation().revision() {
            for event in &changes.events {
                self.job_cache.apply_event(event);
            }
            self.apply_cached_settings(now);
            self.advance_cancellation_watermark(revision);
        }
        self.cache_confirmed(revision, sent, now.time);
    }

    /// Records that the cache holds every change up to `revision`, as shown by the answer to a call that was sent at
    /// `sent`.
    fn cache_confirmed(&mut self, revision: Version, sent: Time, now: Time) {
        self.job_cache.confirm(revision, sent);
        self.hand_confirmation_to_leader(now);
    }

    fn hand_confirmation_to_leader(&mut self, now: Time) {
        let confirmation = self.job_cache.confirmation();
        self.extend_term(now, |term| term.cache_confirmed(confirmation));
    }

    /// Reads the changes since the cache was last confirmed, if this node leads and nothing else confirms the cache:
    /// the watch answers only when something changes, and may be slow to resume after a pause or an outage.
    pub(super) fn confirm_cache_if_due(&mut self, now: Time) {
        let confirmation = self.job_cache.confirmation();
        let is_fresh = (confirmation.age(now)).is_some_and(|age| age < CACHE_CONFIRMATION_INTERVAL);
        if self.leader.is_none() || !self.job_cache.is_complete() || is_fresh {
            return;
        }
        if self.cache_confirmation.begin_if_due(now) {
            let call = StoreCall::Changes(WATCHED_PREFIX.into(), confirmation.revision());
            self.store_calls
                .enqueue(CallPriority::Lease, call, PendingCall::ConfirmCache);
        }
    }

    /// Handles the answer to the call that confirms the cache.
    pub(super) fn cache_confirmation_answered(
        &mut self,
        sent: Time,
        answer: StoreAnswer,
        now: Now,
    ) {
        self.cache_confirmation.end();
        match answer {
            StoreAnswer::Changes(changes) => self.apply_changes(sent, changes, now),
            // If the store has forgotten the changes since that revision, the watch detects that as well, and all keys
            // are listed again.
            _ => self.cache_confirmation.retry(now.time),
        }
    }

    /// Applies what the cache has read for other parts of the node: machine types, operators' settings and the epoch.
    fn apply_cached_settings(&mut self, now: Now) {
        if let Some(catalog) = self.job_cache.take_catalog() {
            self.catalog.get_or_insert(catalog);
        }
        if let Some((version, settings)) = self.job_cache.take_admin_settings() {
            self.apply_admin_settings(version, settings);
        }
        if let Some(record) = self.job_cache.leader() {
            self.election.observe_epoch(record.epoch, now.time);
        }
    }

    /// Passes the jobs that changed in the cache to the leader, and cancels or releases the jobs that depend on them.
    pub(super) fn apply_job_changes(&mut self, now: Now) {
        let changed = self.job_cache.take_changed_jobs();
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        for id in &changed {
            let Some(known) = self.job_cache.job(id) else {
                continue;
            };
            leader.update_job(id, known.version, &known.record);
            if known.record.state == JobState::Cancelled {
                let version = known.version;
                log::debug!("cancellation applied job={id} version={version}");
                if leader.has_open_direct_start(id) {
                    let revocation = StartRevocation::OfJob(id.clone());
                    self.revocations.push(revocation);
                }
                leader.stop_ended_job(id, now.time);
            }
            leader.request_cycle(now.time);
        }
        self.refresh_dependencies(&changed, now);
    }
}

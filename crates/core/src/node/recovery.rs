//! Failover recovery: reads the state that earlier leaders left in the store, before the new leader makes any decision.
//!
//! All jobs are read, then all segments of the placement log. The leader key is held meanwhile, so no other node
//! writes segments. Jobs may change during the recovery; the newer version wins, whichever source it comes from.

use crate::io::{StoreAnswer, StoreCall, Value};
use crate::leader::recovery_progress::{RecoveryPage, RecoverySource};
use crate::node::pending_call::LeaderCall;
use crate::node::Node;
use crate::store::records::{JobRecord, SegmentId, SegmentRecord};
use crate::units::Now;
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::state::Item;

impl Node {
    /// Requests the first page of the state.
    pub(super) fn begin_recovery(&mut self) {
        self.request_recovery_page(RecoveryPage::first());
    }

    fn request_recovery_page(&mut self, page: RecoveryPage) {
        let call = StoreCall::List(page.source.prefix().into(), page.after.clone());
        self.call_store_as_leader(call, LeaderCall::RecoverPage(page));
    }

    /// Requests a page again that could not be read, once its retry is due.
    pub(super) fn retry_recovery_page(&mut self, now: Now) {
        let due =
            (self.leader.as_mut()).and_then(|leader| leader.recovery.take_due_retry(now.time));
        if let Some(page) = due {
            self.request_recovery_page(page);
        }
    }

    /// Handles the answer to the call for a page.
    pub(super) fn recovery_page_answered(
        &mut self,
        requested: RecoveryPage,
        answer: StoreAnswer,
        now: Now,
    ) {
        let StoreAnswer::Page(page) = answer else {
            if let Some(leader) = self.leader.as_mut() {
                leader.recovery.retry_later(requested, now.time);
            }
            return;
        };
        let last_key = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            self.recover_item(requested.source, item, now);
        }
        match requested.following(last_key.filter(|_| page.more)) {
            Some(next) => self.request_recovery_page(next),
            None => self.complete_recovery(now),
        }
    }

    fn recover_item(&mut self, source: RecoverySource, item: Item<Value>, now: Now) {
        let Some(name) = item.key.strip_prefix(source.prefix()) else {
            return;
        };
        let recovered = match source {
            RecoverySource::Jobs => self.recover_job(name, item.version, item.value),
            RecoverySource::Segments => self.recover_segment(name, item.value, now),
        };
        if recovered.is_none() {
            self.job_cache
                .count_unreadable_record(&item.key, &"read during the recovery");
        }
    }

    /// Passes a job to the leader; returns `None` if its record can't be read.
    fn recover_job(&mut self, name: &str, version: Version, value: Value) -> Option<()> {
        let id: JobId = name.parse().ok()?;
        let record: JobRecord = serde_json::from_value(value).ok()?;
        // The cache may know a newer version.
        self.job_cache.update_job(id.clone(), version, record);
        let known = self.job_cache.job(&id)?;
        let leader = self.leader.as_mut()?;
        leader.update_job(&id, known.version, &known.record);
        Some(())
    }

    /// Passes a segment to the leader; returns `None` if its record can't be read.
    fn recover_segment(&mut self, name: &str, value: Value, now: Now) -> Option<()> {
        let segment = SegmentId::of_name(name)?;
        let record: SegmentRecord = serde_json::from_value(value).ok()?;
        self.leader.as_mut()?.recover_segment(segment, record, now);
        Some(())
    }

    /// Completes the recovery after the last page: reconciles the status reports that arrived meanwhile, and lets
    /// scheduling begin.
    fn complete_recovery(&mut self, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let held_reports = leader.recovery.complete();
        log::info!(
            "state recovered epoch={} jobs={} machines={}",
            leader.term.epoch(),
            leader.jobs.len(),
            leader.fleet.machines.len()
        );
        for report in held_reports {
            leader.reconcile_report(&report, now);
        }
        leader.request_cycle(now.time);
        self.refresh_all_dependencies(now);
    }
}

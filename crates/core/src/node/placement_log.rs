//! Commits of the placement log.

use crate::io::{StoreAnswer, StoreCall};
use crate::node::pending_call::LeaderCall;
use crate::node::Node;
use crate::placement_log::log::draft::PendingSegment;
use crate::placement_log::log::{PlacementLog, UncommittedSegment};
use crate::store::records::{segment_key, SegmentId, SegmentRecord};
use crate::store::transactions::{condition, put};
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::Version;
use rudderreel_wire::state::{Change, Transaction};

/// How often progress is recorded, and pages are tidied up.
const TIDY: Span = Span(1_000);

/// Commits of pages that may be open at once.
const OPEN: usize = 3;
/// A commit that was refused is repeated after so long.
const AGAIN: Span = Span(200);

impl Node {
    /// Commits what has changed in the placement log.
    pub(crate) fn flush_placement_log(&mut self, now: Now) {
        self.repeat_segment_commits(now.time);
        let rate = self.limits.placement_writes();
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let tidy = now.time >= leader.placement_log.next_tidy;
        if tidy {
            leader.placement_log.next_tidy = now.time + TIDY;
        }
        if tidy {
            self.compact_placement_log(rate, now);
        }
        let mut progress = tidy;
        while let Some(leader) = self.leader.as_mut() {
            let nothing = !leader.placement_log.may_have_unrecorded && !progress;
            if nothing
                || leader.placement_log.open.len() >= OPEN
                || !leader.placement_log.take_writes(1.0, rate, now.time)
            {
                break;
            }
            let page = leader.term.next_segment();
            let draft = PlacementLog::draft(
                &mut leader.fleet,
                &mut leader.jobs,
                &leader.store_limits,
                page,
                progress,
            );
            progress = false;
            if draft.is_empty() {
                leader.placement_log.may_have_unrecorded = false;
                leader.placement_log.budget.0 += 1.0;
                break;
            }
            let most = leader.store_limits.operations.saturating_sub(1).min(4);
            let dead: Vec<SegmentId> = leader
                .placement_log
                .dead
                .iter()
                .take(most)
                .copied()
                .collect();
            let affordable = leader
                .placement_log
                .take_writes(dead.len() as f64, rate, now.time);
            let deletes = if affordable { dead } else { Vec::new() };
            leader.placement_log.dead.retain(|p| !deletes.contains(p));
            self.open_segment_commit(page, draft, deletes);
        }
    }

    fn compact_placement_log(&mut self, rate: f64, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let old = leader
            .placement_log
            .compact(&leader.fleet, &leader.jobs, &leader.store_limits);
        let cost = 1.0 + old.len() as f64;
        if !old.is_empty() && leader.placement_log.take_writes(cost, rate, now.time) {
            let page = leader.term.next_segment();
            let draft = PlacementLog::rewrite(&mut leader.fleet, &mut leader.jobs, page, &old);
            self.open_segment_commit(page, draft, old);
        } else if leader.placement_log.dead.len() >= leader.store_limits.operations / 2
            && leader.placement_log.open.is_empty()
        {
            let dead: Vec<SegmentId> = leader
                .placement_log
                .dead
                .iter()
                .take(leader.store_limits.operations)
                .copied()
                .collect();
            if leader
                .placement_log
                .take_writes(dead.len() as f64, rate, now.time)
            {
                leader.placement_log.dead.retain(|p| !dead.contains(p));
                let page = leader.term.next_segment();
                self.open_segment_commit(page, PendingSegment::new(), dead);
            }
        }
    }

    fn open_segment_commit(
        &mut self,
        page: SegmentId,
        draft: PendingSegment,
        deletes: Vec<SegmentId>,
    ) {
        if let Some(leader) = self.leader.as_mut() {
            let open = UncommittedSegment {
                record: draft.record,
                done: draft.done,
                deletes,
                again: None,
            };
            leader.placement_log.open.insert(page, open);
            self.send_segment_commit(page);
        }
    }

    fn send_segment_commit(&mut self, page: SegmentId) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let leadership_condition = leader.term.key_condition();
        let Some(open) = leader.placement_log.open.get_mut(&page) else {
            return;
        };
        open.again = None;
        let mut conditions = vec![leadership_condition];
        let mut changes: Vec<_> = (open.deletes.iter())
            .map(|p| Change::Delete {
                key: segment_key(*p),
            })
            .collect();
        if open.record != SegmentRecord::default() {
            conditions.push(condition(segment_key(page), Version(0)));
            changes.push(put(segment_key(page), &open.record));
        }
        let call = StoreCall::Commit(Transaction {
            conditions,
            changes,
        });
        self.call_store_as_leader(call, LeaderCall::CommitSegment(page));
    }

    fn repeat_segment_commits(&mut self, now: Time) {
        let Some(leader) = &self.leader else {
            return;
        };
        let again: Vec<SegmentId> = (leader.placement_log.open.iter())
            .filter(|(_, open)| open.again.is_some_and(|at| now >= at))
            .map(|(page, _)| *page)
            .collect();
        for page in again {
            self.send_segment_commit(page);
        }
    }

    /// The answer to a page's commit.
    pub(crate) fn segment_commit_answered(
        &mut self,
        page: SegmentId,
        answer: StoreAnswer,
        now: Now,
    ) {
        let written = match &answer {
            StoreAnswer::Committed(_) => true,
            // The page exists, so an earlier try was carried out.
            StoreAnswer::Conflict(keys) => keys.iter().any(|k| *k == segment_key(page)),
            _ => false,
        };
        if !written && self.step_down_if_superseded(&answer) {
            return;
        }
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        if matches!(answer, StoreAnswer::Rejected) {
            // It would be rejected again as it is: what is on it goes on smaller ones.
            return leader.placement_log.reopen_rejected_segment(
                &mut leader.fleet,
                &mut leader.jobs,
                page,
            );
        }
        if !written {
            if let Some(open) = leader.placement_log.open.get_mut(&page) {
                open.again = Some(now.time + AGAIN);
            }
            return;
        }
        let Some(open) = leader.placement_log.open.remove(&page) else {
            return;
        };
        let started =
            leader
                .placement_log
                .segment_committed(&mut leader.fleet, &mut leader.jobs, page, open);
        self.push_starts(&started, now);
        self.step_down_if_superseded(&answer);
    }
}

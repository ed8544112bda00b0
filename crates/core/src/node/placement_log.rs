//! Sends the commits of the leader's placement log, and passes their answers to it.

use crate::io::{StoreAnswer, StoreCall};
use crate::node::pending_call::LeaderCall;
use crate::node::Node;
use crate::placement_log::{is_carried_out, CommitResult, LogContext};
use crate::store::records::SegmentId;
use crate::units::Now;

impl Node {
    /// Sends the commits of the placement log that are due.
    pub(crate) fn flush_placement_log(&mut self, now: Now) {
        let writes_per_s = self.store_limits.placement_writes_per_s();
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let context = LogContext {
            term: &mut leader.term,
            fleet: &mut leader.fleet,
            jobs: &mut leader.jobs,
            limits: &leader.store_limits,
            writes_per_s,
        };
        for commit in leader.placement_log.due_commits(context, now.time) {
            let call = StoreCall::Commit(commit.transaction);
            self.call_store_as_leader(call, LeaderCall::CommitSegment(commit.segment));
        }
    }

    /// Handles the answer to the commit of a segment: tasks whose placement was recorded for the first time may be
    /// started.
    pub(crate) fn segment_commit_answered(
        &mut self,
        segment: SegmentId,
        answer: StoreAnswer,
        now: Now,
    ) {
        // A conflict that names both keys shows that the segment was written before the leader key changed, so
        // the answer is applied before this node steps down.
        if !is_carried_out(segment, &answer) && self.step_down_if_superseded(&answer) {
            return;
        }
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let result = leader.placement_log.commit_answered(
            segment,
            &answer,
            &mut leader.fleet,
            &mut leader.jobs,
            now.time,
        );
        if let CommitResult::Committed(machines) = result {
            self.push_starts(&machines, now);
            self.step_down_if_superseded(&answer);
        }
    }
}

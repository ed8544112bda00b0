//! The order in which waiting jobs are considered.

use super::job::Job;
use crate::units::{Span, Wall};
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::Priority;
use std::cmp::Reverse;

/// Sort key of a waiting job; the job with the smallest key is considered first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueOrder {
    /// Effective priority, the highest first.
    priority: Reverse<Priority>,
    /// False for overdue jobs, which come before the rest.
    in_time: bool,
    /// For an overdue job the time when it became ready, for any other the remaining work in milliseconds.
    rank: u64,
    submitted: Wall,
    id: JobId,
}

impl Job {
    /// Returns the job's sort key among waiting jobs: by priority, then overdue jobs first, then by remaining work, the
    /// least first. Users count jobs that are done in time, and under high load one large job makes many small ones
    /// late, but not the other way round. Without the rule for overdue jobs a large job would never start while small
    /// jobs keep being submitted.
    pub fn queue_order(&self, overdue: bool) -> QueueOrder {
        let remaining_tasks = f64::from(self.spec.tasks.saturating_sub(self.done.len()));
        let remaining_work_ms = (remaining_tasks * self.spec.estimate_s.max(0.0) * 1000.0) as u64;
        QueueOrder {
            priority: Reverse(self.urgency.priority),
            in_time: !overdue,
            rank: if overdue {
                self.waiting_since().0
            } else {
                remaining_work_ms
            },
            submitted: self.submitted,
            id: self.spec.id.clone(),
        }
    }

    /// Returns whether the job has waited for its first start for longer than `max_wait`. A suspected job is never
    /// overdue.
    pub fn is_overdue(&self, now: Wall, max_wait: Span) -> bool {
        !self.has_started
            && !self.is_suspected()
            && self.placements.is_empty()
            && now.0 > self.waiting_since().0 + max_wait.0
    }
}

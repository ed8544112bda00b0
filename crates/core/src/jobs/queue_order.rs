//! The order in which waiting jobs are considered.

use super::job::Job;
use crate::units::{Span, Wall};
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::Priority;
use std::cmp::Reverse;

/// Where a job stands among waiting jobs: the least first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueOrder {
    /// The highest priority first.
    priority: Reverse<Priority>,
    /// Overdue jobs come before the rest.
    in_time: bool,
    /// When an overdue job became ready; the work that is left of another one.
    rank: u64,
    submitted: Wall,
    id: JobId,
}

impl Job {
    /// Where it stands among waiting jobs: by priority, then those that are overdue, then by the work that is left,
    /// the least first. Users count jobs that are done in time, and in a rush one large job costs many small ones
    /// their time, but not the other way round. Without the second rule a large job would never begin while small
    /// ones keep coming.
    pub fn queue_order(&self, overdue: bool) -> QueueOrder {
        let tasks_left = f64::from(self.spec.tasks.saturating_sub(self.done.len()));
        let work_left_ms = (tasks_left * self.spec.estimate_s.max(0.0) * 1000.0) as u64;
        QueueOrder {
            priority: Reverse(self.urgency.priority),
            in_time: !overdue,
            rank: if overdue {
                self.waiting_since().0
            } else {
                work_left_ms
            },
            submitted: self.submitted,
            id: self.spec.id.clone(),
        }
    }

    /// Whether it has waited for its first start for longer than `patience`.
    pub fn is_overdue(&self, now: Wall, patience: Span) -> bool {
        !self.has_started
            && !self.is_suspected()
            && self.placements.is_empty()
            && now.0 > self.waiting_since().0 + patience.0
    }
}

//! The reason why a job's next task is not started.

use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::actions::has_room;
use crate::scheduling::snapshot::Snapshot;
use crate::teams::team_tree::amounts;
use crate::units::Now;
use serde::{Serialize, Serializer};
use std::fmt;

/// The reason why a job's next task is not started, as shown to administrators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The job is no longer active.
    Cancelled,
    /// Some dependencies of the job are not done.
    Dependencies,
    /// The job's tasks fail on every machine, so the job itself is suspected of a mistake.
    Suspected,
    /// No task is left to start.
    NothingToStart,
    /// The job is in backoff after a failure of its tasks.
    Backoff,
    /// The job is preemptible, and its team is at its limit.
    LimitUsedUp,
    /// The job is not preemptible, and its team is at its quota.
    QuotaUsedUp,
    /// A machine has room for the task, which will be placed in the next cycle.
    NextCycle,
    /// No machine has room for the task, and no scale-out is in progress.
    NoRoom,
    /// No machine has room for the task yet, but a scale-out is in progress.
    ScalingOut,
}

impl WaitReason {
    /// Returns the first reason that applies at a moment, in the order of the checks.
    pub fn of(job: &Job, leader: &Leader, now: Now) -> Self {
        if !job.is_active() {
            Self::Cancelled
        } else if !job.is_ready() {
            Self::Dependencies
        } else if job.is_suspected() {
            Self::Suspected
        } else if job.startable_tasks() == 0 {
            Self::NothingToStart
        } else if job.retry_at > now.time {
            Self::Backoff
        } else {
            Self::by_capacity(job, leader, now)
        }
    }

    /// Returns the reason for a job whose own state permits a start.
    fn by_capacity(job: &Job, leader: &Leader, now: Now) -> Self {
        let snapshot = Snapshot::take(leader, now);
        if !snapshot.within_limits(leader, job, &amounts(&job.need)) {
            return if job.is_preemptible() {
                Self::LimitUsedUp
            } else {
                Self::QuotaUsedUp
            };
        }
        if has_room(leader, &snapshot, job) {
            Self::NextCycle
        } else if leader.scale_out.open_requests().is_empty() && !leader.is_booting() {
            Self::NoRoom
        } else {
            Self::ScalingOut
        }
    }

    /// Returns the text that is shown to administrators. The texts are part of the documented API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cancelled => "it was cancelled",
            Self::Dependencies => "it waits for jobs that it depends on",
            Self::Suspected => {
                "it fails wherever it is tried, perhaps for a mistake; it is tried now and then"
            }
            Self::NothingToStart => "all its tasks are placed or done",
            Self::Backoff => "its tasks failed, and it waits a little before the next try",
            Self::LimitUsedUp => "its team's limit is used up",
            Self::QuotaUsedUp => {
                "its team's quota is used up, and work at priority 100 or above can't borrow"
            }
            Self::NextCycle => "it is placed in the next cycle",
            Self::NoRoom => "no machine has room for it, and none could be rented",
            Self::ScalingOut => "no machine has room for it; machines are being rented or boot",
        }
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Serialize for WaitReason {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

#[cfg(test)]
mod tests;

//! What keeps a job's next task from starting.

use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::actions::has_room;
use crate::scheduling::snapshot::Snapshot;
use crate::teams::team_tree::amounts;
use crate::units::Now;
use serde::{Serialize, Serializer};
use std::fmt;

/// Why a job's next task is not started, as administrators are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The job is not active any more.
    Cancelled,
    /// Dependencies are not done.
    Dependencies,
    /// Its tasks fail on every machine.
    Suspected,
    /// There is no task left to start.
    NothingToStart,
    /// A pause after a failure.
    Backoff,
    /// A preemptible job of a team at its limit.
    LimitUsedUp,
    /// A job that can't be preempted, of a team at its quota.
    QuotaUsedUp,
    /// It will be placed at once.
    NextCycle,
    /// There is no room, and no scale-out under way.
    NoRoom,
    /// There is no room yet, but a scale-out is under way.
    ScalingOut,
}

impl WaitReason {
    /// What keeps a job's next task from starting at this moment. The first reason counts.
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

    /// The reason for a job that could start by its own state.
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

    /// The text that administrators are shown. It is part of the documented API.
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

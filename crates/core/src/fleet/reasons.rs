//! Reasons for stopping a task, and for returning a machine.
//!
//! The texts are shown to administrators, and stops are counted under them: they are part of the administration
//! interface and must not change.

use serde::{Serialize, Serializer};
use std::fmt;

/// Reason for stopping a task before it exits by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The task's job was cancelled, or is done without the task.
    JobCancelled,
    /// The task's job is suspected: it fails wherever it is tried.
    JobSuspected,
    /// The task's job is not known to the leader.
    JobUnknown,
    /// Another task of the gang was lost or failed.
    GangBroken,
    /// The task was reported, but the placement log does not name it.
    NotInPlacementLog,
    /// The task was on its machine again after its exit had been reported.
    Reappeared,
    /// The task waited too long for the capacity that it was planned on.
    Stalled,
    /// The cloud reclaims the task's spot machine.
    MachineReclaimed,
    /// The task's machine is idle except for this task, and is returned.
    MachineReturned,
    /// The task is moved so that a machine becomes empty.
    Moved,
    /// A team that is below its share gets the capacity back.
    Reclaimed,
    /// Work of higher priority in the same team gets the capacity.
    Preempted,
    /// The task was not stopped: it was lost with its machine.
    LostWithMachine,
}

impl StopReason {
    /// Returns the text that administrators see, which is also the name of the counter.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::JobCancelled => "cancelled",
            Self::JobSuspected => "its job is suspected",
            Self::JobUnknown => "its job is not known",
            Self::GangBroken => "gang is broken",
            Self::NotInPlacementLog => "not in the placement log",
            Self::Reappeared => "back after its end",
            Self::Stalled => "stalled",
            Self::MachineReclaimed => "machine is taken back",
            Self::MachineReturned => "its machine is returned",
            Self::Moved => "moved",
            Self::Reclaimed => "reclaimed",
            Self::Preempted => "preempted",
            Self::LostWithMachine => "lost with its machine",
        }
    }
}

/// Reason for which a machine gets no more work and is returned to the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireReason {
    /// Nothing has run on the machine for long enough. Any other reason is urgent: the machine does not have to be
    /// empty.
    Idle,
    /// The machine's agent did not report in the time that a boot takes.
    NeverCameUp,
    /// The cloud lists the machine as failed.
    Failed,
    /// A cancelled job's task on the machine does not end in time.
    HoldsCancelledJob,
    /// The machine's zone is partitioned, and it is not worthwhile to wait any longer for the partition to end.
    BehindPartition,
    /// The machine's agent answers no calls and has missed a report.
    DoesNotAnswer,
    /// The machine's agent reports, but answers no calls: the tasks that it runs can't be stopped.
    UnreachableForCommands,
    /// The machine's agent has not reported for longer than a failover to another node takes.
    Silent,
    /// For twice the lease no node can have answered the machine's agent, and the leader has not heard from the agent.
    LeaseExpired,
}

impl RetireReason {
    /// Returns the text that administrators see.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::NeverCameUp => "never came up",
            Self::Failed => "failed",
            Self::HoldsCancelledJob => "holds a cancelled job",
            Self::BehindPartition => "behind a cut",
            Self::DoesNotAnswer => "does not answer",
            Self::UnreachableForCommands => "does not hear",
            Self::Silent => "silent",
            Self::LeaseExpired => "silent for long",
        }
    }

    /// Returns whether the machine is returned as soon as it is empty, and no sooner.
    pub fn waits_until_empty(self) -> bool {
        self == Self::Idle
    }
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Display for RetireReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Serialize for StopReason {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

impl Serialize for RetireReason {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

#[cfg(test)]
mod tests;

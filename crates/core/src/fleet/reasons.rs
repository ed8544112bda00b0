//! Why a task is stopped, and why a machine is returned.
//!
//! The texts are shown to administrators, and stops are counted under them: they are part of the administration
//! interface and stay as they are.

use serde::{Serialize, Serializer};
use std::fmt;

/// Why a task is stopped before it exits by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled, or is done without it.
    JobCancelled,
    /// Its job fails wherever it is tried.
    JobSuspected,
    /// Its job is not known to the leader.
    JobUnknown,
    /// Another task of its gang was lost or failed.
    GangBroken,
    /// It was reported, but the placement log does not name it.
    NotInPlacementLog,
    /// It waited too long for the room that it was planned on.
    Stalled,
    /// The cloud takes its spot machine back.
    MachineReclaimed,
    /// Its machine is idle but for it, and is returned.
    MachineReturned,
    /// It is moved so that a machine becomes empty.
    Moved,
    /// A team that is below its share gets the room back.
    Reclaimed,
    /// Work of higher priority in its team gets the room.
    Preempted,
    /// Nobody stopped it: it was lost with its machine.
    LostWithMachine,
}

impl StopReason {
    /// The text that administrators see, and the name of the counter.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::JobCancelled => "cancelled",
            Self::JobSuspected => "its job is suspected",
            Self::JobUnknown => "its job is not known",
            Self::GangBroken => "gang is broken",
            Self::NotInPlacementLog => "not in the placement log",
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

/// Why a machine gets no work any more and is returned to the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireReason {
    /// Nothing has run on it for long enough. Any other reason is urgent: the machine does not have to be empty.
    Idle,
    /// Its agent did not report in the time that a boot takes.
    NeverCameUp,
    /// The cloud lists it as failed.
    Failed,
    /// A cancelled job's task on it does not end in time.
    HoldsCancelledJob,
    /// Its zone is partitioned, and it is not worth while to wait for it any longer.
    BehindPartition,
    /// Its agent answers no calls and has missed a report.
    DoesNotAnswer,
    /// Its agent reports, but answers no calls: what it runs can't be stopped.
    UnreachableForCommands,
    /// Its agent has not reported for longer than a change of node takes.
    Silent,
    /// Its lease has expired twice over.
    LeaseExpired,
}

impl RetireReason {
    /// The text that administrators see.
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

    /// Whether the machine is returned as soon as it is empty, and no sooner.
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

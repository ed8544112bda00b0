//! What is kept in the state service.
//!
//! | key | written by | holds |
//! | --- | --- | --- |
//! | `pub/job/<id>` | any node creates or cancels; the leader completes | submission and state |
//! | `pub/leader` | the leader, on its lease | who leads, and its epoch |
//! | `pub/admin` | any node, for an administrator | operators' settings |
//! | `epoch` | the leader | the last epoch given out |
//! | `machine/<name>` | the leader, before a start is sent | every task that may be on it |
//! | `progress/<id>` | the leader | which tasks are done |
//! | `pub/catalog` | the leader | machine types as last fetched |

use crate::units::Wall;
use rudderreel_wire::ids::{
    Attempt, Epoch, JobId, LeaseId, MachineId, NodeName, TaskId, TypeName, Zone,
};
use rudderreel_wire::job::{JobSpec, JobState};
use serde::{Deserialize, Serialize};

/// Everything that every node watches.
pub const SHARED: &str = "pub/";
/// Prefix of jobs.
pub const JOBS: &str = "pub/job/";
/// The leader's key.
pub const LEADER: &str = "pub/leader";
/// Operators' settings.
pub const ADMIN: &str = "pub/admin";
/// The epoch's key.
pub const EPOCH: &str = "epoch";
/// Prefix of machines.
pub const MACHINES: &str = "machine/";
/// Prefix of progress.
pub const PROGRESS: &str = "progress/";
/// The catalog's key.
pub const CATALOG: &str = "pub/catalog";

/// A job's key.
pub fn job_key(id: &JobId) -> String {
    format!("{JOBS}{id}")
}

/// A job's progress key.
pub fn progress_key(id: &JobId) -> String {
    format!("{PROGRESS}{id}")
}

/// A machine's key.
pub fn machine_key(id: &MachineId) -> String {
    format!("{MACHINES}{id}")
}

/// A job. The submission is dropped once the job is done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its state: queued while it is neither done nor cancelled.
    pub state: JobState,
    /// When it was submitted.
    pub submitted: Wall,
    /// When its user withdrew it.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub cancelled: Option<Wall>,
    /// How many tasks it has, kept after the submission is dropped.
    #[serde(default)]
    pub tasks: u32,
    /// What was submitted.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub spec: Option<JobSpec>,
}

impl JobRecord {
    /// A job that has just been submitted.
    pub fn queued(spec: &JobSpec, submitted: Wall) -> Self {
        Self {
            state: JobState::Queued,
            submitted,
            cancelled: None,
            tasks: spec.tasks,
            spec: Some(spec.clone()),
        }
    }

    /// A job whose tasks are all done.
    pub fn done(tasks: u32, submitted: Wall) -> Self {
        Self {
            state: JobState::Done,
            submitted,
            cancelled: None,
            tasks,
            spec: None,
        }
    }

    /// Whether its state can't change any more.
    pub fn is_final(&self) -> bool {
        matches!(self.state, JobState::Done | JobState::Cancelled)
    }
}

/// Who leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node.
    pub node: NodeName,
    /// Its epoch.
    pub epoch: Epoch,
    /// The lease that the key hangs on.
    pub lease: LeaseId,
}

/// The last epoch given out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The epoch.
    pub epoch: Epoch,
}

/// What may be on a machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Its type.
    pub machine_type: TypeName,
    /// Its zone.
    pub zone: Zone,
    /// Spot or ordinary.
    pub spot: bool,
    /// When it was rented or first seen.
    pub since: Wall,
    /// Every task that may be on it.
    pub tasks: Vec<(TaskId, Attempt)>,
}

/// Which tasks of a job are done: ranges with both ends included.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// The ranges, in order.
    pub done: Vec<(u32, u32)>,
}

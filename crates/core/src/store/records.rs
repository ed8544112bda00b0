//! The keys of the store, and the records that they hold.
//!
//! | key | written by | holds |
//! | --- | --- | --- |
//! | `pub/job/<id>` | any node creates or cancels; the leader completes | submission and state |
//! | `pub/leader` | the leader, on its lease | who leads, and its epoch |
//! | `pub/admin` | any node, for an administrator | operators' settings |
//! | `epoch` | the leader | the last epoch given out |
//! | `book/<segment>` | the leader, before a start is sent | tasks that may be on machines; tasks that are done |
//! | `pub/catalog` | the leader | machine types as last fetched, until jobs depend on others |
//! | `pub/machine-types` | the leader | the same from then on (see `leadership::version_gate`) |
//! | `pub/seat` | the leader, on its lease | what `pub/leader` held, from then on |
//! | `pub/known/<node>` | that node, while links between nodes fail | its cancellation watermark |
//!
//! The text of the keys and the names of stored fields are fixed: other versions of this software read them.

use crate::io::Value;
use crate::store::limits::StoreLimits;
use crate::units::Wall;
use rudderreel_wire::ids::{
    Attempt, Class, Epoch, Image, JobId, LeaseId, MachineId, NodeName, TypeName, Version, Zone,
};
use rudderreel_wire::job::{JobSpec, JobState};
use serde::{Deserialize, Serialize};

// The text of each key is fixed.

/// Prefix of everything that every node watches.
pub const WATCHED_PREFIX: &str = "pub/";
/// Prefix of jobs.
pub const JOB_PREFIX: &str = "pub/job/";
/// The leader's key, which every version reads.
pub const LEADER_KEY: &str = "pub/leader";
/// The leader's key once jobs depend on others. Versions that know no dependencies don't read it.
pub const GATED_LEADER_KEY: &str = "pub/seat";
/// Operators' settings.
pub const ADMIN_SETTINGS_KEY: &str = "pub/admin";
/// The last epoch given out.
pub const EPOCH_KEY: &str = "epoch";
/// Prefix of the nodes' cancellation watermarks, which they write when they can't reach one another.
pub const WATERMARK_PREFIX: &str = "pub/known/";
/// Prefix of the segments of the leader's placement log.
pub const SEGMENT_PREFIX: &str = "book/";
/// The machine types, where every version reads them.
pub const CATALOG_KEY: &str = "pub/catalog";
/// The machine types once jobs depend on others. Versions that know no dependencies don't read this key.
pub const GATED_CATALOG_KEY: &str = "pub/machine-types";
/// What this version understands of the records: 2 since jobs may depend on others. A leader's record
/// without it is that of a version that knows no dependencies.
pub const RECORD_FORMAT: u32 = 2;

/// A job's key.
pub fn job_key(id: &JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// The key of a segment of the placement log.
pub fn segment_key(segment: SegmentId) -> String {
    format!("{SEGMENT_PREFIX}{:016x}", segment.0)
}

/// A segment of the placement log. It is written once, and deleted when nothing in it holds any more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId(pub u64);

impl SegmentId {
    /// In no segment.
    pub const NONE: Self = Self(0);

    /// The segment of a key without its prefix.
    pub fn of_name(name: &str) -> Option<Self> {
        u64::from_str_radix(name, 16).ok().map(Self)
    }
}

/// A job. The submission is dropped once the job is done, unless some of its tasks may still be somewhere.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredJob", into = "StoredJob")]
pub struct JobRecord {
    /// Its state: queued while it is neither done nor cancelled.
    pub state: JobState,
    /// When it was submitted.
    pub submitted: Wall,
    /// When it was cancelled.
    pub cancelled: Option<Wall>,
    /// The dependency whose cancellation cancelled it, if its user did not.
    pub cancelled_by: Option<JobId>,
    /// When it was done.
    pub finished: Option<Wall>,
    /// How many tasks it has, kept after the submission is dropped.
    pub tasks: u32,
    /// Whether its user named jobs that it depends on, also if all of them were done by then.
    pub names_dependencies: bool,
    /// What was submitted.
    pub spec: Option<JobSpec>,
}

/// A job's state as it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
enum StoredState {
    /// A state that every version knows.
    Known(JobState),
    /// Queued, with dependencies.
    Dependent(DependentState),
}

/// The state of an unfinished job that depends on others. It is stored as a state of its own so that a version that
/// knows no dependencies can't read the record: such a version would drop them, start the job before they are done, and
/// call it queued after they are cancelled. What it can't read it neither starts nor reports to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum DependentState {
    #[serde(rename = "dependent")]
    Queued,
}

/// A job's record as it is stored.
#[derive(Serialize, Deserialize)]
struct StoredJob {
    state: StoredState,
    submitted: Wall,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    cancelled: Option<Wall>,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    cancelled_by: Option<JobId>,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    finished: Option<Wall>,
    #[serde(default)]
    tasks: u32,
    #[serde(skip_serializing_if = "std::ops::Not::not", default)]
    names_dependencies: bool,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    spec: Option<JobSpec>,
}

impl From<JobRecord> for StoredJob {
    fn from(record: JobRecord) -> Self {
        let state = if !record.is_final() && record.is_dependent() {
            StoredState::Dependent(DependentState::Queued)
        } else {
            StoredState::Known(record.state)
        };
        Self {
            state,
            submitted: record.submitted,
            cancelled: record.cancelled,
            cancelled_by: record.cancelled_by,
            finished: record.finished,
            tasks: record.tasks,
            names_dependencies: record.names_dependencies,
            spec: record.spec,
        }
    }
}

impl From<StoredJob> for JobRecord {
    fn from(stored: StoredJob) -> Self {
        let state = match stored.state {
            StoredState::Known(state) => state,
            StoredState::Dependent(DependentState::Queued) => JobState::Queued,
        };
        let mut record = Self {
            state,
            submitted: stored.submitted,
            cancelled: stored.cancelled,
            cancelled_by: stored.cancelled_by,
            finished: stored.finished,
            tasks: stored.tasks,
            names_dependencies: stored.names_dependencies,
            spec: stored.spec,
        };
        // Records that were written before this was a field of its own.
        record.names_dependencies |= record.is_dependent();
        record
    }
}

impl JobRecord {
    /// A job that has just been submitted.
    pub fn queued(spec: &JobSpec, submitted: Wall) -> Self {
        Self {
            state: JobState::Queued,
            submitted,
            cancelled: None,
            cancelled_by: None,
            finished: None,
            tasks: spec.tasks,
            names_dependencies: !spec.dependencies.is_empty(),
            spec: Some(spec.clone()),
        }
    }

    /// The same job, cancelled by its user or with a dependency. If it no longer fits the limits of the store, it is
    /// stored without the lists and names that only a job which may start needs.
    pub fn cancelled(&self, at: Wall, by: Option<&JobId>, limits: &StoreLimits) -> Self {
        let mut record = self.clone();
        record.state = JobState::Cancelled;
        record.cancelled = Some(at);
        record.cancelled_by = by.cloned();
        if !limits.fits(&record) {
            if let Some(spec) = &mut record.spec {
                spec.types = None;
                spec.dependencies = Vec::new();
                spec.class = Class::from("");
                spec.image = Image::from("");
            }
        }
        record
    }

    /// A job whose tasks are all done.
    pub fn done(tasks: u32, submitted: Wall, finished: Wall) -> Self {
        Self {
            state: JobState::Done,
            submitted,
            cancelled: None,
            cancelled_by: None,
            finished: Some(finished),
            tasks,
            names_dependencies: false,
            spec: None,
        }
    }

    /// The same record with its submission, if that fits. One task of a gang may be done while others may still be on
    /// machines: a leader elected later has to know whose capacity and limit they use.
    pub fn with_submission(self, spec: &JobSpec, limits: &StoreLimits) -> Self {
        let record = Self {
            spec: Some(spec.clone()),
            ..self.clone()
        };
        if limits.fits(&record) {
            record
        } else {
            self
        }
    }

    /// Whether it depends on other jobs, as far as the submission is kept.
    pub fn is_dependent(&self) -> bool {
        let spec = self.spec.as_ref();
        spec.is_some_and(|spec| !spec.dependencies.is_empty())
    }

    /// Whether its state can't change any more.
    pub fn is_final(&self) -> bool {
        matches!(self.state, JobState::Done | JobState::Cancelled)
    }
}

/// Which of two keys a leader holds. Every write of a leader depends on the version of that key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaderKey {
    /// The one that every version reads.
    #[default]
    Common,
    /// The one behind the version gate.
    Gated,
}

impl LeaderKey {
    /// Both keys.
    pub const ALL: [Self; 2] = [Self::Common, Self::Gated];

    /// The leader's key of this name, if it is one.
    pub fn of_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|key| key.name() == name)
    }

    /// The key's name in the store.
    pub fn name(self) -> &'static str {
        match self {
            Self::Common => LEADER_KEY,
            Self::Gated => GATED_LEADER_KEY,
        }
    }
}

/// Who leads, as the leader's key holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node that leads.
    pub node: NodeName,
    /// Its epoch, the fencing token.
    pub epoch: Epoch,
    /// The lease that the key hangs on.
    pub lease: LeaseId,
    /// What its version understands of the records; 0 for versions that know no dependencies.
    #[serde(skip_serializing_if = "is_zero", default)]
    pub format: u32,
    /// Whether the key was taken off its lease for good, since the leader's key is another one now (see
    /// `version_gate`). Then this is the last leader that held it.
    #[serde(skip_serializing_if = "std::ops::Not::not", default)]
    pub superseded: bool,
}

impl LeaderRecord {
    /// The record of a leader of this version.
    pub fn new(node: NodeName, epoch: Epoch, lease: LeaseId) -> Self {
        Self {
            node,
            epoch,
            lease,
            format: RECORD_FORMAT,
            superseded: false,
        }
    }

    /// The record that stays in the common key when leaders hold the gated one from now on. `lease` is the lease that has
    /// to be ended before another node is elected, if there is one.
    pub fn tombstone(&self, lease: Option<LeaseId>) -> Self {
        Self {
            lease: lease.unwrap_or(NO_LEASE),
            superseded: true,
            ..self.clone()
        }
    }

    /// The lease that has to be ended before another node is elected in place of a superseded leader.
    pub fn lease_to_end(&self) -> Option<LeaseId> {
        (self.superseded && self.lease != NO_LEASE).then_some(self.lease)
    }

    /// Whether its version knows dependencies.
    pub fn knows_dependencies(&self) -> bool {
        self.format >= RECORD_FORMAT
    }

    /// Reads a record, if it is one.
    pub fn deserialize_from(value: &Value) -> Option<Self> {
        serde_json::from_value(value.clone()).ok()
    }
}

/// A leader's record with the version of the key that holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredLeader {
    /// The version of the key.
    pub version: Version,
    /// The record.
    pub record: LeaderRecord,
}

/// No lease of the store has this id.
const NO_LEASE: LeaseId = LeaseId(0);

fn is_zero(format: &u32) -> bool {
    *format == 0
}

/// A node's cancellation watermark, for nodes that it can't reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WatermarkRecord {
    /// Every cancellation committed up to this revision.
    #[serde(rename = "known_to")]
    pub cancellation_watermark: Version,
    /// The node asks the others to write their watermarks once they know everything up to here.
    #[serde(default)]
    pub asks: Version,
}

/// The last epoch given out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The epoch.
    pub epoch: Epoch,
}

/// A segment of the leader's placement log: what was decided at one time. What holds is the sum of all segments.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SegmentRecord {
    /// Machines, and what may be on them.
    #[serde(rename = "m", skip_serializing_if = "Vec::is_empty", default)]
    pub machines: Vec<SegmentMachine>,
    /// Which tasks of jobs are done: ranges with both ends included.
    #[serde(rename = "d", skip_serializing_if = "Vec::is_empty", default)]
    pub done: Vec<(JobId, Vec<(u32, u32)>)>,
    /// Jobs that are suspected of a mistake, with the tries that failed.
    #[serde(rename = "f", skip_serializing_if = "Vec::is_empty", default)]
    pub suspected: Vec<(JobId, u32)>,
}

/// A machine in a segment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SegmentMachine {
    /// Its name.
    #[serde(rename = "n")]
    pub id: MachineId,
    /// Its type.
    #[serde(rename = "t")]
    pub machine_type: TypeName,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: Zone,
    /// Spot or ordinary.
    #[serde(rename = "s")]
    pub spot: bool,
    /// When it was scaled out or first seen.
    #[serde(rename = "w")]
    pub since: Wall,
    /// Tasks that may be on it: by job and attempt, their numbers.
    #[serde(rename = "p", skip_serializing_if = "Vec::is_empty", default)]
    pub tasks: Vec<(JobId, Attempt, Vec<u32>)>,
}

#[cfg(test)]
mod tests;

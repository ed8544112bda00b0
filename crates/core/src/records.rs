//! What is kept in the state service.
//!
//! | key | written by | holds |
//! | --- | --- | --- |
//! | `pub/job/<id>` | any node creates or cancels; the leader completes | submission and state |
//! | `pub/leader` | the leader, on its lease | who leads, and its epoch |
//! | `pub/admin` | any node, for an administrator | operators' settings |
//! | `epoch` | the leader | the last epoch given out |
//! | `book/<page>` | the leader, before a start is sent | tasks that may be on machines; tasks that are done |
//! | `pub/catalog` | the leader | machine types as last fetched |
//! | `pub/known/<node>` | that node, while links between nodes fail | which cancellations it knows |

use crate::store_limits::StoreLimits;
use crate::units::Wall;
use rudderreel_wire::ids::{
    Attempt, Class, Epoch, Image, JobId, LeaseId, MachineId, NodeName, TypeName, Version, Zone,
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
/// Prefix of what nodes say about the cancellations that they know, when they can't tell one another.
pub const KNOWN: &str = "pub/known/";
/// Prefix of the pages of the leader's placement log.
pub const PLACEMENTS: &str = "book/";
/// The catalog's key.
pub const CATALOG: &str = "pub/catalog";

/// A job's key.
pub fn job_key(id: &JobId) -> String {
    format!("{JOBS}{id}")
}

/// A page's key.
pub fn page_key(page: PageId) -> String {
    format!("{PLACEMENTS}{:016x}", page.0)
}

/// A page of the placement log. A page is written once and deleted when nothing in it holds any more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PageId(pub u64);

impl PageId {
    /// Not on any page.
    pub const NONE: Self = Self(0);

    /// The page of a key without its prefix.
    pub fn of_name(name: &str) -> Option<Self> {
        u64::from_str_radix(name, 16).ok().map(Self)
    }
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
    /// The dependency whose cancellation cancelled it, if its user did not.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub cancelled_by: Option<JobId>,
    /// When it was done.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub finished: Option<Wall>,
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
            cancelled_by: None,
            finished: None,
            tasks: spec.tasks,
            spec: Some(spec.clone()),
        }
    }

    /// The same job, cancelled by its user or with a dependency. If it no longer fits the limits of
    /// the state service, it goes without the lists and names that only a job which may start needs.
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

/// Which cancellations a node knows, for nodes that it can't reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KnownRecord {
    /// Every cancellation committed up to this revision.
    pub known_to: Version,
    /// The node asks the others to write that they know everything up to here.
    #[serde(default)]
    pub asks: Version,
}

/// The last epoch given out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The epoch.
    pub epoch: Epoch,
}

/// A page of the leader's placement log: what was decided at one time. What holds is the sum of all pages.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PageRecord {
    /// Machines, and what may be on them.
    #[serde(rename = "m", skip_serializing_if = "Vec::is_empty", default)]
    pub machines: Vec<MachineLine>,
    /// Which tasks of jobs are done: ranges with both ends included.
    #[serde(rename = "d", skip_serializing_if = "Vec::is_empty", default)]
    pub done: Vec<(JobId, Vec<(u32, u32)>)>,
    /// Jobs that are suspected of a mistake, with the tries that failed.
    #[serde(rename = "f", skip_serializing_if = "Vec::is_empty", default)]
    pub suspected: Vec<(JobId, u32)>,
}

/// A machine on a page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineLine {
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
    /// When it was rented or first seen.
    #[serde(rename = "w")]
    pub since: Wall,
    /// Tasks that may be on it: by job and attempt, their numbers.
    #[serde(rename = "p", skip_serializing_if = "Vec::is_empty", default)]
    pub tasks: Vec<(JobId, Attempt, Vec<u32>)>,
}

#[cfg(test)]
mod tests;

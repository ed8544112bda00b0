//! Job records and their stored form, which versions without support for dependencies read and write, too.

use crate::store::limits::StoreLimits;
use crate::units::Wall;
use rudderreel_wire::ids::{Class, Image, JobId};
use rudderreel_wire::job::{JobSpec, JobState};
use serde::{Deserialize, Serialize};

/// A job's record. The submission is dropped once the job is done, unless some of its tasks may still be on machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredJob", into = "StoredJob")]
pub struct JobRecord {
    /// State of the job: queued while it is neither done nor cancelled.
    pub state: JobState,
    /// When the job was submitted.
    pub submitted: Wall,
    /// When the job was cancelled.
    pub cancelled: Option<Wall>,
    /// The dependency whose cancellation cancelled the job, if its user did not cancel it.
    pub cancelled_by: Option<JobId>,
    /// When the job was done.
    pub finished: Option<Wall>,
    /// Number of tasks of the job, kept after the submission is dropped.
    pub tasks: u32,
    /// Whether the job's user named jobs that it depends on, also if all of those were done by then.
    pub names_dependencies: bool,
    /// The submission.
    pub spec: Option<JobSpec>,
}

/// The stored form of a job's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
enum StoredState {
    /// A state that every version can read.
    Known(JobState),
    /// The state of an unfinished job that depends on others.
    Dependent(DependentState),
}

/// The stored state of an unfinished job that depends on others. It is a state of its own so that a version without
/// support for dependencies can't read the record: it would drop the dependencies, start the job before they are done,
/// and report it as queued after they are cancelled. A job whose record it can't read is neither started by it nor
/// reported to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum DependentState {
    #[serde(rename = "dependent")]
    Queued,
}

/// The stored form of a job's record.
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
        // Records that were written before this field was added lack it.
        record.names_dependencies |= record.is_dependent();
        record
    }
}

impl JobRecord {
    /// Creates the record of a job that has just been submitted.
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

    /// Returns the record of the same job as cancelled, by its user or with the dependency `by`. If that record does
    /// not fit the limits of the store, it lacks the lists and names that only a job which may start needs.
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

    /// Creates the record of a job whose tasks are all done.
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

    /// Returns the same record with its submission, if that fits. One task of a gang may be done while others may
    /// still be on machines: a leader elected later has to know which team's limit they count against and what
    /// capacity they use.
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

    /// Returns whether the job depends on other jobs; false if the submission is not kept.
    pub fn is_dependent(&self) -> bool {
        let spec = self.spec.as_ref();
        spec.is_some_and(|spec| !spec.dependencies.is_empty())
    }

    /// Returns whether the job's state can't change any more.
    pub fn is_final(&self) -> bool {
        matches!(self.state, JobState::Done | JobState::Cancelled)
    }
}

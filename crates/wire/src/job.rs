//! The users' API: submissions, cancellations, status requests, and their answers.

use crate::ids::{Class, Image, JobId, Team, TypeName, Zone};
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::HashSet;

/// The kind of a job, which determines how its tasks run together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that all run at the same time, or none of them.
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// A job's priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Preempted before work of any other priority.
    #[serde(rename = "low")]
    Low,
    /// The default.
    #[serde(rename = "normal")]
    Normal,
    /// Scheduled before normal work.
    #[serde(rename = "urgent")]
    High,
    /// Never evicted to make room; runs only within its team's quota.
    #[serde(rename = "prod")]
    Production,
}

/// Name of the submission's field that lists its dependencies. It must not change.
pub const DEPENDENCIES: &str = "awaits";

/// A submitted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id.
    pub id: JobId,
    /// The class that service-level objectives are stated for.
    #[serde(rename = "reel")]
    pub class: Class,
    /// The team to which the job's resources are charged.
    #[serde(rename = "crew")]
    pub team: Team,
    /// The job's kind: array, gang or service.
    #[serde(rename = "rig")]
    pub kind: Kind,
    /// The job's priority.
    #[serde(rename = "precedence")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "takes")]
    pub tasks: u32,
    /// Number of CPUs that each task needs.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of GPUs that each task needs.
    pub gpus: f64,
    /// Memory that each task needs, in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// Image that a machine must have to run a task.
    #[serde(rename = "pressing")]
    pub image: Image,
    /// Size of the image, in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// Allowed machine types; `None` allows all.
    #[serde(rename = "hulls", default)]
    pub types: Option<Vec<TypeName>>,
    /// The only allowed zone; `None` allows all.
    #[serde(rename = "berth", default)]
    pub zone: Option<Zone>,
    /// Whether all tasks must be in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Whether the job may use spot instances.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The owner's estimate of a task's run time, in seconds.
    #[serde(rename = "expectedS")]
    pub estimate_s: f64,
    /// Interval of a task's checkpoints, in seconds; 0 if it takes none.
    #[serde(rename = "snapshotS")]
    pub checkpoint_s: f64,
    /// Time that a task needs for its last checkpoint when it is stopped, in seconds.
    #[serde(rename = "stowS")]
    pub save_s: f64,
    /// Time within which the job should be complete, counted from its submission, in seconds.
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this one starts, each named once.
    #[serde(
        rename = "awaits",
        default,
        deserialize_with = "distinct_ids",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<JobId>,
}

/// Deserializes a list of job ids that may be null, and drops repeated ids. The order is kept.
fn distinct_ids<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<JobId>, D::Error> {
    let mut ids = Option::<Vec<JobId>>::deserialize(deserializer)?.unwrap_or_default();
    let mut seen = HashSet::new();
    ids.retain(|id| seen.insert(id.clone()));
    Ok(ids)
}

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

impl JobSpec {
    /// Returns the name of the first field whose value is invalid, if there is one.
    pub fn invalid_field(&self) -> Option<&'static str> {
        let is_amount = |x: f64| x.is_finite() && (0.0..=1e9).contains(&x);
        let checks = [
            (self.class.as_str().is_empty(), "reel"),
            (self.team.as_str().is_empty(), "crew"),
            (!(1..=MAX_TASKS).contains(&self.tasks), "takes"),
            (!is_amount(self.cpus), "vcpus"),
            (!is_amount(self.gpus), "gpus"),
            (!is_amount(self.memory_gb), "memoryGb"),
            (self.image.as_str().is_empty(), "pressing"),
            (!is_amount(self.image_gb), "pullGb"),
            (!is_amount(self.estimate_s), "expectedS"),
            (!is_amount(self.checkpoint_s), "snapshotS"),
            (!is_amount(self.save_s), "stowS"),
            (!self.deadline_s.is_none_or(is_amount), "dueS"),
        ];
        checks
            .iter()
            .find(|(is_invalid, _)| *is_invalid)
            .map(|(_, name)| *name)
    }

    /// Returns the maximum number of tasks that may be in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }
}

/// The state of a job, as it is reported to its user.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Not done or cancelled, and no task is running.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user, or together with a dependency.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to a submission or a cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobAnswer {
    /// The job's id.
    pub id: JobId,
    /// The job's state.
    #[serde(rename = "bearing")]
    pub state: JobState,
}

/// The answer to a status request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    pub id: JobId,
    /// The job's state.
    #[serde(rename = "bearing")]
    pub state: JobState,
    /// Number of tasks that are done, for display.
    pub done: u32,
    /// Number of tasks that are running, for display.
    pub running: u32,
}

//! The users' API: submissions, cancellations, questions for a status, and their answers.

use crate::ids::{Class, Image, JobId, Team, TypeName, Zone};
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::HashSet;

/// How a job's tasks belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// All tasks run at the same time or none does.
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// A job's priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Preempted first.
    #[serde(rename = "low")]
    Low,
    /// The default.
    #[serde(rename = "normal")]
    Normal,
    /// Before normal work.
    #[serde(rename = "urgent")]
    High,
    /// Never evicted to make room; runs only within its team's quota.
    #[serde(rename = "prod")]
    Production,
}

/// The field of a submission that names its dependencies. The text is fixed.
pub const DEPENDENCIES: &str = "awaits";

/// A submitted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id.
    pub id: JobId,
    /// The class that service-level objectives are stated for.
    #[serde(rename = "reel")]
    pub class: Class,
    /// The team that it counts for.
    #[serde(rename = "crew")]
    pub team: Team,
    /// Array, gang or service.
    #[serde(rename = "rig")]
    pub kind: Kind,
    /// Its priority.
    #[serde(rename = "precedence")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "takes")]
    pub tasks: u32,
    /// CPUs of each task.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs of each task.
    pub gpus: f64,
    /// Memory of each task.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// Image that a machine must have.
    #[serde(rename = "pressing")]
    pub image: Image,
    /// The image's size.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// Allowed machine types, or any.
    #[serde(rename = "hulls", default)]
    pub types: Option<Vec<TypeName>>,
    /// The only allowed zone, or any.
    #[serde(rename = "berth", default)]
    pub zone: Option<Zone>,
    /// All tasks must be in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "expectedS")]
    pub estimate_s: f64,
    /// Interval of checkpoints; 0 if the task takes none.
    #[serde(rename = "snapshotS")]
    pub checkpoint_s: f64,
    /// Time a task needs for its last checkpoint when it is stopped.
    #[serde(rename = "stowS")]
    pub save_s: f64,
    /// When the job should be complete, from its submission.
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

/// Reads a list of job ids that may be null, and drops repeated ids. The order is kept.
fn distinct_ids<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<JobId>, D::Error> {
    let mut ids = Option::<Vec<JobId>>::deserialize(deserializer)?.unwrap_or_default();
    let mut seen = HashSet::new();
    ids.retain(|id| seen.insert(id.clone()));
    Ok(ids)
}

/// The largest number of tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;

impl JobSpec {
    /// Names the first field whose value cannot be right.
    pub fn invalid_field(&self) -> Option<&'static str> {
        let amount = |x: f64| x.is_finite() && (0.0..=1e9).contains(&x);
        let checks = [
            (self.class.as_str().is_empty(), "reel"),
            (self.team.as_str().is_empty(), "crew"),
            (!(1..=MAX_TASKS).contains(&self.tasks), "takes"),
            (!amount(self.cpus), "vcpus"),
            (!amount(self.gpus), "gpus"),
            (!amount(self.memory_gb), "memoryGb"),
            (self.image.as_str().is_empty(), "pressing"),
            (!amount(self.image_gb), "pullGb"),
            (!amount(self.estimate_s), "expectedS"),
            (!amount(self.checkpoint_s), "snapshotS"),
            (!amount(self.save_s), "stowS"),
            (!self.deadline_s.is_none_or(amount), "dueS"),
        ];
        checks.iter().find(|(bad, _)| *bad).map(|(_, name)| *name)
    }

    /// The most tasks that may be in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }
}

/// The state of a job as its user is told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task runs.
    #[serde(rename = "pending")]
    Queued,
    /// Some task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user, or with a dependency.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Answer to a submission or a cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobAnswer {
    /// The job.
    pub id: JobId,
    /// Its state.
    #[serde(rename = "bearing")]
    pub state: JobState,
}

/// Answer to a status request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub id: JobId,
    /// Its state.
    #[serde(rename = "bearing")]
    pub state: JobState,
    /// Tasks that are done, for display.
    pub done: u32,
    /// Tasks that run, for display.
    pub running: u32,
}

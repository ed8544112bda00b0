//! The view of one job: its state, its placements, and the reason why its next task is not started.

use crate::api::admin::wait_reason::WaitReason;
use crate::api::admin::MAX_LISTED;
use crate::api::refusal::Refusal;
use crate::cache::job_cache::JobCache;
use crate::fleet::{Phase, PlacedTask};
use crate::jobs::job::{Job, JobStage};
use crate::leader::Leader;
use crate::units::Now;
use rudderreel_wire::ids::{Attempt, JobId, MachineId, Team};
use rudderreel_wire::job::{JobState, Priority};
use serde::Serialize;

/// A job as shown to administrators.
#[derive(Serialize)]
#[serde(untagged)]
pub enum JobView<'a> {
    /// The job is not final, or some of its tasks may still be on machines.
    Unfinished(Box<UnfinishedJob<'a>>),
    /// The job is final, and the leader keeps nothing of it but its record.
    Final(FinalJob<'a>),
}

/// A job that the leader still schedules, or whose tasks it still tracks.
#[derive(Serialize)]
pub struct UnfinishedJob<'a> {
    id: &'a JobId,
    team: &'a Team,
    /// Whether the job is cancelled or done, and only the end of its remaining tasks is awaited.
    #[serde(rename = "cancelled")]
    is_ending: bool,
    /// Dependencies that are not done, [`MAX_LISTED`] at most, and their total number.
    waits_for: Vec<&'a JobId>,
    #[serde(rename = "waits_for_of")]
    waits_for_total: usize,
    /// Jobs that depend on this one, [`MAX_LISTED`] at most, and their total number.
    needed_by: Vec<&'a JobId>,
    #[serde(rename = "needed_by_of")]
    needed_by_total: usize,
    /// The job's own priority, or a higher inherited one.
    priority: Priority,
    finish_by_ms: Option<u64>,
    /// Number of tasks that are done, and the total number of tasks.
    done: u32,
    #[serde(rename = "of")]
    total: u32,
    /// Number of unplaced tasks that may be started.
    to_start: u32,
    /// Why the next task is not started.
    #[serde(rename = "why")]
    reason: WaitReason,
    /// Placements of the job's tasks, [`MAX_LISTED`] at most, and their total number.
    tasks: Vec<TaskView<'a>>,
    tasks_of: u32,
}

/// A placement of a task.
#[derive(Serialize)]
struct TaskView<'a> {
    #[serde(rename = "task")]
    index: u32,
    machine: &'a MachineId,
    attempt: Attempt,
    /// The phase of the task; none if the machine is not known to have it.
    phase: Option<String>,
    /// Why the task is being stopped, if it is.
    #[serde(rename = "stopping")]
    stop_reason: Option<String>,
}

/// A final job of which only the record is left.
#[derive(Serialize)]
pub struct FinalJob<'a> {
    id: &'a JobId,
    state: JobState,
    /// The cancelled dependency that led to the cancellation of this job, if there is one.
    #[serde(rename = "cancelled_with")]
    cancelled_by: Option<&'a JobId>,
}

impl<'a> JobView<'a> {
    /// Returns the leader's view of a job. Refuses the request if there is no such job.
    pub fn of(
        id: &'a JobId,
        leader: &'a Leader,
        cache: &'a JobCache,
        now: Now,
    ) -> Result<Self, Refusal> {
        if let Some(job) = leader.jobs.get(id) {
            let view = UnfinishedJob::of(id, job, leader, cache, now);
            return Ok(Self::Unfinished(Box::new(view)));
        }
        let known = cache.job(id).ok_or(Refusal::NoSuchJob)?;
        Ok(Self::Final(FinalJob {
            id,
            state: known.record.state,
            cancelled_by: known.record.cancelled_by.as_ref(),
        }))
    }
}

impl<'a> UnfinishedJob<'a> {
    fn of(id: &'a JobId, job: &'a Job, leader: &'a Leader, cache: &'a JobCache, now: Now) -> Self {
        Self {
            id,
            team: &job.spec.team,
            is_ending: job.stage != JobStage::Active,
            waits_for: job.unmet_dependencies.iter().take(MAX_LISTED).collect(),
            waits_for_total: job.unmet_dependencies.len(),
            needed_by: cache.graph().dependents_of(id).take(MAX_LISTED).collect(),
            needed_by_total: cache.graph().dependents_of(id).count(),
            priority: job.urgency.priority,
            finish_by_ms: job.urgency.deadline.map(|deadline| deadline.0),
            done: job.done.len(),
            total: job.spec.tasks,
            to_start: job.startable_tasks(),
            reason: WaitReason::of(job, leader, now),
            tasks: task_views(job, leader),
            tasks_of: job.placement_count(),
        }
    }
}

fn task_views<'a>(job: &'a Job, leader: &'a Leader) -> Vec<TaskView<'a>> {
    let placements = (job.placements.iter())
        .flat_map(|(index, places)| places.iter().map(move |place| (*index, place)));
    (placements.take(MAX_LISTED))
        .map(|(index, (machine, attempt))| {
            let placed = placed_task(leader, machine, index, *attempt);
            let stop = placed.and_then(|task| task.stop);
            TaskView {
                index,
                machine,
                attempt: *attempt,
                phase: placed.map(|task| phase_text(task.phase)),
                stop_reason: stop.map(|stop| stop.reason.to_string()),
            }
        })
        .collect()
}

fn placed_task<'a>(
    leader: &'a Leader,
    machine: &MachineId,
    index: u32,
    attempt: Attempt,
) -> Option<&'a PlacedTask> {
    let mut tasks = leader.fleet.machines.get(machine)?.tasks.iter();
    tasks.find(|task| task.attempt == attempt && task.task.index == index)
}

/// Returns the text that shows a task's phase to administrators. The texts are part of the documented API.
fn phase_text(phase: Phase) -> String {
    match phase {
        Phase::Planned => "to be started".into(),
        Phase::Sent => "start sent".into(),
        Phase::On(state) => format!("{state:?}").to_lowercase(),
        Phase::Exited(cause) => format!("exited: {cause:?}").to_lowercase(),
    }
}

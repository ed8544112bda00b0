//! Explains to administrators why a job is where it is.

use crate::api::admin::views::{phase, MOST_LISTED};
use crate::jobs::job::{Job, JobStage};
use crate::leader::Leader;
use crate::node::Node;
use crate::scheduling::snapshot::Snapshot;
use crate::teams::team_tree::amounts;
use crate::units::Now;
use rudderreel_wire::ids::JobId;
use serde_json::{json, Value};

/// What keeps a job's next task from starting.
fn why_waiting(leader: &Leader, job: &Job, now: Now) -> &'static str {
    if !job.is_active() {
        return "it was cancelled";
    }
    if !job.is_ready() {
        return "it waits for jobs that it depends on";
    }
    if job.is_suspected() {
        return "it fails wherever it is tried, perhaps for a mistake; it is tried now and then";
    }
    if job.startable_tasks() == 0 {
        return "all its tasks are placed or done";
    }
    if job.retry_at > now.time {
        return "its tasks failed, and it waits a little before the next try";
    }
    let snapshot = Snapshot::take(leader, now);
    if !snapshot.within_limits(leader, job, &amounts(&job.need)) {
        return if job.is_preemptible() {
            "its team's limit is used up"
        } else {
            "its team's quota is used up, and work at priority 100 or above can't borrow"
        };
    }
    if crate::scheduling::actions::has_room(leader, &snapshot, job) {
        "it is placed in the next cycle"
    } else if leader.scale_out.open.is_empty() && !leader.is_booting() {
        "no machine has room for it, and none could be rented"
    } else {
        "no machine has room for it; machines are being rented or boot"
    }
}

impl Node {
    /// Why a job is where it is.
    pub(super) fn explain(&self, leader: &Leader, id: &JobId, now: Now) -> (u16, Value) {
        let Some(job) = leader.jobs.get(id) else {
            return match self.job_cache.job(id) {
                Some(known) => (
                    200,
                    json!({
                        "id": id, "state": known.record.state,
                        "cancelled_with": known.record.cancelled_by,
                    }),
                ),
                None => (404, json!({ "error": "no such job" })),
            };
        };
        let tasks: Vec<Value> = (job.placements.iter())
            .flat_map(|(index, places)| places.iter().map(move |p| (index, p)))
            .take(MOST_LISTED)
            .map(|(index, (machine, attempt))| {
                let entry = (leader.fleet.machines.get(machine)).and_then(|m| {
                    m.tasks
                        .iter()
                        .find(|e| e.attempt == *attempt && e.task.index == *index)
                });
                json!({
                    "task": index, "machine": machine, "attempt": attempt,
                    "phase": entry.map(|e| phase(e.phase)),
                    "stopping": entry.and_then(|e| e.stop).map(|s| s.why),
                })
            })
            .collect();
        let body = json!({
            "id": id,
            "team": job.spec.team,
            "cancelled": job.stage != JobStage::Active,
            "waits_for": job.unmet_dependencies.iter().take(MOST_LISTED).collect::<Vec<_>>(),
            "waits_for_of": job.unmet_dependencies.len(),
            "needed_by": (self.job_cache.graph().dependents_of(id))
                .take(MOST_LISTED)
                .collect::<Vec<_>>(),
            "needed_by_of": self.job_cache.graph().dependents_of(id).count(),
            "priority": job.urgency.priority,
            "finish_by_ms": job.urgency.deadline.map(|wall| wall.0),
            "done": job.done.len(),
            "of": job.spec.tasks,
            "to_start": job.startable_tasks(),
            "why": why_waiting(leader, job, now),
            "tasks": tasks,
            "tasks_of": job.placement_count(),
        });
        (200, body)
    }
}

//! What the leader shows administrators: why a job is where it is, who uses what, and the machines.
//!
//! Lists are answered in pages or cut, and always say how many there are in all.

use crate::fleet::machine::{Machine, Phase};
use crate::jobs::job::{Job, Stage};
use crate::leader::Leader;
use crate::node::Node;
use crate::scheduling::snapshot::Snapshot;
use crate::teams::team_tree::amounts;
use crate::units::Now;
use rudderreel_wire::ids::{JobId, MachineId};
use serde_json::{json, Value};

/// Entries of a list in one answer.
pub(super) const MOST_LISTED: usize = 200;

impl Node {
    /// Why a job is where it is.
    pub(super) fn explain(&self, leader: &Leader, id: &JobId, now: Now) -> (u16, Value) {
        let Some(job) = leader.jobs.get(id) else {
            return match self.job_cache.jobs.get(id) {
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
        let tasks: Vec<Value> = (job.places.iter())
            .flat_map(|(index, places)| places.iter().map(move |p| (index, p)))
            .take(MOST_LISTED)
            .map(|(index, (machine, attempt))| {
                let entry = (leader.fleet.machines.get(machine)).and_then(|m| {
                    m.entries
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
            "cancelled": job.stage != Stage::Active,
            "waits_for": job.unmet.iter().take(MOST_LISTED).collect::<Vec<_>>(),
            "waits_for_of": job.unmet.len(),
            "needed_by": (self.job_cache.graph.dependents_of(id))
                .take(MOST_LISTED)
                .collect::<Vec<_>>(),
            "needed_by_of": self.job_cache.graph.dependents_of(id).count(),
            "priority": job.goal.priority,
            "finish_by_ms": job.goal.finish_by.map(|wall| wall.0),
            "done": job.done.len(),
            "of": job.spec.tasks,
            "to_start": job.free_tasks(),
            "why": why_waiting(leader, job, now),
            "tasks": tasks,
            "tasks_of": job.placed(),
        });
        (200, body)
    }
}

fn phase(phase: Phase) -> String {
    match phase {
        Phase::Planned => "to be started".into(),
        Phase::Sent => "start sent".into(),
        Phase::On(state) => format!("{state:?}").to_lowercase(),
        Phase::Exited(why) => format!("exited: {why:?}").to_lowercase(),
    }
}

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
    if job.free_tasks() == 0 {
        return "all its tasks are placed or done";
    }
    if job.not_before > now.time {
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
    } else if leader.rentals.open.is_empty() && !leader.is_booting() {
        "no machine has room for it, and none could be rented"
    } else {
        "no machine has room for it; machines are being rented or boot"
    }
}

/// Who uses what, against quota, limit and share.
pub(super) fn teams(leader: &Leader, now: Now) -> Value {
    let snapshot = Snapshot::take(leader, now);
    let finite = |x: f64| x.is_finite().then_some(x);
    let rows: Vec<Value> = (leader.policy.teams.nodes.iter().enumerate().skip(1))
        .map(|(i, team)| {
            json!({
                "team": team.name,
                "parent": team.parent.map(|p| &leader.policy.teams.nodes[p].name),
                "priority": team.priority,
                "weight": team.weight,
                "cpus": {"used": snapshot.used[i][0], "of_share": snapshot.counted[i][0], "share": snapshot.share[i][0],
                    "quota": finite(team.quota[0]), "limit": finite(team.limit[0])},
                "gpus": {"used": snapshot.used[i][1], "of_share": snapshot.counted[i][1], "share": snapshot.share[i][1],
                    "quota": finite(team.quota[1]), "limit": finite(team.limit[1])},
                "saturation": finite(snapshot.saturation(i)),
            })
        })
        .collect();
    json!({ "teams": rows })
}

/// Machines after a name, as many as a page holds, and what all of them cost.
pub(super) fn machines(leader: &Leader, after: Option<&MachineId>, now: Now) -> Value {
    let later = |m: &&Machine| after.is_none_or(|after| m.id > *after);
    let mut left = leader.fleet.machines.values().filter(later);
    let listed: Vec<&Machine> = left.by_ref().take(MOST_LISTED).collect();
    let next_after = left.next().and(listed.last()).map(|m| &m.id);
    let rows: Vec<Value> = listed.iter().map(|m| machine(leader, m, now)).collect();
    let per_hour: f64 = (leader.fleet.machines.values())
        .filter_map(|m| price_of(leader, m))
        .sum();
    json!({
        "machines": rows,
        "of": leader.fleet.machines.len(),
        "next_after": next_after,
        "price_per_hour": per_hour,
    })
}

/// What a machine costs an hour, if its type is known.
fn price_of(leader: &Leader, machine: &Machine) -> Option<f64> {
    let machine_type = leader.policy.machine_type(&machine.machine_type)?;
    if machine.spot {
        machine_type.spot_price
    } else {
        Some(machine_type.price)
    }
}

fn machine(leader: &Leader, m: &Machine, now: Now) -> Value {
    let free = m.free();
    json!({
        "machine": m.id, "type": m.machine_type, "zone": m.zone, "spot": m.spot,
        "age_s": Leader::age(m, now.wall).as_secs(),
        "silent_s": m.last_heard.map(|t| (now.time - t).as_secs()),
        "tasks": m.entries.iter().filter(|e| e.holds_room()).count(),
        "free_cpus": free.cpus as f64 / 1000.0,
        "free_gpus": free.gpus as f64 / 1000.0,
        "going": m.retire, "price_per_hour": price_of(leader, m),
        "failed_jobs": m.blamed.iter().map(|(j, _)| j).collect::<Vec<_>>(),
        "quarantined_s": (m.quarantine - now.time).as_secs(),
    })
}

#[cfg(test)]
mod tests;

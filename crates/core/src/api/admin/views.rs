//! What the leader shows administrators: why a job is where it is, who uses what, and the machines.
//!
//! Lists are answered in pages or cut, and always say how many there are in all.

use crate::fleet::{Machine, Phase};
use crate::leader::Leader;
use crate::scheduling::snapshot::Snapshot;
use crate::units::Now;
use rudderreel_wire::ids::MachineId;
use serde_json::{json, Value};

/// Entries of a list in one answer.
pub(crate) const MOST_LISTED: usize = 200;

pub(crate) fn phase(phase: Phase) -> String {
    match phase {
        Phase::Planned => "to be started".into(),
        Phase::Sent => "start sent".into(),
        Phase::On(state) => format!("{state:?}").to_lowercase(),
        Phase::Exited(why) => format!("exited: {why:?}").to_lowercase(),
    }
}

/// Who uses what, against quota, limit and share.
pub(crate) fn teams(leader: &Leader, now: Now) -> Value {
    let snapshot = Snapshot::take(leader, now);
    let finite = |x: f64| x.is_finite().then_some(x);
    let rows: Vec<Value> = (leader.policy.teams.nodes.iter().enumerate().skip(1))
        .map(|(i, team)| {
            let usage = snapshot.team_usage(i);
            json!({
                "team": team.name,
                "parent": team.parent.map(|p| &leader.policy.teams.nodes[p].name),
                "priority": team.priority,
                "weight": team.weight,
                "cpus": {"used": usage.used[0], "of_share": usage.counted[0], "share": usage.fair_share[0],
                    "quota": finite(team.quota[0]), "limit": finite(team.limit[0])},
                "gpus": {"used": usage.used[1], "of_share": usage.counted[1], "share": usage.fair_share[1],
                    "quota": finite(team.quota[1]), "limit": finite(team.limit[1])},
                "saturation": finite(snapshot.saturation(i)),
            })
        })
        .collect();
    json!({ "teams": rows })
}

/// Machines after a name, as many as a page holds, and what all of them cost.
pub(crate) fn machines(leader: &Leader, after: Option<&MachineId>, now: Now) -> Value {
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
    if machine.is_spot {
        machine_type.spot_price
    } else {
        Some(machine_type.price)
    }
}

pub(crate) fn machine(leader: &Leader, m: &Machine, now: Now) -> Value {
    let free = m.free();
    json!({
        "machine": m.id, "type": m.machine_type, "zone": m.zone, "spot": m.is_spot,
        "age_s": Leader::age(m, now.wall).as_secs(),
        "silent_s": m.last_heard_at.map(|t| (now.time - t).as_secs()),
        "tasks": m.tasks.iter().filter(|e| e.occupies_capacity()).count(),
        "free_cpus": free.cpus as f64 / 1000.0,
        "free_gpus": free.gpus as f64 / 1000.0,
        "going": m.retire_reason, "price_per_hour": price_of(leader, m),
        "failed_jobs": m.failed_jobs.iter().map(|f| &f.job).collect::<Vec<_>>(),
        "quarantined_s": (m.quarantined_until - now.time).as_secs(),
    })
}

#[cfg(test)]
mod tests;

//! The machines, and what they cost.

use crate::api::admin::MAX_LISTED;
use crate::fleet::{Machine, PlacedTask};
use crate::leader::Leader;
use crate::units::Now;
use rudderreel_wire::ids::{JobId, MachineId, TypeName, Zone};
use serde::Serialize;

/// Thousandths in one CPU or GPU.
const MILLI: f64 = 1_000.0;

/// A page of the list of machines, and what all machines cost.
#[derive(Serialize)]
pub struct MachinesPage<'a> {
    machines: Vec<MachineView<'a>>,
    /// How many there are in all.
    #[serde(rename = "of")]
    total: usize,
    /// By what the next page is asked for, if there is one.
    next_after: Option<&'a MachineId>,
    /// What all machines cost.
    price_per_hour: f64,
}

/// A machine.
#[derive(Serialize)]
struct MachineView<'a> {
    machine: &'a MachineId,
    #[serde(rename = "type")]
    machine_type: &'a TypeName,
    zone: &'a Zone,
    #[serde(rename = "spot")]
    is_spot: bool,
    age_s: f64,
    /// How long it has not been heard of; none before its first status report.
    silent_s: Option<f64>,
    /// Tasks that occupy room.
    tasks: usize,
    free_cpus: f64,
    free_gpus: f64,
    /// Why it is being retired, if it is.
    #[serde(rename = "going")]
    retire_reason: Option<String>,
    /// None if its type is not known.
    price_per_hour: Option<f64>,
    /// Jobs whose tasks failed on it lately.
    failed_jobs: Vec<&'a JobId>,
    quarantined_s: f64,
}

impl<'a> MachinesPage<'a> {
    /// Machines after a name, as many as a page holds.
    pub fn of(leader: &'a Leader, after: Option<&MachineId>, now: Now) -> Self {
        let is_later = |machine: &&Machine| after.is_none_or(|after| machine.id > *after);
        let mut rest = leader.fleet.machines.values().filter(is_later);
        let listed: Vec<&Machine> = rest.by_ref().take(MAX_LISTED).collect();
        let has_more = rest.next().is_some();
        let last = listed.last().filter(|_| has_more);
        let all = leader.fleet.machines.values();
        Self {
            next_after: last.map(|machine| &machine.id),
            total: leader.fleet.machines.len(),
            price_per_hour: all
                .filter_map(|machine| price_per_hour(leader, machine))
                .sum(),
            machines: (listed.into_iter())
                .map(|machine| MachineView::of(leader, machine, now))
                .collect(),
        }
    }
}

impl<'a> MachineView<'a> {
    fn of(leader: &Leader, machine: &'a Machine, now: Now) -> Self {
        let free = machine.free();
        let occupying = |task: &&_| PlacedTask::occupies_capacity(task);
        Self {
            machine: &machine.id,
            machine_type: &machine.machine_type,
            zone: &machine.zone,
            is_spot: machine.is_spot,
            age_s: Leader::machine_age(machine, now.wall).as_secs(),
            silent_s: (machine.last_heard_at).map(|heard| (now.time - heard).as_secs()),
            tasks: machine.tasks.iter().filter(occupying).count(),
            free_cpus: free.cpus as f64 / MILLI,
            free_gpus: free.gpus as f64 / MILLI,
            retire_reason: machine.retire_reason.map(|reason| reason.to_string()),
            price_per_hour: price_per_hour(leader, machine),
            failed_jobs: (machine.failed_jobs.iter())
                .map(|failure| &failure.job)
                .collect(),
            quarantined_s: (machine.quarantined_until - now.time).as_secs(),
        }
    }
}

/// What a machine costs an hour, if its type is known.
fn price_per_hour(leader: &Leader, machine: &Machine) -> Option<f64> {
    let machine_type = leader.policy.machine_type(&machine.machine_type)?;
    if machine.is_spot {
        machine_type.spot_price
    } else {
        Some(machine_type.price)
    }
}

#[cfg(test)]
mod tests;

//! The list of machines with their load and their price.

use crate::api::admin::MAX_LISTED;
use crate::fleet::{Machine, PlacedTask};
use crate::leader::Leader;
use crate::units::Now;
use rudderreel_wire::ids::{JobId, MachineId, TypeName, Zone};
use serde::Serialize;

/// Thousandths, in which amounts are counted, of one CPU or GPU.
const THOUSANDTHS_PER_UNIT: f64 = 1_000.0;

/// A page of the list of machines, and the total price of all machines.
#[derive(Serialize)]
pub struct MachinesPage<'a> {
    machines: Vec<MachineView<'a>>,
    /// Total number of machines.
    #[serde(rename = "of")]
    total: usize,
    /// The value of `after` that requests the next page; none on the last page.
    next_after: Option<&'a MachineId>,
    /// Total price of all machines whose price is known.
    price_per_hour: f64,
}

/// A machine as shown to administrators.
#[derive(Serialize)]
struct MachineView<'a> {
    machine: &'a MachineId,
    #[serde(rename = "type")]
    machine_type: &'a TypeName,
    zone: &'a Zone,
    #[serde(rename = "spot")]
    is_spot: bool,
    age_s: f64,
    /// Seconds since the machine's agent was last heard from; none before its first status report.
    silent_s: Option<f64>,
    /// Number of tasks that occupy capacity.
    tasks: usize,
    free_cpus: f64,
    free_gpus: f64,
    /// Why the machine is being retired, if it is.
    #[serde(rename = "going")]
    retire_reason: Option<String>,
    /// The machine's price; none if its type is not known, or a spot machine's type has no spot price.
    price_per_hour: Option<f64>,
    /// Jobs whose tasks failed on the machine recently.
    failed_jobs: Vec<&'a JobId>,
    /// Seconds until the quarantine of the machine ends; 0 if it is not in quarantine.
    quarantined_s: f64,
}

impl<'a> MachinesPage<'a> {
    /// Returns the page that begins after a machine id, or the first page.
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
            free_cpus: free.cpus as f64 / THOUSANDTHS_PER_UNIT,
            free_gpus: free.gpus as f64 / THOUSANDTHS_PER_UNIT,
            retire_reason: machine.retire_reason.map(|reason| reason.to_string()),
            price_per_hour: price_per_hour(leader, machine),
            failed_jobs: (machine.failed_jobs.iter())
                .map(|failure| &failure.job)
                .collect(),
            quarantined_s: (machine.quarantined_until - now.time).as_secs(),
        }
    }
}

/// Returns the price of a machine per hour; none if its type is not known, or a spot machine's type has no spot price.
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

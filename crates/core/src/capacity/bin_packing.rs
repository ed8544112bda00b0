//! Packing tasks into machines. Like tasks are packed as a class, and machines that are alike are one bin.

use crate::cloud::scale_out_requests::InstanceOffer;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::actions::{satisfies_node_affinity, should_avoid_gpus};
use crate::scheduling::snapshot::CandidateMachine;
use crate::units::Resources;
use rudderreel_wire::ids::Zone;
use rudderreel_wire::job::Kind;
use std::collections::BTreeMap;

/// One in so many of the machines that are coming is counted on for work that can't wait: half of them take longer to
/// boot than the usual, and some never come up.
const DEPENDABLE_PART: i64 = 2;

/// How many of a job's tasks are, or are planned, in each zone.
#[derive(Default)]
pub(super) struct TasksByZone(BTreeMap<Zone, u32>);

impl TasksByZone {
    /// Tasks in a zone.
    pub(super) fn in_zone(&self, zone: &Zone) -> u32 {
        self.0.get(zone).copied().unwrap_or(0)
    }

    /// Adds tasks in a zone.
    pub(super) fn add(&mut self, zone: &Zone, tasks: u32) {
        *self.0.entry(zone.clone()).or_default() += tasks;
    }
}

/// Machines that are alike, with the same room left on each.
pub(super) struct Bin {
    offer: InstanceOffer,
    has_gpus: bool,
    /// What is left on each.
    free: Resources,
    /// What is left on each for work that can't wait.
    dependable: Resources,
    machines: u32,
}

impl Bin {
    /// Machines of an offer that are coming, or are to be requested.
    pub(super) fn coming(leader: &Leader, offer: InstanceOffer, machines: u32) -> Self {
        let capacity = leader.policy.capacity_of(&offer.machine_type);
        Self {
            has_gpus: capacity.gpus > 0,
            dependable: Resources {
                cpus: capacity.cpus / DEPENDABLE_PART,
                gpus: capacity.gpus,
                memory: capacity.memory / DEPENDABLE_PART,
            },
            free: capacity,
            offer,
            machines,
        }
    }

    /// A machine that is up, with what is free on it.
    pub(super) fn up(candidate: &CandidateMachine) -> Self {
        Self {
            offer: InstanceOffer {
                machine_type: candidate.machine_type.clone(),
                zone: candidate.zone.clone(),
                spot: candidate.is_spot,
            },
            has_gpus: candidate.capacity.gpus > 0,
            free: candidate.free,
            dependable: candidate.free,
            machines: 1,
        }
    }

    /// How many tasks of a job one of the machines takes.
    pub(super) fn tasks_per_machine(&self, job: &Job) -> u32 {
        let tasks = self.free.fit_count(&job.need);
        if job.is_preemptible() {
            return tasks;
        }
        // A task that takes most of a machine has it all the same.
        let is_empty = self.dependable.cpus == self.free.cpus / DEPENDABLE_PART;
        let at_least = u32::from(tasks > 0 && is_empty);
        tasks.min(self.dependable.fit_count(&job.need).max(at_least))
    }

    /// Whether a job may use machines of this kind.
    fn is_allowed(&self, job: &Job) -> bool {
        let offer = &self.offer;
        satisfies_node_affinity(&job.spec, &offer.machine_type, &offer.zone, offer.spot)
    }

    /// Whether work that could run without GPUs would hold them back.
    fn would_waste_gpus(&self, job: &Job) -> bool {
        self.free.gpus > 0 || (job.spec.kind == Kind::Service && self.has_gpus)
    }

    /// Takes machines out, with so many tasks of a job on each.
    fn split_off(&mut self, job: &Job, machines: u32, tasks_on_each: u32) -> Self {
        self.machines -= machines;
        Self {
            offer: self.offer.clone(),
            has_gpus: self.has_gpus,
            free: self.free - job.need.times(tasks_on_each),
            dependable: self.dependable - job.need.times(tasks_on_each),
            machines,
        }
    }
}

/// Bins in the order in which they are filled.
pub(super) struct Bins(Vec<Bin>);

impl FromIterator<Bin> for Bins {
    fn from_iter<I: IntoIterator<Item = Bin>>(bins: I) -> Self {
        Self(bins.into_iter().collect())
    }
}

impl Bins {
    /// Adds a bin, which is filled last.
    pub(super) fn push(&mut self, bin: Bin) {
        self.0.push(bin);
    }

    /// Machines in a zone.
    pub(super) fn machines_in(&self, zone: &Zone) -> u32 {
        (self.0.iter().filter(|bin| bin.offer.zone == *zone))
            .map(|bin| bin.machines)
            .sum()
    }

    /// Tasks of a job that fit into the bins of a zone.
    pub(super) fn room_in(&self, job: &Job, zone: &Zone) -> u32 {
        (self.0.iter())
            .filter(|bin| bin.offer.zone == *zone && bin.is_allowed(job))
            .map(|bin| bin.tasks_per_machine(job).saturating_mul(bin.machines))
            .fold(0, u32::saturating_add)
    }

    /// Packs at most so many tasks of a job into bins, of one zone only if that is given; returns how many.
    pub(super) fn pack(
        &mut self,
        leader: &Leader,
        job: &Job,
        most: u32,
        zones: &mut TasksByZone,
        only_zone: Option<&Zone>,
    ) -> u32 {
        let avoids_gpus = should_avoid_gpus(leader, job);
        let mut left = most;
        let mut partly_filled = Vec::new();
        for bin in &mut self.0 {
            let zone = &bin.offer.zone;
            let zone_room = job.spec.zone_cap().saturating_sub(zones.in_zone(zone));
            let tasks_per_machine = bin.tasks_per_machine(job);
            let room = left
                .min(zone_room)
                .min(tasks_per_machine.saturating_mul(bin.machines));
            let is_usable = room > 0
                && only_zone.is_none_or(|only| only == zone)
                && bin.is_allowed(job)
                && !(avoids_gpus && bin.would_waste_gpus(job));
            if !is_usable {
                continue;
            }
            zones.add(zone, room);
            left -= room;
            let (full, rest) = (room / tasks_per_machine, room % tasks_per_machine);
            if full > 0 {
                partly_filled.push(bin.split_off(job, full, tasks_per_machine));
            }
            if rest > 0 {
                partly_filled.push(bin.split_off(job, 1, rest));
            }
        }
        self.0.retain(|bin| bin.machines > 0);
        self.0.extend(partly_filled);
        most - left
    }
}

#[cfg(test)]
mod tests;

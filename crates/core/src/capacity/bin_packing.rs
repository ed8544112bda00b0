//! Packs tasks into machines. The tasks of a job are identical and packed by number; identical machines form one bin.

use crate::cloud::scale_out_requests::InstanceOffer;
use crate::jobs::job::Job;
use crate::jobs::node_affinity::satisfies_node_affinity;
use crate::leader::Leader;
use crate::scheduling::snapshot::CandidateMachine;
use crate::units::Resources;
use rudderreel_wire::ids::Zone;
use rudderreel_wire::job::Kind;
use std::collections::BTreeMap;

/// Non-preemptible work counts on the CPUs and memory of an upcoming machine divided by this: half of these machines
/// take longer to boot than usual, and some never come up.
const NON_PREEMPTIBLE_DIVISOR: i64 = 2;

/// Whether a job stays off new machines because of their GPUs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GpuPreference {
    /// The job could run without GPUs, and stays off machines with free GPUs.
    Avoid,
    /// The job may use any machine.
    Any,
}

/// Number of a job's tasks that are, or are planned, in each zone.
#[derive(Default)]
pub(super) struct TasksByZone(BTreeMap<Zone, u32>);

impl TasksByZone {
    /// Returns the number of tasks in a zone.
    pub(super) fn in_zone(&self, zone: &Zone) -> u32 {
        self.0.get(zone).copied().unwrap_or(0)
    }

    /// Adds tasks to a zone.
    pub(super) fn add(&mut self, zone: &Zone, tasks: u32) {
        *self.0.entry(zone.clone()).or_default() += tasks;
    }
}

/// Identical machines with the same resources free on each.
pub(super) struct Bin {
    offer: InstanceOffer,
    has_gpus: bool,
    /// Resources free on each machine.
    free: Resources,
    /// Resources free on each machine for non-preemptible work.
    non_preemptible_free: Resources,
    /// Number of machines.
    machines: u32,
}

impl Bin {
    /// Creates a bin of machines of an offer that are upcoming or to be requested.
    pub(super) fn upcoming(leader: &Leader, offer: InstanceOffer, machines: u32) -> Self {
        let capacity = leader.policy.capacity_of(&offer.machine_type);
        Self {
            has_gpus: capacity.gpus > 0,
            non_preemptible_free: Resources {
                cpus: capacity.cpus / NON_PREEMPTIBLE_DIVISOR,
                gpus: capacity.gpus,
                memory: capacity.memory / NON_PREEMPTIBLE_DIVISOR,
            },
            free: capacity,
            offer,
            machines,
        }
    }

    /// Creates a bin of one candidate machine, with its free resources.
    pub(super) fn from_candidate(candidate: &CandidateMachine) -> Self {
        Self {
            offer: InstanceOffer {
                machine_type: candidate.machine_type.clone(),
                zone: candidate.zone.clone(),
                spot: candidate.is_spot,
            },
            has_gpus: candidate.capacity.gpus > 0,
            free: candidate.free,
            non_preemptible_free: candidate.free,
            machines: 1,
        }
    }

    /// Returns how many tasks of a job fit on each machine.
    pub(super) fn tasks_per_machine(&self, job: &Job) -> u32 {
        let tasks = self.free.fit_count(&job.need);
        if job.is_preemptible() {
            return tasks;
        }
        // An empty machine takes one task even if that needs more than the reduced resources.
        let is_empty = self.non_preemptible_free.cpus == self.free.cpus / NON_PREEMPTIBLE_DIVISOR;
        let at_least = u32::from(tasks > 0 && is_empty);
        tasks.min(self.non_preemptible_free.fit_count(&job.need).max(at_least))
    }

    /// Returns whether the job's node affinity allows these machines.
    fn is_allowed(&self, job: &Job) -> bool {
        let offer = &self.offer;
        satisfies_node_affinity(&job.spec, &offer.machine_type, &offer.zone, offer.spot)
    }

    /// Returns whether tasks of a job may be planned on these machines.
    fn is_usable(&self, job: &Job, gpus: GpuPreference) -> bool {
        self.is_allowed(job) && !(gpus == GpuPreference::Avoid && self.would_waste_gpus(job))
    }

    /// Returns whether a job that could run without GPUs would block GPUs of these machines: free GPUs, or any GPUs if
    /// the job is a service.
    fn would_waste_gpus(&self, job: &Job) -> bool {
        self.free.gpus > 0 || (job.spec.kind == Kind::Service && self.has_gpus)
    }

    /// Splits machines off into a new bin, with `tasks_per_machine` tasks of a job planned on each.
    fn split_off(&mut self, job: &Job, machines: u32, tasks_per_machine: u32) -> Self {
        self.machines -= machines;
        Self {
            offer: self.offer.clone(),
            has_gpus: self.has_gpus,
            free: self.free - job.need.times(tasks_per_machine),
            non_preemptible_free: self.non_preemptible_free - job.need.times(tasks_per_machine),
            machines,
        }
    }
}

/// Bins, in the order in which they are filled.
pub(super) struct Bins(Vec<Bin>);

impl FromIterator<Bin> for Bins {
    fn from_iter<I: IntoIterator<Item = Bin>>(bins: I) -> Self {
        Self(bins.into_iter().collect())
    }
}

impl Bins {
    /// Adds a bin at the end, to be filled last.
    pub(super) fn push(&mut self, bin: Bin) {
        self.0.push(bin);
    }

    /// Returns the number of machines in a zone.
    pub(super) fn machines_in(&self, zone: &Zone) -> u32 {
        (self.0.iter().filter(|bin| bin.offer.zone == *zone))
            .map(|bin| bin.machines)
            .sum()
    }

    /// Returns how many tasks of a job fit into the bins of a zone.
    pub(super) fn room_in(&self, job: &Job, gpus: GpuPreference, zone: &Zone) -> u32 {
        (self.0.iter())
            .filter(|bin| bin.offer.zone == *zone && bin.is_usable(job, gpus))
            .map(|bin| bin.tasks_per_machine(job).saturating_mul(bin.machines))
            .fold(0, u32::saturating_add)
    }

    /// Packs at most `max_tasks` tasks of a job into the bins, or only into those of `only_zone` if it is given.
    /// Returns the number of tasks packed.
    pub(super) fn pack(
        &mut self,
        job: &Job,
        gpus: GpuPreference,
        max_tasks: u32,
        zones: &mut TasksByZone,
        only_zone: Option<&Zone>,
    ) -> u32 {
        let mut left = max_tasks;
        let mut partly_filled = Vec::new();
        for bin in &mut self.0 {
            let zone = &bin.offer.zone;
            let zone_room = job.spec.zone_cap().saturating_sub(zones.in_zone(zone));
            let tasks_per_machine = bin.tasks_per_machine(job);
            let room = left
                .min(zone_room)
                .min(tasks_per_machine.saturating_mul(bin.machines));
            let is_usable =
                room > 0 && only_zone.is_none_or(|only| only == zone) && bin.is_usable(job, gpus);
            if !is_usable {
                continue;
            }
            zones.add(zone, room);
            left -= room;
            let (full_machines, rest) = (room / tasks_per_machine, room % tasks_per_machine);
            if full_machines > 0 {
                partly_filled.push(bin.split_off(job, full_machines, tasks_per_machine));
            }
            if rest > 0 {
                partly_filled.push(bin.split_off(job, 1, rest));
            }
        }
        self.0.retain(|bin| bin.machines > 0);
        self.0.extend(partly_filled);
        max_tasks - left
    }
}

#[cfg(test)]
mod tests;

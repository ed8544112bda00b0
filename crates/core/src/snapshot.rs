//! The picture that a cycle decides on. It is frozen when the cycle begins; what the cycle decides
//! is noted in it through a `statement`, and becomes real only when that is committed.

use crate::job::Job;
use crate::lead::Lead;
use crate::possession::Machine;
use crate::tree::{amounts, Amounts, KINDS};
use crate::units::{Now, Resources, Span, Time};
use rudderreel_wire::ids::{Attempt, Image, JobId, MachineId, TaskId, TypeName, Zone};
use rudderreel_wire::job::Kind;
use std::collections::{BTreeMap, BTreeSet};

/// A machine that work can be placed on.
#[derive(Clone, Debug)]
pub struct Spot {
    /// The machine.
    pub id: MachineId,
    /// Its type.
    pub machine_type: TypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What it offers.
    pub room: Resources,
    /// What is free.
    pub free: Resources,
    /// Images it has.
    pub images: BTreeSet<Image>,
    /// Images being fetched.
    pub fetching: BTreeSet<Image>,
    /// Replicas or tasks by job, to spread them.
    pub jobs: BTreeMap<JobId, u32>,
    /// Tasks that its record can still hold.
    pub slots: usize,
    /// Replicas on it.
    pub replicas: u32,
    /// Room of work that could be evicted for work of the highest priority.
    pub evictable: Resources,
    /// Free room that is held back from evictable work.
    pub held: Resources,
}

/// The picture.
pub struct Snapshot {
    /// Machines that work can be placed on.
    pub spots: Vec<Spot>,
    /// By node of the tree: what may be in use, everything not surely gone.
    pub used: Vec<Amounts>,
    /// By node of the tree: what is used by work that can't be evicted.
    pub firm: Vec<Amounts>,
    /// By node of the tree: fair share.
    pub share: Vec<Amounts>,
    /// By job: tasks in each zone that may exist.
    pub zones: BTreeMap<JobId, BTreeMap<Zone, u32>>,
    /// When it was taken.
    pub now: Now,
    /// Tasks that are to be evicted.
    evicted: BTreeSet<(TaskId, Attempt)>,
    /// By job: tasks placed in this cycle.
    taken: BTreeMap<JobId, usize>,
}

/// Whether new work may be placed on a machine.
pub fn usable(machine: &Machine, lead: &Lead, now: Time) -> bool {
    let fresh = (machine.last_heard).is_some_and(|t| now - t < Span(lead.lease.0 / 2));
    machine.is_known(lead.epoch)
        && fresh
        && machine.notice.is_none()
        && machine.retire.is_none()
        && machine.returning.is_none()
        && machine.quarantine <= now
        && machine.cordon <= now
}

impl Snapshot {
    /// Takes the picture.
    pub fn take(lead: &Lead, now: Now) -> Self {
        let nodes = lead.tree.nodes.len();
        let mut picture = Self {
            spots: Vec::new(),
            used: vec![[0.0; KINDS]; nodes],
            firm: vec![[0.0; KINDS]; nodes],
            share: vec![[0.0; KINDS]; nodes],
            zones: BTreeMap::new(),
            now,
            evicted: BTreeSet::new(),
            taken: BTreeMap::new(),
        };
        let mut total = Resources::default();
        for machine in lead.machines.values() {
            picture.count(lead, machine);
            if machine.retire.is_none() && machine.returning.is_none() {
                total += machine.room;
            }
            if usable(machine, lead, now.time) {
                picture.spots.push(spot(lead, machine));
            }
        }
        let mut requested = picture.used.clone();
        for job in lead.jobs.values().filter(|j| j.is_active()) {
            let need = amounts(&job.need.times(job.free_tasks()));
            if let Some(leaf) = lead.tree.find(&job.spec.team) {
                add(&mut requested[leaf], &need);
            }
        }
        for node in requested.iter_mut().take(1) {
            *node = [0.0; KINDS];
        }
        picture.share = crate::fair_share::fair_shares(&lead.tree, amounts(&total), &requested);
        picture
    }

    fn count(&mut self, lead: &Lead, machine: &Machine) {
        for entry in machine.entries.iter().filter(|e| e.holds_room()) {
            let zones = self.zones.entry(entry.task.job.clone()).or_default();
            *zones.entry(machine.zone.clone()).or_default() += 1;
            let Some(job) = lead.jobs.get(&entry.task.job) else {
                continue;
            };
            self.charge(lead, job, &amounts(&entry.need));
        }
    }

    /// Adds to what a job's team uses, and all above it.
    pub fn charge(&mut self, lead: &Lead, job: &Job, need: &Amounts) {
        if let Some(leaf) = lead.tree.find(&job.spec.team) {
            for node in lead.tree.chain(leaf) {
                add(&mut self.used[node], need);
                if !job.evictable() {
                    add(&mut self.firm[node], need);
                }
            }
        }
    }

    /// Whether a job's team, and all above it, may use so much more.
    pub fn within_limits(&self, lead: &Lead, job: &Job, need: &Amounts) -> bool {
        let Some(leaf) = lead.tree.find(&job.spec.team) else {
            return false;
        };
        lead.tree.chain(leaf).all(|node| {
            let team = &lead.tree.nodes[node];
            let fits = |used: &Amounts, cap: &Amounts| {
                (0..KINDS).all(|k| need[k] <= 0.0 || used[k] + need[k] <= cap[k] + 1e-9)
            };
            fits(&self.used[node], &team.limit)
                && (job.evictable() || fits(&self.firm[node], &team.quota))
        })
    }

    /// How many of a job's tasks have been placed in this cycle.
    pub fn taken(&self, job: &JobId) -> usize {
        self.taken.get(job).copied().unwrap_or(0)
    }

    /// Notes that tasks of a job were placed, or taken back.
    pub fn note_taken(&mut self, job: &JobId, change: isize) {
        let taken = self.taken.entry(job.clone()).or_default();
        *taken = taken.saturating_add_signed(change);
    }

    /// Whether a task is to be evicted.
    pub fn is_evicted(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.evicted.contains(&(task.clone(), attempt))
    }

    /// Simulates an eviction.
    pub fn evict(
        &mut self,
        lead: &Lead,
        at: usize,
        task: &TaskId,
        attempt: Attempt,
        need: &Resources,
    ) {
        self.evicted.insert((task.clone(), attempt));
        self.shift(lead, at, task, need, -1);
    }

    /// Takes a simulated eviction back.
    pub fn restore(
        &mut self,
        lead: &Lead,
        at: usize,
        task: &TaskId,
        attempt: Attempt,
        need: &Resources,
    ) {
        self.evicted.remove(&(task.clone(), attempt));
        self.shift(lead, at, task, need, 1);
    }

    fn shift(&mut self, lead: &Lead, at: usize, task: &TaskId, need: &Resources, sign: i32) {
        let amount = amounts(need).map(|x| x * f64::from(sign));
        if let Some(job) = lead.jobs.get(&task.job) {
            self.charge(lead, job, &amount);
        }
        let spot = &mut self.spots[at];
        if sign < 0 {
            spot.free += *need;
        } else {
            spot.free -= *need;
        }
        let zones = self.zones.entry(task.job.clone()).or_default();
        let here = zones.entry(spot.zone.clone()).or_default();
        *here = here.saturating_add_signed(sign);
        let jobs = spot.jobs.entry(task.job.clone()).or_default();
        *jobs = jobs.saturating_add_signed(sign);
        let service = lead
            .jobs
            .get(&task.job)
            .is_some_and(|j| j.spec.kind == Kind::Service);
        if service {
            spot.replicas = spot.replicas.saturating_add_signed(sign);
        }
    }

    /// Whether there is room for the urgent work that may come before a machine could be had,
    /// even without one of the machines. Work that would be evicted for it counts as room.
    pub fn keeps_reserve(&self, lead: &Lead, without: Option<usize>) -> bool {
        let room = |need: &Resources, image: &Image| -> u32 {
            (self.spots.iter().enumerate())
                .filter(|(i, s)| Some(*i) != without && s.images.contains(image))
                .map(|(_, s)| (s.free + s.evictable).count(need))
                .sum()
        };
        lead.reserve(self.now).iter().all(|reserve| {
            // Room without the image would mean a fetch, so each image has its part.
            let part = reserve.tasks.div_ceil(reserve.images.len().max(1) as u32);
            (reserve.images.iter()).all(|image| room(&reserve.need, image) >= part)
        })
    }

    /// Replicas that one machine should hold at most, so that its loss is not felt too much.
    pub fn replica_cap(&self) -> u32 {
        (self.spots.iter().map(|s| s.replicas).sum::<u32>() / 4).max(4)
    }

    /// Holds free room back for urgent work that may come before a machine could be had, where its
    /// image is. A single team needs none: its own work yields by priority.
    pub fn hold_reserve(&mut self, lead: &Lead) {
        if lead.tree.nodes.len() <= 2 {
            return;
        }
        for spot in &mut self.spots {
            spot.held = Resources::default();
        }
        for reserve in lead.reserve(self.now) {
            for _ in 0..reserve.tasks {
                let place = (self.spots.iter_mut())
                    .filter(|s| (s.free - s.held).holds(&reserve.need))
                    .filter(|s| s.room.gpus == 0 && !s.spot)
                    .min_by_key(|s| {
                        let images = reserve.images.iter().filter(|i| s.images.contains(*i));
                        (std::cmp::Reverse(images.count()), (s.free - s.held).cpus)
                    });
                match place {
                    Some(spot) => spot.held += reserve.need,
                    None => break,
                }
            }
        }
    }

    /// How full a team is.
    pub fn saturation(&self, leaf: usize) -> f64 {
        crate::fair_share::saturation(&self.used[leaf], &self.share[leaf])
    }
}

/// Adds amounts.
pub fn add(to: &mut Amounts, more: &Amounts) {
    for (sum, x) in to.iter_mut().zip(more) {
        *sum += x;
    }
}

fn spot(lead: &Lead, machine: &Machine) -> Spot {
    let mut jobs = BTreeMap::new();
    let mut fetching = BTreeSet::new();
    let mut evictable = Resources::default();
    let mut replicas = 0;
    for entry in machine.entries.iter().filter(|e| e.holds_room()) {
        *jobs.entry(entry.task.job.clone()).or_default() += 1;
        if let Some(job) = lead.jobs.get(&entry.task.job) {
            if entry.running.is_none() {
                fetching.insert(job.spec.image.clone());
            }
            replicas += u32::from(job.spec.kind == Kind::Service);
            if job.evictable() && entry.stop.is_none() {
                evictable += entry.need;
            }
        }
    }
    Spot {
        id: machine.id.clone(),
        machine_type: machine.machine_type.clone(),
        zone: machine.zone.clone(),
        spot: machine.spot,
        room: machine.room,
        free: machine.free(),
        images: machine.images.clone(),
        fetching,
        jobs,
        replicas,
        slots: lead.max_entries.saturating_sub(machine.entries.len()),
        evictable,
        held: Resources::default(),
    }
}

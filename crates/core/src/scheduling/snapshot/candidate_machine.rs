//! A machine of the snapshot that work can be placed on.

use super::name_index::NameIndex;
use super::reservations::GangReservation;
use crate::fleet::{Machine, PlacedTask};
use crate::jobs::job::{is_non_preemptible, Job};
use crate::leader::Leader;
use crate::units::{Resources, Time};
use rudderreel_wire::ids::{JobId, MachineId, TypeName, Zone};
use rudderreel_wire::job::{JobSpec, Kind};

/// What has run longer than its owner's estimate is expected to run on for this part of the time it has run.
const OVERRUN_FRACTION: f64 = 0.3;
/// Whatever runs is expected to take so much longer at least, in seconds.
const MIN_REMAINING_S: f64 = 2.0;

/// A machine that work can be placed on.
#[derive(Clone, Debug)]
pub struct CandidateMachine {
    /// The machine.
    pub id: MachineId,
    /// Its type.
    pub machine_type: TypeName,
    /// Its zone.
    pub zone: Zone,
    /// The zone's number in the snapshot.
    pub zone_index: usize,
    /// Whether it is a spot instance, which the cloud may reclaim.
    pub is_spot: bool,
    /// What it offers.
    pub capacity: Resources,
    /// What is free: reserved room is part of it.
    pub free: Resources,
    /// Numbers of the images that it has.
    pub cached_images: Vec<u32>,
    /// Numbers of the images that it fetches, one for each task that waits for one.
    pub fetching_images: Vec<u32>,
    /// Replicas of each service, to spread them.
    replicas_by_service: Vec<(JobId, u32)>,
    /// Replicas of all services.
    pub replica_count: u32,
    /// What tasks take that could be preempted for work of the highest priority.
    pub preemptible: Resources,
    /// Free room that is reserved for urgent arrivals, and so is not for preemptible work.
    pub reserved_for_arrivals: Resources,
    /// What tasks take that end by themselves.
    pub finite: Resources,
    /// In how many seconds the last of these will probably have ended.
    pub finite_end_in_s: f64,
    /// The gang that it is reserved for.
    pub gang_reservation: Option<GangReservation>,
}

impl CandidateMachine {
    /// A machine with what may be on it.
    pub(super) fn new(
        leader: &Leader,
        machine: &Machine,
        names: &mut NameIndex,
        now: Time,
    ) -> Self {
        let zone_index = names.number_zone(&machine.zone);
        let cached_images = (machine.cached_images.iter())
            .map(|image| names.number_image(image))
            .collect();
        let mut candidate = Self {
            id: machine.id.clone(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            zone_index,
            is_spot: machine.is_spot,
            capacity: machine.capacity,
            free: machine.free(),
            cached_images,
            fetching_images: Vec::new(),
            replicas_by_service: Vec::new(),
            replica_count: 0,
            preemptible: Resources::default(),
            reserved_for_arrivals: Resources::default(),
            finite: Resources::default(),
            finite_end_in_s: 0.0,
            gang_reservation: None,
        };
        for task in machine.tasks.iter().filter(|t| t.occupies_capacity()) {
            if let Some(spec) = &task.spec {
                candidate.count_task(leader, task, spec, names, now);
            }
        }
        candidate
    }

    fn count_task(
        &mut self,
        leader: &Leader,
        task: &PlacedTask,
        spec: &JobSpec,
        names: &mut NameIndex,
        now: Time,
    ) {
        if task.running_since.is_none() {
            self.fetching_images.push(names.number_image(&spec.image));
        }
        if spec.kind == Kind::Service {
            self.shift_replicas(&spec.id, 1);
        } else {
            self.finite += task.need;
            let remaining_s = remaining_s(task, spec, now);
            self.finite_end_in_s = self.finite_end_in_s.max(remaining_s);
        }
        let may_be_preempted = !is_non_preemptible(spec)
            && task.stop.is_none()
            && leader.jobs.get(&spec.id).is_some_and(Job::is_active);
        if may_be_preempted {
            self.preemptible += task.need;
        }
    }

    /// What is free for a job: reserved room is only for work that can't be preempted.
    pub fn free_for(&self, job: &Job) -> Resources {
        if job.is_preemptible() {
            self.unreserved()
        } else {
            self.free
        }
    }

    /// What is free and not reserved for urgent arrivals.
    pub fn unreserved(&self) -> Resources {
        self.free - self.reserved_for_arrivals
    }

    /// What is in use.
    pub fn used(&self) -> Resources {
        self.capacity - self.free
    }

    /// Whether it has an image.
    pub fn has_image(&self, image: Option<u32>) -> bool {
        image.is_some_and(|number| self.cached_images.contains(&number))
    }

    /// How many different images it fetches.
    pub fn fetch_count(&self) -> u32 {
        let is_new = |(position, image): &(usize, &u32)| {
            !self.cached_images.contains(image)
                && !self.fetching_images[..*position].contains(image)
        };
        self.fetching_images
            .iter()
            .enumerate()
            .filter(is_new)
            .count() as u32
    }

    /// Replicas of a service on it.
    pub fn replicas_of(&self, service: &JobId) -> u32 {
        let found = (self.replicas_by_service.iter()).find(|(id, _)| id == service);
        found.map_or(0, |(_, replicas)| *replicas)
    }

    /// Counts replicas of a service more or less.
    pub(super) fn shift_replicas(&mut self, service: &JobId, change: i32) {
        self.replica_count = self.replica_count.saturating_add_signed(change);
        let known = (self.replicas_by_service.iter_mut()).find(|(id, _)| id == service);
        match known {
            Some((_, replicas)) => *replicas = replicas.saturating_add_signed(change),
            None if change > 0 => self
                .replicas_by_service
                .push((service.clone(), change as u32)),
            None => {}
        }
    }
}

/// In how many seconds a task that ends by itself will probably have ended.
fn remaining_s(task: &PlacedTask, spec: &JobSpec, now: Time) -> f64 {
    let ran_s = (task.running_since).map_or(0.0, |since| (now - since).as_secs());
    let overrun_s = ran_s * OVERRUN_FRACTION;
    (spec.estimate_s - ran_s)
        .max(overrun_s)
        .max(MIN_REMAINING_S)
}

//! Candidate machines: machines of the snapshot that work can be placed on.

use super::name_index::NameIndex;
use super::reservations::GangReservation;
use crate::fleet::{Machine, PlacedTask};
use crate::jobs::job::{is_non_preemptible, Job};
use crate::leader::Leader;
use crate::units::{Resources, Time};
use rudderreel_wire::ids::{JobId, MachineId, TypeName, Zone};
use rudderreel_wire::job::{JobSpec, Kind};

/// A task that has exceeded its owner's estimate is expected to run on for this fraction of its run time so far.
const OVERRUN_FRACTION: f64 = 0.3;
/// Shortest remaining run time that is expected of any task, in seconds.
const MIN_REMAINING_S: f64 = 2.0;

/// A machine that work can be placed on, with its state in the simulation.
#[derive(Clone, Debug)]
pub struct CandidateMachine {
    /// Machine name.
    pub id: MachineId,
    /// Machine type.
    pub machine_type: TypeName,
    /// Zone of the machine.
    pub zone: Zone,
    /// Index of the zone in the snapshot.
    pub zone_index: usize,
    /// Whether it is a spot instance, which the cloud may reclaim.
    pub is_spot: bool,
    /// Total resources of the machine.
    pub capacity: Resources,
    /// Free resources, including reserved ones.
    pub free: Resources,
    /// Numbers of the images in its cache.
    pub cached_images: Vec<u32>,
    /// Numbers of the images that it fetches, one entry for each task that waits for an image.
    pub fetching_images: Vec<u32>,
    /// Number of replicas of each service on it, used to spread the replicas.
    replicas_by_service: Vec<(JobId, u32)>,
    /// Number of replicas of all services on it.
    pub replica_count: u32,
    /// Resources of tasks that could be preempted for work of the highest priority.
    pub preemptible: Resources,
    /// Free resources that are reserved for urgent arrivals and therefore closed to preemptible work.
    pub reserved_for_arrivals: Resources,
    /// Resources of tasks that end by themselves.
    pub finite_tasks_need: Resources,
    /// Expected time in seconds until the last of the tasks that end by themselves has ended.
    pub finite_tasks_end_in_s: f64,
    /// Reservation of the machine for a gang.
    pub gang_reservation: Option<GangReservation>,
}

impl CandidateMachine {
    /// Creates a candidate from a machine and the tasks that may be on it.
    pub(super) fn new(
        leader: &Leader,
        machine: &Machine,
        names: &mut NameIndex,
        now: Time,
    ) -> Self {
        let zone_index = names.intern_zone(&machine.zone);
        let cached_images = (machine.cached_images.iter())
            .map(|image| names.intern_image(image))
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
            finite_tasks_need: Resources::default(),
            finite_tasks_end_in_s: 0.0,
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
            self.fetching_images.push(names.intern_image(&spec.image));
        }
        if spec.kind == Kind::Service {
            self.adjust_replicas(&spec.id, 1);
        } else {
            self.finite_tasks_need += task.need;
            let remaining_s = remaining_s(task, spec, now);
            self.finite_tasks_end_in_s = self.finite_tasks_end_in_s.max(remaining_s);
        }
        let may_be_preempted = !is_non_preemptible(spec)
            && task.stop.is_none()
            && leader.jobs.get(&spec.id).is_some_and(Job::is_active);
        if may_be_preempted {
            self.preemptible += task.need;
        }
    }

    /// Returns the resources that are free for a job. Reserved ones are only for non-preemptible work, and for jobs that
    /// take any room: their tasks can be preempted for the work that the room is reserved for.
    pub fn free_for(&self, job: &Job, now: Time) -> Resources {
        if job.is_preemptible() && !job.takes_any_room(now) {
            self.unreserved()
        } else {
            self.free
        }
    }

    /// Returns the resources that are free and not reserved for urgent arrivals.
    pub fn unreserved(&self) -> Resources {
        self.free - self.reserved_for_arrivals
    }

    /// Returns the resources in use.
    pub fn used(&self) -> Resources {
        self.capacity - self.free
    }

    /// Returns whether the machine has an image in its cache.
    pub fn has_image(&self, image: Option<u32>) -> bool {
        image.is_some_and(|number| self.cached_images.contains(&number))
    }

    /// Returns the number of different images that the machine fetches.
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

    /// Returns the number of replicas of a service on the machine.
    pub fn replicas_of(&self, service: &JobId) -> u32 {
        let found = (self.replicas_by_service.iter()).find(|(id, _)| id == service);
        found.map_or(0, |(_, replicas)| *replicas)
    }

    /// Changes the number of replicas of a service on the machine by `change`.
    pub(super) fn adjust_replicas(&mut self, service: &JobId, change: i32) {
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

/// Returns the expected time in seconds until a task that ends by itself has ended.
fn remaining_s(task: &PlacedTask, spec: &JobSpec, now: Time) -> f64 {
    let ran_s = (task.running_since).map_or(0.0, |since| (now - since).as_secs());
    let overrun_s = ran_s * OVERRUN_FRACTION;
    (spec.estimate_s - ran_s)
        .max(overrun_s)
        .max(MIN_REMAINING_S)
}

//! Demand: which waiting tasks need room, and on which machines it is planned. Room on upcoming machines is used first;
//! for the rest, new machines of the cheapest offers of the cloud are planned.

use super::bin_packing::{Bin, Bins, TasksByZone};
use crate::cloud::scale_out_requests::{InstanceOffer, WantedMachines};
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::actions::fits;
use crate::scheduling::snapshot::quota::QuotaUsage;
use crate::scheduling::snapshot::{has_zone_rules, CandidateMachine, Snapshot};
use crate::units::{Now, Span};
use rudderreel_wire::ids::Zone;
use rudderreel_wire::job::Kind;
use std::collections::BTreeMap;

/// Fraction of the time left for a job after a boot that its tasks are planned to use: estimates are often wrong by
/// half.
const USABLE_TIME_FRACTION: f64 = 0.6;
/// Minimum that is assumed for an estimate, in seconds.
const MIN_ESTIMATE_S: f64 = 1.0;

impl Leader {
    /// Requests machines for work that found no room. Returns the free machines that are claimed by gangs which wait
    /// for more machines, as indices of the candidate machines.
    pub fn plan_capacity(&mut self, snapshot: &Snapshot, now: Now) -> Vec<usize> {
        let mut plan = CapacityPlan::new(self, snapshot, now);
        plan.cover_waiting_jobs();
        plan.cover_anticipated_arrays();
        let claimed = plan.claimed_by_gangs();
        let wanted = plan.wanted;
        self.request_machines(wanted);
        claimed
    }

    /// Returns how many more tasks of a job should run at once. For an array, these are as many as finish it in the
    /// time that users give it, after the boot of a machine: one machine that runs short tasks one after the other
    /// costs less than one machine for each task.
    fn tasks_wanted_at_once(&self, job: &Job, now: Now) -> u32 {
        let startable = job.startable_tasks();
        let (Kind::Array, Some(left)) = (job.spec.kind, self.time_left(job, now)) else {
            return startable;
        };
        if self.runs_cheaply(job) {
            return startable;
        }
        let after_boot_s = left.as_secs() - self.policy.catalog.slowest_boot_s();
        let estimate_s = job.spec.estimate_s.max(MIN_ESTIMATE_S);
        let rounds = (after_boot_s * USABLE_TIME_FRACTION / estimate_s)
            .floor()
            .max(1.0);
        let placed = (job.placements.keys())
            .filter(|index| !job.done.contains(**index))
            .count() as u32;
        let at_once = (f64::from(startable + placed) / rounds).ceil() as u32;
        at_once.saturating_sub(placed).min(startable)
    }

    /// Returns the time until a job should be done, by its deadline, or else by the users' objective for its class.
    fn time_left(&self, job: &Job, now: Now) -> Option<Span> {
        let deadline = job.urgency.deadline.or_else(|| {
            let objective = *(self.policy.completion_objectives).get(&job.spec.class)?;
            Some(job.waiting_since() + objective)
        });
        deadline.map(|deadline| now.wall.until(deadline))
    }

    /// Returns how many tasks of a job may already be in each zone; empty if the job has no zone rules.
    fn tasks_by_zone(&self, job: &Job) -> TasksByZone {
        let mut zones = TasksByZone::default();
        if has_zone_rules(&job.spec) {
            for (id, _) in job.placements.values().flatten() {
                if let Some(machine) = self.fleet.machines.get(id) {
                    zones.add(&machine.zone, 1);
                }
            }
        }
        zones
    }
}

/// The capacity plan of one scheduling cycle.
struct CapacityPlan<'a> {
    leader: &'a Leader,
    snapshot: &'a Snapshot,
    now: Now,
    /// Upcoming machines with the room that is left by the tasks planned on them.
    upcoming: Bins,
    /// Machines to be requested.
    wanted: BTreeMap<InstanceOffer, WantedMachines>,
    /// Resource usage of teams, including planned tasks.
    usage: QuotaUsage,
    /// For each candidate machine, whether no gang that waits for more machines has claimed it.
    unclaimed: Vec<bool>,
}

/// A zone in which a gang could run, with the cost of the machines that it lacks there.
struct GangZone {
    zone: Zone,
    /// Price of new machines for the lacking tasks.
    cost: f64,
    /// Number of tasks without room on free or upcoming machines of the zone.
    lacking_tasks: u32,
}

impl<'a> CapacityPlan<'a> {
    fn new(leader: &'a Leader, snapshot: &'a Snapshot, now: Now) -> Self {
        Self {
            leader,
            snapshot,
            now,
            upcoming: leader.upcoming_machines(now),
            wanted: BTreeMap::new(),
            usage: snapshot.quota.usage().clone(),
            unclaimed: vec![true; snapshot.candidates.len()],
        }
    }

    /// Plans room for waiting jobs, in queue order.
    fn cover_waiting_jobs(&mut self) {
        let leader = self.leader;
        let mut jobs: Vec<&Job> = (leader.jobs.values())
            .filter(|job| job.is_active() && job.startable_tasks() > 0 && !job.is_suspected())
            .collect();
        jobs.sort_by_cached_key(|job| job.queue_order(leader.is_overdue(job, self.now.wall)));
        for job in jobs {
            match job.spec.kind {
                Kind::Gang if !job.placements.is_empty() => {}
                Kind::Gang if job.spec.one_zone => self.cover_gang(job),
                _ => self.cover_tasks(job),
            }
        }
    }

    /// Plans room for arrays that will be ready by the time a machine could be up: for the tasks that do not fit on the
    /// candidate machines.
    fn cover_anticipated_arrays(&mut self) {
        let leader = self.leader;
        let boot = Span::secs(leader.policy.catalog.slowest_boot_s());
        let mut jobs: Vec<&Job> = (leader.nearly_ready(boot, self.now))
            .filter(|job| job.spec.kind == Kind::Array)
            .collect();
        if jobs.is_empty() {
            return;
        }
        jobs.sort_by_cached_key(|job| job.queue_order(false));
        let mut free: Bins = self
            .snapshot
            .candidates
            .iter()
            .map(Bin::from_candidate)
            .collect();
        for job in jobs {
            let mut zones = TasksByZone::default();
            let mut left = self.charge_within_limits(job, job.spec.tasks);
            let gpus = leader.gpu_preference(job, self.now.time);
            left -= free.pack(job, gpus, left, &mut zones, None);
            self.cover_with_upcoming_or_new(job, left, &mut zones);
        }
    }

    /// Plans room for tasks of a job that need not be in one zone.
    fn cover_tasks(&mut self, job: &Job) {
        let wanted = self.leader.tasks_wanted_at_once(job, self.now);
        let tasks = self.charge_within_limits(job, wanted);
        let mut zones = self.leader.tasks_by_zone(job);
        self.cover_with_upcoming_or_new(job, tasks, &mut zones);
    }

    /// Packs tasks into upcoming machines, and then into new machines of the cheapest offers.
    fn cover_with_upcoming_or_new(&mut self, job: &Job, tasks: u32, zones: &mut TasksByZone) {
        let gpus = self.leader.gpu_preference(job, self.now.time);
        let mut left = tasks - (self.upcoming).pack(job, gpus, tasks, zones, None);
        while left > 0 {
            let offer = (self.leader).cheapest_offer(job, &self.upcoming, zones, self.now.time);
            let Some(offer) = offer else {
                return;
            };
            left -= self.plan_new_machines(job, left, offer, zones);
        }
    }

    /// Plans room for a gang in the zone where the machines that it lacks cost least; they are requested as a whole.
    fn cover_gang(&mut self, gang: &Job) {
        let tasks = gang.spec.tasks;
        if self.charge_within_limits(gang, tasks) < tasks {
            return;
        }
        let Some(best) = self.cheapest_zone(gang) else {
            return;
        };
        let mut left = tasks - self.claim_free_machines(gang, &best.zone);
        let mut zones = TasksByZone::default();
        let gpus = self.leader.gpu_preference(gang, self.now.time);
        left -= (self.upcoming).pack(gang, gpus, left, &mut zones, Some(&best.zone));
        if left > 0 && best.lacking_tasks > 0 {
            let offer = (self.leader).cheapest_offer_in(gang, &best.zone, self.now.time);
            if let Some(priced) = offer {
                self.plan_new_machines(gang, left, priced.offer, &mut zones);
            }
        }
    }

    /// Returns the zone where the machines that a gang lacks cost least.
    fn cheapest_zone(&self, gang: &Job) -> Option<GangZone> {
        let gpus = self.leader.gpu_preference(gang, self.now.time);
        let mut best: Option<GangZone> = None;
        for zone in self.leader.zones() {
            let upcoming = self.upcoming.room_in(gang, gpus, &zone);
            let room = self.unclaimed_room_in(gang, &zone) + upcoming;
            let lacking_tasks = gang.spec.tasks.saturating_sub(room);
            let offer = self.leader.cheapest_offer_in(gang, &zone, self.now.time);
            let price = match offer {
                Some(priced) => priced.price_per_task,
                None if lacking_tasks == 0 => 0.0,
                None => continue,
            };
            let cost = f64::from(lacking_tasks) * price;
            if best.as_ref().is_none_or(|best| cost < best.cost) {
                best = Some(GangZone {
                    zone,
                    cost,
                    lacking_tasks,
                });
            }
        }
        best
    }

    /// Plans new machines of an offer for tasks of a job, as far as its zone rules allow. Returns how many tasks
    /// no longer need a plan: all of them if no task fits, otherwise those that were packed, and at least one.
    fn plan_new_machines(
        &mut self,
        job: &Job,
        tasks: u32,
        offer: InstanceOffer,
        zones: &mut TasksByZone,
    ) -> u32 {
        let already_in_zone = zones.in_zone(&offer.zone);
        let zone_room = job.spec.zone_cap().saturating_sub(already_in_zone);
        let in_zone = tasks.min(zone_room);
        let tasks_per_machine = Bin::upcoming(self.leader, offer.clone(), 1).tasks_per_machine(job);
        if in_zone == 0 || tasks_per_machine == 0 {
            return tasks;
        }
        let machines = in_zone.div_ceil(tasks_per_machine);
        let wanted = self.wanted.entry(offer.clone()).or_default();
        wanted.is_urgent |= !job.is_preemptible();
        wanted.count += machines;
        self.upcoming
            .push(Bin::upcoming(self.leader, offer, machines));
        let gpus = self.leader.gpu_preference(job, self.now.time);
        (self.upcoming.pack(job, gpus, in_zone, zones, None)).max(1)
    }

    /// Charges as many tasks of a job to its team as the team's limits allow, at most `max_tasks`. Returns their
    /// number.
    fn charge_within_limits(&mut self, job: &Job, max_tasks: u32) -> u32 {
        self.usage.charge_within_limits(self.leader, job, max_tasks)
    }

    /// Returns whether a gang may claim a candidate machine: it is in the zone, no other gang has claimed it, and a
    /// task of the gang fits on it.
    fn is_claimable(&self, gang: &Job, index: usize, zone: &Zone) -> bool {
        let candidate: &CandidateMachine = &self.snapshot.candidates[index];
        self.unclaimed[index]
            && candidate.zone == *zone
            && fits(self.leader, self.snapshot, gang, candidate)
    }

    /// Returns how many tasks of a gang fit on claimable machines of a zone.
    fn unclaimed_room_in(&self, gang: &Job, zone: &Zone) -> u32 {
        (0..self.unclaimed.len())
            .filter(|&index| self.is_claimable(gang, index, zone))
            .map(|index| self.snapshot.candidates[index].free.fit_count(&gang.need))
            .sum()
    }

    /// Claims free machines of a zone for a gang until they hold all of its tasks; returns how many tasks they hold.
    fn claim_free_machines(&mut self, gang: &Job, zone: &Zone) -> u32 {
        let mut tasks = 0;
        for index in 0..self.unclaimed.len() {
            if tasks < gang.spec.tasks && self.is_claimable(gang, index, zone) {
                tasks += self.snapshot.candidates[index].free.fit_count(&gang.need);
                self.unclaimed[index] = false;
            }
        }
        tasks.min(gang.spec.tasks)
    }

    /// Returns the free machines that are claimed by gangs, as indices of the candidate machines.
    fn claimed_by_gangs(&self) -> Vec<usize> {
        let indices = 0..self.unclaimed.len();
        indices.filter(|&index| !self.unclaimed[index]).collect()
    }
}

//! Demand: which waiting tasks want room, and where it is planned for them. Room that is coming is used first; for
//! the rest the cheapest offers of the cloud are wanted.

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

/// The part that tasks may use of what is left of the time that users give a job, after a boot: estimates are often
/// wrong by half.
const USABLE_TIME_FRACTION: f64 = 0.6;
/// Estimates count as so long at least, in seconds.
const MIN_ESTIMATE_S: f64 = 1.0;

impl Leader {
    /// Decides which machines to request for work that found no room. Returns the free machines that gangs which wait
    /// for more count on, by their places among the candidates.
    pub fn plan_capacity(&mut self, snapshot: &Snapshot, now: Now) -> Vec<usize> {
        let mut plan = CapacityPlan::new(self, snapshot, now);
        plan.cover_waiting_jobs();
        plan.cover_anticipated_arrays();
        let claimed = plan.claimed_by_gangs();
        let wanted = plan.wanted;
        self.request_machines(wanted);
        claimed
    }

    /// How many tasks of a job should run at once. Of an array as many as get it done in the time that users give it,
    /// with a machine's boot before it: a machine that is kept for one short task after the other costs less than one
    /// for each.
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

    /// Time until a job should be done: by its deadline, or else by the users' objective for its class.
    fn time_left(&self, job: &Job, now: Now) -> Option<Span> {
        let deadline = job.urgency.deadline.or_else(|| {
            let objective = *(self.policy.completion_objectives).get(&job.spec.class)?;
            Some(job.waiting_since() + objective)
        });
        deadline.map(|deadline| now.wall.until(deadline))
    }

    /// How many tasks of a job with rules for zones may be in each zone.
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

/// What is planned in a cycle.
struct CapacityPlan<'a> {
    leader: &'a Leader,
    snapshot: &'a Snapshot,
    now: Now,
    /// Machines that are coming, with what is planned on them.
    coming: Bins,
    /// Machines to be requested.
    wanted: BTreeMap<InstanceOffer, WantedMachines>,
    /// What teams use, with what is planned.
    usage: QuotaUsage,
    /// For each candidate machine: whether no gang that waits for more counts on it.
    unclaimed: Vec<bool>,
}

/// The zone where a gang lacks least.
struct GangZone {
    zone: Zone,
    cost: f64,
    lacking_tasks: u32,
}

impl<'a> CapacityPlan<'a> {
    fn new(leader: &'a Leader, snapshot: &'a Snapshot, now: Now) -> Self {
        Self {
            leader,
            snapshot,
            now,
            coming: leader.coming_machines(now),
            wanted: BTreeMap::new(),
            usage: snapshot.quota.usage().clone(),
            unclaimed: vec![true; snapshot.candidates.len()],
        }
    }

    /// Plans room for jobs that wait, in the order of the queue.
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

    /// Plans room for arrays that will be ready by the time a machine could be up, beyond what is free.
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
        let mut free: Bins = self.snapshot.candidates.iter().map(Bin::up).collect();
        for job in jobs {
            let mut zones = TasksByZone::default();
            let mut left = self.charge_within_limits(job, job.spec.tasks);
            left -= free.pack(leader, job, left, &mut zones, None);
            self.cover_with_coming_or_new(job, left, &mut zones);
        }
    }

    /// Plans room for tasks that need not be in one zone.
    fn cover_tasks(&mut self, job: &Job) {
        let wanted = self.leader.tasks_wanted_at_once(job, self.now);
        let tasks = self.charge_within_limits(job, wanted);
        let mut zones = self.leader.tasks_by_zone(job);
        self.cover_with_coming_or_new(job, tasks, &mut zones);
    }

    /// Packs tasks into machines that are coming, and then into new ones of the cheapest offers.
    fn cover_with_coming_or_new(&mut self, job: &Job, tasks: u32, zones: &mut TasksByZone) {
        let mut left = tasks - (self.coming).pack(self.leader, job, tasks, zones, None);
        while left > 0 {
            let offer = (self.leader).cheapest_offer(job, &self.coming, zones, self.now.time);
            let Some(offer) = offer else {
                return;
            };
            left -= self.want_machines(job, left, offer, zones);
        }
    }

    /// Plans room for a gang in one zone: what is lacking there is requested as a whole, in the zone where that costs
    /// least.
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
        left -= (self.coming).pack(self.leader, gang, left, &mut zones, Some(&best.zone));
        if left > 0 && best.lacking_tasks > 0 {
            let offer = (self.leader).cheapest_offer_in(gang, &best.zone, self.now.time);
            if let Some(priced) = offer {
                self.want_machines(gang, left, priced.offer, &mut zones);
            }
        }
    }

    /// The zone where what a gang lacks costs least.
    fn cheapest_zone(&self, gang: &Job) -> Option<GangZone> {
        let mut best: Option<GangZone> = None;
        for zone in self.leader.zones() {
            let room = self.unclaimed_room_in(gang, &zone) + self.coming.room_in(gang, &zone);
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

    /// Wants machines of an offer for tasks of a job; returns for how many.
    fn want_machines(
        &mut self,
        job: &Job,
        tasks: u32,
        offer: InstanceOffer,
        zones: &mut TasksByZone,
    ) -> u32 {
        let in_zone_already = zones.in_zone(&offer.zone);
        let zone_room = job.spec.zone_cap().saturating_sub(in_zone_already);
        let in_zone = tasks.min(zone_room);
        let tasks_per_machine = Bin::coming(self.leader, offer.clone(), 1).tasks_per_machine(job);
        if in_zone == 0 || tasks_per_machine == 0 {
            return tasks;
        }
        let machines = in_zone.div_ceil(tasks_per_machine);
        let wanted = self.wanted.entry(offer.clone()).or_default();
        wanted.is_urgent |= !job.is_preemptible();
        wanted.count += machines;
        self.coming.push(Bin::coming(self.leader, offer, machines));
        (self.coming.pack(self.leader, job, in_zone, zones, None)).max(1)
    }

    /// How many more tasks of a job its team's limits allow, at most `most`; they are charged to the team.
    fn charge_within_limits(&mut self, job: &Job, most: u32) -> u32 {
        self.usage.charge_within_limits(self.leader, job, most)
    }

    /// Whether a gang may count on a free machine of a zone, which no other gang counts on.
    fn is_claimable(&self, gang: &Job, at: usize, zone: &Zone) -> bool {
        let candidate: &CandidateMachine = &self.snapshot.candidates[at];
        self.unclaimed[at]
            && candidate.zone == *zone
            && fits(self.leader, self.snapshot, gang, candidate)
    }

    /// Tasks of a gang that fit on claimable machines of a zone.
    fn unclaimed_room_in(&self, gang: &Job, zone: &Zone) -> u32 {
        (0..self.unclaimed.len())
            .filter(|&at| self.is_claimable(gang, at, zone))
            .map(|at| self.snapshot.candidates[at].free.fit_count(&gang.need))
            .sum()
    }

    /// Claims free machines of a zone for a gang; returns how many of its tasks they hold.
    fn claim_free_machines(&mut self, gang: &Job, zone: &Zone) -> u32 {
        let mut tasks = 0;
        for at in 0..self.unclaimed.len() {
            if tasks < gang.spec.tasks && self.is_claimable(gang, at, zone) {
                tasks += self.snapshot.candidates[at].free.fit_count(&gang.need);
                self.unclaimed[at] = false;
            }
        }
        tasks.min(gang.spec.tasks)
    }

    /// The free machines that gangs count on, by their places among the candidates.
    fn claimed_by_gangs(&self) -> Vec<usize> {
        let places = 0..self.unclaimed.len();
        places.filter(|&at| !self.unclaimed[at]).collect()
    }
}

//! Which machines are wanted: work that found no room is packed into what boots, and then into the
//! cheapest offers. Like tasks are counted as a class, and machines that are alike as one bin.

use crate::cloud::scale_out_requests::InstanceOffer;
use crate::fleet::machine::Machine;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::actions::{allowed, fits};
use crate::scheduling::snapshot::quota::QuotaUsage;
use crate::scheduling::snapshot::{has_zone_rules, CandidateMachine, Snapshot};
use crate::teams::team_tree::amounts;
use crate::units::{Now, Resources, Span, Time};
use rudderreel_wire::cloud::{MachineType, Rent, MACHINES_PER_RENTAL};
use rudderreel_wire::ids::{TypeName, Zone};
use rudderreel_wire::job::Kind;
use std::collections::BTreeMap;

/// Requests that may be open at once, or as many as the cloud takes calls a second if that is more.
const REQUESTS: usize = 5;
/// No new ones are made while more than so many are open.
const UNDER_WAY: usize = 1;
/// What is left of the time that users give a job, after a boot, is used up to this part: estimates
/// are often wrong by half.
const USE: f64 = 0.6;

/// A machine that costs so many times less than the dearest is cheap.
const CHEAP: f64 = 32.0;

/// A machine that boots for so many times the usual is not counted on any more.
const LATE: f64 = 1.3;

/// Machines that are alike and coming: they boot, or are to be rented.
struct Bin {
    offer: InstanceOffer,
    gpus: bool,
    free: Resources,
    /// What is left for work that can't wait: half of the machines take longer to boot than the
    /// usual, and some never come up, so half of each is not counted on.
    sure: Resources,
    machines: u32,
}

impl Bin {
    /// How many tasks of a job one of the machines takes.
    fn each(&self, job: &Job) -> u32 {
        let each = self.free.count(&job.need);
        if job.is_preemptible() {
            return each;
        }
        // A task that takes most of a machine has it all the same.
        let whole = u32::from(each > 0 && self.sure.cpus == self.free.cpus / 2);
        each.min(self.sure.count(&job.need).max(whole))
    }
}

/// What is planned in a cycle.
struct Plan {
    bins: Vec<Bin>,
    /// By offer: whether work that can't wait wants any, and how many.
    wanted: BTreeMap<InstanceOffer, (bool, u32)>,
    usage: QuotaUsage,
    /// Free machines that gangs which wait for more may count on.
    spare: Vec<bool>,
}

/// Where a job's tasks are and are planned, by zone.
type Zones = BTreeMap<Zone, u32>;

impl Leader {
    /// Decides which machines to rent for work that found no room. Returns the free machines that
    /// gangs which wait for more count on, by their place in the picture.
    pub fn plan_capacity(&mut self, snapshot: &Snapshot, now: Now) -> Vec<usize> {
        let mut plan = Plan {
            bins: self.coming(now),
            wanted: BTreeMap::new(),
            usage: snapshot.quota.usage().clone(),
            spare: vec![true; snapshot.candidates.len()],
        };
        let mut jobs: Vec<&Job> = (self.jobs.values())
            .filter(|j| j.is_active() && j.startable_tasks() > 0 && !j.is_suspected())
            .collect();
        jobs.sort_by_cached_key(|j| j.queue_order(self.is_overdue(j, now.wall)));
        for job in jobs {
            match job.spec.kind {
                Kind::Gang if !job.placements.is_empty() => {}
                Kind::Gang if job.spec.one_zone => self.plan_gang(job, snapshot, &mut plan, now),
                _ => self.plan_tasks(job, &mut plan, now),
            }
        }
        self.plan_ahead(snapshot, &mut plan, now);
        self.ask(plan.wanted);
        (0..plan.spare.len()).filter(|&i| !plan.spare[i]).collect()
    }

    /// Plans room for arrays that will be ready by the time a machine could be up, beyond what is free.
    fn plan_ahead(&self, snapshot: &Snapshot, plan: &mut Plan, now: Now) {
        let boot = Span::secs(self.policy.catalog.slowest_boot_s());
        let mut jobs: Vec<&Job> = (self.nearly_ready(boot, now))
            .filter(|j| j.spec.kind == Kind::Array)
            .collect();
        if jobs.is_empty() {
            return;
        }
        jobs.sort_by_cached_key(|j| j.queue_order(false));
        let mut free: Vec<Bin> = snapshot.candidates.iter().map(free_bin).collect();
        for job in jobs {
            let mut zones = Zones::new();
            let mut left = self.allowance(job, job.spec.tasks, plan);
            left -= self.fill_bins(job, left, &mut free, &mut zones, None);
            left -= self.fill_bins(job, left, &mut plan.bins, &mut zones, None);
            while left > 0 {
                let Some(offer) = self.cheapest_offer(job, plan, &zones, now.time) else {
                    break;
                };
                left -= self.rent_for(job, left, offer, plan, &mut zones);
            }
        }
    }

    /// Asks for machines. Calls to the cloud are few, so only some requests are open at a time: what
    /// can't wait first, then the largest. What is not asked for now is counted again in the next
    /// cycle, with more.
    fn ask(&mut self, wanted: BTreeMap<InstanceOffer, (bool, u32)>) {
        // While some are under way, what comes meanwhile adds up: one by one, small requests for each
        // job that arrives would hold up the large ones.
        if self.scale_out.open.len() > UNDER_WAY {
            return;
        }
        let requests = REQUESTS.max(self.cloud_calls_per_s as usize);
        let mut wanted: Vec<(InstanceOffer, (bool, u32))> = wanted.into_iter().collect();
        wanted.sort_by_key(|(_, (firm, count))| (!firm, std::cmp::Reverse(*count)));
        for (offer, (_, mut count)) in wanted {
            while count > 0 && self.scale_out.open.len() < requests {
                let part = count.min(MACHINES_PER_RENTAL);
                count -= part;
                let request = self.scale_out.name(self.term.epoch);
                log::info!("renting {part} {offer:?} as {request}");
                self.scale_out.open.push(Rent {
                    request,
                    machine_type: offer.machine_type.clone(),
                    zone: offer.zone.clone(),
                    spot: offer.spot,
                    count: part,
                });
            }
        }
    }

    fn coming(&self, now: Now) -> Vec<Bin> {
        let mut counts: BTreeMap<InstanceOffer, u32> = BTreeMap::new();
        let wall = now.wall;
        let late: BTreeMap<&TypeName, Span> = (self.policy.catalog.types.iter())
            .map(|t| (&t.name, Span::secs(t.boot_s * LATE)))
            .collect();
        let booting = |m: &&Machine| {
            let on_time = late
                .get(&m.machine_type)
                .is_none_or(|t| Leader::age(m, wall) < *t);
            m.last_heard_at.is_none()
                && m.retire_reason.is_none()
                && m.return_requested_at.is_none()
                && on_time
        };
        for machine in self.fleet.machines.values().filter(booting) {
            let offer = InstanceOffer {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.is_spot,
            };
            *counts.entry(offer).or_default() += 1;
        }
        for rent in &self.scale_out.open {
            let offer = InstanceOffer {
                machine_type: rent.machine_type.clone(),
                zone: rent.zone.clone(),
                spot: rent.spot,
            };
            *counts.entry(offer).or_default() += rent.count;
        }
        (counts.into_iter())
            .map(|(offer, machines)| self.bin(offer, machines))
            .collect()
    }

    fn bin(&self, offer: InstanceOffer, machines: u32) -> Bin {
        let free = self.policy.capacity_of(&offer.machine_type);
        Bin {
            gpus: free.gpus > 0,
            sure: Resources {
                cpus: free.cpus / 2,
                gpus: free.gpus,
                memory: free.memory / 2,
            },
            free,
            offer,
            machines,
        }
    }

    /// How many tasks of a job should run at once. Of an array as many as get it done in the time
    /// that users give it, with a machine's boot before it: a machine that is rented for one short
    /// task after the other costs less than one for each.
    fn tasks_wanted(&self, job: &Job, now: Now) -> u32 {
        let free = job.startable_tasks();
        let spec = &job.spec;
        let left = (job.urgency.deadline)
            .map(|wall| now.wall.until(wall))
            .or_else(|| {
                let aim = *self.policy.completion_objectives.get(&spec.class)?;
                Some(now.wall.until(job.waiting_since() + aim))
            });
        let (Kind::Array, Some(left)) = (spec.kind, left) else {
            return free;
        };
        if self.runs_cheaply(job) {
            return free;
        }
        let boot = self.policy.catalog.slowest_boot_s();
        let each = spec.estimate_s.max(1.0);
        let rounds = (((left.as_secs() - boot) * USE / each).floor()).max(1.0);
        let placed = job
            .placements
            .keys()
            .filter(|i| !job.done.contains(**i))
            .count() as u32;
        let at_once = (f64::from(free + placed) / rounds).ceil() as u32;
        at_once.saturating_sub(placed).min(free)
    }

    /// Whether a machine for a job costs so little beside the dearest ones that there is nothing to
    /// weigh: then all its tasks may run at once.
    fn runs_cheaply(&self, job: &Job) -> bool {
        let fitting = (self.policy.catalog.types.iter())
            .filter(|t| Resources::of_machine(t).holds(&job.need))
            .filter(|t| (job.spec.types.as_ref()).is_none_or(|l| l.contains(&t.name)));
        let least = fitting.map(|t| t.price).fold(f64::INFINITY, f64::min);
        least * CHEAP <= self.policy.catalog.most_dear()
    }

    /// How many more tasks of a job its team's limits allow, at most `most`; they are charged.
    fn allowance(&self, job: &Job, most: u32, plan: &mut Plan) -> u32 {
        let need = amounts(&job.need);
        let mut n = 0;
        while n < most && plan.usage.within_limits(self, job, &need) {
            n += 1;
            plan.usage.charge(self, job, &need);
        }
        n
    }

    fn zones_of(&self, job: &Job) -> Zones {
        let mut zones = Zones::new();
        if has_zone_rules(&job.spec) {
            for (id, _) in job.placements.values().flatten() {
                if let Some(machine) = self.fleet.machines.get(id) {
                    *zones.entry(machine.zone.clone()).or_default() += 1;
                }
            }
        }
        zones
    }

    fn plan_tasks(&self, job: &Job, plan: &mut Plan, now: Now) {
        let mut left = self.allowance(job, self.tasks_wanted(job, now), plan);
        let mut zones = self.zones_of(job);
        left -= self.fill_bins(job, left, &mut plan.bins, &mut zones, None);
        while left > 0 {
            let Some(offer) = self.cheapest_offer(job, plan, &zones, now.time) else {
                return;
            };
            left -= self.rent_for(job, left, offer, plan, &mut zones);
        }
    }

    /// Rents machines of an offer for tasks of a job; returns for how many.
    fn rent_for(
        &self,
        job: &Job,
        left: u32,
        offer: InstanceOffer,
        plan: &mut Plan,
        zones: &mut Zones,
    ) -> u32 {
        let here = zones.get(&offer.zone).copied().unwrap_or(0);
        let tasks = left.min(job.spec.zone_cap().saturating_sub(here));
        let each = self.bin(offer.clone(), 1).each(job);
        if tasks == 0 || each == 0 {
            return left;
        }
        let machines = tasks.div_ceil(each);
        let (firm, count) = plan.wanted.entry(offer.clone()).or_default();
        *firm |= !job.is_preemptible();
        *count += machines;
        plan.bins.push(self.bin(offer, machines));
        self.fill_bins(job, tasks, &mut plan.bins, zones, None)
            .max(1)
    }

    /// Packs tasks of a job into bins; returns how many.
    fn fill_bins(
        &self,
        job: &Job,
        most: u32,
        bins: &mut Vec<Bin>,
        zones: &mut Zones,
        only: Option<&Zone>,
    ) -> u32 {
        let plain = job.need.gpus == 0 && self.policy.fits_without_gpus(&job.spec, &job.need);
        let mut left = most;
        let mut split = Vec::new();
        for bin in bins.iter_mut() {
            let o = &bin.offer;
            let wasted = plain && (bin.free.gpus > 0 || job.spec.kind == Kind::Service && bin.gpus);
            let here = zones.get(&o.zone).copied().unwrap_or(0);
            let room = left.min(job.spec.zone_cap().saturating_sub(here));
            let each = bin.each(job);
            if room == 0
                || each == 0
                || bin.machines == 0
                || wasted
                || only.is_some_and(|z| *z != o.zone)
                || !allowed(&job.spec, &o.machine_type, &o.zone, o.spot)
            {
                continue;
            }
            let tasks = room.min(each.saturating_mul(bin.machines));
            *zones.entry(o.zone.clone()).or_default() += tasks;
            left -= tasks;
            // Full machines, and one that is partly used.
            for (machines, tasks) in [
                (tasks / each, each),
                (u32::from(tasks % each > 0), tasks % each),
            ] {
                if machines > 0 {
                    bin.machines -= machines;
                    split.push(Bin {
                        offer: bin.offer.clone(),
                        gpus: bin.gpus,
                        free: bin.free - job.need.times(tasks),
                        sure: bin.sure - job.need.times(tasks),
                        machines,
                    });
                }
            }
        }
        bins.retain(|b| b.machines > 0);
        bins.extend(split);
        most - left
    }

    /// A gang in one zone: what is lacking there is rented as a whole, in the zone where least is.
    fn plan_gang(&self, job: &Job, snapshot: &Snapshot, plan: &mut Plan, now: Now) {
        let want = job.spec.tasks;
        if self.allowance(job, want, plan) < want {
            return;
        }
        let mut best: Option<(f64, Zone, u32)> = None;
        for zone in self.zones() {
            let have = self.spare_in(job, snapshot, plan, &zone) + in_bins(job, &plan.bins, &zone);
            let lacking = want.saturating_sub(have);
            let price = match self.cheapest_in(job, &zone, now.time) {
                Some((price, _)) => price,
                None if lacking == 0 => 0.0,
                None => continue,
            };
            let cost = f64::from(lacking) * price;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, zone, lacking));
            }
        }
        let Some((_, zone, lacking)) = best else {
            return;
        };
        let mut left = want - self.use_spare(job, want, snapshot, plan, &zone);
        let mut zones = Zones::new();
        left -= self.fill_bins(job, left, &mut plan.bins, &mut zones, Some(&zone));
        if left > 0 && lacking > 0 {
            if let Some((_, offer)) = self.cheapest_in(job, &zone, now.time) {
                self.rent_for(job, left, offer, plan, &mut zones);
            }
        }
    }

    /// All zones of the catalog.
    pub(crate) fn zones(&self) -> Vec<Zone> {
        let mut zones: Vec<Zone> = (self.policy.catalog.types.iter())
            .flat_map(|t| t.zones.iter().cloned())
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// Tasks of a gang that fit on free machines of a zone which no other gang counts on.
    fn spare_in(&self, job: &Job, snapshot: &Snapshot, plan: &Plan, zone: &Zone) -> u32 {
        (snapshot.candidates.iter().zip(&plan.spare))
            .filter(|(s, spare)| **spare && s.zone == *zone && fits(self, snapshot, job, s))
            .map(|(s, _)| s.free.count(&job.need))
            .sum()
    }

    fn use_spare(
        &self,
        job: &Job,
        most: u32,
        snapshot: &Snapshot,
        plan: &mut Plan,
        zone: &Zone,
    ) -> u32 {
        let mut used = 0;
        for (spot, spare) in snapshot.candidates.iter().zip(plan.spare.iter_mut()) {
            if used < most && *spare && spot.zone == *zone && fits(self, snapshot, job, spot) {
                used += spot.free.count(&job.need);
                *spare = false;
            }
        }
        used.min(most)
    }

    /// The cheapest open offer for a job in a zone, by price per task.
    fn cheapest_in(&self, job: &Job, zone: &Zone, now: Time) -> Option<(f64, InstanceOffer)> {
        let priced = self.priced_offers(job, now);
        (priced.into_iter())
            .filter(|(_, offer)| offer.zone == *zone)
            .min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Open offers that a job may use, with the price of each for one of its tasks.
    fn priced_offers(&self, job: &Job, now: Time) -> Vec<(f64, InstanceOffer)> {
        let plain = job.need.gpus == 0 && self.policy.fits_without_gpus(&job.spec, &job.need);
        let mut found = Vec::new();
        for machine_type in &self.policy.catalog.types {
            let room = Resources::of_machine(machine_type);
            let each = room.count(&job.need);
            if each == 0 || (plain && room.gpus > 0) {
                continue;
            }
            for offer in offers(machine_type) {
                // What comes up behind a cut can't report.
                let open = self.scale_out.is_open(&offer, now)
                    && !self.fleet.partitioned_zones.contains_key(&offer.zone)
                    && allowed(&job.spec, &offer.machine_type, &offer.zone, offer.spot);
                if let (true, Some(price)) = (open, price(machine_type, offer.spot)) {
                    found.push((price / f64::from(each), offer));
                }
            }
        }
        found
    }

    /// The offer with the lowest price for each task of the job that it would hold.
    fn cheapest_offer(
        &self,
        job: &Job,
        plan: &Plan,
        zones: &Zones,
        now: Time,
    ) -> Option<InstanceOffer> {
        let cap = job.spec.zone_cap();
        let machines = |zone: &Zone| -> u32 {
            (plan.bins.iter().filter(|b| b.offer.zone == *zone))
                .map(|b| b.machines)
                .sum()
        };
        (self.priced_offers(job, now).into_iter())
            .filter(|(_, o)| zones.get(&o.zone).copied().unwrap_or(0) < cap)
            // A whisker more for a zone that many machines come up in.
            .map(|(price, o)| (price * (1.0 + 0.001 * f64::from(machines(&o.zone))), o))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, offer)| offer)
    }
}

/// What is free on a machine that is up.
fn free_bin(spot: &CandidateMachine) -> Bin {
    Bin {
        offer: InstanceOffer {
            machine_type: spot.machine_type.clone(),
            zone: spot.zone.clone(),
            spot: spot.is_spot,
        },
        gpus: spot.capacity.gpus > 0,
        free: spot.free,
        sure: spot.free,
        machines: 1,
    }
}

/// Tasks of a job that fit into what comes up in a zone.
fn in_bins(job: &Job, bins: &[Bin], zone: &Zone) -> u32 {
    (bins.iter())
        .filter(|b| b.offer.zone == *zone)
        .filter(|b| allowed(&job.spec, &b.offer.machine_type, zone, b.offer.spot))
        .map(|b| b.each(job).saturating_mul(b.machines))
        .fold(0, u32::saturating_add)
}

fn offers(machine_type: &MachineType) -> impl Iterator<Item = InstanceOffer> + '_ {
    machine_type.zones.iter().flat_map(|zone| {
        [true, false].map(|spot| InstanceOffer {
            machine_type: machine_type.name.clone(),
            zone: zone.clone(),
            spot,
        })
    })
}

fn price(machine_type: &MachineType, spot: bool) -> Option<f64> {
    if spot {
        machine_type.spot_price
    } else {
        Some(machine_type.price)
    }
}

#[cfg(test)]
mod tests;

//! Renting and returning machines.

use crate::actions::allowed;
use crate::core::Core;
use crate::io::{CallId, CloudAnswer, CloudCall, Output};
use crate::job::Job;
use crate::lead::Lead;
use crate::possession::Machine;
use crate::snapshot::Snapshot;
use crate::tree::{amounts, Amounts};
use crate::units::{Now, Resources, Span, Time};
use rudderreel_wire::cloud::{ListedMachine, ListedState, MachineNames, MachineType, Rent};
use rudderreel_wire::ids::{Attempt, JobId, MachineId, TypeName, Zone};
use rudderreel_wire::job::Kind;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// A kind of machine on offer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// Machine type.
    pub machine_type: TypeName,
    /// Zone.
    pub zone: Zone,
    /// Spot or ordinary.
    pub spot: bool,
}

/// Rental requests of a leader.
#[derive(Default)]
pub struct Rentals {
    /// Requests that wait to go out, are out, or must be repeated.
    pub open: Vec<Rent>,
    /// Offers that were refused: until when they are not asked for again, and how often in a row.
    pub refused: BTreeMap<Offer, (Time, u32)>,
    named: u64,
}

/// Calls to the cloud, within its limit.
pub struct CloudCalls {
    next: u64,
    rate: f64,
    tokens: f64,
    filled: Time,
    queue: VecDeque<(CloudCall, CloudStep)>,
    open: HashMap<CallId, CloudStep>,
    /// No calls before this moment, after a refusal.
    pub after: Time,
    /// When the list is due.
    pub next_list: Time,
    /// When the catalog is due.
    pub next_catalog: Time,
}

/// What a call to the cloud is for.
#[derive(Clone, Debug)]
pub enum CloudStep {
    /// Read the machine types.
    Catalog,
    /// Rent.
    Rent(Rent),
    /// Return machines.
    Return(Vec<MachineId>),
    /// Read a page of the list.
    List,
}

/// The cloud charges a machine for so long at least.
const LEAST_CHARGE: Span = Span(60_000);
/// An offer that was refused is asked for again after so long, and twice as long each time, up to
/// a bound.
const REFUSED: Span = Span(4_000);
const REFUSED_MOST: u32 = 3;
/// A machine is given up when its worker has left so many probes unanswered.
const PROBES: u32 = 2;
/// Why idle machines are returned.
const IDLE: &str = "idle";
/// Most machines of one request.
const MOST: u32 = 50;

impl Rentals {
    fn refuse(&mut self, offer: Offer, now: Time) {
        let (until, times) = self.refused.entry(offer).or_default();
        *until = now + Span(REFUSED.0 << *times);
        *times = (*times + 1).min(REFUSED_MOST);
    }

    fn is_open(&self, offer: &Offer, now: Time) -> bool {
        self.refused
            .get(offer)
            .is_none_or(|(until, _)| now >= *until)
    }

    /// A machine was returned, so another like it can be had again.
    fn came_free(&mut self, offer: &Offer) {
        self.refused.remove(offer);
    }
}

impl CloudCalls {
    /// `rate` is how many calls a second may be made.
    pub fn new(rate: f64) -> Self {
        Self {
            next: 0,
            rate,
            tokens: rate,
            filled: Time(0),
            queue: VecDeque::new(),
            open: HashMap::new(),
            after: Time(0),
            next_list: Time(0),
            next_catalog: Time(0),
        }
    }

    /// Queues a call.
    pub fn call(&mut self, call: CloudCall, step: CloudStep) {
        self.queue.push_back((call, step));
    }

    /// What an answered call was for.
    pub fn finish(&mut self, id: CallId) -> Option<CloudStep> {
        self.open.remove(&id)
    }

    /// Forgets what has not gone out.
    pub fn clear(&mut self) {
        self.queue.clear();
        self.open.clear();
    }

    fn pump(&mut self, now: Time, out: &mut Vec<Output>) {
        self.tokens += (now - self.filled).as_secs() * self.rate;
        self.tokens = self.tokens.min(self.rate);
        self.filled = now;
        while self.tokens >= 1.0 && now >= self.after && self.open.len() < 3 {
            let Some((call, step)) = self.queue.pop_front() else {
                return;
            };
            self.tokens -= 1.0;
            self.next += 1;
            self.open.insert(CallId(self.next), step);
            out.push(Output::Cloud(CallId(self.next), call));
        }
    }

    fn has(&self, wanted: impl Fn(&CloudStep) -> bool) -> bool {
        self.open.values().any(&wanted) || self.queue.iter().any(|(_, s)| wanted(s))
    }
}

/// Room that is coming: a machine that boots, or one to be rented.
struct Bin {
    offer: Offer,
    gpus: bool,
    free: Resources,
    jobs: BTreeMap<JobId, u32>,
}

impl Lead {
    /// Decides which machines to rent for work that found no room.
    pub fn plan_capacity(&mut self, picture: &Snapshot, now: Now) {
        let mut bins = self.coming();
        let mut wanted: BTreeMap<Offer, u32> = BTreeMap::new();
        let mut used = picture.used.clone();
        let mut firm = picture.firm.clone();
        let mut jobs: Vec<&Job> = (self.jobs.values())
            .filter(|j| j.is_active() && j.free_tasks() > 0 && j.errors < 4)
            .collect();
        jobs.sort_by_key(|j| j.order());
        for job in jobs {
            let placed_now = job.places.len() as u32;
            let gang = job.spec.kind == Kind::Gang;
            if gang && placed_now > 0 {
                continue;
            }
            for _ in 0..job.free_tasks() {
                if !self.within(job, &used, &firm) {
                    break;
                }
                self.charge_planned(job, &mut used, &mut firm);
                if !self.fill_bin(job, &mut bins) {
                    let Some(offer) = self.cheapest_offer(job, &bins, now.time) else {
                        break;
                    };
                    *wanted.entry(offer.clone()).or_default() += 1;
                    let mut bin = self.bin(offer);
                    bin.take(job);
                    bins.push(bin);
                }
            }
        }
        for (offer, count) in wanted {
            self.rentals.named += 1;
            let request = format!("{}-{}", self.epoch, self.rentals.named);
            log::info!("renting {count} {offer:?} as {request}");
            self.rentals.open.push(Rent {
                request,
                machine_type: offer.machine_type,
                zone: offer.zone,
                spot: offer.spot,
                count: count.min(MOST),
            });
        }
    }

    fn coming(&self) -> Vec<Bin> {
        let booting = (self.machines.values())
            .filter(|m| m.last_heard.is_none() && m.retire.is_none() && m.returning.is_none())
            .map(|m| Offer {
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
            });
        let asked = self.rentals.open.iter().flat_map(|rent| {
            let offer = Offer {
                machine_type: rent.machine_type.clone(),
                zone: rent.zone.clone(),
                spot: rent.spot,
            };
            std::iter::repeat_n(offer, rent.count as usize)
        });
        booting.chain(asked).map(|offer| self.bin(offer)).collect()
    }

    fn bin(&self, offer: Offer) -> Bin {
        let free = self.room_of(&offer.machine_type);
        Bin {
            gpus: free.gpus > 0,
            free,
            offer,
            jobs: BTreeMap::new(),
        }
    }

    fn within(&self, job: &Job, used: &[Amounts], firm: &[Amounts]) -> bool {
        let need = amounts(&job.need);
        let Some(leaf) = self.tree.find(&job.spec.team) else {
            return false;
        };
        self.tree.chain(leaf).all(|n| {
            let team = &self.tree.nodes[n];
            let under = |have: &Amounts, cap: &Amounts| {
                (have.iter().zip(need).zip(cap)).all(|((h, x), c)| x <= 0.0 || h + x <= c + 1e-9)
            };
            under(&used[n], &team.limit) && (job.evictable() || under(&firm[n], &team.quota))
        })
    }

    fn charge_planned(&self, job: &Job, used: &mut [Amounts], firm: &mut [Amounts]) {
        let need = amounts(&job.need);
        if let Some(leaf) = self.tree.find(&job.spec.team) {
            for n in self.tree.chain(leaf) {
                crate::snapshot::add(&mut used[n], &need);
                if !job.evictable() {
                    crate::snapshot::add(&mut firm[n], &need);
                }
            }
        }
    }

    fn fill_bin(&self, job: &Job, bins: &mut [Bin]) -> bool {
        let in_zone = |bins: &[Bin], zone: &Zone| -> u32 {
            let planned = bins.iter().filter(|b| b.offer.zone == *zone);
            planned
                .filter_map(|b| b.jobs.get(&job.spec.id))
                .sum::<u32>()
                + self.placed_in(job, zone)
        };
        let found = (0..bins.len()).find(|&i| {
            let bin = &bins[i];
            let o = &bin.offer;
            bin.free.holds(&job.need)
                && allowed(&job.spec, &o.machine_type, &o.zone, o.spot)
                && !(job.need.gpus == 0
                    && (bin.free.gpus > 0 || job.spec.kind == Kind::Service && bin.gpus)
                    && self.fits_without_gpus(&job.spec, &job.need))
                && in_zone(bins, &o.zone) < job.spec.zone_cap()
        });
        if let Some(i) = found {
            bins[i].take(job);
        }
        found.is_some()
    }

    fn placed_in(&self, job: &Job, zone: &Zone) -> u32 {
        (job.places.values().flatten())
            .filter(|(id, _)| self.machines.get(id).is_some_and(|m| m.zone == *zone))
            .count() as u32
    }

    /// The offer with the lowest price for each task of the job that it would hold.
    fn cheapest_offer(&self, job: &Job, bins: &[Bin], now: Time) -> Option<Offer> {
        let mut best: Option<(f64, Offer)> = None;
        for machine_type in &self.catalog.types {
            let room = Resources::of_machine(machine_type);
            if job.need.gpus == 0 && room.gpus > 0 && self.fits_without_gpus(&job.spec, &job.need) {
                continue;
            }
            let count = room.count(&job.need);
            for offer in offers(machine_type) {
                let open = self.rentals.is_open(&offer, now)
                    && count > 0
                    && allowed(&job.spec, &offer.machine_type, &offer.zone, offer.spot);
                let planned: u32 = (bins.iter())
                    .filter(|b| b.offer.zone == offer.zone)
                    .filter_map(|b| b.jobs.get(&job.spec.id))
                    .sum();
                let there = planned + self.placed_in(job, &offer.zone);
                if !open || there >= job.spec.zone_cap() {
                    continue;
                }
                let Some(price) = price(machine_type, offer.spot) else {
                    continue;
                };
                let machines = bins.iter().filter(|b| b.offer.zone == offer.zone).count()
                    + (self.machines.values().filter(|m| m.zone == offer.zone)).count();
                // A whisker more for a zone that has many machines already.
                let cost = price / f64::from(count) * (1.0 + 0.001 * machines as f64);
                if best.as_ref().is_none_or(|(c, _)| cost < *c) {
                    best = Some((cost, offer));
                }
            }
        }
        best.map(|(_, offer)| offer)
    }

    /// Machines to return now: idle ones once they have been paid for, stuck and silent ones.
    fn due_returns(&mut self, now: Now) -> Vec<MachineId> {
        let boots: BTreeMap<TypeName, Span> = (self.catalog.types.iter())
            .map(|t| (t.name.clone(), Span::secs(t.boot_s * 4.0 + 30.0)))
            .collect();
        let (lease, fence) = (self.lease, self.fence);
        let (led, silence, heard) = (now.time - self.since, self.silence(), self.hears(now.time));
        let (spare_only, keep) = (self.spare_only(), self.keep_idle);
        let mut names = Vec::new();
        for machine in self.machines.values_mut() {
            let age = Lead::age(machine, now.wall);
            let boot = boots
                .get(&machine.machine_type)
                .copied()
                .unwrap_or(Span(180_000));
            match machine.last_heard {
                // This leader may not have been told yet that a machine of an earlier one is up.
                None if age > boot && led > Span(lease.0 * 2) => {
                    machine.retire.get_or_insert("never came up");
                }
                // Returning a machine is the fastest proof that what was on it is gone. If most
                // are silent, it is rather this node that is cut off.
                Some(last) if now.time - last > silence && heard => {
                    machine.retire.get_or_insert("silent");
                }
                Some(_) if machine.unanswered >= PROBES && heard => {
                    machine.retire.get_or_insert("does not answer");
                }
                Some(_) if machine.lease_surely_over(now.time, Span(lease.0 * 2), fence) => {
                    machine.retire.get_or_insert("silent for long");
                }
                _ => {}
            }
            let idle = machine.entries.is_empty() || spare_only.contains(&machine.id);
            if !idle {
                machine.idle = None;
            } else {
                let since = *machine.idle.get_or_insert(now.time);
                if machine.last_heard.is_some() && age > LEAST_CHARGE && now.time - since > keep {
                    machine.retire.get_or_insert(IDLE);
                }
            }
            let asked = machine
                .returning
                .is_some_and(|t| now.time - t < Span(5_000));
            let urgent = machine.retire.is_some_and(|why| why != IDLE);
            let due = machine.retire.is_some() && (urgent || machine.entries.is_empty());
            if due && !asked && names.len() < 100 {
                machine.returning = Some(now.time);
                log::info!("returning {}: {}", machine.id, machine.retire.unwrap_or(""));
                names.push(machine.id.clone());
            }
        }
        names
    }

    fn note_return(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get(id) {
            self.rentals.came_free(&Offer {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            });
        }
    }

    /// Machines with GPUs on which only evictable work without any runs: it was let in beside GPU
    /// work that has ended, and is not worth the machine.
    fn spare_only(&self) -> BTreeSet<MachineId> {
        let spare = |m: &&Machine| {
            m.room.gpus > 0
                && !m.entries.is_empty()
                && m.entries.iter().all(|e| {
                    let job = self.jobs.get(&e.task.job);
                    !e.holds_room()
                        || job.is_some_and(|j| {
                            j.need.gpus == 0
                                && j.evictable()
                                && self.fits_without_gpus(&j.spec, &j.need)
                        })
                })
        };
        (self.machines.values().filter(spare))
            .map(|m| m.id.clone())
            .collect()
    }

    /// Stops what is left on machines that are to be returned once they are empty.
    pub fn empty_retired(&mut self, now: Time) {
        let left: Vec<(MachineId, JobId, Attempt)> = (self.machines.values())
            .filter(|m| m.retire == Some(IDLE))
            .flat_map(|m| m.entries.iter().map(move |e| (m, e)))
            .filter(|(_, e)| e.holds_room() && e.stop.is_none())
            .map(|(m, e)| (m.id.clone(), e.task.job.clone(), e.attempt))
            .collect();
        for (machine, job, attempt) in left {
            let grace = self.jobs.get(&job).map_or(0.0, |j| j.spec.save_s);
            self.stop_on(
                &machine,
                &job,
                attempt,
                grace,
                "its machine is returned",
                now,
            );
        }
    }

    /// A machine that was not heard for so long has missed several reports.
    fn silence(&self) -> Span {
        Span((self.report.0 * 3).min(self.lease.0 * 3 / 4) + 1_000)
    }

    /// Whether most machines that were ever heard were heard lately, and some this moment: if not,
    /// it is rather this node that is cut off.
    fn hears(&self, now: Time) -> bool {
        let up: Vec<Time> = (self.machines.values())
            .filter_map(|m| m.last_heard)
            .collect();
        let heard = |within: u64| up.iter().filter(|&&t| now - t < Span(within)).count();
        heard(self.report.0 * 3 / 2 + 500) * 3 >= up.len() * 2
            && heard(self.report.0 / 2 + 100) * 5 >= up.len()
    }

    /// Machines whose workers have missed a report: they are probed.
    pub fn overdue(&self, now: Time) -> Vec<MachineId> {
        let late = Span(self.report.0 * 5 / 4 + 500);
        (self.machines.values())
            .filter(|m| m.last_heard.is_some_and(|t| now - t > late) && m.returning.is_none())
            .filter(|m| !m.direct_open && m.direct_after <= now && m.unanswered < PROBES)
            .map(|m| m.id.clone())
            .collect()
    }

    /// Takes in a page of the machine list, which may be older than what is known.
    fn learn_list(&mut self, listed: &[ListedMachine], now: Now) {
        for found in listed {
            if self.returned.contains_key(&found.id) {
                continue;
            }
            let room = self.room_of(&found.machine_type);
            let since = now
                .wall
                .0
                .saturating_sub((found.age_s.max(0.0) * 1000.0) as u64);
            let machine = self.machines.entry(found.id.clone()).or_insert_with(|| {
                let (t, z) = (found.machine_type.clone(), found.zone.clone());
                let since = crate::units::Wall(since);
                Machine::new(found.id.clone(), t, z, found.spot, room, since)
            });
            machine.listed = true;
            if found.state == ListedState::Failed {
                machine.retire.get_or_insert("failed");
            }
        }
    }
}

impl Bin {
    fn take(&mut self, job: &Job) {
        self.free -= job.need;
        *self.jobs.entry(job.spec.id.clone()).or_default() += 1;
    }
}

fn offers(machine_type: &MachineType) -> impl Iterator<Item = Offer> + '_ {
    machine_type.zones.iter().flat_map(|zone| {
        [true, false].map(|spot| Offer {
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

impl Core {
    /// Calls to the cloud that are due.
    pub(crate) fn cloud_tick(&mut self, now: Now) {
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        let cloud = &mut self.cloud;
        let catalog_due = now.time >= cloud.next_catalog;
        if catalog_due && !cloud.has(|s| matches!(s, CloudStep::Catalog)) {
            cloud.next_catalog = now.time + Span(5_000);
            cloud.call(CloudCall::Catalog, CloudStep::Catalog);
        }
        if !lead.ready || !lead.lease_valid(now.time) {
            return cloud.pump(now.time, &mut self.out);
        }
        let names = lead.due_returns(now);
        if !names.is_empty() {
            let call = CloudCall::Return(MachineNames {
                machines: names.clone(),
            });
            cloud.call(call, CloudStep::Return(names));
        }
        for rent in &lead.rentals.open {
            let open = cloud.has(|s| matches!(s, CloudStep::Rent(r) if r.request == rent.request));
            if !open {
                cloud.call(CloudCall::Rent(rent.clone()), CloudStep::Rent(rent.clone()));
            }
        }
        let list_due = now.time >= cloud.next_list;
        if list_due && !cloud.has(|s| matches!(s, CloudStep::List)) {
            cloud.next_list = now.time + Span(4_000);
            cloud.call(CloudCall::List(None), CloudStep::List);
        }
        cloud.pump(now.time, &mut self.out);
    }

    /// The cloud's answer.
    pub(crate) fn cloud_answer(&mut self, id: CallId, answer: CloudAnswer, now: Now) {
        let Some(step) = self.cloud.finish(id) else {
            return;
        };
        if matches!(answer, CloudAnswer::Refused | CloudAnswer::Unknown) {
            self.cloud.after = self.cloud.after.max(now.time + Span(700));
        }
        match (step, answer) {
            (CloudStep::Catalog, CloudAnswer::Catalog(catalog)) => {
                self.cloud.next_catalog = now.time + Span(60_000);
                if let Some(lead) = self.lead.as_mut() {
                    lead.learn_catalog(catalog.clone());
                    lead.wake(now.time);
                }
                if self.catalog.is_none() {
                    self.keep_catalog(&catalog);
                }
                self.catalog = Some(catalog);
            }
            (CloudStep::Rent(rent), answer) => self.rented(rent, answer, now),
            (CloudStep::Return(names), CloudAnswer::Returned) => {
                for id in names {
                    if let Some(lead) = self.lead.as_mut() {
                        lead.note_return(&id);
                    }
                    let record = self.lead.as_mut().and_then(|l| l.drop_machine(&id, now));
                    if let Some(version) = record {
                        self.clean(crate::records::machine_key(&id), version);
                    }
                }
            }
            (CloudStep::List, CloudAnswer::Page(page)) => {
                if let Some(lead) = self.lead.as_mut() {
                    lead.learn_list(&page.machines, now);
                }
                if page.more {
                    let last = page.machines.last().map(|m| m.id.clone());
                    self.cloud.call(CloudCall::List(last), CloudStep::List);
                }
            }
            _ => {}
        }
    }

    fn rented(&mut self, rent: Rent, answer: CloudAnswer, now: Now) {
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        let offer = Offer {
            machine_type: rent.machine_type.clone(),
            zone: rent.zone.clone(),
            spot: rent.spot,
        };
        match answer {
            CloudAnswer::Rented(names) => {
                lead.rentals.open.retain(|r| r.request != rent.request);
                if (names.machines.len() as u32) < rent.count {
                    lead.rentals.refuse(offer, now.time);
                } else {
                    lead.rentals.refused.remove(&offer);
                }
                for id in names.machines {
                    let room = lead.room_of(&rent.machine_type);
                    let (t, z) = (rent.machine_type.clone(), rent.zone.clone());
                    let mut machine = Machine::new(id, t, z, rent.spot, room, now.wall);
                    // Recorded, so that a later leader knows what is booting.
                    machine.dirty = true;
                    lead.expect_machine(machine);
                }
                lead.wake(now.time);
            }
            CloudAnswer::NoCapacity | CloudAnswer::Rejected => {
                lead.rentals.open.retain(|r| r.request != rent.request);
                lead.rentals.refuse(offer, now.time);
                lead.wake(now.time);
            }
            // It may have been carried out: the same request is repeated, by the same name.
            _ => {}
        }
    }
}

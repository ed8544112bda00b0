//! Renting and returning machines.

use crate::fleet::machine::Machine;
use crate::io::{CallId, CloudCall, Output};
use crate::leader::Leader;
use crate::units::{Now, Span, Time};
use rudderreel_wire::cloud::{
    ListedMachine, ListedState, Rent, MACHINES_PER_PAGE, MACHINES_PER_RETURN,
};
use rudderreel_wire::ids::{Attempt, Epoch, JobId, MachineId, TypeName, Zone};
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
    /// When idle machines may be returned: many at once, for calls are few.
    pub(crate) next_return: Time,
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
    /// Read a page of the list, after a machine.
    List(Option<MachineId>),
}

/// The cloud charges a machine for so long at least.
const LEAST_CHARGE: Span = Span(60_000);
/// An offer that was refused is asked for again after so long, and twice as long each time, up to
/// a bound.
const REFUSED: Span = Span(4_000);
const REFUSED_MOST: u32 = 3;
/// A machine that costs so many times less than the dearest is kept idle as long as that one; one that
/// costs still less, longer in proportion, up to so many times.
const KEEP_RATIO: f64 = 5.0;
const KEEP_MOST: f64 = 9.0;
/// The part of the calls to the cloud that the list may take.
const LIST_PART: f64 = 0.25;
/// Why idle machines are returned.
pub(crate) const IDLE: &str = "idle";

impl Rentals {
    pub(crate) fn refuse(&mut self, offer: Offer, now: Time) {
        let (until, times) = self.refused.entry(offer).or_default();
        *until = now + Span(REFUSED.0 << *times);
        *times = (*times + 1).min(REFUSED_MOST);
    }

    /// The name of a new request. It is never given out twice, since no epoch is.
    pub fn name(&mut self, epoch: Epoch) -> String {
        self.named += 1;
        format!("{epoch}-{}", self.named)
    }

    /// Whether an offer may be asked for.
    pub fn is_open(&self, offer: &Offer, now: Time) -> bool {
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
            tokens: rate.max(1.0),
            filled: Time(0),
            queue: VecDeque::new(),
            open: HashMap::new(),
            after: Time(0),
            next_list: Time(0),
            next_catalog: Time(0),
            next_return: Time(0),
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

    pub(crate) fn pump(&mut self, now: Time, out: &mut Vec<Output>) {
        // Bursts worth two seconds are allowed; one call is left for what the cloud counts otherwise.
        self.tokens += (now - self.filled).as_secs() * self.rate;
        self.tokens = self.tokens.min((self.rate * 2.0 - 1.0).max(1.0));
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

    /// In what time a fleet of a size may be listed once, so that its pages take a part of the calls.
    pub(crate) fn listing_span(&self, machines: usize) -> Span {
        let pages = machines.div_ceil(MACHINES_PER_PAGE).max(1);
        Span::secs(pages as f64 / (self.rate * LIST_PART))
    }

    pub(crate) fn has(&self, wanted: impl Fn(&CloudStep) -> bool) -> bool {
        self.open.values().any(&wanted) || self.queue.iter().any(|(_, s)| wanted(s))
    }
}

impl Leader {
    /// Machines to return now: idle ones once they have been paid for, stuck and silent ones.
    pub(crate) fn due_returns(&mut self, now: Now) -> Vec<MachineId> {
        let boots: BTreeMap<TypeName, Span> = (self.policy.catalog.types.iter())
            .map(|t| (t.name.clone(), Span::secs(t.boot_s * 4.0 + 30.0)))
            .collect();
        let spare_only = self.spare_only();
        let keeps = self.keep_times();
        let partitioned_zones: BTreeSet<Zone> =
            self.fleet.partitioned_zones.keys().cloned().collect();
        let lost = self.lost(now.time);
        let (led, lease) = (now.time - self.term.elected_at, self.agent_timings.lease);
        let mut names = Vec::new();
        for machine in self.fleet.machines.values_mut() {
            let age = Leader::age(machine, now.wall);
            let boot = (boots.get(&machine.machine_type).copied()).unwrap_or(Span(180_000));
            if let Some(why) = lost.get(&machine.id) {
                machine.retire.get_or_insert(why);
            }
            // This leader may not have been told yet that a machine of an earlier one is up.
            if machine.last_heard.is_none() && age > boot && led > Span(lease.0 * 2) {
                machine.retire.get_or_insert("never came up");
            }
            let keep = (keeps
                .get(&(machine.machine_type.clone(), machine.spot))
                .copied())
            .unwrap_or(self.policy.idle_retention);
            // Behind a cut it can't be used, and is not idle for that.
            let idle = !partitioned_zones.contains(&machine.zone) && machine.entries.is_empty()
                || spare_only.contains(&machine.id);
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
            if due && !asked && names.len() < MACHINES_PER_RETURN {
                names.push(machine.id.clone());
            }
        }
        names
    }

    /// How long idle machines are kept, by type and kind: the cheaper beside the dearest that the
    /// cloud has, the longer. Next to machines with GPUs the rest cost next to nothing, and the next
    /// job has to wait for a boot if they are gone.
    fn keep_times(&self) -> BTreeMap<(TypeName, bool), Span> {
        let most = self.policy.catalog.most_dear();
        let kinds = (self.policy.catalog.types.iter())
            .flat_map(|t| [(t, false, Some(t.price)), (t, true, t.spot_price)]);
        kinds
            .filter_map(|(t, spot, price)| {
                let times = (most / price?.max(1e-9) / KEEP_RATIO).clamp(1.0, KEEP_MOST);
                let keep = (self.policy.idle_retention.0 as f64 * times) as u64;
                Some(((t.name.clone(), spot), Span(keep)))
            })
            .collect()
    }

    pub(crate) fn note_returning(&mut self, names: &[MachineId], now: Now) {
        for id in names {
            if let Some(machine) = self.fleet.machines.get_mut(id) {
                machine.returning = Some(now.time);
                log::info!("returning {id}: {}", machine.retire.unwrap_or(""));
            }
        }
    }

    pub(crate) fn note_return(&mut self, id: &MachineId) {
        if let Some(machine) = self.fleet.machines.get(id) {
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
                                && j.is_preemptible()
                                && self.policy.fits_without_gpus(&j.spec, &j.need)
                        })
                })
        };
        (self.fleet.machines.values().filter(spare))
            .map(|m| m.id.clone())
            .collect()
    }

    /// Stops what is left on machines that are to be returned once they are empty.
    pub fn empty_retired(&mut self, now: Time) {
        let left: Vec<(MachineId, JobId, Attempt)> = (self.fleet.machines.values())
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

    /// Takes in a page of the machine list, which may be older than what is known.
    pub(crate) fn learn_list(&mut self, listed: &[ListedMachine], now: Now) {
        for found in listed {
            if self.fleet.returned.contains_key(&found.id) {
                continue;
            }
            let room = self.policy.capacity_of(&found.machine_type);
            let since = now
                .wall
                .0
                .saturating_sub((found.age_s.max(0.0) * 1000.0) as u64);
            let machine = self
                .fleet
                .machines
                .entry(found.id.clone())
                .or_insert_with(|| {
                    let (t, z) = (found.machine_type.clone(), found.zone.clone());
                    let since = crate::units::Wall(since);
                    Machine::new(found.id.clone(), t, z, found.spot, room, since)
                });
            machine.listed = true;
            if machine.addr.is_none() {
                machine.addr = found.addr.clone();
            }
            if found.state == ListedState::Failed {
                machine.retire.get_or_insert("failed");
            }
        }
    }
}

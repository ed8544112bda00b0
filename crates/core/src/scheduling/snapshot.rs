//! The picture that a cycle decides on. It is frozen when the cycle begins; what the cycle decides
//! is noted in it through a `statement`, and becomes real only when that is committed.
//!
//! It is made anew for each cycle from several hundred machines, so names that are compared often
//! are numbers here.

use crate::fleet::machine::{Machine, PlacedTask};
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::teams::team_tree::{amounts, Amounts, KINDS};
use crate::units::{Now, Resources, Span, Time};
use rudderreel_wire::ids::{Attempt, Image, JobId, MachineId, TaskId, TypeName, Zone};
use rudderreel_wire::job::{JobSpec, Kind};
use std::collections::{BTreeSet, HashMap};

/// What has run longer than its owner thought runs on for this part of the time it has run.
const RUNS_ON: f64 = 0.3;
/// Whatever runs takes so many seconds more at least.
const LEAST_LEFT_S: f64 = 2.0;

/// A machine that work can be placed on.
#[derive(Clone, Debug)]
pub struct CandidateMachine {
    /// The machine.
    pub id: MachineId,
    /// Its type.
    pub machine_type: TypeName,
    /// Its zone.
    pub zone: Zone,
    /// The zone's number.
    pub zone_no: usize,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What it offers.
    pub room: Resources,
    /// What is free.
    pub free: Resources,
    /// Numbers of the images it has.
    pub images: Vec<u32>,
    /// Numbers of the images being fetched.
    pub fetching: Vec<u32>,
    /// Replicas by service, to spread them.
    pub services: Vec<(JobId, u32)>,
    /// Replicas on it.
    pub replicas: u32,
    /// Room of work that could be evicted for work of the highest priority.
    pub is_preemptible: Resources,
    /// Free room that is held back from evictable work.
    pub held: Resources,
    /// Room of tasks that end by themselves.
    pub ending: Resources,
    /// In how many seconds the last of them will probably have ended.
    pub ended_in_s: f64,
    /// It is kept for a gang for which room is gathered, which will have enough in so many seconds.
    pub kept_for: Option<(JobId, f64)>,
}

/// The picture.
pub struct Snapshot {
    /// Machines that work can be placed on.
    pub candidates: Vec<CandidateMachine>,
    /// By node of the tree: what may be in use, everything not surely gone.
    pub used: Vec<Amounts>,
    /// By node of the tree: what of that counts for shares.
    pub counted: Vec<Amounts>,
    /// Whether GPUs are shared apart from all else.
    apart: bool,
    /// By node of the tree: fair share with all room counted together.
    share_of_all: Vec<Amounts>,
    /// By node of the tree: what is used by work that can't be evicted.
    pub firm: Vec<Amounts>,
    /// By node of the tree: fair share.
    pub share: Vec<Amounts>,
    /// By job bound to zones: tasks in each zone that may exist.
    zones: HashMap<JobId, Vec<u32>>,
    /// Zones by number.
    pub zone_names: Vec<Zone>,
    /// Gangs for which room is gathered.
    pub gathering: BTreeSet<JobId>,
    /// When it was taken.
    pub now: Now,
    images: HashMap<Image, u32>,
    /// Tasks that are to be evicted.
    evicted: BTreeSet<(TaskId, Attempt)>,
    /// By job: tasks placed in this cycle.
    taken: HashMap<JobId, usize>,
}

/// Whether new work may be placed on a machine.
pub fn usable(machine: &Machine, leader: &Leader, now: Time) -> bool {
    let fresh =
        (machine.last_heard_at).is_some_and(|t| now - t < Span(leader.agent_timings.lease.0 / 2));
    machine.is_reconciled(leader.term.epoch)
        && fresh
        && !leader.fleet.partitioned_zones.contains_key(&machine.zone)
        // Heard is not commanded: while its worker leaves calls unanswered it gets nothing new.
        && machine.unanswered_calls == 0
        && machine.reclaim_at.is_none()
        && machine.retire_reason.is_none()
        && machine.return_requested_at.is_none()
        && machine.quarantined_until <= now
        && machine.cordoned_until <= now
}

/// Whether a job's tasks are bound to where others of it are.
pub fn is_bound(spec: &JobSpec) -> bool {
    spec.spread || spec.one_zone
}

/// In how many seconds a task that ends by itself will probably have ended.
fn seconds_left(entry: &PlacedTask, spec: &JobSpec, now: Time) -> f64 {
    let ran_s = entry
        .running_since
        .map_or(0.0, |since| (now - since).as_secs());
    // What has run longer than its owner thought will run for a while yet.
    let longer_s = ran_s * RUNS_ON;
    (spec.estimate_s - ran_s).max(longer_s).max(LEAST_LEFT_S)
}

impl Snapshot {
    /// Takes the picture.
    pub fn take(leader: &Leader, now: Now) -> Self {
        let nodes = leader.policy.teams.nodes.len();
        let mut snapshot = Self {
            candidates: Vec::new(),
            used: vec![[0.0; KINDS]; nodes],
            counted: vec![[0.0; KINDS]; nodes],
            apart: leader.policy.catalog.types.iter().any(|t| t.gpus <= 0.0),
            firm: vec![[0.0; KINDS]; nodes],
            share_of_all: vec![[0.0; KINDS]; nodes],
            share: vec![[0.0; KINDS]; nodes],
            zones: HashMap::new(),
            zone_names: Vec::new(),
            gathering: BTreeSet::new(),
            now,
            images: HashMap::new(),
            evicted: BTreeSet::new(),
            taken: HashMap::new(),
        };
        let mut total = [0.0; KINDS];
        let mut all = [0.0; KINDS];
        for machine in leader.fleet.machines.values() {
            if machine.retire_reason.is_none() && machine.return_requested_at.is_none() {
                add(&mut total, &snapshot.shared_room(machine));
                add(&mut all, &amounts(&machine.capacity));
            }
            if usable(machine, leader, now.time) {
                let spot = snapshot.spot(leader, machine);
                snapshot.candidates.push(spot);
            }
        }
        for job in leader.jobs.values().filter(|j| !j.placements.is_empty()) {
            snapshot.count(leader, job);
        }
        let mut requested = snapshot.counted.clone();
        let mut of_all = snapshot.used.clone();
        let mut firm = snapshot.firm.clone();
        for job in leader.jobs.values().filter(|j| j.is_active()) {
            snapshot.image_no(&job.spec.image);
            let whole = amounts(&job.need.times(job.startable_tasks()));
            let need = snapshot.for_shares(&whole);
            if let Some(leaf) = leader.policy.teams.find(&job.spec.team) {
                add(&mut of_all[leaf], &whole);
                add(&mut requested[leaf], &need);
                if !job.is_preemptible() {
                    add(&mut firm[leaf], &need);
                }
            }
        }
        requested[0] = [0.0; KINDS];
        of_all[0] = [0.0; KINDS];
        snapshot.share =
            crate::teams::fair_share::fair_shares(&leader.policy.teams, total, &requested, &firm);
        snapshot.share_of_all =
            crate::teams::fair_share::fair_shares(&leader.policy.teams, all, &of_all, &firm);
        snapshot
    }

    /// Counts what a job may have anywhere.
    fn count(&mut self, leader: &Leader, job: &Job) {
        self.charge(
            leader,
            job,
            &amounts(&job.need.times(job.placement_count())),
        );
        if !is_bound(&job.spec) {
            return;
        }
        for (id, _) in job.placements.values().flatten() {
            if let Some(machine) = leader.fleet.machines.get(id) {
                let zone = self.zone_no(&machine.zone);
                self.note_zone(&job.spec.id, zone, 1);
            }
        }
    }

    fn zone_no(&mut self, zone: &Zone) -> usize {
        match self.zone_names.iter().position(|z| z == zone) {
            Some(no) => no,
            None => {
                self.zone_names.push(zone.clone());
                self.zone_names.len() - 1
            }
        }
    }

    fn image_no(&mut self, image: &Image) -> u32 {
        let next = self.images.len() as u32;
        *self.images.entry(image.clone()).or_insert(next)
    }

    /// The number of an image, if any machine has or fetches it.
    pub fn image(&self, image: &Image) -> Option<u32> {
        self.images.get(image).copied()
    }

    fn spot(&mut self, leader: &Leader, machine: &Machine) -> CandidateMachine {
        let mut spot = CandidateMachine {
            id: machine.id.clone(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            zone_no: self.zone_no(&machine.zone),
            spot: machine.is_spot,
            room: machine.capacity,
            free: machine.free(),
            images: machine
                .cached_images
                .iter()
                .map(|i| self.image_no(i))
                .collect(),
            fetching: Vec::new(),
            services: Vec::new(),
            replicas: 0,
            is_preemptible: Resources::default(),
            held: Resources::default(),
            ending: Resources::default(),
            ended_in_s: 0.0,
            kept_for: None,
        };
        for entry in machine.tasks.iter().filter(|e| e.occupies_capacity()) {
            let Some(spec) = &entry.spec else {
                continue;
            };
            if entry.running_since.is_none() {
                let image = self.image_no(&spec.image);
                spot.fetching.push(image);
            }
            if spec.kind == Kind::Service {
                spot.shift_service(&spec.id, 1);
            } else {
                spot.ending += entry.need;
                spot.ended_in_s = spot
                    .ended_in_s
                    .max(seconds_left(entry, spec, self.now.time));
            }
            let active = leader.jobs.get(&spec.id).is_some_and(|j| j.is_active());
            if !crate::jobs::job::is_non_preemptible(spec) && entry.stop.is_none() && active {
                spot.is_preemptible += entry.need;
            }
        }
        spot
    }

    /// What counts for shares of what a job, or some of its tasks, take. Work without GPUs stays off
    /// machines with GPUs where it can, so their CPUs are no room that it could be lent: counted with
    /// the rest they made every team seem to stay within its share, and nothing was ever taken back.
    /// So work with GPUs counts by these, and all else by what machines without GPUs have.
    pub fn for_shares(&self, need: &Amounts) -> Amounts {
        if self.apart && need[1] != 0.0 {
            [0.0, need[1], 0.0]
        } else {
            *need
        }
    }

    /// What teams use and their shares, as they count for taking room back for a job, and what so
    /// much comes to. Work on GPUs is stopped only where its team is above its share of all that it
    /// takes: by GPUs alone, gangs of grown prairie stopped one another and fewer were done in time.
    pub fn lending<'a>(&'a self, job: &Job) -> Lending<'a> {
        if job.need.gpus > 0 {
            Lending {
                used: &self.used,
                share: &self.share_of_all,
                whole: true,
                snapshot: self,
            }
        } else {
            Lending {
                used: &self.counted,
                share: &self.share,
                whole: false,
                snapshot: self,
            }
        }
    }

    /// What a machine adds to the room that is shared.
    fn shared_room(&self, machine: &Machine) -> Amounts {
        let room = amounts(&machine.capacity);
        if !self.apart || room[1] <= 0.0 {
            return room;
        }
        // What runs there without GPUs all the same has its room.
        let mut shared = [0.0, room[1], 0.0];
        for entry in machine.tasks.iter().filter(|e| e.occupies_capacity()) {
            if entry.need.gpus == 0 {
                add(&mut shared, &amounts(&entry.need));
            }
        }
        shared
    }

    /// Adds to what a job's team uses, and all above it.
    pub fn charge(&mut self, leader: &Leader, job: &Job, need: &Amounts) {
        if let Some(leaf) = leader.policy.teams.find(&job.spec.team) {
            let counted = self.for_shares(need);
            for node in leader.policy.teams.chain(leaf) {
                add(&mut self.used[node], need);
                add(&mut self.counted[node], &counted);
                if !job.is_preemptible() {
                    add(&mut self.firm[node], need);
                }
            }
        }
    }

    /// Whether a job's team, and all above it, may use so much more.
    pub fn within_limits(&self, leader: &Leader, job: &Job, need: &Amounts) -> bool {
        within(leader, job, need, &self.used, &self.firm)
    }

    /// Tasks of a bound job in each zone.
    pub fn zones_of(&self, job: &JobId) -> &[u32] {
        self.zones.get(job).map_or(&[], Vec::as_slice)
    }

    /// Notes that a task of a bound job may be in a zone, or is not.
    pub fn note_zone(&mut self, job: &JobId, zone: usize, change: i32) {
        let zones = self.zones.entry(job.clone()).or_default();
        if zones.len() <= zone {
            zones.resize(zone + 1, 0);
        }
        zones[zone] = zones[zone].saturating_add_signed(change);
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
        !self.evicted.is_empty() && self.evicted.contains(&(task.clone(), attempt))
    }

    /// Simulates an eviction.
    pub fn evict(
        &mut self,
        leader: &Leader,
        at: usize,
        task: &TaskId,
        attempt: Attempt,
        need: &Resources,
    ) {
        self.evicted.insert((task.clone(), attempt));
        self.shift(leader, at, task, need, -1);
    }

    /// Takes a simulated eviction back.
    pub fn restore(
        &mut self,
        leader: &Leader,
        at: usize,
        task: &TaskId,
        attempt: Attempt,
        need: &Resources,
    ) {
        self.evicted.remove(&(task.clone(), attempt));
        self.shift(leader, at, task, need, 1);
    }

    fn shift(&mut self, leader: &Leader, at: usize, task: &TaskId, need: &Resources, sign: i32) {
        let Some(job) = leader.jobs.get(&task.job) else {
            return;
        };
        let amount = amounts(need).map(|x| x * f64::from(sign));
        self.charge(leader, job, &amount);
        let spot = &mut self.candidates[at];
        if sign < 0 {
            spot.free += *need;
            spot.is_preemptible -= *need;
        } else {
            spot.free -= *need;
            spot.is_preemptible += *need;
        }
        if job.spec.kind == Kind::Service {
            spot.shift_service(&task.job, sign);
        }
        let zone = spot.zone_no;
        if is_bound(&job.spec) {
            self.note_zone(&task.job, zone, sign);
        }
    }

    /// Whether there is room for the urgent work that may come before a machine could be had,
    /// even without one of the machines. Work that would be evicted for it counts as room.
    pub fn keeps_reserve(&self, leader: &Leader, without: Option<usize>) -> bool {
        let room = |need: &Resources, image: Option<u32>| -> u32 {
            (self.candidates.iter().enumerate())
                .filter(|(i, s)| {
                    Some(*i) != without && image.is_some_and(|no| s.images.contains(&no))
                })
                .map(|(_, s)| (s.free + s.is_preemptible).count(need))
                .sum()
        };
        leader.reserve_for_arrivals(self.now).iter().all(|reserve| {
            // Room without the image would mean a fetch, so each image has its part.
            let part = reserve.tasks.div_ceil(reserve.images.len().max(1) as u32);
            (reserve.images.iter()).all(|image| room(&reserve.need, self.image(image)) >= part)
        })
    }

    /// Replicas that one machine should hold at most, so that its loss is not felt too much.
    pub fn replica_cap(&self) -> u32 {
        (self.candidates.iter().map(|s| s.replicas).sum::<u32>() / 4).max(4)
    }

    /// Holds free room back for urgent work that may come before a machine could be had, where its
    /// image is. A single team needs none: its own work yields by priority.
    pub fn hold_reserve(&mut self, leader: &Leader) {
        if leader.policy.teams.nodes.len() <= 2 {
            return;
        }
        for spot in &mut self.candidates {
            spot.held = Resources::default();
        }
        for reserve in leader.reserve_for_arrivals(self.now) {
            let images: Vec<u32> = (reserve.images.iter())
                .filter_map(|i| self.image(i))
                .collect();
            let mut places: Vec<(usize, i64, usize)> = (self.candidates.iter().enumerate())
                .filter(|(_, s)| s.room.gpus == 0 && !s.spot)
                .filter(|(_, s)| (s.free - s.held).holds(&reserve.need))
                .map(|(i, s)| {
                    let missing = images.iter().filter(|no| !s.images.contains(no)).count();
                    (missing, (s.free - s.held).cpus, i)
                })
                .collect();
            places.sort_unstable();
            let mut left = reserve.tasks;
            for (_, _, i) in places {
                let spot = &mut self.candidates[i];
                let n = (spot.free - spot.held).count(&reserve.need).min(left);
                spot.held += reserve.need.times(n);
                left -= n;
            }
        }
    }

    /// What a node of the tree uses and its fair share.
    pub fn team_usage(&self, node: usize) -> TeamUsage {
        TeamUsage {
            used: self.used[node],
            counted: self.counted[node],
            fair_share: self.share[node],
        }
    }

    /// How full a team is.
    pub fn saturation(&self, leaf: usize) -> f64 {
        crate::teams::fair_share::saturation(&self.counted[leaf], &self.share[leaf])
    }
}

impl CandidateMachine {
    /// Notes a replica more or less.
    pub fn shift_service(&mut self, job: &JobId, change: i32) {
        self.replicas = self.replicas.saturating_add_signed(change);
        match self.services.iter_mut().find(|(id, _)| id == job) {
            Some((_, n)) => *n = n.saturating_add_signed(change),
            None if change > 0 => self.services.push((job.clone(), change as u32)),
            None => {}
        }
    }

    /// How many images it fetches.
    pub fn fetches(&self) -> u32 {
        let new = |(i, no): &(usize, &u32)| {
            !self.images.contains(no) && !self.fetching[..*i].contains(no)
        };
        self.fetching.iter().enumerate().filter(new).count() as u32
    }

    /// Replicas of a service on it.
    pub fn replicas_of(&self, job: &JobId) -> u32 {
        let found = self.services.iter().find(|(id, _)| id == job);
        found.map_or(0, |(_, n)| *n)
    }
}

/// What a node of the team tree uses and its fair share.
#[derive(Clone, Copy, Debug)]
pub struct TeamUsage {
    /// Everything that is not surely gone.
    pub used: Amounts,
    /// What of that counts for fair shares.
    pub counted: Amounts,
    /// The fair share.
    pub fair_share: Amounts,
}

/// What counts for taking room back for a job.
pub struct Lending<'a> {
    /// By node of the tree: what is used.
    pub used: &'a [Amounts],
    /// By node of the tree: fair share.
    pub share: &'a [Amounts],
    whole: bool,
    snapshot: &'a Snapshot,
}

impl Lending<'_> {
    /// What an amount counts for.
    pub fn counts(&self, need: &Resources) -> Amounts {
        let need = amounts(need);
        if self.whole {
            need
        } else {
            self.snapshot.for_shares(&need)
        }
    }
}

/// Whether a job's team, and all above it, may use so much more than is used.
pub fn within(
    leader: &Leader,
    job: &Job,
    need: &Amounts,
    used: &[Amounts],
    firm: &[Amounts],
) -> bool {
    let Some(leaf) = leader.policy.teams.find(&job.spec.team) else {
        return false;
    };
    leader.policy.teams.chain(leaf).all(|node| {
        let team = &leader.policy.teams.nodes[node];
        let fits = |used: &Amounts, cap: &Amounts| {
            (0..KINDS).all(|k| need[k] <= 0.0 || used[k] + need[k] <= cap[k] + 1e-9)
        };
        fits(&used[node], &team.limit) && (job.is_preemptible() || fits(&firm[node], &team.quota))
    })
}

/// Adds amounts.
pub fn add(to: &mut Amounts, more: &Amounts) {
    for (sum, x) in to.iter_mut().zip(more) {
        *sum += x;
    }
}

//! What a leader holds and does: workers' reports, commands, commits of its books.

use crate::admin::{Latency, StopNote};
use crate::books::{page_bytes, Books};
use crate::capacity::Rentals;
use crate::directory::Directory;
use crate::election::{LEASE, WORD};
use crate::job::{is_firm, Job};
use crate::possession::{Change, Entry, Machine, Phase, Stop};
use crate::records::PageId;
use crate::tree::TeamTree;
use crate::units::{Now, Resources, Span, Time, Wall};
use rudderreel_wire::admin::AdminSettings;
use rudderreel_wire::cloud::{Catalog, MachineType};
use rudderreel_wire::ids::{
    Attempt, Class, Epoch, Image, JobId, LeaseId, MachineId, NodeName, Session, TaskId, TypeName,
    Version, Zone,
};
use rudderreel_wire::job::{JobSpec, Kind};
use rudderreel_wire::settings::Settings;
use rudderreel_wire::worker::{Cause, Command, Report, TaskReport, TaskState};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a node holds while it leads.
pub struct Lead {
    /// The epoch, which is the token.
    pub epoch: Epoch,
    /// The lease that the leader's key hangs on.
    pub lease_id: LeaseId,
    /// Until when the lease is surely alive.
    pub lease_until: Time,
    /// The version of the leader's key, on which every write depends.
    pub version: Version,
    /// Since when it leads.
    pub since: Time,
    /// When each node last acknowledged the epoch, by the sending of the heartbeat.
    pub acks: BTreeMap<NodeName, Time>,
    /// From when on no older leader answers workers; none while that is not known.
    pub fence: Option<Time>,
    /// When each node last gave its word, by the sending of the heartbeat.
    pub words: BTreeMap<NodeName, Time>,
    /// Whether the state has been read back.
    pub ready: bool,
    /// A page that has to be asked for again, and when.
    pub(crate) read_again: Option<(Time, &'static str, Option<String>)>,
    /// Reports that came before that.
    pub early: BTreeMap<MachineId, Report>,
    /// Machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines that were returned.
    pub returned: BTreeMap<MachineId, Time>,
    /// Jobs that are not done.
    pub jobs: BTreeMap<JobId, Job>,
    /// The teams.
    pub tree: TeamTree,
    /// Machine types.
    pub catalog: Catalog,
    /// How long a worker goes on without an answer.
    pub lease: Span,
    /// Interval of workers' reports.
    pub report: Span,
    /// How long a cancelled job's tasks may remain.
    pub cancel: Span,
    /// Damps reclaim.
    pub multiplier: f64,
    /// Younger work is not evicted.
    pub min_runtime: Span,
    /// The same for preemption within a team.
    pub preempt_min_runtime: Span,
    /// How soon tasks of a class should start, where users say so.
    pub wait_aims: BTreeMap<Class, Span>,
    /// The shortest time in which users want jobs of a class done.
    pub done_aims: BTreeMap<Class, Span>,
    /// Bytes that a page of the books may have.
    pub page_bytes: usize,
    /// Changes that a commit may make.
    pub page_ops: usize,
    /// What is recorded.
    pub books: Books,
    /// Whether something may wait to be recorded, so that the books are looked through only then.
    pub unrecorded: bool,
    /// Seconds between cycles when nothing calls for one sooner.
    pub period: Span,
    /// How long an idle machine is kept.
    pub keep_idle: Span,
    /// How much room is kept for urgent arrivals.
    pub reserve_factor: f64,
    /// Tasks that were stopped lately.
    pub stops: VecDeque<StopNote>,
    /// What has happened, counted.
    pub counters: BTreeMap<&'static str, u64>,
    /// How long tasks waited for their first start, by class.
    pub waits: BTreeMap<Class, Latency>,
    /// Gangs for which room is gathered.
    pub gathering: BTreeSet<JobId>,
    /// Rental requests.
    pub rentals: Rentals,
    /// When replicas may be moved next.
    pub next_move: Time,
    /// When the next cycle is due.
    pub next_cycle: Time,
    /// When the epoch was last raised, and whether that is under way.
    pub raised: (Time, bool),
    /// Direct calls that may be made now, and when that was counted.
    pub calls_left: f64,
    calls_at: Time,
    /// When any worker last answered a direct call, and how many have not since.
    pub last_reaction: Time,
    pub(crate) unanswered: u32,
    /// Zones that are cut off, and since when nothing was heard of them, as far as is known: a
    /// leader before this one may have noticed.
    pub dark: BTreeMap<Zone, Time>,
    pub(crate) dark_before: BTreeMap<Zone, Time>,
    /// Since when zones that were cut off no longer are.
    pub(crate) lit: BTreeMap<Zone, Time>,
    /// Until when machines are in doubt that have not missed a report yet.
    pub(crate) suspicion: Time,
    /// Tells starts apart.
    attempts: u64,
}

/// The least time between two cycles when there is something to do.
const DEBOUNCE: Span = Span(60);
/// The design's period.
pub const PERIOD: Span = Span(2_000);
/// A placement that could not start for so long is taken back.
pub(crate) const STALLED: Span = Span(10_000);
/// Stops that are remembered.
const STOPS: usize = 100;
/// Direct calls a second. They make a start sooner than the next report would; each costs a
/// connection, so in a rush what can wait is told when it reports.
const DIRECT_RATE: f64 = 50.0;
/// And one more for so many machines: a zone that comes back has hundreds of starts waiting, and
/// workers of a large fleet report less often.
const DIRECT_PER: f64 = 10.0;
/// So many calls in a row without an answer, over so long, show that no worker can be reached.
const UNREACHED_CALLS: u32 = 3;
const UNREACHED: Span = Span(3_000);
/// How far back arrivals are looked at.
pub(crate) const LATELY: Span = Span(120_000);

/// Room to be kept for urgent work.
#[derive(Clone, Debug)]
pub struct Reserve {
    /// What one task takes.
    pub need: Resources,
    /// How many may come.
    pub tasks: u32,
    /// The images that they may need.
    pub images: BTreeSet<Image>,
}

impl Lead {
    /// A leader that has just won.
    pub fn new(
        settings: &Settings,
        tree: TeamTree,
        epoch: Epoch,
        lease_id: LeaseId,
        lease_sent: Time,
        version: Version,
        now: Time,
    ) -> Self {
        let workers = &settings.params.workers;
        Self {
            epoch,
            lease_id,
            lease_until: alive_until(lease_sent),
            version,
            since: now,
            acks: BTreeMap::new(),
            fence: None,
            words: BTreeMap::new(),
            ready: false,
            read_again: None,
            early: BTreeMap::new(),
            machines: BTreeMap::new(),
            returned: BTreeMap::new(),
            jobs: BTreeMap::new(),
            tree,
            catalog: Catalog::default(),
            lease: Span::secs(workers.lease_s),
            report: Span::secs(workers.report_s),
            cancel: Span::secs(workers.cancel_s),
            multiplier: 1.0,
            min_runtime: Span(30_000),
            preempt_min_runtime: Span(0),
            wait_aims: aims(settings, "wait"),
            done_aims: aims(settings, "finished"),
            page_bytes: page_bytes(settings.params.state.value_kb),
            page_ops: settings.params.state.txn_ops.max(2),
            books: Books::default(),
            unrecorded: true,
            period: PERIOD,
            keep_idle: Span(20_000),
            reserve_factor: 1.0,
            stops: VecDeque::new(),
            counters: BTreeMap::new(),
            waits: BTreeMap::new(),
            gathering: BTreeSet::new(),
            rentals: Rentals::default(),
            next_move: now + Span(20_000),
            next_cycle: now,
            raised: (now, false),
            calls_left: DIRECT_RATE,
            calls_at: now,
            last_reaction: now,
            unanswered: 0,
            dark: BTreeMap::new(),
            dark_before: BTreeMap::new(),
            lit: BTreeMap::new(),
            suspicion: now,
            attempts: 0,
        }
    }

    /// How many machines there are, for the other nodes: as long as that is not read back, as if
    /// there were many, so that not all workers come here at once.
    pub fn fleet_size(&self) -> u32 {
        if self.ready {
            self.machines.len() as u32
        } else {
            u32::MAX
        }
    }

    /// Takes up operators' settings.
    pub fn take_up(&mut self, tree: TeamTree, settings: &AdminSettings) {
        self.tree = tree;
        self.period = Span::secs(settings.period_s);
        self.multiplier = settings.reclaim_multiplier;
        self.min_runtime = Span::secs(settings.reclaim_min_runtime_s);
        self.preempt_min_runtime = Span::secs(settings.preempt_min_runtime_s);
        self.keep_idle = Span::secs(settings.keep_idle_s);
        self.reserve_factor = settings.reserve_factor;
    }

    /// Counts something.
    pub fn count(&mut self, what: &'static str) {
        *self.counters.entry(what).or_default() += 1;
    }

    pub(crate) fn note_stop(
        &mut self,
        at: Wall,
        task: &TaskId,
        machine: &MachineId,
        why: &'static str,
    ) {
        self.count(why);
        if self.stops.len() >= STOPS {
            self.stops.pop_front();
        }
        self.stops.push_back(StopNote {
            at_ms: at.0,
            task: task.to_string(),
            machine: machine.to_string(),
            why,
        });
    }

    /// The lease was renewed by a call sent at a moment.
    pub fn renewed(&mut self, sent: Time) {
        self.lease_until = self.lease_until.max(alive_until(sent));
    }

    /// Whether it surely leads by its lease. Only then does it start or rent anything.
    pub fn lease_valid(&self, now: Time) -> bool {
        now < self.lease_until
    }

    /// Whether it may answer workers: by its lease, or in an outage of the state service by the
    /// fresh word of a majority.
    pub fn may_answer(&self, now: Time, state_ok: bool, majority: usize) -> bool {
        let words = self.words.values().filter(|&&sent| now < sent + WORD);
        self.lease_valid(now) || (!state_ok && words.count() + 1 >= majority)
    }

    /// Asks for a cycle soon. A cycle over a large fleet takes longer, so more is collected for it.
    pub fn wake(&mut self, now: Time) {
        let collect = Span(DEBOUNCE.0 + self.machines.len() as u64 / 10);
        self.next_cycle = self.next_cycle.min(now + collect);
    }

    /// A machine type.
    pub fn machine_type(&self, name: &TypeName) -> Option<&MachineType> {
        self.catalog.types.iter().find(|t| t.name == *name)
    }

    /// What a machine type offers; nothing if it is not known.
    pub fn room_of(&self, name: &TypeName) -> Resources {
        self.machine_type(name)
            .map(Resources::of_machine)
            .unwrap_or_default()
    }

    /// Whether some type without GPUs could run a job's tasks.
    pub fn fits_without_gpus(&self, spec: &JobSpec, need: &Resources) -> bool {
        self.catalog.types.iter().any(|t| {
            t.gpus <= 0.0
                && spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
                && Resources::of_machine(t).holds(need)
        })
    }

    /// Takes in the machine types, also for machines seen before them.
    pub fn learn_catalog(&mut self, catalog: Catalog) {
        self.catalog = catalog;
        let rooms: Vec<(MachineId, Resources)> = (self.machines.values())
            .map(|m| (m.id.clone(), self.room_of(&m.machine_type)))
            .collect();
        for (id, room) in rooms {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.room = room;
            }
        }
    }

    pub(crate) fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        // The epoch is never given out twice, so neither is an attempt.
        Attempt((self.epoch.0 << 24) + self.attempts)
    }

    // --- reports ---

    /// Takes a worker's report in and decides its answer: commands, or none if it must not be
    /// answered.
    pub fn answer_report(
        &mut self,
        report: &Report,
        directory: &Directory,
        now: Now,
    ) -> Option<Vec<Command>> {
        if report.token > self.epoch || self.returned.contains_key(&report.machine) {
            // A higher token: another node leads. A machine that was returned is gone, so this is
            // a late copy; to answer it would help nobody.
            log::debug!("a report of {} is refused", report.machine);
            return None;
        }
        self.hear(report, now);
        let newest = (report.session, report.seq);
        let machine = match self.machines.get_mut(&report.machine) {
            Some(machine) if self.ready => machine,
            _ => return Some(directory.stops_of_cancelled(report)),
        };
        machine.last_answer = Some(now.time);
        if machine.newest != newest {
            // It renews the worker's lease all the same, so it carries what must not go on.
            return Some(directory.stops_of_cancelled(report));
        }
        let id = machine.id.clone();
        Some(self.commands(&id, now.time, false))
    }

    /// A worker has answered a direct call.
    pub fn reacted(&mut self, report: &Report, now: Now) {
        self.last_reaction = now.time;
        self.unanswered = 0;
        self.hear(report, now);
        if let Some(machine) = self.machines.get_mut(&report.machine) {
            machine.reacted();
        }
    }

    /// Whether another direct call may be made now.
    pub fn may_call(&mut self, now: Time) -> bool {
        let rate = DIRECT_RATE + self.machines.len() as f64 / DIRECT_PER;
        let more = (now - self.calls_at).as_secs() * rate;
        self.calls_left = (self.calls_left + more).min(rate);
        self.calls_at = now;
        self.calls_left >= 1.0
    }

    /// Whether no worker has answered a direct call for a while, although several were called.
    pub fn reaches_nobody(&self, now: Time) -> bool {
        self.unanswered >= UNREACHED_CALLS && now - self.last_reaction > UNREACHED
    }

    /// Whether a machine waits for the start of work that can't wait.
    pub fn is_urgent(&self, machine: &Machine) -> bool {
        let firm = |e: &&Entry| e.spec.as_ref().is_some_and(|s| is_firm(s));
        (machine.entries.iter().filter(|e| e.phase == Phase::Planned)).any(|e| firm(&e))
    }

    /// Takes in a worker's report.
    pub fn hear(&mut self, report: &Report, now: Now) {
        if self.returned.contains_key(&report.machine) {
            return;
        }
        if !self.ready {
            let newer = (self.early.get(&report.machine))
                .is_none_or(|e| (e.session, e.seq) < (report.session, report.seq));
            if newer {
                self.early.insert(report.machine.clone(), report.clone());
            }
            return;
        }
        if !self.machines.contains_key(&report.machine) {
            let known = self.machine_type(&report.machine_type).is_some();
            let of = if known {
                ""
            } else {
                " of a type that the catalog lacks"
            };
            log::info!("{} reports, unexpected{of}", report.machine);
        }
        let room = self.room_of(&report.machine_type);
        let epoch = self.epoch;
        let machine = (self.machines.entry(report.machine.clone())).or_insert_with(|| {
            let (t, z) = (report.machine_type.clone(), report.zone.clone());
            Machine::new(report.machine.clone(), t, z, report.spot, room, now.wall)
        });
        let was_known = machine.is_known(epoch);
        let changes = machine.absorb(report, epoch, now.time);
        let newest = machine.newest == (report.session, report.seq);
        let same = machine.list.0 .0 == report.session && *machine.list.1 == *report.tasks;
        if newest && !same {
            machine.list = (machine.newest, report.tasks.as_slice().into());
        }
        self.unrecorded |= machine.page == PageId::NONE;
        let became_known = !was_known && machine.is_known(epoch);
        let release = report.token;
        for entry in machine.entries.iter_mut().filter(|e| e.unsure) {
            // A start sent under an older epoch is refused from now on.
            if release > entry.sent.0 {
                entry.unsure = false;
            }
        }
        for change in changes {
            self.take_in(&report.machine, change, now);
        }
        if became_known {
            self.wake(now.time);
        }
    }

    pub(crate) fn take_in(&mut self, machine: &MachineId, change: Change, now: Now) {
        match change {
            Change::Started(task, _) => {
                let image = self.jobs.get(&task.job).map(|j| j.spec.image.clone());
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.begun = true;
                    let waited = Span(now.wall.0.saturating_sub(job.submitted.0));
                    let class = job.spec.class.clone();
                    let s = waited.as_secs();
                    log::debug!("{task} of {class} runs on {machine}, {s} s after submission");
                    self.waits.entry(class).or_default().note(waited);
                }
                self.count("started");
                if let (Some(image), Some(m)) = (image, self.machines.get_mut(machine)) {
                    m.images.insert(image);
                }
            }
            Change::Exited(task, attempt, why, ran) => {
                self.exited(machine, &task, attempt, why, ran, now)
            }
            Change::Gone(task, attempt) => {
                log::info!("{task} attempt {attempt} is gone from {machine}");
                self.vanished(machine, &task, attempt, now);
            }
            Change::Foreign(told) => self.adopt(machine, told, now),
        }
    }

    pub(crate) fn exited(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        why: Cause,
        ran: Option<Span>,
        now: Now,
    ) {
        log::debug!("{task} attempt {attempt} exited on {machine}: {why:?}");
        let stop = (self.machines.get_mut(machine))
            .and_then(|m| m.entry_mut(task, attempt))
            .and_then(|e| e.stop);
        match stop {
            Some(stop) => self.note_stop(now.wall, task, machine, stop.why),
            None => self.count(if why == Cause::Done { "done" } else { "failed" }),
        }
        self.wake(now.time);
        if let Some(m) = self.machines.get_mut(machine) {
            if why == Cause::NoRoom {
                m.quarantine = m.quarantine.max(now.time + Span(1_000));
            }
            if why != Cause::Done {
                if let Some(entry) = m.entry_mut(task, attempt) {
                    entry.settled = true;
                }
            }
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            self.settle(machine, task, attempt);
            return;
        };
        job.unplace(task.index, machine, attempt);
        let over = !job.is_active();
        match why {
            Cause::Done => {
                job.begun = true;
                job.progress_dirty = true;
                job.longest_run_s = job.longest_run_s.max(ran.unwrap_or_default().as_secs());
                if job.spec.kind == Kind::Gang {
                    (0..job.spec.tasks).for_each(|i| job.finish(i));
                } else {
                    job.finish(task.index);
                }
                if over {
                    // Its end is committed already.
                    self.settle(machine, task, attempt);
                }
                self.succeeded(machine, &task.job, now.time);
            }
            Cause::Error => {
                self.failed(machine, task, attempt, ran, now);
                self.break_gang(task, attempt, now.time);
            }
            Cause::Unknown => job.not_before = now.time + Span(2_000),
            _ => self.break_gang(task, attempt, now.time),
        }
    }

    pub(crate) fn settle(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt) {
        let machine = self.machines.get_mut(machine);
        if let Some(entry) = machine.and_then(|m| m.entry_mut(task, attempt)) {
            entry.settled = true;
        }
    }

    pub(crate) fn vanished(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        now: Now,
    ) {
        self.note_stop(now.wall, task, machine, "lost with its machine");
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.unplace(task.index, machine, attempt);
        }
        self.break_gang(task, attempt, now.time);
        self.wake(now.time);
    }

    /// A gang that lost a task goes on only as a whole, with a new attempt.
    pub(crate) fn break_gang(&mut self, task: &TaskId, attempt: Attempt, now: Time) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        if job.spec.kind != Kind::Gang || job.is_complete() {
            return;
        }
        let grace_s = job.spec.save_s;
        for (id, a) in job.places.values().flatten().cloned().collect::<Vec<_>>() {
            if a == attempt {
                self.stop_on(&id, &task.job, a, grace_s, "gang is broken", now);
            }
        }
    }

    pub(crate) fn stop_on(
        &mut self,
        machine: &MachineId,
        job: &JobId,
        attempt: Attempt,
        grace_s: f64,
        why: &'static str,
        now: Time,
    ) {
        let Some(machine) = self.machines.get_mut(machine) else {
            return;
        };
        let mut dropped = Vec::new();
        machine.entries.retain_mut(|e| {
            if e.task.job != *job || e.attempt != attempt || !e.holds_room() {
                return true;
            }
            if e.phase == Phase::Planned {
                dropped.push(e.task.index);
                return false;
            }
            let stop = e.stop.get_or_insert(Stop {
                grace_s,
                since: now,
                why,
            });
            // One that saves is ended by a second stop without grace.
            stop.grace_s = stop.grace_s.min(grace_s);
            true
        });
        if let Some(job) = self.jobs.get_mut(job) {
            for index in dropped {
                job.unplace(index, &machine.id, attempt);
            }
        }
    }

    /// A task that is not in the books: a late start, or one whose record was dropped.
    pub(crate) fn adopt(&mut self, machine: &MachineId, told: TaskReport, now: Now) {
        let spec = (self.jobs.get(&told.task.job)).map(|j| j.spec.clone());
        let mut entry = Entry::planned(told.task.clone(), told.attempt, spec, now.time);
        let session = (self.machines.get(machine)).map_or(Session(0), |m| m.newest.0);
        entry.sent = (self.epoch, session);
        if told.state == TaskState::Exited {
            entry.phase = Phase::Exited(told.why.unwrap_or(Cause::Error));
        } else {
            log::warn!(
                "{} attempt {} is on {machine} unasked",
                told.task,
                told.attempt
            );
            entry.phase = Phase::On(told.state);
            entry.stop = Some(Stop {
                grace_s: 0.0,
                since: now.time,
                why: "not in the books",
            });
            if let Some(job) = self.jobs.get_mut(&told.task.job) {
                job.place(told.task.index, machine, told.attempt);
            }
        }
        let exited = entry.phase;
        self.unrecorded = true;
        if let Some(m) = self.machines.get_mut(machine) {
            m.entries.push(entry);
        }
        if let Phase::Exited(why) = exited {
            self.exited(machine, &told.task, told.attempt, why, None, now);
        }
    }
}

/// By class, the shortest time that users state in aims of a kind.
fn aims(settings: &Settings, kind: &str) -> BTreeMap<Class, Span> {
    let mut found = BTreeMap::new();
    for aim in settings.params.objectives.iter().filter(|o| o.kind == kind) {
        if let (Some(class), Some(within)) = (&aim.class, aim.within_s) {
            let within = Span::secs(within);
            (found.entry(class.clone()))
                .and_modify(|span| *span = within.min(*span))
                .or_insert(within);
        }
    }
    found
}

/// Until when a lease is surely alive whose renewal was sent at a moment.
fn alive_until(sent: Time) -> Time {
    sent + Span(LEASE.0 - LEASE.0.div_ceil(500))
}

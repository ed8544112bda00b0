//! What a leader holds and does: workers' reports, commands, commits of its books.

use crate::actions;
use crate::admin::{Latency, StopNote};
use crate::capacity::Rentals;
use crate::election::{LEASE, WORD};
use crate::job::{Job, Stage};
use crate::possession::{Change, Entry, Machine, Phase, Stop};
use crate::records::MachineRecord;
use crate::snapshot::Snapshot;
use crate::statement::Placement;
use crate::tree::TeamTree;
use crate::units::{Now, Resources, Span, Time, Wall};
use rudderreel_wire::admin::AdminSettings;
use rudderreel_wire::cloud::{Catalog, MachineType};
use rudderreel_wire::ids::{
    Attempt, Class, Epoch, Image, JobId, LeaseId, MachineId, NodeName, TaskId, TypeName, Version,
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
    /// Tasks that a machine's record can hold.
    pub max_entries: usize,
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
    /// Rental requests.
    pub rentals: Rentals,
    /// When replicas may be moved next.
    pub next_move: Time,
    /// When the next cycle is due.
    pub next_cycle: Time,
    /// Progress records of jobs that are over, to be deleted.
    pub stale_progress: Vec<(JobId, Version)>,
    /// When progress is recorded next.
    pub next_progress: Time,
    /// When the epoch was last raised, and whether that is under way.
    pub raised: (Time, bool),
    /// Tells starts apart.
    attempts: u64,
}

/// The least time between two cycles when there is something to do.
const DEBOUNCE: Span = Span(60);
/// The design's period.
pub const PERIOD: Span = Span(2_000);
/// A placement that could not start for so long is taken back.
const STALLED: Span = Span(10_000);
/// Stops that are remembered.
const STOPS: usize = 100;
/// How far back arrivals are looked at.
const LATELY: Span = Span(120_000);
/// A record's bytes per task, at most.
const ENTRY_BYTES: usize = 48;

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
        let value_bytes = (settings.params.state.value_kb * 1024.0) as usize;
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
            wait_aims: (settings.params.objectives.iter())
                .filter(|o| o.kind == "wait")
                .filter_map(|o| Some((o.class.clone()?, Span::secs(o.within_s?))))
                .collect(),
            max_entries: (value_bytes.saturating_sub(512) / ENTRY_BYTES).max(1),
            period: PERIOD,
            keep_idle: Span(20_000),
            reserve_factor: 1.0,
            stops: VecDeque::new(),
            counters: BTreeMap::new(),
            waits: BTreeMap::new(),
            rentals: Rentals::default(),
            next_move: now + Span(20_000),
            next_cycle: now,
            stale_progress: Vec::new(),
            next_progress: now,
            raised: (now, false),
            attempts: 0,
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

    fn note_stop(&mut self, at: Wall, task: &TaskId, machine: &MachineId, why: &'static str) {
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

    /// Asks for a cycle soon.
    pub fn wake(&mut self, now: Time) {
        self.next_cycle = self.next_cycle.min(now + DEBOUNCE);
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

    fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        // The epoch is never given out twice, so neither is an attempt.
        Attempt((self.epoch.0 << 24) + self.attempts)
    }

    // --- reports ---

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
        let room = self.room_of(&report.machine_type);
        let epoch = self.epoch;
        let machine = (self.machines.entry(report.machine.clone())).or_insert_with(|| {
            let (t, z) = (report.machine_type.clone(), report.zone.clone());
            Machine::new(report.machine.clone(), t, z, report.spot, room, now.wall)
        });
        let was_known = machine.is_known(epoch);
        let changes = machine.absorb(report, epoch, now.time);
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

    fn take_in(&mut self, machine: &MachineId, change: Change, now: Now) {
        match change {
            Change::Started(task, _) => {
                let job = self.jobs.get(&task.job);
                let image = job.map(|j| j.spec.image.clone());
                if let Some(job) = job {
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

    fn exited(
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
            match why {
                Cause::Done => m.errors = 0,
                Cause::Error => {
                    m.errors += 1;
                    m.quarantine = now.time + Span(2_000 << m.errors.min(6));
                }
                Cause::NoRoom => m.quarantine = now.time + Span(1_000),
                _ => {}
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
        match why {
            Cause::Done => {
                job.errors = 0;
                job.progress_dirty = true;
                job.longest_run_s = job.longest_run_s.max(ran.unwrap_or_default().as_secs());
                if job.spec.kind == Kind::Gang {
                    job.done.extend(0..job.spec.tasks);
                } else {
                    job.done.insert(task.index);
                }
            }
            Cause::Error => {
                job.errors += 1;
                job.not_before = now.time + Span(500 << job.errors.min(7));
                self.break_gang(task, attempt, now.time);
            }
            Cause::Unknown => job.not_before = now.time + Span(2_000),
            _ => self.break_gang(task, attempt, now.time),
        }
    }

    fn settle(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt) {
        let machine = self.machines.get_mut(machine);
        if let Some(entry) = machine.and_then(|m| m.entry_mut(task, attempt)) {
            entry.settled = true;
        }
    }

    fn vanished(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt, now: Now) {
        self.note_stop(now.wall, task, machine, "lost with its machine");
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.unplace(task.index, machine, attempt);
        }
        self.break_gang(task, attempt, now.time);
        self.wake(now.time);
    }

    /// A gang that lost a task goes on only as a whole, with a new attempt.
    fn break_gang(&mut self, task: &TaskId, attempt: Attempt, now: Time) {
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
            e.stop.get_or_insert(Stop {
                grace_s,
                since: now,
                why,
            });
            true
        });
        if let Some(job) = self.jobs.get_mut(job) {
            for index in dropped {
                job.unplace(index, &machine.id, attempt);
            }
        }
    }

    /// A task that is not in the books: a late start, or one whose record was dropped.
    fn adopt(&mut self, machine: &MachineId, told: TaskReport, now: Now) {
        let need = (self.jobs.get(&told.task.job)).map_or(Resources::default(), |j| j.need);
        let mut entry = Entry::planned(told.task.clone(), told.attempt, need, now.time);
        entry.sent = (self.epoch, self.machines[machine].newest.0);
        entry.recorded = true;
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
        if let Some(m) = self.machines.get_mut(machine) {
            m.entries.push(entry);
        }
        if let Phase::Exited(why) = exited {
            self.exited(machine, &told.task, told.attempt, why, None, now);
        }
    }

    // --- commands ---

    /// The single place where a start is decided: every rule is checked against everything that
    /// may exist.
    fn may_start(&self, machine: &Machine, entry: &Entry, now: Time) -> bool {
        let Some(job) = self.jobs.get(&entry.task.job) else {
            return false;
        };
        let elsewhere = (job.places.get(&entry.task.index)).is_some_and(|p| {
            p.iter()
                .any(|(m, a)| *m != machine.id || *a != entry.attempt)
        });
        let spec = &job.spec;
        let fresh = (machine.last_heard).is_some_and(|t| now - t < self.lease);
        let free = machine.free();
        let rules = [
            (self.ready && self.lease_valid(now), "leading"),
            (job.is_active(), "job active"),
            (!job.done.contains(&entry.task.index), "not done"),
            (!elsewhere, "nowhere else"),
            (entry.recorded && entry.stop.is_none(), "recorded"),
            (machine.is_known(self.epoch) && fresh, "machine known"),
            (machine.returning.is_none(), "machine kept"),
            (
                actions::allowed(spec, &machine.machine_type, &machine.zone, machine.spot),
                "type, zone, kind",
            ),
            (free.cpus >= 0 && free.gpus >= 0 && free.memory >= 0, "room"),
            (self.zones_hold(spec), "zones"),
            (self.limit_holds(job), "limit"),
        ];
        match rules.iter().find(|(holds, _)| !holds) {
            Some((_, rule)) => {
                log::debug!("no start of {} on {}: {rule}", entry.task, machine.id);
                false
            }
            None => true,
        }
    }

    /// Whether everything of a job that may exist keeps to its zones, planned starts included.
    fn zones_hold(&self, spec: &JobSpec) -> bool {
        if !spec.spread && !spec.one_zone {
            return true;
        }
        let mut zones = BTreeMap::new();
        for machine in self.machines.values() {
            let n = machine.tasks_of(&spec.id);
            if n > 0 {
                *zones.entry(&machine.zone).or_insert(0) += n;
            }
        }
        zones.values().all(|&n| n <= spec.zone_cap()) && !(spec.one_zone && zones.len() > 1)
    }

    /// Whether everything of a team that may exist keeps to its limit, planned starts included.
    fn limit_holds(&self, job: &Job) -> bool {
        let Some(leaf) = self.tree.find(&job.spec.team) else {
            return false;
        };
        self.tree.chain(leaf).all(|node| {
            let limit = &self.tree.nodes[node].limit;
            if limit.iter().all(|l| l.is_infinite()) {
                return true;
            }
            let used = crate::tree::amounts(&self.used_below(node));
            (0..crate::tree::KINDS).all(|k| used[k] <= limit[k] + 1e-9)
        })
    }

    fn used_below(&self, node: usize) -> Resources {
        let mut sum = Resources::default();
        for entry in self.machines.values().flat_map(|m| &m.entries) {
            let leaf = (self.jobs.get(&entry.task.job)).and_then(|j| self.tree.find(&j.spec.team));
            let below = leaf.is_some_and(|leaf| self.tree.chain(leaf).any(|n| n == node));
            if entry.holds_room() && below {
                sum += entry.need;
            }
        }
        sum
    }

    /// The commands for a machine: stops, then starts, and what its worker may forget when they
    /// go out in the answer to a report. Direct calls can be late, so they never say that.
    pub fn commands(&mut self, id: &MachineId, now: Time, direct: bool) -> Vec<Command> {
        let Some(machine) = self.machines.get(id) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        let mut started = Vec::new();
        for entry in &machine.entries {
            let (task, attempt) = (entry.task.clone(), entry.attempt);
            if entry.may_forget() && !direct {
                commands.push(Command::Forget { task, attempt });
            } else if let (Some(stop), true) = (entry.stop, entry.holds_room()) {
                let told = entry.phase == Phase::On(TaskState::Saving);
                if !told {
                    commands.insert(
                        0,
                        Command::Stop {
                            task,
                            attempt,
                            grace_s: stop.grace_s,
                        },
                    );
                }
            } else if matches!(entry.phase, Phase::Planned | Phase::Sent)
                && !(direct && entry.phase == Phase::Sent && entry.sent.0 == self.epoch)
                && self.may_start(machine, entry, now)
            {
                commands.push(Command::Start { task, attempt });
                started.push((entry.task.clone(), attempt));
            }
        }
        let epoch = self.epoch;
        if let Some(machine) = self.machines.get_mut(id) {
            let session = machine.newest.0;
            for (task, attempt) in started {
                if let Some(entry) = machine.entry_mut(&task, attempt) {
                    entry.phase = Phase::Sent;
                    entry.sent = (epoch, session);
                    entry.in_flight += u32::from(direct);
                }
            }
        }
        commands
    }

    /// Direct starts have ended, with or without an answer.
    pub fn direct_ended(&mut self, id: &MachineId, commands: &[Command], unsure: bool) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.direct_open = false;
        for command in commands {
            if let Command::Start { task, attempt } = command {
                if let Some(entry) = machine.entry_mut(task, *attempt) {
                    entry.in_flight = entry.in_flight.saturating_sub(1);
                    entry.unsure |= unsure;
                }
            }
        }
    }

    /// Whether commands are waiting that a direct call would speed up.
    pub fn wants_direct(&self, machine: &Machine, now: Time) -> bool {
        if machine.direct_open || machine.direct_after > now || !machine.is_known(self.epoch) {
            return false;
        }
        machine.entries.iter().any(|e| {
            let start = e.recorded && e.phase == Phase::Planned && e.stop.is_none();
            let stop =
                e.stop.is_some() && e.holds_room() && e.phase != Phase::On(TaskState::Saving);
            start || stop
        })
    }

    /// Whether a start of unknown outcome stands in the way and only a new epoch rules it out.
    pub fn wants_fence(&self, now: Time) -> bool {
        let stuck = |e: &Entry| {
            let ended = matches!(e.phase, Phase::Exited(_)) && e.settled && e.unsure;
            let missing = e.missing.is_some_and(|since| now > since + Span(3_000));
            ended || (missing && e.stop.is_some())
        };
        now > self.raised.0 + Span(5_000)
            && (self.machines.values())
                .any(|m| m.is_known(self.epoch) && m.entries.iter().any(stuck))
    }

    // --- jobs ---

    /// Takes in a job's record.
    pub fn learn_job(&mut self, id: &JobId, version: Version, record: &crate::records::JobRecord) {
        use rudderreel_wire::job::JobState;
        match record.state {
            JobState::Done => self.finish(id),
            JobState::Cancelled => {
                let wall = record.cancelled.unwrap_or(record.submitted);
                if let Some(job) = self.jobs.get_mut(id) {
                    job.version = version;
                    job.stage = Stage::Cancelled(wall);
                } else if let Some(spec) = &record.spec {
                    if !self.ready {
                        let mut job = Job::new(spec.clone(), version, record.submitted);
                        job.stage = Stage::Cancelled(wall);
                        self.jobs.insert(id.clone(), job);
                    }
                }
            }
            _ => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.version = version;
                } else if let Some(spec) = &record.spec {
                    let job = Job::new(spec.clone(), version, record.submitted);
                    self.jobs.insert(id.clone(), job);
                }
            }
        }
    }

    /// A job is done. It is kept while some of its tasks may still be somewhere.
    pub fn finish(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.stage = Stage::Finished;
            job.progress = None;
            if job.places.is_empty() {
                self.jobs.remove(id);
            }
        }
    }

    /// Stops what is left of cancelled and finished jobs, and forgets those that nothing is left of.
    pub fn end_cancelled(&mut self, now: Now) {
        let cancelled: Vec<JobId> = (self.jobs.iter())
            .filter(|(_, j)| !j.is_active())
            .map(|(id, _)| id.clone())
            .collect();
        for id in cancelled {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.places.is_empty() && !job.committing {
                if job.progress.is_none() {
                    self.jobs.remove(&id);
                }
                continue;
            }
            let past = match job.stage {
                Stage::Cancelled(wall) => Span(now.wall.0.saturating_sub(wall.0)),
                _ => Span(0),
            };
            let led = now.time - self.since;
            for (machine, attempt) in job.places.values().flatten().cloned().collect::<Vec<_>>() {
                self.stop_on(&machine, &id, attempt, 0.0, "cancelled", now.time);
                let limits = (self.cancel, self.report);
                if let Some(m) = self.machines.get_mut(&machine) {
                    if must_return(m, past, led, limits, now.time) {
                        m.retire.get_or_insert("holds a cancelled job");
                    }
                }
            }
        }
    }

    // --- the cycle ---

    /// Decides one cycle.
    pub fn cycle(&mut self, now: Now) {
        self.drop_stalled(now.time);
        let mut picture = Snapshot::take(self, now);
        let mut scenario = actions::Scenario::default();
        let mut placements = actions::allocate(self, &mut picture, true);
        actions::reclaim(self, &mut picture, &mut scenario);
        actions::preempt(self, &mut picture, &mut scenario);
        placements.extend(actions::allocate(self, &mut picture, false));
        if scenario.evictions.is_empty() && now.time >= self.next_move {
            let emptied = actions::consolidate(self, &mut picture, &mut scenario);
            if let Some(machine) = emptied.and_then(|id| self.machines.get_mut(&id)) {
                machine.cordon = now.time + Span(3 * self.period.0);
                self.next_move = now.time + self.period;
            }
        }
        placements.extend(scenario.placements);
        self.apply(placements, now.time);
        for eviction in scenario.evictions {
            let grace = (self.jobs.get(&eviction.task.job)).map_or(0.0, |j| j.spec.save_s);
            log::debug!("{} is {}", eviction.task, eviction.why);
            let entry = (self.machines.get_mut(&eviction.machine))
                .and_then(|m| m.entry_mut(&eviction.task, eviction.attempt));
            if let Some(entry) = entry {
                entry.stop = Some(Stop {
                    grace_s: grace,
                    since: now.time,
                    why: eviction.why,
                });
            }
        }
        self.plan_capacity(&picture, now);
    }

    /// Jobs with tasks to start, in order.
    pub fn waiting(&self, now: Time) -> Vec<&Job> {
        let mut jobs: Vec<&Job> = (self.jobs.values())
            .filter(|j| j.is_active() && j.not_before <= now && j.free_tasks() > 0)
            .filter(|j| j.spec.kind != Kind::Gang || j.places.is_empty())
            .collect();
        jobs.sort_by_key(|j| j.order());
        jobs
    }

    /// Whether a job's start can't wait for its image to be fetched, by what users say.
    pub fn is_picky(&self, job: &Job) -> bool {
        let slowest = (self.catalog.types.iter())
            .map(|t| t.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min);
        let fetch = Span::secs(job.spec.image_gb / slowest.max(1e-3));
        !job.evictable() && (self.wait_aims.get(&job.spec.class)).is_some_and(|w| *w < fetch)
    }

    /// Placements that wait for room which does not come free are taken back.
    fn drop_stalled(&mut self, now: Time) {
        let stalled: Vec<(MachineId, JobId, Attempt)> = (self.machines.values())
            .flat_map(|m| m.entries.iter().map(move |e| (m, e)))
            .filter(|(_, e)| e.phase == Phase::Planned && now > e.placed + STALLED)
            .map(|(m, e)| (m.id.clone(), e.task.job.clone(), e.attempt))
            .collect();
        for (machine, job, attempt) in stalled {
            self.stop_on(&machine, &job, attempt, 0.0, "stalled", now);
        }
    }

    /// Room for urgent work that may come before a machine could be had: by need, as many tasks
    /// as came lately in the time that a machine takes to boot, and two standard deviations more.
    pub fn reserve(&self, now: Now) -> Vec<Reserve> {
        let boot = (self.catalog.types.iter())
            .map(|t| t.boot_s)
            .fold(0.0, f64::max);
        let mut came: Vec<(Resources, u32, BTreeSet<Image>)> = Vec::new();
        for job in self
            .jobs
            .values()
            .filter(|j| j.is_active() && !j.evictable())
        {
            let urgent = (self.wait_aims.get(&job.spec.class)).is_some_and(|w| w.as_secs() < boot);
            let age = Span(now.wall.0.saturating_sub(job.submitted.0));
            if !urgent || job.spec.kind != Kind::Service {
                continue;
            }
            let tasks = if age > LATELY { 0 } else { job.spec.tasks };
            let image = job.spec.image.clone();
            match came.iter_mut().find(|(need, ..)| *need == job.need) {
                Some((_, n, images)) => {
                    *n += tasks;
                    images.insert(image);
                }
                None => came.push((job.need, tasks, BTreeSet::from([image]))),
            }
        }
        let per_boot = |n: u32| f64::from(n) * boot / LATELY.as_secs();
        (came.into_iter())
            .map(|(need, n, images)| Reserve {
                need,
                images,
                tasks: (self.reserve_factor * (per_boot(n) + 2.0 * per_boot(n).sqrt())).ceil()
                    as u32,
            })
            .collect()
    }

    fn apply(&mut self, placements: Vec<Placement>, now: Time) {
        let mut gangs: BTreeMap<JobId, Attempt> = BTreeMap::new();
        for placement in placements {
            let id = placement.task.job.clone();
            let Some((need, gang)) =
                (self.jobs.get(&id)).map(|j| (j.need, j.spec.kind == Kind::Gang))
            else {
                continue;
            };
            let attempt = match gangs.get(&id) {
                Some(&attempt) => attempt,
                None => self.next_attempt(),
            };
            if gang {
                gangs.insert(id.clone(), attempt);
            }
            if let Some(job) = self.jobs.get_mut(&id) {
                job.place(placement.task.index, &placement.machine, attempt);
            }
            if let Some(machine) = self.machines.get_mut(&placement.machine) {
                log::debug!(
                    "{} attempt {attempt} goes on {}",
                    placement.task,
                    machine.id
                );
                let entry = Entry::planned(placement.task, attempt, need, now);
                machine.entries.push(entry);
                machine.dirty = true;
                machine.idle = None;
            }
        }
    }

    /// Tasks of each job that run, for display.
    pub fn running(&self) -> BTreeMap<JobId, u32> {
        let mut counts = BTreeMap::new();
        for entry in self.machines.values().flat_map(|m| &m.entries) {
            if entry.is_running() {
                *counts.entry(entry.task.job.clone()).or_insert(0) += 1;
            }
        }
        counts
    }

    /// A machine's record as it should be.
    pub fn machine_record(machine: &Machine) -> MachineRecord {
        MachineRecord {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            since: machine.since,
            tasks: (machine.entries.iter())
                .filter(|e| e.holds_room())
                .map(|e| (e.task.clone(), e.attempt))
                .collect(),
        }
    }

    /// Spot machines that will be taken: what can save is stopped in time to save, what can't
    /// and won't finish is stopped at once, to start again elsewhere.
    pub fn drain(&mut self, now: Time) {
        let mut stops = Vec::new();
        for machine in self.machines.values() {
            let Some(notice) = machine.notice else {
                continue;
            };
            let left = notice - now;
            for entry in machine.entries.iter().filter(|e| e.stop.is_none()) {
                let Some(job) = self.jobs.get(&entry.task.job) else {
                    continue;
                };
                let saves = job.spec.checkpoint_s > 0.0;
                // Notices may come half as long as nominal.
                let in_time = Span::secs(job.spec.save_s + 3.0);
                let ran = entry.running.map_or(Span(0), |t| now - t);
                let needed = Span::secs((job.spec.estimate_s - ran.as_secs()).max(0.0));
                let finishes = entry.running.is_some() && needed < left;
                let stop = if saves { left <= in_time } else { !finishes };
                if stop && entry.holds_room() {
                    let grace = if saves { job.spec.save_s } else { 0.0 };
                    stops.push((
                        machine.id.clone(),
                        entry.task.job.clone(),
                        entry.attempt,
                        grace,
                    ));
                }
            }
        }
        for (machine, job, attempt, grace) in stops {
            self.stop_on(&machine, &job, attempt, grace, "machine is taken back", now);
        }
    }

    /// Machines whose leases have surely run out hold nothing any more.
    pub fn expire(&mut self, now: Now) {
        let (lease, fence) = (self.lease, self.fence);
        let over: Vec<MachineId> = (self.machines.values())
            .filter(|m| !m.entries.is_empty() && m.lease_surely_over(now.time, lease, fence))
            .map(|m| m.id.clone())
            .collect();
        for id in over {
            log::info!("the lease of {id} has surely run out");
            self.empty_machine(&id, now);
        }
    }

    /// Everything on a machine is surely gone.
    pub fn empty_machine(&mut self, id: &MachineId, now: Now) {
        let gone = self
            .machines
            .get_mut(id)
            .map(Machine::clear)
            .unwrap_or_default();
        for (task, attempt) in gone {
            self.vanished(id, &task, attempt, now);
        }
    }

    /// Forgets a machine that is surely gone.
    pub fn drop_machine(&mut self, id: &MachineId, now: Now) -> Option<Version> {
        self.empty_machine(id, now);
        self.returned.insert(id.clone(), now.time);
        self.wake(now.time);
        self.machines.remove(id).and_then(|m| m.record)
    }

    /// A machine that has become known in some other way than by a report.
    pub fn expect_machine(&mut self, machine: Machine) {
        if !self.returned.contains_key(&machine.id) {
            self.machines.entry(machine.id.clone()).or_insert(machine);
        }
    }

    /// Whether a machine is expected to come up.
    pub fn is_booting(&self) -> bool {
        (self.machines.values()).any(|m| m.last_heard.is_none() && m.returning.is_none())
    }

    /// Age of a machine by the time of day.
    pub fn age(machine: &Machine, wall: Wall) -> Span {
        Span(wall.0.saturating_sub(machine.since.0))
    }
}

/// Whether a machine must be returned since it may hold a task of a job that was cancelled so long
/// ago. One that can't be reached is returned in good time, for the cloud may be away for a while
/// itself. What a new leader has read back may be long out of date, so it waits to hear machines
/// first: a machine may hold much else.
fn must_return(m: &Machine, past: Span, led: Span, limits: (Span, Span), now: Time) -> bool {
    let (cancel, report) = limits;
    let silent = m.last_heard.is_none_or(|t| now - t > Span(report.0 * 3));
    let in_good_time = past > Span(cancel.0 / 2) && led > Span(report.0 * 3) && silent;
    let at_last = past + Span(8_000) > cancel && led > Span(report.0 * 2);
    in_good_time || at_last
}

/// Until when a lease is surely alive whose renewal was sent at a moment.
fn alive_until(sent: Time) -> Time {
    sent + Span(LEASE.0 - LEASE.0.div_ceil(500))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn machine(heard: Option<Time>) -> Machine {
        let (t, z) = ("m4".into(), "a".into());
        let mut m = Machine::new("vm-1".into(), t, z, false, Resources::default(), Wall(0));
        m.last_heard = heard;
        m
    }

    /// A new leader read back that a machine may hold a task of a job that was cancelled long
    /// ago. It returned the machine at once, with twenty replicas that ran on it.
    #[test]
    fn a_new_leader_hears_machines_before_it_returns_them() {
        let limits = (Span(37_000), Span(2_500));
        let now = Time(1_000_000);
        let long = Span(300_000);
        assert!(!must_return(&machine(None), long, Span(30), limits, now));
        assert!(must_return(&machine(None), long, Span(8_000), limits, now));
    }

    #[test]
    fn a_machine_that_is_heard_is_returned_only_at_last() {
        let limits = (Span(37_000), Span(2_500));
        let now = Time(1_000_000);
        let led = Span(60_000);
        let heard = machine(Some(now));
        assert!(!must_return(&heard, Span(25_000), led, limits, now));
        assert!(must_return(&heard, Span(30_000), led, limits, now));
        assert!(must_return(
            &machine(Some(Time(0))),
            Span(20_000),
            led,
            limits,
            now
        ));
    }
}

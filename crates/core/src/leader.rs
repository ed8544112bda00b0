//! What a leader holds and does: workers' reports, commands, commits of its placement log.

use crate::admin::{Latency, StopNote};
use crate::capacity::Rentals;
use crate::election::{ElectionWin, LEADER_LEASE_TTL, LEASE_VOTE_TTL};
use crate::job::Job;
use crate::placement_log::PlacementLog;
use crate::placement_tracking::Machine;
use crate::processor_share::ProcessorShare;
use crate::records::LeaderKey;
use crate::reports::DIRECT_RATE;
use crate::store_limits::StoreLimits;
use crate::tree::TeamTree;
use crate::units::{Resources, Span, Time, Wall};
use crate::version_gate::VersionGateStep;
use rudderreel_wire::admin::AdminSettings;
use rudderreel_wire::cloud::{Catalog, MachineType};
use rudderreel_wire::ids::{
    Attempt, Class, Epoch, Image, JobId, LeaseId, MachineId, NodeName, TaskId, TypeName, Version,
    Zone,
};
use rudderreel_wire::job::JobSpec;
use rudderreel_wire::settings::Settings;
use rudderreel_wire::worker::StatusReport;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a node holds while it leads.
pub struct Leader {
    /// The epoch, which is the token.
    pub epoch: Epoch,
    /// The lease that the leader's key hangs on.
    pub lease_id: LeaseId,
    /// Until when the lease is surely alive.
    pub lease_until: Time,
    /// The leader's key, and its version, on which every write depends.
    pub key: LeaderKey,
    pub version: Version,
    /// The version of the epoch's key.
    pub epoch_version: Version,
    /// Since when it leads.
    pub since: Time,
    /// When each node last acknowledged the epoch, by the sending of the heartbeat.
    pub acks: BTreeMap<NodeName, Time>,
    /// From when on no older leader answers workers; none while that is not known.
    pub old_leaders_fenced_at: Option<Time>,
    /// When each node last gave its word, by the sending of the heartbeat.
    pub lease_votes: BTreeMap<NodeName, Time>,
    /// Whether the state has been read back.
    pub ready: bool,
    /// A page that has to be asked for again, and when.
    pub(crate) read_again: Option<(Time, &'static str, Option<String>)>,
    /// Reports that came before that.
    pub early: BTreeMap<MachineId, StatusReport>,
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
    /// Machines that the nodes' connections don't suffice for.
    pub beyond_connections: usize,
    /// Calls a second that the cloud takes.
    pub cloud_calls_per_s: f64,
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
    /// Limits of the state service that every writer keeps to.
    pub limits: StoreLimits,
    /// Jobs that are being cancelled with what they depend on.
    pub cascading: BTreeSet<JobId>,
    /// What is under way to close the version gate.
    pub gate: VersionGateStep,
    /// What is recorded.
    pub placement_log: PlacementLog,
    /// Whether something may wait to be recorded, so that the log is looked through only then.
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
    pub(crate) calls_at: Time,
    /// When any worker last answered a direct call, and how many have not since.
    pub last_reaction: Time,
    pub(crate) unanswered: u32,
    /// Zones that are cut off, and since when nothing was heard of them, as far as is known: a
    /// leader before this one may have noticed.
    pub partitioned_zones: BTreeMap<Zone, Time>,
    pub(crate) previously_partitioned_zones: BTreeMap<Zone, Time>,
    /// Since when zones that were cut off no longer are.
    pub(crate) healed_zones: BTreeMap<Zone, Time>,
    /// Until when machines are in doubt that have not missed a report yet.
    pub(crate) suspicion: Time,
    /// How often costly things are done.
    pub(crate) processor_share: ProcessorShare,
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
pub(crate) const STOPS: usize = 100;
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

impl Leader {
    /// A leader that has just won.
    pub fn new(settings: &Settings, tree: TeamTree, won: ElectionWin, now: Time) -> Self {
        let workers = &settings.params.workers;
        Self {
            epoch: won.epoch,
            lease_id: won.lease,
            lease_until: alive_until(won.lease_sent),
            key: won.key,
            version: won.version,
            epoch_version: won.version,
            since: now,
            acks: BTreeMap::new(),
            old_leaders_fenced_at: None,
            lease_votes: BTreeMap::new(),
            ready: false,
            read_again: None,
            early: BTreeMap::new(),
            machines: BTreeMap::new(),
            returned: BTreeMap::new(),
            jobs: BTreeMap::new(),
            tree,
            catalog: Catalog::default(),
            beyond_connections: 0,
            cloud_calls_per_s: settings.params.cloud.rps,
            lease: Span::secs(workers.lease_s),
            report: Span::secs(workers.report_s),
            cancel: Span::secs(workers.cancel_s),
            multiplier: 1.0,
            min_runtime: Span(30_000),
            preempt_min_runtime: Span(0),
            wait_aims: aims(settings, "wait"),
            done_aims: aims(settings, "finished"),
            limits: StoreLimits::of(&settings.params.state),
            cascading: BTreeSet::new(),
            gate: VersionGateStep::Idle,
            placement_log: PlacementLog::default(),
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
            partitioned_zones: BTreeMap::new(),
            previously_partitioned_zones: BTreeMap::new(),
            healed_zones: BTreeMap::new(),
            suspicion: now,
            processor_share: ProcessorShare::of(settings),
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
    pub fn may_answer(&self, now: Time, store_reachable: bool, majority: usize) -> bool {
        let lease_votes = self
            .lease_votes
            .values()
            .filter(|&&sent| now < sent + LEASE_VOTE_TTL);
        self.lease_valid(now) || (!store_reachable && lease_votes.count() + 1 >= majority)
    }

    /// Asks for a cycle soon. A cycle over a large fleet takes longer, so more is collected for it.
    pub fn request_cycle(&mut self, now: Time) {
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
    sent + Span(LEADER_LEASE_TTL.0 - LEADER_LEASE_TTL.0.div_ceil(500))
}

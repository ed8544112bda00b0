//! A small world round the core: stand-ins for the store, the cloud, agents and users,
//! on a network that delays, loses and reorders, with nodes that crash and clocks that drift. The
//! rules of the protocol are checked as it goes.

pub mod agent;
mod agents;
mod cloud;
mod costs;
mod decision_digest;
mod faults;
mod network;
mod nodes;
mod old_version;
mod pauses;
mod peer_messages;
mod pipelines;
mod processor_time;
mod rate_limit;
mod rule_checks;
mod scenario;
pub mod store;
mod store_calls;
mod users;

pub use faults::Fault;
pub use old_version::NodeVersion;
pub use scenario::Scenario;

use agent::SimulatedAgent;
use cloud::Cloud;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rudderreel_core::units::{Now, Time, Wall};
use rudderreel_core::{
    AdminRequest, CallId, CloudAnswer, DirectOutcome, Input, Node, Output, ReqId, RequestOrigin,
    StoreAnswer, UserRequest,
};
use rudderreel_wire::admin::AdminSettings;
use rudderreel_wire::ids::{Attempt, JobId, MachineId, NodeName, Version};
use rudderreel_wire::job::{JobSpec, JobState, Kind, Priority};
use rudderreel_wire::peer::{
    Forward, ForwardedReports, ForwardedReportsReply, ForwardedSubmission, HeartbeatReply,
    ReplicateCancellations, ReplicateCancellationsReply, SenderVersion,
};
use rudderreel_wire::settings::Settings;
use rudderreel_wire::worker::{
    Command, DirectCommands, ReportRedirect, StatusReport, StatusReportReply, TaskState,
};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use store::Store;

/// Who waits for the answer to a request.
enum Requester {
    Agent(MachineId, u64),
    User(JobId, UserAction, u64),
    Peer(usize, ReqId),
    Heartbeat(usize, Time),
    Admin,
    ForwardedReports(usize, u32, CallId),
    ReplicateCancellations(usize, u32),
    /// A submission that can't be accepted.
    InvalidSubmission(JobId),
    /// A late copy: whoever sent it is not there any more.
    Nobody,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UserAction {
    Submit,
    Status,
    Cancel,
}

enum Event {
    Tick(usize, u32),
    /// A node whose steps take time can go on.
    Free(usize, u32),
    Input(usize, u32, Input),
    State(usize, u32, CallId, Time, rudderreel_core::StoreCall),
    LateTransaction(rudderreel_core::StoreCall),
    /// A watch after a revision, and when it was sent.
    Watch(usize, u32, Version, Time),
    /// A watch is begun again that has run out of time.
    RetryWatch(usize, u32, Version),
    Cloud(usize, u32, CallId, rudderreel_core::CloudCall),
    Direct(usize, u32, MachineId, DirectCommands, bool),
    /// A direct call that waits in a process, and until when it may be sent.
    DirectQueued(usize, u32, MachineId, DirectCommands, Option<Time>),
    LateReport(usize, Box<StatusReport>),
    StatusSweep(usize),
    UserAction(usize, JobId, UserAction),
    ForwardReports(usize, usize, u32, CallId, ForwardedReports),
    ReplicateCancellations(usize, usize, u32, ReplicateCancellations),
    Heartbeat(usize, usize, u32, rudderreel_wire::peer::Heartbeat),
    Forward(usize, usize, u32, ReqId, Forward),
    StatusReport(MachineId),
    Answer(MachineId, u64, u64, u16, String),
    User,
    Fault,
    Restart(usize),
    /// A process that stood still goes on.
    Resume(usize, u32),
    /// The next spell of an outage that comes in spells, until a moment.
    OutageSpell(u64),
    LowerLimits,
    Upgrade(usize),
}

struct SimulatedNode {
    process: Option<Node>,
    version: NodeVersion,
    life: u32,
    drift: f64,
    offset: u64,
    next_req: u64,
    requesters: BTreeMap<ReqId, Requester>,
    cut_from_store_until: u64,
    cut_from_peers_until: u64,
    cut_from_agents_until: u64,
    watch_hangs_until: u64,
    slow_until: u64,
    work: processor_time::Work,
    pause: pauses::Pause,
}

/// What users know of a job.
pub struct ObservedJob {
    pub spec: JobSpec,
    pub accepted: bool,
    pub last: Option<JobState>,
    pub cancelled_at: Option<u64>,
    /// Whether its user asked to cancel it.
    pub cancel_requested: bool,
    /// Since when a machine had room for a task of it and its team was under its limit.
    startable_since: Option<u64>,
    /// How long each of its tasks runs.
    pub run_ms: (u64, u64),
    pub final_at: u64,
    /// When it was first asked to be taken, and taken.
    pub asked_at: u64,
    accepted_at: u64,
    /// When all that it depends on was done.
    pub ready_at: Option<u64>,
    /// When it first ran: a gang whole, others with any task.
    pub begun_at: Option<u64>,
    /// By node: when a question about it was last answered there.
    answered: BTreeMap<usize, u64>,
}

pub struct World {
    pub now: u64,
    rng: StdRng,
    settings: Vec<Settings>,
    nodes: Vec<SimulatedNode>,
    /// By a node's life and the text of a transaction: when it had the answer that this is too large.
    rejected: BTreeMap<(usize, u32, String), Time>,
    pub store: Store,
    pub cloud: Cloud,
    pub agents: BTreeMap<MachineId, SimulatedAgent>,
    pub jobs: BTreeMap<JobId, ObservedJob>,
    pub results: BTreeMap<JobId, BTreeSet<u32>>,
    queue: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_job: u32,
    next_invalid: u32,
    pub random_faults: bool,
    pub starts: u32,
    /// Starts that nodes have sent.
    pub start_commands: u32,
    scenario: Scenario,
    state_slow_until: u64,
    outage_spells_until: u64,
    late_writes_until: u64,
    lost_answers_until: u64,
    slow_links_until: u64,
    late_reports_until: u64,
    hold_reports_until: u64,
    cancel_at_end_until: u64,
    rapid_status_until: u64,
    /// Copies of reports that are kept for the next leader, and the epoch that was seen last.
    held_reports: Vec<StatusReport>,
    epoch_seen: u64,
    /// Jobs all of whose tasks have ended.
    ended: BTreeSet<JobId>,
    /// What went wrong, from when until when.
    pub faults_seen: Vec<(Fault, u64, u64)>,
    /// Starts that a node sent after the job's user was told that it is cancelled.
    pub starts_after_cancellation: Vec<(JobId, u64)>,
    next_check: u64,
    /// Nodes that can't reach one another.
    pub cut_pairs: Vec<(usize, usize)>,
    /// A zone that is cut off from everything, and until when. It goes on inside.
    partitioned_zone: Option<(&'static str, u64)>,
    /// Since when there are no faults.
    faults_ended_at: Option<u64>,
    admin_answer: Option<(u16, String)>,
    /// Whether broken rules of pipelines are collected, so that a test sees all of them; else the first
    /// fails it.
    pub collects_violations: bool,
    /// Those, each once.
    pub violations: BTreeSet<&'static str>,
    /// Whether all nodes have had the version under test: some may have come back old since.
    upgraded: bool,
    /// What steps and messages cost, if that is measured.
    pub costs: costs::Costs,
    decisions: decision_digest::DecisionDigest,
}

/// From more machines on, rules are checked now and then only.
const FLEET: usize = 500;
/// From more machines on, less often yet.
const LARGE_FLEET: usize = 2_000;
/// How often, in milliseconds.
const FLEET_CHECKS: u64 = 50;
const LARGE_FLEET_CHECKS: u64 = 200;
/// A rolling upgrade begins then, and takes the next node so often.
const UPGRADE_FROM_MS: u64 = 12_000;
const UPGRADE_EVERY_MS: u64 = 5_000;
/// A job about which no question is answered for so long counts as forgotten.
const KNOWN_MS: u64 = 75_000;
/// The largest jobs of a class begin within this time.
const BEGIN_MS: u64 = 240_000;

/// Where a node is.
fn zone_of(node: usize) -> &'static str {
    ["a", "b"][node % 2]
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self::of(seed, Scenario::default())
    }

    /// A world by a scenario.
    pub fn of(seed: u64, scenario: Scenario) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let settings: Vec<Settings> = (0..scenario.nodes).map(|n| scenario.settings(n)).collect();
        let nodes = (0..scenario.nodes).map(|_| SimulatedNode {
            process: None,
            version: NodeVersion::Current,
            life: 0,
            drift: 1.0 + rng.random_range(-0.0005..0.0005),
            offset: rng.random_range(1_000_000..2_000_000),
            next_req: 0,
            requesters: BTreeMap::new(),
            cut_from_store_until: 0,
            cut_from_peers_until: 0,
            cut_from_agents_until: 0,
            watch_hangs_until: 0,
            slow_until: 0,
            work: processor_time::Work::default(),
            pause: pauses::Pause::default(),
        });
        let mut world = Self {
            now: 10_000,
            nodes: nodes.collect(),
            rejected: BTreeMap::new(),
            rng,
            settings,
            store: Store::of(scenario.store),
            cloud: Cloud::of(scenario.machines, scenario.boot_ms, scenario.zone_names),
            agents: BTreeMap::new(),
            jobs: BTreeMap::new(),
            results: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_event: 0,
            next_job: 0,
            next_invalid: 0,
            random_faults: false,
            starts: 0,
            start_commands: 0,
            state_slow_until: 0,
            outage_spells_until: 0,
            late_writes_until: 0,
            lost_answers_until: 0,
            slow_links_until: 0,
            late_reports_until: 0,
            hold_reports_until: 0,
            cancel_at_end_until: 0,
            rapid_status_until: 0,
            held_reports: Vec::new(),
            epoch_seen: 0,
            ended: BTreeSet::new(),
            faults_seen: Vec::new(),
            starts_after_cancellation: Vec::new(),
            next_check: 0,
            cut_pairs: Vec::new(),
            partitioned_zone: None,
            faults_ended_at: None,
            admin_answer: None,
            collects_violations: false,
            violations: BTreeSet::new(),
            upgraded: false,
            costs: costs::Costs::default(),
            decisions: decision_digest::DecisionDigest::default(),
            scenario,
        };
        if world.scenario.spread {
            let settings = AdminSettings {
                spread_reports_from: 0.0,
                ..AdminSettings::default()
            };
            let settings = serde_json::to_value(&settings).expect("JSON");
            world.store.put("pub/admin", settings);
        }
        if world.scenario.upgrade {
            world.plan_upgrade(UPGRADE_FROM_MS, UPGRADE_EVERY_MS);
        }
        for node in 0..world.scenario.nodes {
            world.start(node);
        }
        if let Some((at, _)) = world.scenario.lower_limits {
            world.after(at, Event::LowerLimits);
        }
        if !world.scenario.scripted {
            world.after(500, Event::User);
        }
        world.after(5_000, Event::Fault);
        world
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.next_event += 1;
        self.queue
            .insert((self.now + delay, self.next_event), event);
    }

    /// Runs until a moment.
    pub fn run_until(&mut self, end: u64) {
        while let Some((&(at, id), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.queue.remove(&(at, id)) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node, life) => {
                if self.alive(node, life) && self.is_paused(node) {
                    self.after(self.remaining_pause(node), Event::Tick(node, life));
                } else if self.alive(node, life) && self.scenario.steps_take_time {
                    self.enqueue(node, Input::Tick);
                } else if self.alive(node, life) {
                    self.step_now(node, Input::Tick);
                    let slow = self.now < self.nodes[node].slow_until;
                    self.after(if slow { 150 } else { 20 }, Event::Tick(node, life));
                }
            }
            Event::Free(node, life) => {
                if self.alive(node, life) && self.is_paused(node) {
                    self.after(self.remaining_pause(node), Event::Free(node, life));
                } else if self.alive(node, life) {
                    self.work_on(node);
                }
            }
            Event::Input(node, life, input) => {
                if self.alive(node, life) {
                    self.step(node, input);
                }
            }
            Event::State(node, life, id, sent, call) if self.is_held_back(node, life) => {
                let (delay, sent) = (self.remaining_pause(node), self.sending_time(node, sent));
                self.after(delay, Event::State(node, life, id, sent, call));
            }
            Event::State(node, life, id, sent, call) => self.call_store(node, life, id, sent, call),
            Event::LateTransaction(call) => {
                self.store.call(&call, self.now);
            }
            Event::Watch(node, life, after, sent) => self.watch(node, life, after, sent),
            Event::RetryWatch(node, life, after) => self.retry_watch(node, life, after),
            Event::Cloud(node, life, id, call) => {
                let answer = self.cloud.call(&call, self.now);
                self.boot_machines();
                let hop = 40 + self.hop();
                self.after(hop, Event::Input(node, life, Input::Cloud(id, answer)));
            }
            Event::DirectQueued(node, life, id, body, send_until) => {
                self.send_direct(node, life, id, body, send_until)
            }
            Event::Direct(node, life, id, body, late) => self.direct(node, life, id, body, late),
            Event::Heartbeat(from, to, life, heartbeat) if self.is_held_back(from, life) => {
                let delay = self.remaining_pause(from);
                self.after(delay, Event::Heartbeat(from, to, life, heartbeat));
            }
            Event::Heartbeat(from, to, life, heartbeat) => {
                self.heartbeat(from, to, life, heartbeat)
            }
            Event::Forward(from, to, life, req, forward) => {
                self.forward(from, to, life, req, forward)
            }
            Event::UserAction(node, id, action) => self.user_asks(node, &id, action),
            Event::StatusReport(id) => self.send_report(&id),
            Event::LateReport(node, report) => {
                if self.nodes[node].process.is_some() {
                    let req = self.ask(node, Requester::Nobody);
                    self.step(node, Input::StatusReport(req, report));
                }
            }
            Event::ForwardReports(from, to, life, id, reports) => {
                self.forward_reports(from, to, life, id, reports)
            }
            Event::ReplicateCancellations(from, to, life, told) => {
                self.replicate_cancellations(from, to, life, told)
            }
            Event::StatusSweep(round) => self.sweep(round),
            Event::Answer(id, incarnation, sent, status, body) => {
                self.report_answered(&id, incarnation, sent, status, &body)
            }
            Event::User => self.user(),
            Event::Fault => self.inject_random_fault(),
            Event::LowerLimits => {
                if let Some((_, lower)) = self.scenario.lower_limits {
                    self.store.limits = lower;
                }
            }
            Event::Upgrade(node) => {
                let back = self.rng.random_range(100..2_000);
                self.restart_as(node, NodeVersion::Current, back);
            }
            Event::Resume(node, life) => self.resume(node, life),
            Event::OutageSpell(until) => self.next_outage_spell(until),
            Event::Restart(node) => {
                if self.nodes[node].process.is_none() {
                    self.start(node);
                }
            }
        }
        self.upgraded = self.is_upgraded();
        self.deliver_kept();
        // Of a whole fleet that takes long; what breaks a rule there does so for longer than this.
        if self.scenario.machines <= FLEET || self.now >= self.next_check {
            let large = self.scenario.machines > LARGE_FLEET;
            self.next_check = self.now
                + if large {
                    LARGE_FLEET_CHECKS
                } else {
                    FLEET_CHECKS
                };
            self.update_gangs();
            self.check();
        }
    }

    fn respond(&mut self, node: usize, req: ReqId, status: u16, body: String) {
        let Some(asker) = self.nodes[node].requesters.remove(&req) else {
            return;
        };
        match asker {
            Requester::InvalidSubmission(id) => assert!(
                [400, 422, 503].contains(&status),
                "{id} was accepted: {status} {body}"
            ),
            Requester::Agent(id, tag) => {
                if let Ok(reply) = serde_json::from_str::<StatusReportReply>(&body) {
                    self.note_starts(&reply.commands);
                }
                let hop = self.hop();
                let (sent, incarnation) = (tag & 0xffff_ffff_ffff, tag >> 48);
                self.after(hop, Event::Answer(id, incarnation, sent, status, body));
            }
            Requester::User(id, action, at) => {
                if status != 503 {
                    let now = self.now;
                    let told = self.jobs.get_mut(&id).expect("a known job");
                    told.answered.insert(node, now);
                }
                self.job_answered(&id, action, at, status, &body)
            }
            Requester::Peer(from, req) => {
                let hop = self.hop();
                let life = self.nodes[from].life;
                let input = Input::ForwardReply(req, Some((status, body)));
                self.after(hop, Event::Input(from, life, input));
            }
            Requester::Heartbeat(..)
            | Requester::ForwardedReports(..)
            | Requester::ReplicateCancellations(..)
            | Requester::Nobody => {}
            Requester::Admin => self.admin_answer = Some((status, body)),
        }
    }
}

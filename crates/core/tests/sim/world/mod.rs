//! A discrete-event simulation around the core: stand-ins for the store, the cloud, agents and users,
//! a network that delays, loses and reorders messages, nodes that crash, and clocks that drift. The
//! rules of the protocol are checked throughout a run.

pub mod agent;
mod agents;
mod cloud;
mod copied_messages;
mod costs;
mod decision_digest;
mod direct_calls;
mod events;
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

pub use cloud::OfferedType;
pub use faults::Fault;
pub use old_version::NodeVersion;
pub use scenario::Scenario;

pub use agent::SimulatedAgent;
use cloud::Cloud;
use copied_messages::{CopiedCalls, CopiedMessage};
use direct_calls::{QueuedCall, RevokedStarts};
use events::Event;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rudderreel_core::units::{Now, Time, Wall};
use rudderreel_core::{
    AdminRequest, CallId, CloudAnswer, DirectOutcome, Input, Node, Output, ReqId, RequestOrigin,
    StartRevocation, StoreAnswer, UserRequest,
};
use rudderreel_wire::admin::AdminSettings;
use rudderreel_wire::ids::{Attempt, JobId, MachineId, NodeName, TaskId, Version};
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

/// The sender of a request, to which the answer is delivered.
enum Requester {
    /// An agent's report: its send time, with the agent's incarnation in the upper 16 bits.
    Agent(MachineId, u64),
    User(JobId, UserAction, u64),
    Peer(usize, ReqId),
    Heartbeat(usize, Time),
    Admin,
    ForwardedReports(usize, u32, CallId),
    ReplicateCancellations(usize, u32),
    /// A submission that can't be accepted.
    InvalidSubmission(JobId),
    /// A late copy, or a request whose sender has given up: the answer is dropped.
    Nobody,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UserAction {
    Submit,
    Status,
    Cancel,
}

struct SimulatedNode {
    process: Option<Node>,
    version: NodeVersion,
    /// Number of times that the node's process was started. Events for an earlier generation are dropped.
    generation: u32,
    /// Speed of the node's clock relative to the simulated time.
    drift: f64,
    offset: u64,
    next_req: u64,
    requesters: BTreeMap<ReqId, Requester>,
    cut_from_store_until: u64,
    cut_from_peers_until: u64,
    cut_from_agents_until: u64,
    watch_hangs_until: u64,
    slow_until: u64,
    processor: processor_time::Processor,
    pause: pauses::Pause,
    /// Time until which direct calls wait in the process before they are sent.
    direct_calls_wait_until: u64,
    revoked_starts: RevokedStarts,
}

/// A job with what its user has been answered and what the rule checks record about it.
pub struct ObservedJob {
    pub spec: JobSpec,
    pub accepted: bool,
    /// State in the latest answer to its user.
    pub last: Option<JobState>,
    pub cancelled_at: Option<u64>,
    /// Whether its user has requested its cancellation.
    pub cancel_requested: bool,
    /// Time since which a task of the job has waited although a machine had room for it and its team was below
    /// its limit.
    startable_since: Option<u64>,
    /// Run time of the first task, and the increase for each next task, in milliseconds.
    pub run_ms: (u64, u64),
    /// When its user was first answered that it is done or cancelled.
    pub final_at: u64,
    /// When it was added to the world, before its first submission.
    pub added_at: u64,
    /// When its user was first answered that it is accepted.
    accepted_at: u64,
    /// When all jobs that it depends on were done, but not before `added_at`.
    pub ready_at: Option<u64>,
    /// When it first ran: a gang with all of its tasks, other jobs with any task.
    pub begun_at: Option<u64>,
    /// When each node last answered a request about the job.
    answered: BTreeMap<usize, u64>,
}

pub struct World {
    pub now: u64,
    rng: StdRng,
    settings: Vec<Settings>,
    nodes: Vec<SimulatedNode>,
    /// When a node received the answer that a transaction is too large, by node, generation and the transaction's
    /// JSON.
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
    /// Number of tasks that agents have started.
    pub starts: u32,
    /// Number of start commands that nodes have sent.
    pub start_commands: u32,
    scenario: Scenario,
    store_slow_until: u64,
    intermittent_outage_until: u64,
    late_writes_until: u64,
    lost_answers_until: u64,
    slow_links_until: u64,
    late_reports_until: u64,
    hold_reports_until: u64,
    cancel_at_end_until: u64,
    rapid_status_until: u64,
    /// Copies of reports that are held back until the next leader is elected, and the last epoch seen.
    held_reports: Vec<StatusReport>,
    epoch_seen: u64,
    /// Jobs all of whose tasks have ended.
    ended: BTreeSet<JobId>,
    /// Injected or observed faults, each with its start and end.
    pub faults_seen: Vec<(Fault, u64, u64)>,
    /// Size of the longest report in a scripted run, in bytes.
    pub longest_report_bytes: usize,
    /// Direct calls that agents have carried out, and what became of their copies.
    pub copied_calls: CopiedCalls,
    /// Start commands that a node sent after the job's user was answered that it is cancelled, each with the
    /// milliseconds since that answer.
    pub starts_after_cancellation: Vec<(JobId, u64)>,
    next_check: u64,
    /// Pairs of nodes that can't reach each other.
    pub cut_pairs: Vec<(usize, usize)>,
    /// A zone that is cut off from everything outside it, and the end of the partition. Inside the zone everything
    /// stays connected and keeps running.
    partitioned_zone: Option<(&'static str, u64)>,
    /// When the injection of faults ended.
    faults_ended_at: Option<u64>,
    admin_answer: Option<(u16, String)>,
    /// Whether violations of the rules about pipelines are collected, so that a test sees all of them; otherwise the
    /// first violation fails the test.
    pub collects_violations: bool,
    /// Names of the rules whose violations were collected.
    pub violations: BTreeSet<&'static str>,
    /// Whether all nodes have run the version under test; some may have restarted with the old version since.
    upgraded: bool,
    /// Costs of steps and messages, if the scenario measures them.
    pub costs: costs::Costs,
    decisions: decision_digest::DecisionDigest,
}

/// With more machines than this, rules are checked at intervals instead of after each event.
const FLEET_MACHINES: usize = 500;
/// With more machines than this, the interval between checks is longer.
const LARGE_FLEET_MACHINES: usize = 2_000;
const FLEET_CHECK_INTERVAL_MS: u64 = 50;
const LARGE_FLEET_CHECK_INTERVAL_MS: u64 = 200;
/// Time from the start of a run to the first node's upgrade, and from one node's upgrade to the next.
const UPGRADE_FROM_MS: u64 = 12_000;
const UPGRADE_INTERVAL_MS: u64 = 5_000;
/// A job counts as forgotten by a node that has answered no request about it for this time.
const MAX_UNANSWERED_MS: u64 = 75_000;
/// Time within which the largest jobs of a class must start once they are ready.
const MAX_START_DELAY_MS: u64 = 240_000;

/// Returns the zone of a node.
fn zone_of(node: usize) -> &'static str {
    ["a", "b"][node % 2]
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self::with_scenario(seed, Scenario::default())
    }

    /// Creates a world from a scenario.
    pub fn with_scenario(seed: u64, scenario: Scenario) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let settings: Vec<Settings> = (0..scenario.nodes).map(|n| scenario.settings(n)).collect();
        let nodes = (0..scenario.nodes).map(|_| SimulatedNode {
            process: None,
            version: NodeVersion::Current,
            generation: 0,
            drift: 1.0 + rng.random_range(-0.0005..0.0005),
            offset: rng.random_range(1_000_000..2_000_000),
            next_req: 0,
            requesters: BTreeMap::new(),
            cut_from_store_until: 0,
            cut_from_peers_until: 0,
            cut_from_agents_until: 0,
            watch_hangs_until: 0,
            slow_until: 0,
            processor: processor_time::Processor::default(),
            pause: pauses::Pause::default(),
            direct_calls_wait_until: 0,
            revoked_starts: RevokedStarts::default(),
        });
        let mut world = Self {
            now: 10_000,
            nodes: nodes.collect(),
            rejected: BTreeMap::new(),
            rng,
            settings,
            store: Store::with_limits(scenario.store),
            cloud: Cloud::new(scenario.boot_ms, scenario.offered_types()),
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
            store_slow_until: 0,
            intermittent_outage_until: 0,
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
            longest_report_bytes: 0,
            copied_calls: CopiedCalls::default(),
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
            world.plan_upgrade(UPGRADE_FROM_MS, UPGRADE_INTERVAL_MS);
        }
        for node in 0..world.scenario.nodes {
            world.start(node);
        }
        if let Some((at, _)) = world.scenario.lower_limits {
            world.schedule(at, Event::LowerLimits);
        }
        if !world.scenario.scripted {
            world.schedule(500, Event::UserTurn);
        }
        world.schedule(5_000, Event::Fault);
        world
    }

    fn respond(&mut self, node: usize, req: ReqId, status: u16, body: String) {
        let Some(requester) = self.nodes[node].requesters.remove(&req) else {
            return;
        };
        match requester {
            Requester::InvalidSubmission(id) => assert!(
                [400, 422, 503].contains(&status),
                "{id} was accepted: {status} {body}"
            ),
            Requester::Agent(id, tag) => {
                if let Ok(reply) = serde_json::from_str::<StatusReportReply>(&body) {
                    self.record_starts(&reply.commands);
                }
                let message_delay = self.message_delay();
                let (sent, incarnation) = (tag & 0xffff_ffff_ffff, tag >> 48);
                self.schedule(
                    message_delay,
                    Event::ReportAnswer(id, incarnation, sent, status, body),
                );
            }
            Requester::User(id, action, at) => {
                if status != 503 {
                    let now = self.now;
                    let job = self.jobs.get_mut(&id).expect("a known job");
                    job.answered.insert(node, now);
                }
                self.job_answered(&id, action, at, status, &body)
            }
            Requester::Peer(from, req) => {
                let message_delay = self.message_delay();
                let generation = self.nodes[from].generation;
                let input = Input::ForwardReply(req, Some((status, body)));
                self.schedule(message_delay, Event::Input(from, generation, input));
            }
            Requester::Heartbeat(..)
            | Requester::ForwardedReports(..)
            | Requester::ReplicateCancellations(..)
            | Requester::Nobody => {}
            Requester::Admin => self.admin_answer = Some((status, body)),
        }
    }
}

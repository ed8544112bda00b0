//! The node: routes each input to the component that handles it, and collects the resulting messages, store calls and
//! answers.
//!
//! [`Node::step`] is the only entry point for inputs: it takes one input and the current time and returns outputs. The
//! node has no clock, thread or socket. The modules below hold the handlers, one topic each (`impl Node`): they call
//! the components and push the outputs that these return. The components live in the other folders of the crate and
//! know nothing of the node.

mod administration;
mod admission;
mod cache_sync;
mod cancellation_replication;
mod cascade;
mod cloud;
pub(crate) mod completions;
mod dependencies;
mod direct_calls;
mod election;
mod epoch_bump;
mod heartbeats;
mod leader_tick;
mod leadership_transfer;
mod pending_call;
mod placement_log;
mod read_confirmation;
mod recovery;
mod report_forwarding;
mod user_requests;
mod version_gate;

use crate::agents::peer_selection::AgentBalancer;
use crate::agents::report_forwarding::ReportForwarding;
use crate::api::cancellation_replication::CancellationReplicator;
use crate::api::user_requests::{TaskProgress, UserRequests};
use crate::cache::cache_sync::CacheSync;
use crate::cache::job_cache::JobCache;
use crate::cloud::calls::CloudCalls;
use crate::io::{Input, Output, RequestOrigin, StartRevocation};
use crate::leader::Leader;
use crate::leadership::election::Election;
use crate::leadership::peers::PeerTable;
use crate::node::cache_sync::cache_confirmation_calls;
use crate::node::election::store_call_rate;
use crate::node::pending_call::PendingCall;
use crate::overload::backlog::Backlog;
use crate::overload::fleet_limits::FleetLimits;
use crate::overload::pacing::{LongStep, Pacing};
use crate::overload::pauses::ProcessPauses;
use crate::overload::processor_share::ProcessorShare;
use crate::store::calls::StoreCalls;
use crate::store::limits::StoreLimits;
use crate::store::periodic_call::PeriodicCall;
use crate::teams::team_tree::TeamTree;
use crate::units::{Now, Span, Time};
use rudderreel_wire::admin::{AdminSettings, Versioned};
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::{JobId, NodeName, Version, Zone};
use rudderreel_wire::settings::Settings;
use rudderreel_wire::state::Events;
use std::collections::BTreeMap;
use std::fmt;

/// Fraction of the cloud's rate limit that this node uses.
const CLOUD_CALLS_FRACTION: f64 = 0.9;

/// A node: its settings and the components that own its state.
pub struct Node {
    settings: Settings,
    /// Teams from the platform's settings, with the operators' settings applied on top.
    tree: TeamTree,
    /// Teams from the platform's settings alone, against which operators' settings are checked.
    platform_tree: TeamTree,
    admin_settings: Versioned,
    /// Machine types; `None` until they have been read.
    catalog: Option<Catalog>,

    // The store.
    store_calls: StoreCalls<PendingCall>,
    /// Limits of the store that every writer observes.
    store_limits: StoreLimits,
    job_cache: JobCache,
    /// State of the listing that fills the cache.
    cache_sync: CacheSync,
    /// The periodic call that confirms a leader's cache.
    cache_confirmation: PeriodicCall,

    // Leadership and the other nodes.
    election: Election,
    /// The leader's state; `None` while this node does not lead.
    leader: Option<Leader>,
    next_reconcile_at: Time,
    peers: PeerTable,
    next_heartbeat_at: Time,
    heartbeats_sent: u64,
    /// Number of machines in the fleet, as the leader last reported it.
    leader_machines: u32,
    /// Partitioned zones and the start of each partition, as the leader last reported them.
    leader_partitioned_zones: BTreeMap<Zone, Time>,
    /// Done and running tasks of each job, as the leader last counted them.
    task_progress: BTreeMap<JobId, TaskProgress>,

    // Users and agents.
    user_requests: UserRequests,
    cancellations: CancellationReplicator,
    forwarding: ReportForwarding,
    /// Decides which node each agent should report to.
    agent_balancer: AgentBalancer,
    /// Time of the last status report that any agent sent to this node.
    last_report_at: Option<Time>,
    /// Time since which agents have continuously reached some peer that the store serves; `None` if they reach none.
    peers_reached_since: Option<Time>,

    // The cloud.
    cloud: CloudCalls,
    /// Lag of the cloud's machine list.
    list_lag: Span,

    // Overload.
    /// Number of agents that the nodes' connections suffice for; `None` if it is not known.
    fleet_limits: Option<FleetLimits>,
    /// Stretches the intervals of costly work on a node with a small share of a processor.
    processor_share: ProcessorShare,
    /// Limits reconcile passes and scheduling cycles to a fraction of the time.
    pacing: Pacing,
    /// Tracks whether this node keeps up with its inputs.
    backlog: Backlog,
    /// Pauses of the whole process.
    pauses: ProcessPauses,

    /// Outputs of the current step.
    out: Vec<Output>,
    /// Revocations of the current step, which precede its outputs.
    revocations: Vec<StartRevocation>,
}

/// Returns this node's position in the sorted names of all nodes.
fn rank_among_nodes(settings: &Settings) -> u64 {
    let earlier = |name: &&NodeName| **name < settings.node;
    let peers = settings.peers.iter().map(|peer| &peer.node);
    peers.filter(earlier).count() as u64
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node")
            .field("node", &self.settings.node)
            .field("leads", &self.leader.is_some())
            .finish_non_exhaustive()
    }
}

impl Node {
    /// Creates a node that has just started.
    pub fn new(settings: Settings) -> Self {
        let nodes = settings.params.nodes.max(1) as usize;
        let rank = rank_among_nodes(&settings);
        let peers = PeerTable::new(settings.peers.iter().map(|peer| peer.node.clone()));
        let election = Election::new(settings.node.clone(), nodes, rank);
        let cancellations = CancellationReplicator::new(
            settings.node.clone(),
            peers.names().cloned(),
            election.majority(),
        );
        Self {
            tree: TeamTree::from_limits(&settings.params.teams),
            platform_tree: TeamTree::from_limits(&settings.params.teams),
            admin_settings: Versioned {
                version: Version(0),
                settings: AdminSettings::default(),
            },
            catalog: None,
            job_cache: JobCache::default(),
            store_calls: StoreCalls::new(store_call_rate(&settings, false)),
            list_lag: Span::secs(settings.params.cloud.list_lag_s),
            cloud: CloudCalls::new(settings.params.cloud.rps * CLOUD_CALLS_FRACTION),
            election,
            store_limits: StoreLimits::of(&settings.params.state),
            fleet_limits: FleetLimits::of(&settings),
            processor_share: ProcessorShare::of(&settings),
            user_requests: UserRequests::default(),
            cancellations,
            leader: None,
            forwarding: ReportForwarding::default(),
            agent_balancer: AgentBalancer::default(),
            leader_machines: 0,
            leader_partitioned_zones: BTreeMap::new(),
            peers,
            task_progress: BTreeMap::new(),
            cache_sync: CacheSync::default(),
            cache_confirmation: cache_confirmation_calls(),
            next_heartbeat_at: Time(0),
            heartbeats_sent: 0,
            next_reconcile_at: Time(0),
            pacing: Pacing::default(),
            backlog: Backlog::default(),
            pauses: ProcessPauses::default(),
            last_report_at: None,
            peers_reached_since: None,
            out: Vec::new(),
            revocations: Vec::new(),
            settings,
        }
    }

    /// Handles one input; returns the messages, calls and answers to send.
    pub fn step(&mut self, input: Input, now: Now) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::User(req, request) => {
                self.user_request_received(req, request, RequestOrigin::Direct, now)
            }
            Input::ForwardedRequest {
                req,
                request,
                sender,
            } => self.forwarded_request_received(req, request, sender, now),
            Input::StatusReport(req, report) => self.status_report_received(req, *report, now),
            Input::Health(req) => self.health_check_received(req, now),
            Input::Admin {
                req,
                request,
                origin,
            } => self.admin_request_received(req, request, origin, now),
            Input::Heartbeat(req, heartbeat) => self.heartbeat_received(req, heartbeat, now),
            Input::HeartbeatReply(sent, reply) => self.heartbeat_reply_received(sent, reply, now),
            Input::ForwardedReports(req, reports) => {
                self.forwarded_reports_received(req, reports, now)
            }
            Input::ForwardedReportsReply(call, reply) => {
                self.forwarded_reports_answered(call, reply, now)
            }
            Input::ReplicateCancellations(req, message) => {
                self.cancellations_replicated(req, message)
            }
            Input::ReplicateCancellationsReply(peer, reply) => {
                self.replication_answered(peer, reply, now)
            }
            Input::ForwardReply(req, answer) => self.forward_answered(req, answer),
            Input::Store {
                call,
                sent_at,
                answer,
            } => self.store_call_answered(call, sent_at, answer, now),
            Input::Watched {
                sent_at,
                revision,
                events,
            } => self.watch_events_received(sent_at, Events { revision, events }, now),
            Input::WatchLost => self.watch_lost(now.time),
            Input::Cloud(id, answer) => self.cloud_call_answered(id, answer, now),
            Input::Direct {
                machine,
                commands,
                outcome,
            } => self.direct_call_ended(machine, commands, outcome, now),
        }
        // Job changes are applied within the same step, so that no task of a job is started after the job's
        // cancellation was acknowledged to its user.
        self.apply_job_changes(now);
        self.send_cancellation_replications(now);
        self.store_calls.send_due(now.time, &mut self.out);
        self.take_outputs()
    }

    fn take_outputs(&mut self) -> Vec<Output> {
        let outputs = std::mem::take(&mut self.out);
        if self.revocations.is_empty() {
            return outputs;
        }
        let revocations = self.revocations.drain(..).map(Output::RevokeStarts);
        revocations.chain(outputs).collect()
    }

    /// Returns what the last step did, if that takes long in a large fleet, until [`Node::step_ended`] is called.
    pub fn long_step(&self) -> Option<LongStep> {
        self.pacing.current()
    }

    /// Records how long the step took that has just ended, measured by a monotonic clock. Without this call reconcile
    /// passes and cycles follow one another as if they took no time.
    pub fn step_ended(&mut self, at: Time, took: Span) {
        self.pacing.ended(at, took);
    }

    /// Records how long the next input has waited. A node that is behind answers its inputs before it makes scheduling
    /// decisions.
    pub fn record_input_wait(&mut self, at: Time, waited: Span) {
        self.backlog.record_wait(at, waited);
    }

    /// Runs the periodic work that is due.
    fn tick(&mut self, now: Now) {
        self.pauses.record_tick(now.time);
        self.begin_cache_sync_if_due(now);
        self.backlog.update_load(now.time);
        self.election_tick(now);
        self.confirm_cache_if_due(now.time);
        self.send_due_confirmations(now);
        self.cancellations_tick(now);
        self.fetch_catalog(now);
        self.forwarding_tick(now);
        self.heartbeat_tick(now);
        self.leader_tick(now);
    }
}

//! The node: routes each input to the part that handles it, and collects what the parts want sent, written and answered.
//!
//! [`Node::step`] is the only way in. It takes one input and the time and returns outputs; there is no clock, thread or
//! socket here. The handlers stand in the modules below, one topic each (`impl Node`): they fetch the parts, call them,
//! and push what they return. The parts stand in the other folders of the crate and know nothing of the node.

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
use crate::io::{Input, Output, RequestOrigin};
use crate::leader::Leader;
use crate::leadership::election::Election;
use crate::leadership::peers::PeerTable;
use crate::node::cache_sync::cache_confirmation_calls;
use crate::node::election::store_call_rate;
use crate::node::pending_call::PendingCall;
use crate::overload::backlog::Backlog;
use crate::overload::fleet_limits::FleetLimits;
use crate::overload::pacing::{LongStep, Pacing};
use crate::overload::pauses::Pauses;
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

/// Calls a second to the cloud that this node allows itself, as a part of what the cloud takes.
const CLOUD_CALLS_PART: f64 = 0.9;

/// A node: everything that it knows, in the parts that own it.
pub struct Node {
    settings: Settings,
    /// The teams by the platform's settings with the operators' laid over them.
    tree: TeamTree,
    /// The teams by the platform's settings alone, which operators' settings are checked against.
    platform_tree: TeamTree,
    admin_settings: Versioned,
    /// Machine types, once they have been read.
    catalog: Option<Catalog>,

    // The store.
    store_calls: StoreCalls<PendingCall>,
    /// Limits of the store that every writer keeps to.
    limits: StoreLimits,
    job_cache: JobCache,
    /// Whether the cache is being filled.
    cache_sync: CacheSync,
    /// The calls that confirm the cache of a leader.
    cache_confirmation: PeriodicCall,

    // Leadership and the other nodes.
    election: Election,
    /// What this node holds while it leads.
    leader: Option<Leader>,
    next_reconcile_at: Time,
    peers: PeerTable,
    next_heartbeat_at: Time,
    heartbeats_sent: u64,
    /// Machines that the leader said it knows.
    leader_machines: u32,
    /// Zones that the leader said are partitioned, and since when.
    leader_partitioned_zones: BTreeMap<Zone, Time>,
    /// Tasks of jobs that are done and that run, as the leader counted them.
    task_progress: BTreeMap<JobId, TaskProgress>,

    // Users and agents.
    user_requests: UserRequests,
    cancellations: CancellationReplicator,
    forwarding: ReportForwarding,
    /// Which node each agent should report to.
    agent_balancer: AgentBalancer,
    /// When any agent last reported to this node.
    last_report_at: Option<Time>,
    /// Since when agents have reached other nodes all the time.
    peers_reached_since: Option<Time>,

    // The cloud.
    cloud: CloudCalls,
    /// How late the cloud's list is.
    list_lag: Span,

    // Overload.
    /// How many agents the nodes' connections suffice for, if that is known.
    fleet_limits: Option<FleetLimits>,
    /// How often costly things are done.
    processor_share: ProcessorShare,
    /// Keeps reconcile passes and cycles to a part of the time.
    pacing: Pacing,
    /// Whether this node keeps up.
    backlog: Backlog,
    /// When this process stood still.
    pauses: Pauses,

    /// What the present step has to send, write and answer.
    out: Vec<Output>,
}

/// A node's place among the names of all nodes.
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
    /// A node that has just started.
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
            cloud: CloudCalls::new(settings.params.cloud.rps * CLOUD_CALLS_PART),
            election,
            limits: StoreLimits::of(&settings.params.state),
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
            pauses: Pauses::default(),
            last_report_at: None,
            peers_reached_since: None,
            out: Vec::new(),
            settings,
        }
    }

    /// Takes one input; returns what to send, write and answer.
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
            } => self.forwarded(req, request, sender, now),
            Input::StatusReport(req, report) => self.status_report_received(req, *report, now),
            Input::Health(req) => self.health(req, now),
            Input::Admin {
                req,
                request,
                origin,
            } => self.admin(req, request, origin, now),
            Input::Heartbeat(req, heartbeat) => self.heartbeat(req, heartbeat, now),
            Input::HeartbeatReply(sent, reply) => self.heartbeat_reply(sent, reply, now),
            Input::ForwardedReports(req, reports) => {
                self.forwarded_reports_received(req, reports, now)
            }
            Input::ForwardedReportsReply(call, reply) => {
                self.forwarded_reports_answered(call, reply, now)
            }
            Input::ReplicateCancellations(req, told) => self.cancellations_replicated(req, told),
            Input::ReplicateCancellationsReply(peer, reply) => {
                self.replication_answered(peer, reply, now)
            }
            Input::ForwardReply(req, answer) => self.forward_answered(req, answer),
            Input::State {
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
            Input::Cloud(id, answer) => self.cloud_answer(id, answer, now),
            Input::Direct {
                machine,
                commands,
                outcome,
            } => self.direct_call_ended(machine, commands, outcome, now),
        }
        // At once, so that nothing of a job is started after its cancellation was acknowledged to its user.
        self.apply_job_changes(now);
        self.send_cancellation_replications(now);
        self.store_calls.send_due(now.time, &mut self.out);
        std::mem::take(&mut self.out)
    }

    /// What the last step did, if that takes long in a large fleet; until [`Node::step_ended`] is called.
    pub fn long_step(&self) -> Option<LongStep> {
        self.pacing.current()
    }

    /// Tells how long the step took that has just ended, by the steady clock. Without it reconcile passes and cycles
    /// follow one another as if they took no time.
    pub fn step_ended(&mut self, at: Time, took: Span) {
        self.pacing.ended(at, took);
    }

    /// Tells how long the input has waited that comes next. A node that is behind answers before it decides.
    pub fn record_input_wait(&mut self, at: Time, waited: Span) {
        self.backlog.record_wait(at, waited);
    }

    /// Does what is due by the time.
    fn tick(&mut self, now: Now) {
        self.pauses.tick(now.time);
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

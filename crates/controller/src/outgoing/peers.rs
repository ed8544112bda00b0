//! Messages to the other nodes. Each kind of message to each peer has a queue and threads of its own, so that no
//! message waits behind another kind, nor behind a peer that does not answer.

use crate::clients::http_client::{http_client, CallLimits};
use crate::clients::peers;
use crate::clock::Clock;
use crate::input_queues::{InputSender, BATCH_TIMEOUT};
use crate::startup_error::StartupError;
use crate::threads::{spawn_pool, PoolSize, ThreadRole};
use crossbeam_channel::Sender;
use rudderreel_core::{CallId, Input, ReqId};
use rudderreel_wire::ids::NodeName;
use rudderreel_wire::peer::{Forward, ForwardedReports, Heartbeat, ReplicateCancellations};
use rudderreel_wire::settings::{Peer, Settings};
use std::collections::BTreeMap;
use std::time::Duration;
use ureq::Agent;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a batch of status reports. With it, a leader that is briefly behind still answers in time for the agents,
/// which wait for 4 s. With a timeout of 1 s the same reports were sent again, to the leader or to another node, and
/// delayed the leader further.
const REPORTS_TIMEOUT: Duration = BATCH_TIMEOUT;

/// One message in flight and one queued, which a slow peer gets once the call before it has ended.
const HEARTBEAT_POOL: PoolSize = PoolSize {
    threads: 1,
    queue: 1,
};
const REPLICATION_POOL: PoolSize = PoolSize {
    threads: 1,
    queue: 1,
};
const FORWARD_POOL: PoolSize = PoolSize {
    threads: 2,
    queue: 32,
};
const REPORTS_POOL: PoolSize = PoolSize {
    threads: 2,
    queue: 4,
};

/// Queues of messages to one peer.
struct QueuesOfPeer {
    heartbeats: Sender<Heartbeat>,
    forwards: Sender<(ReqId, Forward)>,
    reports: Sender<(CallId, ForwardedReports)>,
    replications: Sender<ReplicateCancellations>,
}

/// Queues of messages to all peers.
#[derive(Default)]
pub(super) struct PeerQueues(BTreeMap<NodeName, QueuesOfPeer>);

impl PeerQueues {
    pub(super) fn start(
        settings: &Settings,
        clock: Clock,
        core: &InputSender,
    ) -> Result<Self, StartupError> {
        let mut peers = BTreeMap::new();
        for peer in &settings.peers {
            peers.insert(peer.node.clone(), QueuesOfPeer::start(peer, clock, core)?);
        }
        Ok(Self(peers))
    }

    /// Queues a heartbeat to every peer. A heartbeat that finds its queue full is dropped: the next one is due soon.
    pub(super) fn send_heartbeat(&self, heartbeat: &Heartbeat) -> Option<Input> {
        for peer in self.0.values() {
            let _ = peer.heartbeats.try_send(heartbeat.clone());
        }
        None
    }

    /// Queues a request to be forwarded. If the queue is full, returns the input for a peer that gave no answer.
    pub(super) fn forward(&self, peer: &NodeName, req: ReqId, request: Forward) -> Option<Input> {
        let is_queued =
            (self.0.get(peer)).is_some_and(|p| p.forwards.try_send((req, request)).is_ok());
        (!is_queued).then_some(Input::ForwardReply(req, None))
    }

    /// Queues status reports to be forwarded. If the queue is full, returns the input for a peer that gave no answer.
    pub(super) fn forward_reports(
        &self,
        peer: &NodeName,
        id: CallId,
        reports: ForwardedReports,
    ) -> Option<Input> {
        let is_queued =
            (self.0.get(peer)).is_some_and(|p| p.reports.try_send((id, reports)).is_ok());
        (!is_queued).then_some(Input::ForwardedReportsReply(id, None))
    }

    /// Queues cancellations to be replicated. If the queue is full, returns the input for a peer that gave no answer.
    pub(super) fn replicate_cancellations(
        &self,
        peer: NodeName,
        cancellations: ReplicateCancellations,
    ) -> Option<Input> {
        let is_queued =
            (self.0.get(&peer)).is_some_and(|p| p.replications.try_send(cancellations).is_ok());
        (!is_queued).then_some(Input::ReplicateCancellationsReply(peer, None))
    }
}

impl QueuesOfPeer {
    fn start(peer: &Peer, clock: Clock, core: &InputSender) -> Result<Self, StartupError> {
        Ok(Self {
            heartbeats: start_heartbeats(peer, clock, core)?,
            forwards: start_forwards(peer, core)?,
            reports: start_reports(peer, core)?,
            replications: start_replications(peer, core)?,
        })
    }
}

fn client(call_timeout: Duration) -> Agent {
    http_client(CallLimits::new(CONNECT_TIMEOUT, call_timeout))
}

fn start_heartbeats(
    peer: &Peer,
    clock: Clock,
    core: &InputSender,
) -> Result<Sender<Heartbeat>, StartupError> {
    let (client, addr) = (client(CALL_TIMEOUT), peer.addr);
    let role = ThreadRole::PeerHeartbeats;
    spawn_pool(role, HEARTBEAT_POOL, core, move |heartbeat| {
        let sent = clock.time();
        // A heartbeat without a reply proves nothing, so the core gets no input for it.
        let reply = peers::send_heartbeat(&client, addr, &heartbeat)?;
        Some(Input::HeartbeatReply(sent, reply))
    })
}

fn start_forwards(
    peer: &Peer,
    core: &InputSender,
) -> Result<Sender<(ReqId, Forward)>, StartupError> {
    let (client, addr) = (client(CALL_TIMEOUT), peer.addr);
    let role = ThreadRole::PeerForwards;
    spawn_pool(role, FORWARD_POOL, core, move |(req, request)| {
        let answer = peers::forward(&client, addr, &request);
        Some(Input::ForwardReply(req, answer))
    })
}

fn start_reports(
    peer: &Peer,
    core: &InputSender,
) -> Result<Sender<(CallId, ForwardedReports)>, StartupError> {
    let (client, addr) = (client(REPORTS_TIMEOUT), peer.addr);
    let role = ThreadRole::PeerReports;
    spawn_pool(role, REPORTS_POOL, core, move |(id, reports)| {
        let reply = peers::forward_reports(&client, addr, &reports);
        Some(Input::ForwardedReportsReply(id, reply))
    })
}

fn start_replications(
    peer: &Peer,
    core: &InputSender,
) -> Result<Sender<ReplicateCancellations>, StartupError> {
    let (client, addr, name) = (client(CALL_TIMEOUT), peer.addr, peer.node.clone());
    let role = ThreadRole::PeerReplications;
    spawn_pool(role, REPLICATION_POOL, core, move |cancellations| {
        let reply = peers::replicate_cancellations(&client, addr, &cancellations);
        Some(Input::ReplicateCancellationsReply(name.clone(), reply))
    })
}

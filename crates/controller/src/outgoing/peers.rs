//! Messages to the other nodes: a queue and threads of its own for each kind and peer, so that none waits
//! behind another kind, nor behind a peer that does not answer.

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
/// A leader that is behind for a moment still answers in time for the agents, who wait for 4 s. When a batch
/// of reports was given up after a second, the same reports came again, to it or to another node, and held it
/// up for longer.
const REPORTS_TIMEOUT: Duration = BATCH_TIMEOUT;

/// One message at a time, and one that waits: a peer that is still busy with the last one gets the next.
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

    /// Sends a heartbeat to every peer. One that finds no room is dropped: the next is due soon.
    pub(super) fn send_heartbeat(&self, heartbeat: &Heartbeat) -> Option<Input> {
        for peer in self.0.values() {
            let _ = peer.heartbeats.try_send(heartbeat.clone());
        }
        None
    }

    /// Forwards a request. If there is no room, returns that the peer gave no answer.
    pub(super) fn forward(&self, peer: &NodeName, req: ReqId, request: Forward) -> Option<Input> {
        let is_queued =
            (self.0.get(peer)).is_some_and(|p| p.forwards.try_send((req, request)).is_ok());
        (!is_queued).then_some(Input::ForwardReply(req, None))
    }

    /// Forwards status reports. If there is no room, returns that the peer gave no answer.
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

    /// Replicates cancellations. If there is no room, returns that the peer gave no answer.
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
        // A heartbeat without an answer says nothing.
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

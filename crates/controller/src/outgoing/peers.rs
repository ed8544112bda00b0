//! Messages to the other nodes: a queue and threads of its own for each kind and peer, so that none waits
//! behind another kind, nor behind a peer that is silent.

use super::start_threads;
use crate::clients::{self, CallLimits};
use crate::clock::Clock;
use crate::inputs::{InputSender, BATCH_WAITS_MS};
use crossbeam_channel::Sender;
use rudderreel_core::{CallId, Input, ReqId};
use rudderreel_wire::ids::NodeName;
use rudderreel_wire::peer::{Forward, ForwardedReports, Heartbeat, ReplicateCancellations};
use rudderreel_wire::settings::Settings;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Time limits of calls to peers, in milliseconds.
const PEER_CONNECT_MS: u64 = 300;
const PEER_CALL_MS: u64 = 1_000;

/// A message to a peer.
pub(super) enum PeerMessage {
    Heartbeat(Heartbeat),
    Forward(ReqId, Forward),
    ForwardedReports(CallId, ForwardedReports),
    ReplicateCancellations(NodeName, ReplicateCancellations),
}

/// How messages of one kind go to a peer.
#[derive(Clone, Copy)]
struct PeerCalls {
    threads: usize,
    /// Messages that may wait for a thread.
    waiting: usize,
    /// How long an answer is waited for.
    whole_ms: u64,
}

impl PeerCalls {
    const HEARTBEATS: Self = Self::of(1, 1, PEER_CALL_MS);
    const ANNOUNCEMENTS: Self = Self::of(1, 1, PEER_CALL_MS);
    const FORWARDS: Self = Self::of(2, 32, PEER_CALL_MS);
    /// A leader that is behind for a moment still answers in time for the workers, who wait for 4 s. Given
    /// up after a second, the same reports came again, to it or to another node, and held it up for longer.
    const REPORTS: Self = Self::of(2, 4, BATCH_WAITS_MS);

    const fn of(threads: usize, waiting: usize, whole_ms: u64) -> Self {
        Self {
            threads,
            waiting,
            whole_ms,
        }
    }
}

/// Queues of messages to one peer.
pub(super) struct PeerQueues {
    pub heartbeats: Sender<PeerMessage>,
    pub forwards: Sender<PeerMessage>,
    pub reports: Sender<PeerMessage>,
    pub announcements: Sender<PeerMessage>,
}

/// Starts the threads that call peers.
pub(super) fn start(
    settings: &Settings,
    clock: Clock,
    core: &InputSender,
) -> Result<BTreeMap<NodeName, PeerQueues>, String> {
    let queues = |addr: SocketAddrV4| -> Result<PeerQueues, String> {
        Ok(PeerQueues {
            heartbeats: start_peer(addr, clock, core, PeerCalls::HEARTBEATS)?,
            forwards: start_peer(addr, clock, core, PeerCalls::FORWARDS)?,
            reports: start_peer(addr, clock, core, PeerCalls::REPORTS)?,
            announcements: start_peer(addr, clock, core, PeerCalls::ANNOUNCEMENTS)?,
        })
    };
    (settings.peers.iter())
        .map(|peer| Ok((peer.node.clone(), queues(peer.addr)?)))
        .collect()
}

fn start_peer(
    addr: SocketAddrV4,
    clock: Clock,
    core: &InputSender,
    calls: PeerCalls,
) -> Result<Sender<PeerMessage>, String> {
    let agent = clients::agent(CallLimits::of_service(PEER_CONNECT_MS, calls.whole_ms));
    start_threads("peer", calls.threads, calls.waiting, core, move |message| {
        Some(match message {
            PeerMessage::Heartbeat(heartbeat) => {
                let sent = clock.time();
                // One without an answer says nothing.
                Input::HeartbeatReply(sent, clients::heartbeat(&agent, addr, &heartbeat)?)
            }
            PeerMessage::ForwardedReports(id, reports) => {
                Input::ForwardedReportsReply(id, clients::pass_reports(&agent, addr, &reports))
            }
            PeerMessage::ReplicateCancellations(peer, told) => {
                Input::ReplicateCancellationsReply(peer, clients::announce(&agent, addr, &told))
            }
            PeerMessage::Forward(req, request) => {
                Input::ForwardReply(req, clients::forward(&agent, addr, &request))
            }
        })
    })
}

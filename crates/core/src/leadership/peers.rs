//! What a node knows of its peers, by their heartbeats.

use crate::units::{Span, Time};
use rudderreel_wire::ids::Epoch;

/// What is known of a peer.
#[derive(Clone, Debug, Default)]
pub struct PeerStatus {
    pub last_heartbeat_at: Time,
    pub store_reachable: bool,
    pub agent_silence: Span,
    /// Whether it leads, as it said last, and the highest epoch that it knew.
    pub leads: bool,
    pub epoch: Epoch,
    /// Workers that report to it.
    pub workers: u32,
    /// Whether it hears the leader, so that it can pass reports on.
    pub forwards_reports: bool,
}

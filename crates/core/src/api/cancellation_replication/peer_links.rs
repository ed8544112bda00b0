//! The messages that replicate cancellations to the peers: one to each peer is in flight at a time.

use super::knowledge::MissingCancellation;
use crate::units::{Span, Time};
use rudderreel_wire::ids::NodeName;
use std::collections::BTreeMap;

/// Minimum time between the failure of a message that a peer did not answer and the next message to that peer.
pub(super) const REPLICATION_RETRY_INTERVAL: Span = Span(250);

/// The state of the messages to each peer.
#[derive(Debug)]
pub(super) struct PeerLinks(BTreeMap<NodeName, PeerLink>);

/// The state of the messages to one peer.
#[derive(Debug, Default)]
struct PeerLink {
    /// The cancellations in the message that is in flight, if there is one.
    in_flight: Option<Vec<MissingCancellation>>,
    /// The time from which the next message may be sent, after a message that was not answered.
    retry_at: Option<Time>,
}

impl PeerLink {
    fn may_send(&self, now: Time) -> bool {
        self.in_flight.is_none() && self.retry_at.is_none_or(|at| now >= at)
    }
}

impl PeerLinks {
    pub(super) fn new(peers: impl Iterator<Item = NodeName>) -> Self {
        Self(peers.map(|peer| (peer, PeerLink::default())).collect())
    }

    /// Returns the peers that a message may be sent to.
    pub(super) fn peers_free_at(&self, now: Time) -> Vec<NodeName> {
        (self.0.iter())
            .filter(|(_, link)| link.may_send(now))
            .map(|(peer, _)| peer.clone())
            .collect()
    }

    /// Records that a message with cancellations is sent to a peer.
    pub(super) fn message_sent(
        &mut self,
        peer: &NodeName,
        cancellations: Vec<MissingCancellation>,
    ) {
        if let Some(link) = self.0.get_mut(peer) {
            link.in_flight = Some(cancellations);
        }
    }

    /// Records that a peer has answered. Returns the cancellations in the message, or none if no message was in flight.
    pub(super) fn message_answered(&mut self, peer: &NodeName) -> Option<Vec<MissingCancellation>> {
        self.message_ended(peer, None)
    }

    /// Records that a peer gave no usable answer. The next message to it is sent no sooner than after
    /// [`REPLICATION_RETRY_INTERVAL`].
    pub(super) fn message_unanswered(&mut self, peer: &NodeName, now: Time) {
        self.message_ended(peer, Some(now + REPLICATION_RETRY_INTERVAL));
    }

    fn message_ended(
        &mut self,
        peer: &NodeName,
        retry_at: Option<Time>,
    ) -> Option<Vec<MissingCancellation>> {
        let link = self.0.get_mut(peer)?;
        let ended = link.in_flight.take()?;
        link.retry_at = retry_at;
        Some(ended)
    }
}

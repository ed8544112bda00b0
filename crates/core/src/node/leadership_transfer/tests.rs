use super::*;
use crate::leadership::peers::PeerStatus;
use crate::testing::{leader, node, NOW};
use rudderreel_wire::ids::NodeName;

/// Returns a node that has led for `led`, with one peer, which the store serves if `peer_served`.
fn node_that_led(led: Span, peer_served: bool) -> (Node, Now) {
    let mut node = node();
    node.leader = Some(leader());
    let now = Now {
        time: NOW.time + led,
        ..NOW
    };
    let peer = PeerStatus {
        last_heartbeat_at: now.time + FAR_BEHIND_TIMEOUT,
        store_reachable: peer_served,
        ..PeerStatus::default()
    };
    node.peers.insert(NodeName::from("n1"), peer);
    (node, now)
}

/// Records inputs that each waited for `waited`, one per millisecond of `duration`; returns the end of that period.
fn record_waits(node: &mut Node, from: Now, duration: Span, waited: Span) -> Now {
    for ms in 0..=duration.0 {
        node.backlog.record_wait(from.time + Span(ms), waited);
    }
    Now {
        time: from.time + duration,
        ..from
    }
}

/// Without a transfer, a leader that ran at a third of its speed kept its lease for ten seconds, in which few agents
/// were answered.
#[test]
fn a_leader_that_stays_far_behind_transfers_leadership() {
    let (mut node, now) = node_that_led(MIN_TERM_BEFORE_OVERLOAD, true);
    let now = record_waits(&mut node, now, FAR_BEHIND_TIMEOUT, Span(1_500));
    node.transfer_leadership_if_unfit(now);
    assert!(node.leader.is_none());
    assert_eq!(
        node.election.campaigns_paused_until(),
        now.time + CAMPAIGN_PAUSE
    );
}

#[test]
fn a_leader_that_is_behind_for_a_moment_keeps_leadership() {
    let (mut node, now) = node_that_led(MIN_TERM_BEFORE_OVERLOAD, true);
    let now = record_waits(
        &mut node,
        now,
        Span(FAR_BEHIND_TIMEOUT.0 - 100),
        Span(1_500),
    );
    node.transfer_leadership_if_unfit(now);
    let now = record_waits(&mut node, now, Span(5_000), Span(700));
    node.transfer_leadership_if_unfit(now);
    assert!(node.leader.is_some());
}

/// Where all nodes are slow, leadership must not pass from node to node.
#[test]
fn a_leader_that_has_just_won_keeps_leadership_however_slow_it_is() {
    let (mut node, now) = node_that_led(Span(10_000), true);
    let now = record_waits(&mut node, now, Span(20_000), Span(3_000));
    node.transfer_leadership_if_unfit(now);
    assert!(node.leader.is_some());
}

#[test]
fn a_slow_leader_keeps_leadership_where_no_peer_could_lead() {
    let (mut node, now) = node_that_led(MIN_TERM_BEFORE_OVERLOAD, false);
    let now = record_waits(&mut node, now, FAR_BEHIND_TIMEOUT, Span(1_500));
    node.transfer_leadership_if_unfit(now);
    assert!(node.leader.is_some());
}

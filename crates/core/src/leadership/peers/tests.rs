use super::*;

const NOW: Time = Time(1_000_000);

fn table() -> PeerTable {
    PeerTable::new(["n1".into(), "n2".into()])
}

#[test]
fn a_peer_is_reachable_until_the_heartbeat_timeout() {
    let mut peers = table();
    let name = NodeName::from("n1");
    peers.record_contact(&name, false, Span(0), NOW);
    let peer = peers.get(&name).expect("a peer");
    assert!(peer.is_reachable(NOW + Span(PEER_HEARTBEAT_TIMEOUT.0 - 1)));
    assert!(!peer.is_reachable(NOW + PEER_HEARTBEAT_TIMEOUT));
    assert!(
        !peer.is_served_by_store(NOW),
        "the store does not answer it"
    );
}

#[test]
fn the_first_peer_that_the_store_answers_is_found() {
    let mut peers = table();
    assert_eq!(peers.first_served_by_store(NOW), None);
    peers.record_contact(&"n1".into(), false, Span(0), NOW);
    peers.record_contact(&"n2".into(), true, Span(0), NOW);
    let found = peers.first_served_by_store(NOW);
    assert_eq!(found, Some(&NodeName::from("n2")));
    assert_eq!(peers.first_served_by_store(NOW + Span(1_500)), None);
}

#[test]
fn a_peer_that_no_agent_reached_lately_is_not_reached_by_agents() {
    let mut peers = table();
    peers.record_contact(&"n1".into(), true, AGENT_CONTACT_TIMEOUT, NOW);
    assert!(!peers.is_any_reached_by_agents(NOW));
    peers.record_contact(&"n1".into(), true, Span(AGENT_CONTACT_TIMEOUT.0 - 1), NOW);
    assert!(peers.is_any_reached_by_agents(NOW));
}

/// The settings file fixes the set of peers.
#[test]
fn a_heartbeat_of_a_node_that_is_no_peer_adds_no_peer() {
    let mut peers = table();
    peers.record_contact(&"n9".into(), true, Span(0), NOW);
    assert!(!peers.contains(&"n9".into()));
    assert_eq!(peers.first_served_by_store(NOW), None);
}

use super::*;

const NOW: Time = Time(1_000_000);
const TTL: Span = Span(1_500);

#[test]
fn two_majorities_share_a_node() {
    for nodes in 1..10 {
        assert!(2 * majority_of(nodes) > nodes);
    }
}

#[test]
fn an_agreement_counts_until_its_ttl_has_passed_since_the_sending() {
    let mut quorum = QuorumTracker::new(TTL);
    assert!(!quorum.is_reached(NOW, 2));
    quorum.record("n1".into(), NOW);
    assert!(quorum.is_reached(NOW + Span(TTL.0 - 1), 2));
    assert!(!quorum.is_reached(NOW + TTL, 2));
}

/// Answers may arrive out of order.
#[test]
fn an_older_answer_does_not_shorten_a_newer_one() {
    let mut quorum = QuorumTracker::new(TTL);
    quorum.record("n1".into(), NOW + Span(1_000));
    quorum.record("n1".into(), NOW);
    assert!(quorum.is_reached(NOW + TTL, 2));
}

#[test]
fn a_node_is_counted_once() {
    let mut quorum = QuorumTracker::new(TTL);
    quorum.record("n1".into(), NOW);
    quorum.record("n1".into(), NOW + Span(500));
    assert!(!quorum.is_reached(NOW + Span(500), 3));
    quorum.record("n2".into(), NOW);
    assert!(quorum.is_reached(NOW + Span(500), 3));
}

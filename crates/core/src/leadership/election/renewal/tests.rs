use super::*;

const NOW: Time = Time(1_000_000);

#[test]
fn one_renewal_is_open_at_a_time() {
    let mut renewal = LeaseRenewal::of_new_lease(NOW);
    let due = NOW + LEASE_RENEWAL_INTERVAL;
    assert!(!renewal.begin_if_due(NOW));
    assert!(renewal.begin_if_due(due));
    assert!(!renewal.begin_if_due(due + Span(10_000)));
    renewal.end();
    assert!(renewal.begin_if_due(due + Span(10_000)));
}

#[test]
fn a_failed_renewal_is_repeated_sooner() {
    let mut renewal = LeaseRenewal::of_new_lease(NOW);
    let due = NOW + LEASE_RENEWAL_INTERVAL;
    assert!(renewal.begin_if_due(due));
    renewal.end();
    renewal.retry(due);
    assert!(!renewal.begin_if_due(due + Span(LEASE_RENEWAL_RETRY_INTERVAL.0 - 1)));
    assert!(renewal.begin_if_due(due + LEASE_RENEWAL_RETRY_INTERVAL));
}

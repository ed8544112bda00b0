use super::*;

const NOW: Time = Time(1_000_000);

#[test]
fn the_store_is_unreachable_before_its_first_answer() {
    let mut store = StoreReachability::default();
    assert!(!store.is_reachable(NOW));
    store.observe(NOW, &StoreAnswer::Missing);
    assert!(store.is_reachable(NOW));
}

#[test]
fn the_store_is_unreachable_once_calls_have_failed_for_the_timeout() {
    let mut store = StoreReachability::default();
    store.observe(NOW, &StoreAnswer::Missing);
    store.observe(NOW + Span(100), &StoreAnswer::Refused);
    assert!(store.is_reachable(NOW + Span(STORE_SILENCE_TIMEOUT.0 - 1)));
    assert!(!store.is_reachable(NOW + STORE_SILENCE_TIMEOUT));
    store.observe(NOW + Span(5_000), &StoreAnswer::Done);
    assert!(store.is_reachable(NOW + Span(5_000)));
}

/// If no call has failed, the absence of answers only means that the node made no calls.
#[test]
fn the_store_stays_reachable_while_no_call_fails() {
    let mut store = StoreReachability::default();
    store.observe(NOW, &StoreAnswer::Missing);
    assert!(store.is_reachable(NOW + Span(60_000)));
}

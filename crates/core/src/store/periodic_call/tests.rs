use super::*;

const NOW: Time = Time(1_000_000);
const INTERVAL: Span = Span(750);
const RETRY_INTERVAL: Span = Span(250);

fn call() -> PeriodicCall {
    PeriodicCall::new(INTERVAL, RETRY_INTERVAL).answered_at(NOW)
}

#[test]
fn one_call_is_open_at_a_time() {
    let mut call = call();
    let due = NOW + INTERVAL;
    assert!(!call.begin_if_due(NOW));
    assert!(call.begin_if_due(due));
    assert!(!call.begin_if_due(due + Span(10_000)));
    call.end();
    assert!(call.begin_if_due(due + Span(10_000)));
}

#[test]
fn a_failed_call_is_repeated_sooner() {
    let mut call = call();
    let due = NOW + INTERVAL;
    assert!(call.begin_if_due(due));
    call.end();
    call.retry(due);
    assert!(!call.begin_if_due(due + Span(RETRY_INTERVAL.0 - 1)));
    assert!(call.begin_if_due(due + RETRY_INTERVAL));
}

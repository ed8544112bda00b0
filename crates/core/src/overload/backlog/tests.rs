use super::*;

/// Records an input that waited for `waited` and updates the load, in each millisecond of `ms`.
fn record_waits(backlog: &mut Backlog, ms: std::ops::Range<u64>, waited: Span) {
    for now in ms.map(Time) {
        backlog.record_wait(now, waited);
        backlog.update_load(now);
    }
}

#[test]
fn load_of_a_node_that_keeps_up_is_its_number_of_agents() {
    let mut backlog = Backlog::default();
    record_waits(&mut backlog, 0..60_000, Span(200));
    assert!(!backlog.is_behind(Time(60_000)));
    assert_eq!(backlog.load_for_agents(125), 125);
    assert_eq!(backlog.far_behind_for(Time(60_000)), Span(0));
}

/// A node that computed three times slower kept all its agents, and their leases expired.
#[test]
fn load_rises_while_a_node_is_behind_and_falls_back() {
    let mut backlog = Backlog::default();
    record_waits(&mut backlog, 0..3_000, Span(400));
    assert!(backlog.is_behind(Time(3_000)));
    assert!(backlog.load_for_agents(100) > 300);
    record_waits(&mut backlog, 3_000..60_000, Span(400));
    assert_eq!(backlog.load_for_agents(100), 800, "the load is bounded");
    record_waits(&mut backlog, 60_000..62_000, Span(0));
    assert!(
        backlog.load_for_agents(100) > 600,
        "two seconds without waits change the load little"
    );
    record_waits(&mut backlog, 62_000..110_000, Span(0));
    assert_eq!(backlog.load_for_agents(100), 100);
}

/// Only uninterrupted time counts as far behind.
#[test]
fn time_far_behind_restarts_after_a_break() {
    let mut backlog = Backlog::default();
    record_waits(&mut backlog, 10_000..14_000, Span(1_200));
    assert_eq!(backlog.far_behind_for(Time(14_000)), Span(4_000));
    record_waits(&mut backlog, 14_000..15_000, Span(600));
    assert_eq!(backlog.far_behind_for(Time(15_000)), Span(0));
    record_waits(&mut backlog, 15_000..16_000, Span(1_200));
    assert_eq!(backlog.far_behind_for(Time(16_000)), Span(1_000));
}

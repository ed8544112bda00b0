use super::*;

/// Runs a leader for which a cycle is always due and whose cycles take `cycle` each. Returns the fraction of the time
/// that is left for other inputs.
fn fraction_left(cycle: Span) -> f64 {
    let mut pacing = Pacing::default();
    let (mut now, mut idle) = (Time(0), 0);
    while now < Time(100_000) {
        if pacing.may_reconcile(now, false) && pacing.may_cycle(now, false) {
            pacing.begin(LongStep::Cycle, now);
            now = now + cycle;
            pacing.ended(now, cycle);
        } else {
            now = now + Span(1);
            idle += 1;
        }
    }
    f64::from(idle) / 100_000.0
}

/// A leader whose cycles took longer than the interval between them did nothing but cycles.
#[test]
fn cycles_leave_most_of_the_time_for_other_inputs() {
    for cycle_ms in [1, 30, 150, 400] {
        let left = fraction_left(Span(cycle_ms));
        assert!(left > 0.6, "cycles of {cycle_ms} ms leave {left}");
    }
}

/// A node at a tenth of its speed must still make decisions.
#[test]
fn pause_is_bounded_on_a_slow_node() {
    let mut pacing = Pacing::default();
    pacing.begin(LongStep::Cycle, Time(3_000));
    pacing.ended(Time(9_000), Span(6_000));
    assert!(!pacing.may_cycle(Time(9_999), false));
    assert!(pacing.may_cycle(Time(10_000), false) && pacing.may_reconcile(Time(10_000), false));
}

/// Other steps may also take long, but they are not followed by a pause.
#[test]
fn only_reconcile_passes_and_cycles_are_followed_by_a_pause() {
    let mut pacing = Pacing::default();
    pacing.ended(Time(1_000), Span(500));
    assert!(pacing.may_reconcile(Time(1_000), false) && pacing.may_cycle(Time(1_000), false));
    pacing.begin(LongStep::Reconcile, Time(500));
    pacing.ended(Time(1_000), Span(500));
    assert!(!pacing.may_reconcile(Time(1_499), false) && pacing.may_cycle(Time(1_000), false));
}

/// After a failover, when all agents report at once, a leader ran cycle after cycle while their status reports waited,
/// and their leases expired.
#[test]
fn node_that_is_behind_begins_long_steps_less_often() {
    let mut pacing = Pacing::default();
    let (mut cycles, mut reconcile_passes) = (0, 0);
    for now in (5_000..25_000).map(Time) {
        if pacing.may_reconcile(now, true) {
            pacing.begin(LongStep::Reconcile, now);
            reconcile_passes += 1;
            if pacing.may_cycle(now, true) {
                pacing.begin(LongStep::Cycle, now);
                cycles += 1;
            }
        }
    }
    assert_eq!((cycles, reconcile_passes), (10, 40));
    // The longer intervals end as soon as the node is no longer behind.
    assert!(pacing.may_reconcile(Time(25_000), false) && pacing.may_cycle(Time(25_000), false));
}

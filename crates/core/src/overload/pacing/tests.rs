use super::*;

/// Plays a leader for which a cycle is always due, and whose cycles take so long. Returns how much of the time
/// is left for other inputs.
fn part_left(cycle: Span) -> f64 {
    let mut pacing = Pacing::default();
    let (mut now, mut idle) = (Time(0), 0);
    while now < Time(100_000) {
        if pacing.may_review(now, false) && pacing.may_cycle(now, false) {
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

/// A leader whose cycles took longer than the time between them did nothing else.
#[test]
fn cycles_leave_two_thirds_of_the_time() {
    for cycle_ms in [1, 30, 150, 400] {
        let left = part_left(Span(cycle_ms));
        assert!(left > 0.6, "cycles of {cycle_ms} ms leave {left}");
    }
}

/// A node at a tenth of its speed still decides.
#[test]
fn no_pause_is_longer_than_a_second() {
    let mut pacing = Pacing::default();
    pacing.begin(LongStep::Cycle, Time(3_000));
    pacing.ended(Time(9_000), Span(6_000));
    assert!(!pacing.may_cycle(Time(9_999), false));
    assert!(pacing.may_cycle(Time(10_000), false) && pacing.may_review(Time(10_000), false));
}

/// Other steps may take long, too, but nothing has to wait for them to pay.
#[test]
fn only_long_steps_are_followed_by_a_pause() {
    let mut pacing = Pacing::default();
    pacing.ended(Time(1_000), Span(500));
    assert!(pacing.may_review(Time(1_000), false) && pacing.may_cycle(Time(1_000), false));
    pacing.begin(LongStep::Review, Time(500));
    pacing.ended(Time(1_000), Span(500));
    assert!(!pacing.may_review(Time(1_499), false) && pacing.may_cycle(Time(1_000), false));
}

/// After a take-over with all workers at once a leader decided cycle after cycle while their reports waited, and
/// their leases ran out.
#[test]
fn a_node_that_is_behind_decides_once_a_period() {
    let mut pacing = Pacing::default();
    let (mut cycles, mut reviews) = (0, 0);
    for now in (5_000..25_000).map(Time) {
        if pacing.may_review(now, true) {
            pacing.begin(LongStep::Review, now);
            reviews += 1;
            if pacing.may_cycle(now, true) {
                pacing.begin(LongStep::Cycle, now);
                cycles += 1;
            }
        }
    }
    assert_eq!((cycles, reviews), (10, 40));
    // Once nothing waits any more, all is as it was.
    assert!(pacing.may_review(Time(25_000), false) && pacing.may_cycle(Time(25_000), false));
}

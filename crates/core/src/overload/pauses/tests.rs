use super::*;

#[test]
fn a_gap_between_two_ticks_is_a_pause() {
    let mut pauses = ProcessPauses::default();
    for at in [10_000, 10_020, 10_220] {
        pauses.record_tick(Time(at));
    }
    assert_eq!((pauses.count(), pauses.last()), (0, Span(0)));
    pauses.record_tick(Time(66_220));
    pauses.record_tick(Time(66_240));
    assert_eq!((pauses.count(), pauses.last()), (1, Span(56_000)));
}

use super::*;

/// Plays so many milliseconds in which inputs wait for so long.
fn play(backlog: &mut Backlog, ms: std::ops::Range<u64>, waited: Span) {
    for now in ms.map(Time) {
        backlog.note_wait(now, waited);
        backlog.tick(now);
    }
}

#[test]
fn a_node_that_keeps_up_counts_its_workers_as_they_are() {
    let mut backlog = Backlog::default();
    play(&mut backlog, 0..60_000, Span(200));
    assert!(!backlog.is_behind(Time(60_000)));
    assert_eq!(backlog.load_of(125), 125);
    assert_eq!(backlog.far_behind_for(Time(60_000)), Span(0));
}

/// A node that computed three times slower kept all its workers, and their leases ran out.
#[test]
fn the_load_rises_while_a_node_is_behind_and_falls_back() {
    let mut backlog = Backlog::default();
    play(&mut backlog, 0..3_000, Span(400));
    assert!(backlog.is_behind(Time(3_000)));
    assert!(backlog.load_of(100) > 300);
    play(&mut backlog, 3_000..60_000, Span(400));
    assert_eq!(backlog.load_of(100), 800, "it is bounded");
    play(&mut backlog, 60_000..62_000, Span(0));
    assert!(
        backlog.load_of(100) > 600,
        "one quiet moment changes little"
    );
    play(&mut backlog, 62_000..110_000, Span(0));
    assert_eq!(backlog.load_of(100), 100);
}

/// Only a wait that does not end counts.
#[test]
fn a_break_begins_the_time_far_behind_anew() {
    let mut backlog = Backlog::default();
    play(&mut backlog, 10_000..14_000, Span(1_200));
    assert_eq!(backlog.far_behind_for(Time(14_000)), Span(4_000));
    play(&mut backlog, 14_000..15_000, Span(600));
    assert_eq!(backlog.far_behind_for(Time(15_000)), Span(0));
    play(&mut backlog, 15_000..16_000, Span(1_200));
    assert_eq!(backlog.far_behind_for(Time(16_000)), Span(1_000));
}

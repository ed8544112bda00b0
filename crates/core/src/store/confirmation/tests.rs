use super::*;

#[test]
fn an_answer_confirms_the_moment_at_which_its_call_was_sent() {
    let mut cache = CacheConfirmation::default();
    assert_eq!(cache.age(Time(5_000)), None);
    cache.confirm(Version(7), Time(1_000));
    assert_eq!(cache.age(Time(5_000)), Some(Span(4_000)));
    // A late answer to an older call lowers neither the revision nor the confirmed moment.
    cache.confirm(Version(5), Time(500));
    assert_eq!(cache.revision(), Version(7));
    assert_eq!(cache.age(Time(5_000)), Some(Span(4_000)));
}

#[test]
fn nothing_is_confirmed_once_changes_may_have_been_missed() {
    let mut cache = CacheConfirmation::default();
    cache.confirm(Version(7), Time(1_000));
    cache.invalidate();
    assert_eq!(cache.age(Time(5_000)), None);
}

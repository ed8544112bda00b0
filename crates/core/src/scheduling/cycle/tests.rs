use super::*;
use crate::testing;

fn machine(heard: Option<Time>) -> Machine {
    let (t, z) = ("m4".into(), "a".into());
    let mut m = Machine::new("vm-1".into(), t, z, false, Resources::default(), Wall(0));
    m.last_heard_at = heard;
    m
}

/// A new leader read back that a machine may hold a task of a job that was cancelled long
/// ago. It returned the machine at once, with twenty replicas that ran on it.
#[test]
fn a_new_leader_hears_machines_before_it_returns_them() {
    let limits = (Span(37_000), Span(2_500), Span(10_000));
    let now = Time(1_000_000);
    let long = Span(300_000);
    assert!(!must_return(&machine(None), long, Span(30), limits, now));
    // Workers of the node that ended were still looking for another when theirs were returned.
    assert!(!must_return(&machine(None), long, Span(6_000), limits, now));
    assert!(must_return(&machine(None), long, Span(11_000), limits, now));
    // One that must be gone soon can't wait for that.
    let soon = Span(35_000);
    assert!(must_return(&machine(None), soon, Span(6_000), limits, now));
}

#[test]
fn a_machine_that_is_heard_is_returned_only_at_last() {
    let limits = (Span(37_000), Span(2_500), Span(10_000));
    let now = Time(1_000_000);
    let led = Span(60_000);
    let heard = machine(Some(now));
    assert!(!must_return(&heard, Span(25_000), led, limits, now));
    assert!(must_return(&heard, Span(30_000), led, limits, now));
    assert!(must_return(
        &machine(Some(Time(0))),
        Span(20_000),
        led,
        limits,
        now
    ));
}

/// Replicas whose image no machine had were put off until the end of a cycle, and an array of
/// another team took each machine that came up: they waited a minute.
#[test]
fn replicas_go_before_arrays_also_without_their_image() {
    let mut leader = testing::leader();
    testing::up(&mut leader, "vm-1", "a");
    for job in [
        testing::job(1, "sweep", "red", "normal"),
        testing::job(2, "standing", "blue", "prod"),
    ] {
        leader.jobs.insert(job.spec.id.clone(), job);
    }
    leader.cycle(testing::NOW);
    let placed = |id: &str| leader.jobs[&id.parse().expect("an id")].placement_count();
    assert_eq!((placed("wk-1"), placed("wk-2")), (0, 4));
}

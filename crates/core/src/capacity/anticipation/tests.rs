use super::*;
use crate::testing::{job, job_of, leader, run, up, NOW};

/// A leader whose job 2 depends on job 1, of two tasks that take 4 s by their owner.
fn waiting(free: u32, ran: Span) -> Leader {
    let mut leader = leader();
    let machine = up(&mut leader, "vm-1", "a");
    let first = job_of(1, "sweep", "red", "low", 2, 1.0);
    for index in free..2 {
        run(&mut leader, &first, index, &machine);
    }
    for machine in leader.fleet.machines.values_mut() {
        for entry in &mut machine.tasks {
            entry.running_since = Some(Time(NOW.time.0 - ran.0));
        }
    }
    let mut second = (*job(2, "sweep", "red", "urgent").spec).clone();
    second.dependencies = vec![first.spec.id.clone()];
    let second = Job::new(second, rudderreel_wire::ids::Version(1), NOW.wall);
    leader.jobs.insert(second.spec.id.clone(), second);
    leader
}

fn prepared(leader: &Leader, within: u64) -> usize {
    leader.nearly_ready(Span(within), NOW).count()
}

#[test]
fn a_job_is_nearly_ready_when_all_it_needs_ends_soon() {
    let leader = waiting(0, Span(1_000));
    assert_eq!(prepared(&leader, 3_000), 1);
    assert_eq!(prepared(&leader, 2_900), 0);
}

#[test]
fn what_runs_longer_than_its_owner_thought_goes_on_for_a_while() {
    let leader = waiting(0, Span(10_000));
    assert_eq!(prepared(&leader, 3_000), 1);
    assert_eq!(prepared(&leader, 2_900), 0);
}

#[test]
fn nothing_is_prepared_while_a_task_before_has_yet_to_start() {
    let leader = waiting(1, Span(1_000));
    assert_eq!(prepared(&leader, 1_000_000), 0);
}

#[test]
fn nothing_is_prepared_two_stages_ahead() {
    let mut leader = waiting(0, Span(1_000));
    let mut third = (*job(3, "sweep", "red", "urgent").spec).clone();
    third.dependencies = vec!["wk-2".parse().expect("an id")];
    let third = Job::new(third, rudderreel_wire::ids::Version(1), NOW.wall);
    leader.jobs.insert(third.spec.id.clone(), third);
    assert_eq!(prepared(&leader, 1_000_000), 1);
}

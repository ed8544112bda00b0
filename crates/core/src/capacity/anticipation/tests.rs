use super::*;
use crate::testing::{add_live_machine, add_running_task, job, job_of, leader, NOW};

/// Creates a leader whose job 2 depends on job 1, which has two tasks with an estimate of 4 s: `unstarted` tasks have
/// yet to be started, the others have run for `ran`.
fn with_dependent_job(unstarted: u32, ran: Span) -> Leader {
    let mut leader = leader();
    let machine = add_live_machine(&mut leader, "vm-1", "a");
    let first = job_of(1, "sweep", "red", "low", 2, 1.0);
    for index in unstarted..2 {
        add_running_task(&mut leader, &first, index, &machine);
    }
    for machine in leader.fleet.machines.values_mut() {
        for placed in &mut machine.tasks {
            placed.running_since = Some(Time(NOW.time.0 - ran.0));
        }
    }
    let mut second = (*job(2, "sweep", "red", "urgent").spec).clone();
    second.dependencies = vec![first.spec.id.clone()];
    let second = Job::new(second, rudderreel_wire::ids::Version(1), NOW.wall);
    leader.jobs.insert(second.spec.id.clone(), second);
    leader
}

fn nearly_ready_jobs(leader: &Leader, within: u64) -> usize {
    leader.nearly_ready(Span(within), NOW).count()
}

#[test]
fn job_is_nearly_ready_when_all_its_dependencies_end_soon() {
    let leader = with_dependent_job(0, Span(1_000));
    assert_eq!(nearly_ready_jobs(&leader, 3_000), 1);
    assert_eq!(nearly_ready_jobs(&leader, 2_900), 0);
}

#[test]
fn dependency_that_overruns_its_estimate_is_expected_to_run_on() {
    let leader = with_dependent_job(0, Span(10_000));
    assert_eq!(nearly_ready_jobs(&leader, 3_000), 1);
    assert_eq!(nearly_ready_jobs(&leader, 2_900), 0);
}

#[test]
fn job_is_not_nearly_ready_while_a_task_of_its_dependency_has_yet_to_start() {
    let leader = with_dependent_job(1, Span(1_000));
    assert_eq!(nearly_ready_jobs(&leader, 1_000_000), 0);
}

#[test]
fn job_two_stages_ahead_is_not_nearly_ready() {
    let mut leader = with_dependent_job(0, Span(1_000));
    let mut third = (*job(3, "sweep", "red", "urgent").spec).clone();
    third.dependencies = vec!["wk-2".parse().expect("an id")];
    let third = Job::new(third, rudderreel_wire::ids::Version(1), NOW.wall);
    leader.jobs.insert(third.spec.id.clone(), third);
    assert_eq!(nearly_ready_jobs(&leader, 1_000_000), 1);
}

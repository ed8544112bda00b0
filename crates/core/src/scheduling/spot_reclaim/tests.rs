use super::*;
use crate::jobs::job::Job;
use crate::testing::{add_live_machine, add_running_task, job_of, leader, NOW};
use rudderreel_wire::ids::Version;

/// Returns a leader with one spot machine that will be reclaimed after `left_ms` milliseconds and runs one task.
fn leader_with_reclaimed_machine(estimate_s: f64, checkpoint_s: f64, left_ms: u64) -> Leader {
    let mut leader = leader();
    let machine = add_live_machine(&mut leader, "vm-1", "a");
    let mut spec = (*job_of(1, "sweep", "red", "low", 1, 1.0).spec).clone();
    spec.estimate_s = estimate_s;
    spec.checkpoint_s = checkpoint_s;
    spec.save_s = 5.0;
    let job = Job::new(spec, Version(1), NOW.wall);
    add_running_task(&mut leader, &job, 0, &machine);
    let machine = leader.fleet.machines.get_mut(&machine).expect("a machine");
    machine.tasks[0].running_since = Some(NOW.time);
    machine.reclaim_at = Some(NOW.time + Span(left_ms));
    leader
}

/// Returns the time to save, in seconds, that the task is stopped with; none if it is not stopped.
fn grace_of_stop(mut leader: Leader) -> Option<f64> {
    leader.drain_reclaimed_machines(NOW.time);
    let machine = leader.fleet.machines.values().next().expect("a machine");
    machine.tasks[0].stop.map(|stop| stop.grace_s)
}

#[test]
fn task_that_can_save_is_stopped_in_time_to_save() {
    let can_save = |left_ms| leader_with_reclaimed_machine(1_000.0, 60.0, left_ms);
    assert_eq!(grace_of_stop(can_save(8_001)), None);
    assert_eq!(grace_of_stop(can_save(8_000)), Some(5.0));
}

#[test]
fn task_that_cannot_save_runs_on_only_if_it_will_finish() {
    let cannot_save = |left_ms| leader_with_reclaimed_machine(60.0, 0.0, left_ms);
    assert_eq!(grace_of_stop(cannot_save(60_001)), None);
    assert_eq!(grace_of_stop(cannot_save(60_000)), Some(0.0));
}

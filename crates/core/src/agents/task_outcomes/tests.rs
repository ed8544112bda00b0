use super::*;
use crate::dispatch::team_usage::TeamUsage;
use crate::testing::{add_live_machine, add_running_task, job, leader, NOW};
use rudderreel_wire::worker::Command;

/// A task that was stopped with time for a checkpoint is writing it. When its job is cancelled, the task is ended, and
/// not left to write until its machine hangs.
#[test]
fn a_checkpoint_is_ended_when_its_job_is_cancelled() {
    let mut leader = leader();
    let id = add_live_machine(&mut leader, "vm-1", "a");
    let job = job(1, "sweep", "red", "normal");
    add_running_task(&mut leader, &job, 0, &id);
    let job_id = job.spec.id.clone();
    let eviction = Stop::with_grace(StopReason::Preempted, 20.0, NOW.time);
    leader.stop_attempt_on(&id, &job_id, Attempt(1), eviction);
    let machine = leader.fleet.machines.get_mut(&id).expect("a machine");
    machine.tasks[0].phase = Phase::On(TaskState::Saving);
    assert_eq!(leader.answer_commands(&id, NOW.time), vec![]);
    let cancellation = Stop::without_grace(StopReason::JobCancelled, NOW.time);
    leader.stop_attempt_on(&id, &job_id, Attempt(1), cancellation);
    let graces: Vec<f64> = (leader
        .direct_commands(&id, &TeamUsage::default(), NOW.time)
        .iter())
    .filter_map(|c| match c {
        Command::Stop { grace_s, .. } => Some(*grace_s),
        _ => None,
    })
    .collect();
    assert_eq!(graces, vec![0.0]);
}

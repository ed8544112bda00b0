use super::*;
use crate::jobs::job::Job;
use crate::store::records::JobRecord;
use crate::testing::{add_live_machine, add_running_task, job, leader, running_task_report, NOW};
use rudderreel_wire::ids::Attempt;
use rudderreel_wire::ids::{Seq, Version};
use rudderreel_wire::job::{JobSpec, JobState};
use rudderreel_wire::worker::{Cause, TaskState};

fn report(machine: &MachineId, seq: u64, task: &TaskId) -> StatusReport {
    running_task_report(machine, FencingToken(1), Seq(seq), task, Attempt(1))
}

/// Returns a leader, a machine, and the job whose first task runs there.
fn leader_with_running_task() -> (Leader, MachineId, Job) {
    let mut leader = leader();
    let id = add_live_machine(&mut leader, "vm-1", "a");
    let job = job(1, "sweep", "red", "normal");
    add_running_task(&mut leader, &job, 0, &id);
    (leader, id, job)
}

/// Returns a cache in which a job is cancelled.
fn cache_with_cancelled(spec: &JobSpec) -> JobCache {
    let mut job_cache = JobCache::default();
    let mut record = JobRecord::queued(spec, NOW.wall);
    record.state = JobState::Cancelled;
    job_cache.update_job(spec.id.clone(), Version(5), record);
    job_cache
}

/// Returns the stop without grace of the attempt that the reports here list.
fn stop_of(task: &TaskId) -> Command {
    Command::Stop {
        task: task.clone(),
        attempt: Attempt(1),
        grace_s: 0.0,
    }
}

/// The answer to a late report renews the agent's lease, so an empty answer would keep cancelled tasks running.
#[test]
fn the_answer_to_a_late_report_stops_what_is_cancelled() {
    let (mut leader, id, job) = leader_with_running_task();
    let job_cache = cache_with_cancelled(&job.spec);
    let task = job.spec.id.task(0);
    let newest = leader.answer_report(&report(&id, 5, &task), &JobCache::default(), NOW);
    assert_eq!(newest.map(|reply| reply.commands), Some(vec![]));
    let late = leader.answer_report(&report(&id, 3, &task), &job_cache, NOW);
    assert_eq!(late.map(|reply| reply.commands), Some(vec![stop_of(&task)]));
}

/// The leader's own records of the job may lag behind what the node knows, or take the task for gone.
#[test]
fn the_answer_to_the_newest_report_stops_what_is_cancelled_whatever_is_recorded_of_the_machine() {
    let (mut leader, id, job) = leader_with_running_task();
    let eviction = Stop::with_grace(StopReason::Preempted, 20.0, NOW.time);
    leader.stop_attempt_on(&id, &job.spec.id, Attempt(1), eviction);
    let job_cache = cache_with_cancelled(&job.spec);
    let task = job.spec.id.task(0);
    let answer = leader.answer_report(&report(&id, 5, &task), &job_cache, NOW);
    assert_eq!(
        answer.map(|reply| reply.commands),
        Some(vec![stop_of(&task)])
    );
}

/// The entry of an attempt that had exited hid that the attempt was on the machine again: it was not stopped, took no
/// capacity, and its task could be started elsewhere.
#[test]
fn a_task_that_is_back_after_its_end_occupies_its_machine_and_is_stopped() {
    let (mut leader, id, job) = leader_with_running_task();
    let (job_id, task) = (job.spec.id.clone(), job.spec.id.task(0));
    let exited = |seq| {
        let mut report = report(&id, seq, &task);
        report.tasks[0].state = TaskState::Exited;
        report.tasks[0].cause = Some(Cause::Stopped);
        report
    };
    leader.reconcile_report(&exited(5), NOW);
    let free_before = leader.fleet.machines[&id].free();
    assert!(!leader.jobs[&job_id].placements.contains_key(&0));
    let answer = leader.answer_report(&report(&id, 6, &task), &JobCache::default(), NOW);
    assert_eq!(
        answer.map(|reply| reply.commands),
        Some(vec![stop_of(&task)])
    );
    let mut free = leader.fleet.machines[&id].free();
    free += job.need;
    assert_eq!(free, free_before);
    assert!(leader.jobs[&job_id].placements.contains_key(&0));
    let is_recorded_anew = leader.fleet.machines[&id].tasks[0].awaits_recording();
    assert!(is_recorded_anew);
    leader.reconcile_report(&exited(7), NOW);
    assert!(!leader.jobs[&job_id].placements.contains_key(&0));
    assert_eq!(leader.fleet.machines[&id].free(), free_before);
}

use super::*;
use crate::store::records::JobRecord;
use crate::testing::{add_live_machine, add_running_task, job, leader, running_task_report, NOW};
use rudderreel_wire::ids::Attempt;
use rudderreel_wire::ids::{Seq, Version};
use rudderreel_wire::job::JobState;

fn report(machine: &MachineId, seq: u64, task: &TaskId) -> StatusReport {
    running_task_report(machine, FencingToken(1), Seq(seq), task, Attempt(1))
}

/// The answer to a late report renews the agent's lease, so an empty answer would keep cancelled tasks running.
#[test]
fn the_answer_to_a_late_report_stops_what_is_cancelled() {
    let mut leader = leader();
    let id = add_live_machine(&mut leader, "vm-1", "a");
    let job = job(1, "sweep", "red", "normal");
    add_running_task(&mut leader, &job, 0, &id);
    let mut job_cache = JobCache::default();
    let mut record = JobRecord::queued(&job.spec, NOW.wall);
    record.state = JobState::Cancelled;
    job_cache.update_job(job.spec.id.clone(), Version(5), record);
    let task = job.spec.id.task(0);
    let newest = leader.answer_report(&report(&id, 5, &task), &JobCache::default(), NOW);
    assert_eq!(newest.map(|reply| reply.commands), Some(vec![]));
    let stop = Command::Stop {
        task: task.clone(),
        attempt: Attempt(1),
        grace_s: 0.0,
    };
    let late = leader.answer_report(&report(&id, 3, &task), &job_cache, NOW);
    assert_eq!(late.map(|reply| reply.commands), Some(vec![stop]));
}

use super::*;
use crate::testing::{add_live_machine, job, leader, NOW};
use crate::units::Span;

#[test]
fn a_ready_job_waits_for_the_next_cycle_if_a_machine_has_room() {
    let mut leader = leader();
    let job = job(1, "sweep", "red", "normal");
    assert_eq!(WaitReason::of(&job, &leader, NOW), WaitReason::NoRoom);
    add_live_machine(&mut leader, "m1", "a");
    assert_eq!(WaitReason::of(&job, &leader, NOW), WaitReason::NextCycle);
}

#[test]
fn a_reason_of_the_job_itself_precedes_a_lack_of_capacity() {
    let leader = leader();
    let mut job = job(1, "sweep", "red", "normal");
    job.retry_at = NOW.time + Span(1);
    assert_eq!(WaitReason::of(&job, &leader, NOW), WaitReason::Backoff);
    job.ready_since = None;
    assert_eq!(WaitReason::of(&job, &leader, NOW), WaitReason::Dependencies);
    let text = serde_json::to_value(WaitReason::Dependencies).expect("JSON");
    assert_eq!(text, "it waits for jobs that it depends on");
}

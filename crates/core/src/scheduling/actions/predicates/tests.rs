use super::*;
use crate::testing::{add_live_machine, job_of, leader, NOW};
use rudderreel_wire::ids::JobId;

fn job(n: u32, priority: &str, estimate_s: f64) -> Job {
    let mut job = job_of(n, "sweep", "red", priority, 1, 1.0);
    let mut spec = (*job.spec).clone();
    spec.estimate_s = estimate_s;
    job.spec = std::sync::Arc::new(spec);
    job
}

#[test]
fn reserved_machine_takes_only_the_gang_and_what_ends_before_or_cannot_be_preempted() {
    let mut leader = leader();
    add_live_machine(&mut leader, "vm-1", "a");
    let mut snapshot = Snapshot::take(&leader, NOW);
    let gang: JobId = "wk-9".parse().expect("an id");
    snapshot.reserve_for_gang(&gang, &[0], 50.0);
    let is_admitted = |job: &Job| fits(&leader, &snapshot, job, &snapshot.candidates[0]);
    assert!(is_admitted(&job(9, "normal", 1_000.0)), "the gang itself");
    // With 40% more than its estimate and 8 s for its start, this task ends just before the gang has its room.
    assert!(is_admitted(&job(1, "normal", 30.0)));
    assert!(!is_admitted(&job(2, "normal", 30.1)));
    assert!(is_admitted(&job(3, "prod", 1_000.0)));
}

#[test]
fn room_reserved_for_arrivals_is_only_for_work_that_cannot_be_preempted() {
    let mut leader = leader();
    add_live_machine(&mut leader, "vm-1", "a");
    let mut snapshot = Snapshot::take(&leader, NOW);
    let preemptible = job_of(1, "sweep", "red", "normal", 1, 3.0);
    let non_preemptible = job_of(2, "standing", "red", "prod", 1, 3.0);
    snapshot.candidates[0].reserved_for_arrivals = preemptible.need;
    let candidate = &snapshot.candidates[0];
    assert!(!fits(&leader, &snapshot, &preemptible, candidate));
    assert!(fits(&leader, &snapshot, &non_preemptible, candidate));
}

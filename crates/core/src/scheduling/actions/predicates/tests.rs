use super::*;
use crate::testing::{add_live_machine, job_of, leader, NOW};
use crate::units::{Resources, Span};
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

/// Work used to stay off free GPUs, and off room reserved for arrivals, for as long as it waited.
#[test]
fn a_job_that_finds_no_room_for_long_takes_any_that_it_fits_in() {
    let mut leader = leader();
    let with_gpus = serde_json::json!({"label": "g4", "vcpus": 4.0, "gpus": 2.0, "memoryGb": 16.0,
        "rate": 8.0, "berths": ["a"]});
    let mut catalog = leader.policy.catalog.clone();
    (catalog.types).push(serde_json::from_value(with_gpus).expect("a type"));
    leader.set_catalog(catalog);
    let id = add_live_machine(&mut leader, "vm-1", "a");
    let capacity = leader.policy.capacity_of(&"g4".into());
    let machine = leader.fleet.machines.get_mut(&id).expect("a machine");
    (machine.machine_type, machine.capacity) = ("g4".into(), capacity);
    let fits_without_room_for = |ms: u64, reserved: Resources| {
        let mut job = job(1, "normal", 10.0);
        job.record_room_search(true, Time(NOW.time.0 - ms));
        let mut snapshot = Snapshot::take(&leader, NOW);
        snapshot.candidates[0].reserved_for_arrivals = reserved;
        fits(&leader, &snapshot, &job, &snapshot.candidates[0])
    };
    let unreserved = Resources::default();
    assert!(!fits_without_room_for(59_999, unreserved));
    assert!(fits_without_room_for(60_000, unreserved));
    assert!(fits_without_room_for(60_000, capacity));
}

#[test]
fn the_time_without_room_begins_anew_once_room_is_found() {
    let mut job = job(1, "normal", 10.0);
    job.record_room_search(true, NOW.time);
    job.record_room_search(true, NOW.time + Span(59_999));
    assert!(job.takes_any_room(NOW.time + Span(60_000)));
    job.record_room_search(false, NOW.time + Span(60_000));
    assert!(!job.takes_any_room(NOW.time + Span(60_000)));
    job.record_room_search(true, NOW.time + Span(61_000));
    assert!(!job.takes_any_room(NOW.time + Span(120_999)));
}

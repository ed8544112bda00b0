use super::*;
use crate::fleet::PlacedTask;
use crate::io::StoreAnswer;
use crate::leader::Leader;
use crate::store::records::SegmentRecord;
use crate::testing::{add_live_machine, job_of, leader, NOW};
use proptest::prelude::*;
use rudderreel_wire::ids::{Attempt, MachineId, Version};

/// Returns a leader whose machines have unrecorded tasks of many jobs.
fn leader_with_work(machines: u32, jobs: u32, tasks: u32) -> Leader {
    let mut leader = leader();
    let ids: Vec<MachineId> = (0..machines)
        .map(|n| add_live_machine(&mut leader, &format!("vm-{n:06}"), "qu-appelle"))
        .collect();
    for n in 0..jobs {
        let job = job_of(100_000 + n, "sweep", "red", "normal", tasks, 0.1);
        let spec = job.spec.clone();
        leader.jobs.insert(spec.id.clone(), job);
        for index in 0..tasks {
            let at = &ids[((n + index) % machines) as usize];
            let task = spec.id.task(index);
            let attempt = Attempt((1_000_000 << 24) + u64::from(n));
            let entry = PlacedTask::planned(task, attempt, Some(spec.clone()), NOW.time);
            if let Some(machine) = leader.fleet.machines.get_mut(at) {
                machine.tasks.push(entry);
            }
        }
    }
    leader
}

fn json_bytes(record: &SegmentRecord) -> usize {
    serde_json::to_vec(record).expect("JSON").len()
}

/// Collects the unrecorded changes in a new segment, as far as they fit.
fn collect(leader: &mut Leader) -> PendingSegment {
    let mut pending = PendingSegment::new(leader.term.next_segment(), &leader.store_limits);
    pending.collect_placements(&mut leader.fleet);
    pending.collect_progress(&mut leader.jobs);
    pending
}

/// Opens the commit of a segment and returns its id.
fn open(leader: &mut Leader, pending: PendingSegment, deletes: Vec<SegmentId>) -> SegmentId {
    (leader.placement_log)
        .open_commit(pending, deletes, &leader.term)
        .segment
}

/// Applies an answer to the commit of a segment.
fn answer(leader: &mut Leader, segment: SegmentId, answer: &StoreAnswer) -> CommitResult {
    leader.placement_log.commit_answered(
        segment,
        answer,
        &mut leader.fleet,
        &mut leader.jobs,
        NOW.time,
    )
}

fn commit(leader: &mut Leader, pending: PendingSegment, deletes: Vec<SegmentId>) {
    let segment = open(leader, pending, deletes);
    let result = answer(leader, segment, &StoreAnswer::Committed(Version(1)));
    assert!(matches!(result, CommitResult::Committed(_)));
}

/// Commits segments until everything is recorded, and checks the size of each. Returns their number.
fn record_all(leader: &mut Leader) -> usize {
    let mut segments = 0;
    loop {
        let pending = collect(leader);
        if pending.is_empty() {
            return segments;
        }
        let (bytes, estimated) = (json_bytes(pending.record()), pending.estimated_bytes());
        let max_bytes = leader.store_limits.max_value_bytes;
        assert!(bytes <= estimated, "{bytes} bytes, estimated {estimated}");
        assert!(bytes <= max_bytes, "{bytes} bytes of {max_bytes}");
        segments += 1;
        commit(leader, pending, Vec::new());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    /// Every segment keeps to the size limit, and all placements are recorded, for any number of machines and jobs.
    #[test]
    fn every_segment_fits_into_a_value(
        machines in 1u32..30, jobs in 1u32..20, tasks in 1u32..60, kib in 1usize..5, done in 0u32..60,
    ) {
        let mut leader = leader_with_work(machines, jobs, tasks);
        leader.store_limits.max_value_bytes = kib * 1024;
        for job in leader.jobs.values_mut() {
            // Every other task is done, which gives the largest possible number of ranges.
            (0..done.min(tasks)).step_by(2).for_each(|index| job.finish(index));
            job.has_unrecorded_progress = true;
        }
        record_all(&mut leader);
        let mut entries = leader.fleet.machines.values().flat_map(|m| &m.tasks);
        prop_assert!(entries.all(PlacedTask::is_recorded));
    }
}

/// A segment that is rejected as too large is never sent again: its contents are recorded on smaller ones.
#[test]
fn a_rejected_segment_is_recorded_again_on_smaller_ones() {
    let mut leader = leader_with_work(10, 5, 40);
    let pending = collect(&mut leader);
    let before = json_bytes(pending.record());
    let segment = open(&mut leader, pending, Vec::new());
    leader.store_limits.max_value_bytes = before / 3;
    let result = answer(&mut leader, segment, &StoreAnswer::Rejected);
    assert!(matches!(result, CommitResult::Rejected));
    assert!(leader.placement_log.uncommitted.is_empty());
    assert!(record_all(&mut leader) >= 3);
}

/// Progress that was recorded in a large segment before the limits were lowered stays there, and is not written again
/// while no segment can hold it.
#[test]
fn progress_too_large_for_a_segment_stays_where_it_is() {
    let mut leader = leader_with_work(1, 1, 400);
    for machine in leader.fleet.machines.values_mut() {
        machine.tasks.clear();
    }
    for job in leader.jobs.values_mut() {
        (0..400).step_by(2).for_each(|index| job.finish(index));
        job.has_unrecorded_progress = true;
    }
    assert_eq!(record_all(&mut leader), 1);
    leader.store_limits.max_value_bytes = 1_024;
    for job in leader.jobs.values_mut() {
        job.finish(1);
        job.has_unrecorded_progress = true;
    }
    assert_eq!(record_all(&mut leader), 0);
    // Progress that has become small enough is recorded again.
    for job in leader.jobs.values_mut() {
        (0..390).for_each(|index| job.finish(index));
    }
    assert_eq!(record_all(&mut leader), 1);
}

/// Segments are merged into one that fits, also if every task that they name is on another machine. Guards against
/// leaving the machines' lines out of the size: the segment was rejected, and the limits were halved without need.
#[test]
fn merged_segments_fit_into_one() {
    let mut leader = leader_with_work(120, 120, 1);
    leader.store_limits.max_value_bytes = 4_096;
    leader.store_limits.max_operations = 20;
    record_all(&mut leader);
    // The remaining tasks are spread over segments that do not have the line of the task's machine.
    let old: Vec<SegmentId> = (0..20).map(|_| leader.term.next_segment()).collect();
    for (n, machine) in leader.fleet.machines.values_mut().enumerate() {
        for entry in &mut machine.tasks {
            entry.segment = old[n % old.len()];
        }
    }
    leader.placement_log.segments.extend(&old);
    let mut merged = 0;
    for _ in 0..20 {
        let selected = leader.placement_log.select_for_compaction(
            &leader.fleet,
            &leader.jobs,
            &leader.store_limits,
        );
        if selected.is_empty() {
            break;
        }
        merged += selected.len();
        let mut pending = PendingSegment::new(leader.term.next_segment(), &leader.store_limits);
        pending.collect_referring_to(&selected, &mut leader.fleet, &leader.jobs);
        let bytes = json_bytes(pending.record());
        assert!(
            bytes <= leader.store_limits.max_value_bytes,
            "{bytes} bytes"
        );
        commit(&mut leader, pending, selected);
    }
    assert!(merged >= 8, "{merged} segments were merged");
}

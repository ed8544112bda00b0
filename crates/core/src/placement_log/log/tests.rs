use super::*;
use crate::leader::Leader;
use crate::testing::{job_of, leader, up, NOW};
use proptest::prelude::*;
use rudderreel_wire::ids::Attempt;

/// A leader whose machines have entries of many jobs that wait to be recorded.
fn leader_with_work(machines: u32, jobs: u32, tasks: u32) -> Leader {
    let mut leader = leader();
    let ids: Vec<MachineId> = (0..machines)
        .map(|n| up(&mut leader, &format!("vm-{n:06}"), "qu-appelle"))
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

/// Records everything; returns how many pages that took.
fn record_all(leader: &mut Leader) -> usize {
    let mut pages = 0;
    loop {
        let page = leader.term.next_segment();
        let draft = PlacementLog::draft(
            &mut leader.fleet,
            &mut leader.jobs,
            &leader.store_limits,
            page,
            true,
        );
        if draft.is_empty() {
            return pages;
        }
        let (bytes, most) = (json_bytes(&draft.record), leader.store_limits.value_bytes);
        assert!(
            bytes <= draft.bytes,
            "{bytes} bytes, counted {}",
            draft.bytes
        );
        assert!(bytes <= most, "{bytes} bytes of {most}");
        pages += 1;
        let open = UncommittedSegment {
            record: draft.record,
            deletes: Vec::new(),
            done: draft.done,
            again: None,
        };
        leader
            .placement_log
            .segment_committed(&mut leader.fleet, &mut leader.jobs, page, open);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is to be recorded, every page keeps to the limit, and everything is recorded.
    #[test]
    fn every_page_fits_into_a_value(
        machines in 1u32..30, jobs in 1u32..20, tasks in 1u32..60, kib in 1usize..5, done in 0u32..60,
    ) {
        let mut leader = leader_with_work(machines, jobs, tasks);
        leader.store_limits.value_bytes = kib * 1024;
        for job in leader.jobs.values_mut() {
            // Every other task: as many ranges as there can be.
            (0..done.min(tasks)).step_by(2).for_each(|index| job.finish(index));
            job.has_unrecorded_progress = true;
        }
        record_all(&mut leader);
        let mut entries = leader.fleet.machines.values().flat_map(|m| &m.tasks);
        prop_assert!(entries.all(PlacedTask::is_recorded));
    }
}

/// A page that is rejected as too large goes on smaller ones, and is never sent again.
#[test]
fn a_rejected_page_is_taken_apart() {
    let mut leader = leader_with_work(10, 5, 40);
    let page = leader.term.next_segment();
    let draft = PlacementLog::draft(
        &mut leader.fleet,
        &mut leader.jobs,
        &leader.store_limits,
        page,
        true,
    );
    let before = json_bytes(&draft.record);
    let open = UncommittedSegment {
        record: draft.record,
        deletes: Vec::new(),
        done: draft.done,
        again: None,
    };
    leader.placement_log.open.insert(page, open);
    leader.store_limits.value_bytes = before / 3;
    leader
        .placement_log
        .reopen_rejected_segment(&mut leader.fleet, &mut leader.jobs, page);
    assert!(leader.placement_log.open.is_empty());
    assert!(record_all(&mut leader) >= 3);
}

/// Progress that was recorded in a large page, before the limits were lowered, stays there, and is
/// not written again in a form that no page can hold.
#[test]
fn progress_too_large_for_a_page_stays_where_it_is() {
    let mut leader = leader_with_work(1, 1, 400);
    for machine in leader.fleet.machines.values_mut() {
        machine.tasks.clear();
    }
    for job in leader.jobs.values_mut() {
        (0..400).step_by(2).for_each(|index| job.finish(index));
        job.has_unrecorded_progress = true;
    }
    assert_eq!(record_all(&mut leader), 1);
    leader.store_limits.value_bytes = 1_024;
    for job in leader.jobs.values_mut() {
        job.finish(1);
        job.has_unrecorded_progress = true;
    }
    assert_eq!(record_all(&mut leader), 0);
    // As soon as it is small enough, it is recorded again.
    for job in leader.jobs.values_mut() {
        (0..390).for_each(|index| job.finish(index));
    }
    assert_eq!(record_all(&mut leader), 1);
}

/// Pages that are written together make one that fits, also if every task on them is on another machine:
/// each machine's line was not counted, so the page was rejected, and the limits were halved for nothing.
#[test]
fn what_is_left_of_old_pages_fits_into_a_new_one() {
    let mut leader = leader_with_work(120, 120, 1);
    leader.store_limits.value_bytes = 4_096;
    leader.store_limits.operations = 20;
    record_all(&mut leader);
    // A task is left here and there, each on a page that its machine's line is not on.
    let old: Vec<SegmentId> = (0..20).map(|_| leader.term.next_segment()).collect();
    for (n, machine) in leader.fleet.machines.values_mut().enumerate() {
        for entry in &mut machine.tasks {
            entry.segment = old[n % old.len()];
        }
    }
    leader.placement_log.pages.extend(&old);
    let mut rewritten = 0;
    for _ in 0..20 {
        let light = leader
            .placement_log
            .compact(&leader.fleet, &leader.jobs, &leader.store_limits);
        if light.is_empty() {
            break;
        }
        rewritten += light.len();
        let page = leader.term.next_segment();
        let draft = PlacementLog::rewrite(&mut leader.fleet, &mut leader.jobs, page, &light);
        let bytes = json_bytes(&draft.record);
        assert!(bytes <= leader.store_limits.value_bytes, "{bytes} bytes");
        let open = UncommittedSegment {
            record: draft.record,
            deletes: light,
            done: draft.done,
            again: None,
        };
        leader
            .placement_log
            .segment_committed(&mut leader.fleet, &mut leader.jobs, page, open);
    }
    assert!(rewritten >= 8, "{rewritten} pages were written together");
}

/// Both pages and records of cancelled dependents want more writes than there are. Pages took every write
/// as soon as there was one, and the records, several in a transaction, never got theirs together.
#[test]
fn neither_pages_nor_cancellations_wait_for_ever() {
    let rate = 12.6;
    let mut log = PlacementLog::default();
    let (mut pages, mut cancellations) = (0.0, 0.0);
    for tick in 0..1_000 {
        let now = Time(1_000_000 + tick * 20);
        if log.take_writes(1.0, rate, now) {
            pages += 1.0;
        }
        cancellations += log.take_cancellation_writes(6, rate, now) as f64;
    }
    let all = pages + cancellations;
    assert!(all >= 0.9 * 20.0 * rate, "{all} writes");
    assert!(pages >= 0.4 * all, "{pages} pages");
    assert!(cancellations >= 0.4 * all, "{cancellations} cancellations");
}

use super::*;
use crate::dispatch::team_usage::TeamUsage;
use crate::leader::recovery_progress::RecoveryProgress;
use crate::node::completions::completed_record;
use crate::testing::{job, leader, running_task_report, NOW};
use crate::units::Resources;
use rudderreel_wire::ids::{Attempt, Epoch, JobId, MachineId, Seq, Version};
use rudderreel_wire::job::JobState;
use rudderreel_wire::worker::Command;

/// Without the suspicion in the placement log a new leader would try every task of a broken array again. A later
/// segment that does not name the job as suspected clears the suspicion.
#[test]
fn a_new_leader_knows_suspected_jobs() {
    let mut leader = leader();
    let job = job(1, "sweep", "red", "normal");
    let id = job.spec.id.clone();
    leader.jobs.insert(id.clone(), job);
    let segment = |failed_attempts: &[u32]| SegmentRecord {
        done: vec![(id.clone(), Vec::new())],
        suspected: failed_attempts.iter().map(|n| (id.clone(), *n)).collect(),
        ..SegmentRecord::default()
    };
    leader.recover_segment(SegmentId(1), segment(&[4]), NOW);
    assert_eq!(leader.jobs[&id].startable_tasks(), 1);
    leader.recover_segment(SegmentId(2), segment(&[]), NOW);
    assert_eq!(leader.jobs[&id].startable_tasks(), 4);
    leader.recover_segment(SegmentId(1), segment(&[4]), NOW);
    assert!(
        !leader.jobs[&id].is_suspected(),
        "an older segment does not change the suspicion"
    );
}

/// Guards against skipping a recovered task whose job is not among the unfinished ones, because the job is done or its
/// record can't be read. Until the machine reported, the task was not accounted for: the machine counted as empty, and
/// the segment that named the task was deleted.
#[test]
fn a_task_of_a_job_that_is_not_known_is_accounted_for_until_it_is_surely_gone() {
    let mut leader = leader();
    let known = job(1, "sweep", "red", "normal");
    let unknown: JobId = "wk-2".parse().expect("an id");
    leader.jobs.insert(known.spec.id.clone(), known);
    let machine = MachineId::from("vm-1");
    let record = SegmentRecord {
        machines: vec![crate::store::records::SegmentMachine {
            id: machine.clone(),
            machine_type: "m4".into(),
            zone: "a".into(),
            spot: false,
            since: NOW.wall,
            tasks: vec![(unknown.clone(), Attempt(3), vec![0, 1])],
        }],
        ..SegmentRecord::default()
    };
    leader.term.epoch_bumped(Epoch(5), Version(2), NOW.time);
    leader.recover_segment(SegmentId(1), record, NOW);
    let found = &leader.fleet.machines[&machine];
    let occupying = found
        .tasks
        .iter()
        .filter(|placed| placed.occupies_capacity())
        .count();
    assert_eq!(occupying, 2);
    assert_eq!(
        found.free(),
        Resources::default(),
        "the resources that the tasks take are not known"
    );
    assert!(
        leader
            .placement_log
            .select_for_compaction(&leader.fleet, &leader.jobs, &leader.store_limits)
            .is_empty()
            && !leader.placement_log.is_dead(SegmentId(1))
    );
    // One of the tasks is on the machine and is stopped; the other is not, and is surely gone.
    let report = running_task_report(
        &machine,
        FencingToken(5),
        Seq(1),
        &unknown.task(1),
        Attempt(3),
    );
    leader.reconcile_report(&report, NOW);
    let stop = Command::Stop {
        task: unknown.task(1),
        attempt: Attempt(3),
        grace_s: 0.0,
    };
    assert_eq!(leader.answer_commands(&machine, NOW.time), vec![stop]);
    let left: Vec<u32> = (leader.fleet.machines[&machine].tasks.iter())
        .map(|placed| placed.task.index)
        .collect();
    assert_eq!(left, [1]);
}

/// A gang is done when the first of its tasks is done, but other tasks of it may still take capacity. The leader that
/// received the report counted them towards their team's limit; a leader that was elected later did not know to which
/// team they belong.
#[test]
fn remaining_tasks_of_a_job_that_is_done_count_after_a_failover() {
    let mut before = leader();
    let machine = crate::testing::add_live_machine(&mut before, "vm-1", "a");
    let gang = job(1, "gang", "red", "normal");
    let id = gang.spec.id.clone();
    for index in 0..2 {
        crate::testing::add_running_task(&mut before, &gang, index, &machine);
    }
    let done = completed_record(&before.jobs[&id], &before.store_limits, NOW);
    assert_eq!(done.state, JobState::Done);
    let mut after = leader();
    after.recovery = RecoveryProgress::default();
    after.update_job(&id, Version(2), &done);
    let line = crate::store::records::SegmentMachine {
        id: machine.clone(),
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: false,
        since: NOW.wall,
        tasks: vec![(id.clone(), Attempt(1), vec![0, 1])],
    };
    let record = SegmentRecord {
        machines: vec![line],
        ..SegmentRecord::default()
    };
    after.recover_segment(SegmentId(1), record, NOW);
    after.recovery.complete();
    let team = after.policy.teams.find(&gang.spec.team).expect("a team");
    assert_eq!(
        TeamUsage::default().by_team_node(&after)[team],
        gang.need.times(2)
    );
    // No task of the gang is started again, and the gang is forgotten once its tasks are gone.
    assert_eq!(after.waiting_jobs(NOW).len(), 0);
    after.clear_machine(&machine, NOW);
    after.stop_ended_jobs(NOW);
    assert!(after.jobs.is_empty());
}

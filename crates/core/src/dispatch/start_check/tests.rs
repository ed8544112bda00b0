use super::*;
use crate::fleet::{Phase, Stop, StopReason};
use crate::leader::recovery_progress::RecoveryProgress;
use crate::store::records::SegmentId;
use crate::testing::{add_live_machine, add_running_task, job, leader, NOW};
use crate::units::Span;
use rudderreel_wire::ids::{Attempt, FencingToken, MachineId};
use std::sync::Arc;

/// Returns a leader with a recorded placement of a job's first task for which no start was sent, and its machine.
fn leader_with_placement() -> (Leader, MachineId) {
    let mut leader = leader();
    let id = add_live_machine(&mut leader, "vm-1", "a");
    let mut job = job(1, "sweep", "red", "normal");
    job.ready_since = Some(NOW.wall);
    add_running_task(&mut leader, &job, 0, &id);
    let machine = leader.fleet.machines.get_mut(&id).expect("a machine");
    machine.tasks[0].phase = Phase::Planned;
    machine.tasks[0].segment = SegmentId(1);
    (leader, id)
}

fn check(leader: &Leader, id: &MachineId) -> Result<(), StartRefusal> {
    let machine = &leader.fleet.machines[id];
    leader.check_start(machine, &machine.tasks[0], &TeamUsage::default(), NOW.time)
}

fn machine<'a>(leader: &'a mut Leader, id: &MachineId) -> &'a mut Machine {
    leader.fleet.machines.get_mut(id).expect("a machine")
}

#[test]
fn a_recorded_placement_on_a_reconciled_machine_may_start() {
    let (leader, id) = leader_with_placement();
    assert_eq!(check(&leader, &id), Ok(()));
}

#[test]
fn each_broken_rule_refuses_the_start_with_its_reason() {
    let refusal = |change: fn(&mut Leader, &MachineId)| {
        let (mut leader, id) = leader_with_placement();
        change(&mut leader, &id);
        check(&leader, &id)
    };
    assert_eq!(
        refusal(|leader, _| leader.recovery = RecoveryProgress::default()),
        Err(StartRefusal::NotLeading)
    );
    assert_eq!(
        refusal(|leader, id| machine(leader, id).tasks[0].segment = SegmentId::NONE),
        Err(StartRefusal::NotRecorded)
    );
    assert_eq!(
        refusal(|leader, id| {
            let stop = Stop::without_grace(StopReason::JobCancelled, NOW.time);
            machine(leader, id).tasks[0].stop = Some(stop);
        }),
        Err(StartRefusal::Stopping)
    );
    assert_eq!(
        refusal(|leader, id| machine(leader, id).acknowledged_token = FencingToken(0)),
        Err(StartRefusal::MachineNotReconciled)
    );
    assert_eq!(
        refusal(|leader, id| {
            let lease = leader.agent_timings.lease;
            machine(leader, id).last_heard_at = Some(Time(NOW.time.0 - lease.0 - 1));
        }),
        Err(StartRefusal::MachineNotReconciled)
    );
    assert_eq!(
        refusal(|leader, id| machine(leader, id).return_requested_at = Some(NOW.time)),
        Err(StartRefusal::MachineReturned)
    );
    assert_eq!(
        refusal(|leader, id| machine(leader, id).capacity.cpus = 0),
        Err(StartRefusal::NoRoom)
    );
}

#[test]
fn a_task_that_is_done_or_may_be_elsewhere_is_refused() {
    let (mut leader, id) = leader_with_placement();
    let job_id = machine(&mut leader, &id).tasks[0].task.job.clone();
    let job = leader.jobs.get_mut(&job_id).expect("a job");
    job.place(0, &"vm-2".into(), Attempt(2));
    assert_eq!(check(&leader, &id), Err(StartRefusal::MayBeElsewhere));
    let job = leader.jobs.get_mut(&job_id).expect("a job");
    job.unplace(0, &"vm-2".into(), Attempt(2));
    assert_eq!(check(&leader, &id), Ok(()));
    let job = leader.jobs.get_mut(&job_id).expect("a job");
    job.finish(0);
    assert_eq!(check(&leader, &id), Err(StartRefusal::AlreadyDone));
    leader.jobs.remove(&job_id);
    assert_eq!(check(&leader, &id), Err(StartRefusal::UnknownJob));
}

#[test]
fn an_expired_leader_lease_refuses_every_start() {
    let (leader, id) = leader_with_placement();
    let machine = &leader.fleet.machines[&id];
    let later = NOW.time + Span(3_600_000);
    let result = leader.check_start(machine, &machine.tasks[0], &TeamUsage::default(), later);
    assert_eq!(result, Err(StartRefusal::NotLeading));
}

/// All tasks of the team that may exist count, including the task itself.
#[test]
fn a_task_beyond_the_limit_of_its_team_is_refused() {
    let (mut leader, id) = leader_with_placement();
    let team = leader.policy.teams.find(&"red".into()).expect("a team");
    leader.policy.teams.nodes[team].limit[0] = 1.0;
    assert_eq!(check(&leader, &id), Ok(()));
    leader.policy.teams.nodes[team].limit[0] = 0.5;
    assert_eq!(check(&leader, &id), Err(StartRefusal::TeamLimit));
}

/// No further task of a one-zone job is started once its tasks are placed in two zones.
#[test]
fn a_task_against_the_zone_rules_of_its_job_is_refused() {
    let (mut leader, id) = leader_with_placement();
    let other_zone = add_live_machine(&mut leader, "vm-2", "b");
    let job_id = machine(&mut leader, &id).tasks[0].task.job.clone();
    let job = leader.jobs.get_mut(&job_id).expect("a job");
    Arc::make_mut(&mut job.spec).one_zone = true;
    assert_eq!(check(&leader, &id), Ok(()));
    let job = leader.jobs.get_mut(&job_id).expect("a job");
    job.place(1, &other_zone, Attempt(1));
    assert_eq!(check(&leader, &id), Err(StartRefusal::ZoneRules));
}

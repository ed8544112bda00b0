use super::*;
use crate::fleet::{StartSent, Stop, StopReason};
use crate::testing::{add_live_machine, add_running_task, job_of, leader, NOW};
use rudderreel_wire::ids::{Attempt, Version};
use rudderreel_wire::worker::{Cause, Command};

/// Returns a leader and a machine on which tasks have exited whose starts went by direct calls under the machine's
/// present token.
fn leader_with_exited_tasks(count: u32) -> (Leader, MachineId) {
    let mut leader = leader();
    let id = add_live_machine(&mut leader, "vm-1", "a");
    let job = job_of(1, "sweep", "red", "normal", count, 0.001);
    for index in 0..count {
        add_running_task(&mut leader, &job, index, &id);
    }
    let start = StartSent {
        token: leader.term.tokens().first,
        incarnation: leader.fleet.machines[&id].last_message.incarnation,
    };
    for placed in &mut machine(&mut leader, &id).tasks {
        placed.phase = Phase::Exited(Cause::Stopped);
        placed.outcome_recorded = true;
        (placed.start_sent, placed.direct_start) = (start, Some(start));
    }
    (leader, id)
}

fn machine<'a>(leader: &'a mut Leader, id: &MachineId) -> &'a mut Machine {
    leader.fleet.machines.get_mut(id).expect("a machine")
}

fn token(leader: &Leader, id: &MachineId) -> FencingToken {
    leader.fleet.machines[id].command_token(leader.term.tokens())
}

fn forgotten(commands: &[Command]) -> usize {
    let is_forget = |command: &&Command| matches!(command, Command::Forget { .. });
    commands.iter().filter(is_forget).count()
}

#[test]
fn attempts_are_forgotten_only_under_a_higher_token_than_their_direct_starts() {
    let (mut leader, id) = leader_with_exited_tasks(3);
    let start_token = token(&leader, &id);
    assert_eq!(forgotten(&leader.answer_commands(&id, NOW.time)), 3);
    assert_eq!(token(&leader, &id), start_token.next());
    // The answer may be lost: the command is repeated under the token that was raised already.
    assert_eq!(forgotten(&leader.answer_commands(&id, NOW.time)), 3);
    assert_eq!(token(&leader, &id), start_token.next());
}

#[test]
fn raised_token_does_not_make_an_agent_refuse_an_open_call() {
    let (mut leader, id) = leader_with_exited_tasks(1);
    let start_token = token(&leader, &id);
    machine(&mut leader, &id).direct_call_open = true;
    assert_eq!(forgotten(&leader.answer_commands(&id, NOW.time)), 0);
    assert_eq!(token(&leader, &id), start_token);
    let many = MAX_ATTEMPTS_WAITING_FOR_CALL as u32 + 1;
    let (mut leader, id) = leader_with_exited_tasks(many);
    machine(&mut leader, &id).direct_call_open = true;
    assert_eq!(
        forgotten(&leader.answer_commands(&id, NOW.time)),
        many as usize
    );
}

#[test]
fn start_that_never_arrived_is_fenced_so_that_its_task_can_be_stopped() {
    let (mut leader, id) = leader_with_exited_tasks(1);
    let start_token = token(&leader, &id);
    let placed = &mut machine(&mut leader, &id).tasks[0];
    placed.phase = Phase::Sent;
    placed.stop = Some(Stop::without_grace(StopReason::JobCancelled, NOW.time));
    placed.missing_since = Some(NOW.time);
    leader.raise_token_if_needed(&id, NOW.time + MISSING_START_TIMEOUT);
    assert_eq!(token(&leader, &id), start_token, "it may arrive yet");
    let later = NOW.time + MISSING_START_TIMEOUT + Span(1);
    let probe = leader.probe(&id, later).expect("a probe");
    assert_eq!(probe.body.token, start_token.next());
}

#[test]
fn epoch_is_bumped_once_a_machine_needs_more_tokens_than_the_term_has() {
    let (mut leader, id) = leader_with_exited_tasks(1);
    let later = NOW.time + MIN_EPOCH_BUMP_INTERVAL + Span(1);
    assert!(!leader.needs_epoch_bump(later), "its token can be raised");
    let last = leader.term.tokens().last;
    let placed_machine = machine(&mut leader, &id);
    placed_machine.raised_token = last;
    placed_machine.tasks[0].direct_start = Some(StartSent {
        token: last,
        incarnation: placed_machine.last_message.incarnation,
    });
    assert_eq!(forgotten(&leader.answer_commands(&id, NOW.time)), 0);
    assert!(leader.needs_epoch_bump(later));
    let epoch = leader.term.begin_epoch_bump(later);
    leader.term.epoch_bumped(epoch, Version(2), later);
    assert_eq!(forgotten(&leader.answer_commands(&id, later)), 1);
    assert_eq!(token(&leader, &id), last.next());
    assert!(leader.fleet.machines[&id].is_reconciled(leader.term.tokens()));
}

#[test]
fn no_start_goes_by_a_direct_call_while_too_many_attempts_wait_to_be_forgotten() {
    let waiting = MAX_ATTEMPTS_WAITING as u32;
    for (waiting, is_accepted) in [(waiting - 1, true), (waiting, false)] {
        let (leader, id) = leader_with_exited_tasks(waiting);
        let machine = &leader.fleet.machines[&id];
        assert_eq!(leader.accepts_direct_starts(machine), is_accepted);
    }
    let (mut leader, id) = leader_with_exited_tasks(waiting);
    machine(&mut leader, &id).tasks[0].attempt = Attempt(2);
    leader.answer_commands(&id, NOW.time);
    let machine = &leader.fleet.machines[&id];
    assert!(leader.accepts_direct_starts(machine), "they are forgotten");
}

use super::*;

const INCARNATION: Incarnation = Incarnation(1);

fn in_phase(phase: Phase) -> PlacedTask {
    let task = "wk-000001/0".parse().expect("a task id");
    let mut placed = PlacedTask::planned(task, Attempt(7), None, Time(1_000_000));
    placed.phase = phase;
    placed
}

fn may_forget(placed: &PlacedTask, token: u64) -> bool {
    placed.may_forget(FencingToken(token), INCARNATION)
}

/// After a `Forget` command an agent no longer knows the attempt, and a start that arrives late would run it again.
/// When a call was answered counted as the end of its power, a copy of it did.
#[test]
fn nothing_is_forgotten_while_a_direct_start_may_be_carried_out() {
    let mut placed = in_phase(Phase::Exited(Cause::Done));
    placed.outcome_recorded = true;
    assert!(may_forget(&placed, 5), "no start was sent directly");
    placed.direct_start = Some(StartSent {
        token: FencingToken(5),
        incarnation: INCARNATION,
    });
    assert!(!may_forget(&placed, 5));
    placed.open_direct_starts = 1;
    assert!(!may_forget(&placed, 5));
    assert!(may_forget(&placed, 6), "the agent refuses the start");
    assert!(placed.may_forget(FencingToken(5), Incarnation(2)));
}

/// The agent's report of a task's outcome may be needed until the outcome is committed.
#[test]
fn nothing_is_forgotten_before_its_outcome_is_recorded() {
    assert!(!may_forget(&in_phase(Phase::Exited(Cause::Done)), 5));
    assert!(!may_forget(&in_phase(Phase::On(TaskState::Running)), 5));
}

use super::*;

fn in_phase(phase: Phase) -> PlacedTask {
    let task = "wk-000001/0".parse().expect("a task id");
    let mut placed = PlacedTask::planned(task, Attempt(7), None, Time(1_000_000));
    placed.phase = phase;
    placed
}

/// After a `Forget` command an agent no longer knows the attempt, and a start that arrives late would run it again. So
/// no attempt is forgotten while a start of it may be in flight.
#[test]
fn nothing_is_forgotten_while_a_start_may_be_in_flight() {
    let mut placed = in_phase(Phase::Exited(Cause::Done));
    placed.outcome_recorded = true;
    assert!(placed.may_forget());
    placed.open_direct_starts = 1;
    assert!(!placed.may_forget());
    placed.open_direct_starts = 0;
    placed.start_may_arrive_late = true;
    assert!(!placed.may_forget());
}

/// The agent's report of a task's outcome may be needed until the outcome is committed.
#[test]
fn nothing_is_forgotten_before_its_outcome_is_recorded() {
    assert!(!in_phase(Phase::Exited(Cause::Done)).may_forget());
    assert!(!in_phase(Phase::On(TaskState::Running)).may_forget());
}

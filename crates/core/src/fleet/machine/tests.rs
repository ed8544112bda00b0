use super::*;
use crate::fleet::StartSent;
use crate::testing::token_range;
use rudderreel_wire::ids::Seq;
use rudderreel_wire::worker::{Cause, TaskState, TaskStatus};

const TOKENS: TokenRange = TokenRange {
    first: FencingToken(5),
    last: FencingToken(5),
};
const NOW: Time = Time(1_000_000);

fn machine() -> Machine {
    Machine::new(MachineDescription {
        id: "vm-1".into(),
        machine_type: "m4".into(),
        zone: "a".into(),
        is_spot: false,
        capacity: Resources::default(),
        known_since: Wall(0),
    })
}

fn task() -> TaskId {
    "wk-000001/0".parse().expect("a task id")
}

fn sent(phase: Phase) -> PlacedTask {
    let mut entry = PlacedTask::planned(task(), Attempt(7), None, NOW);
    entry.phase = phase;
    entry.start_sent = StartSent {
        token: TOKENS.first,
        incarnation: Incarnation(1),
    };
    entry
}

fn report(incarnation: u64, seq: u64, token: u64, tasks: Vec<TaskStatus>) -> StatusReport {
    StatusReport {
        machine: "vm-1".into(),
        addr: "10.0.0.1:1".into(),
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: false,
        incarnation: Incarnation(incarnation),
        seq: Seq(seq),
        token: FencingToken(token),
        reclaim_in_s: None,
        tasks,
    }
}

fn status(state: TaskState, cause: Option<Cause>) -> TaskStatus {
    TaskStatus {
        task: task(),
        attempt: Attempt(7),
        state,
        cause,
        saved: None,
    }
}

#[test]
fn omission_of_a_task_whose_start_is_in_flight_proves_nothing() {
    let mut m = machine();
    m.tasks.push(sent(Phase::Sent));
    assert_eq!(
        m.apply_report(&report(1, 1, 5, vec![]), TOKENS, NOW),
        vec![]
    );
    assert_eq!(m.tasks.len(), 1);
}

#[test]
fn omission_in_a_later_epoch_or_incarnation_proves_a_task_gone() {
    for proof in [report(1, 2, 6, vec![]), report(2, 1, 5, vec![])] {
        let mut m = machine();
        m.tasks.push(sent(Phase::Sent));
        let gone = vec![TaskChange::Lost(task(), Attempt(7))];
        assert_eq!(
            m.apply_report(&proof, token_range(proof.token.0, proof.token.0), NOW),
            gone
        );
        assert!(m.tasks.is_empty());
    }
}

#[test]
fn omission_under_another_epoch_proves_nothing() {
    let mut m = machine();
    m.tasks.push(sent(Phase::Sent));
    assert_eq!(
        m.apply_report(&report(1, 1, 6, vec![]), token_range(7, 7), NOW),
        vec![]
    );
    assert_eq!(m.tasks.len(), 1);
}

#[test]
fn old_reports_change_nothing() {
    let mut m = machine();
    m.tasks.push(sent(Phase::Sent));
    m.apply_report(
        &report(1, 9, 5, vec![status(TaskState::Running, None)]),
        TOKENS,
        NOW,
    );
    let late = report(1, 8, 5, vec![status(TaskState::Exited, Some(Cause::Done))]);
    assert_eq!(m.apply_report(&late, TOKENS, NOW), vec![]);
    assert_eq!(m.tasks[0].phase, Phase::On(TaskState::Running));
}

/// A late copy of a report does not count as hearing from the machine, does not withdraw a spot notice, and does not
/// show what the agent has acknowledged or whether calls reach it.
#[test]
fn a_late_copy_changes_nothing() {
    let mut m = machine();
    let mut newest = report(2, 9, 5, vec![]);
    newest.reclaim_in_s = Some(10.0);
    m.apply_report(&newest, TOKENS, NOW);
    m.call_unanswered(NOW);
    let later = NOW + Span(30_000);
    for copy in [report(2, 8, 4, vec![]), report(1, 90, 6, vec![]), newest] {
        assert_eq!(m.apply_report(&copy, TOKENS, later), vec![]);
        assert_eq!(m.last_heard_at, Some(NOW));
        assert_eq!(m.reclaim_at, Some(NOW + Span(10_000)));
        assert_eq!(
            (m.acknowledged_token, m.unanswered_calls),
            (TOKENS.first, 1)
        );
    }
}

/// The agent's lease expired although its reports were answered: perhaps nothing reaches the agent, so the machine is
/// suspect until the agent has shown that something does.
#[test]
fn a_new_incarnation_despite_answers_makes_a_machine_suspect() {
    let mut m = machine();
    m.apply_report(&report(1, 1, 5, vec![]), TOKENS, NOW);
    m.last_answered_at = Some(NOW);
    assert_eq!(m.unanswered_calls, 0);
    m.apply_report(&report(2, 1, 5, vec![]), TOKENS, NOW + Span(13_000));
    assert_eq!(m.unanswered_calls, 1);
    m.call_answered();
    assert_eq!((m.unanswered_calls, m.unreachable_since), (0, None));
}

#[test]
fn a_lease_expires_only_after_old_leaders_are_fenced_and_the_last_answer() {
    let lease = Span(12_000);
    let mut m = machine();
    let is_expired = |m: &Machine, at: u64, old_leaders_fenced_at| {
        m.is_lease_expired(Time(NOW.0 + at), lease, old_leaders_fenced_at)
    };
    assert!(
        !is_expired(&m, 900_000, None),
        "an older leader may still answer"
    );
    assert!(!is_expired(&m, 12_400, Some(NOW)));
    assert!(is_expired(&m, 12_600, Some(NOW)));
    m.last_answered_at = Some(NOW + Span(5_000));
    assert!(!is_expired(&m, 17_400, Some(NOW)));
    assert!(is_expired(&m, 17_600, Some(NOW)));
    // The lease expired, and a task was started in the incarnation that began then: the leader heard from the agent by
    // a direct call. Without the condition on that, the task ran twice in the simulated world (seed 1060).
    m.last_heard_at = Some(NOW + Span(17_000));
    assert!(!is_expired(&m, 17_600, Some(NOW)));
}

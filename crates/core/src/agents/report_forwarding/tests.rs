use super::*;
use crate::testing::{running_task_report, NOW};
use rudderreel_wire::ids::{Attempt, JobId, Seq};
use rudderreel_wire::peer::ForwardedReports;

fn target() -> ForwardingTarget {
    ForwardingTarget {
        node: "n1".into(),
        epoch: Epoch(1),
    }
}

fn report(n: usize, seq: u64, tasks: u32) -> StatusReport {
    let machine = MachineId::from(format!("vm-{n:06}").as_str());
    let job: JobId = format!("wk-{n:06}").parse().expect("an id");
    let mut report = running_task_report(
        &machine,
        FencingToken(1),
        Seq(seq),
        &job.task(0),
        Attempt(1),
    );
    report.tasks = (0..tasks)
        .map(|index| TaskStatus {
            task: job.task(index),
            ..report.tasks[0].clone()
        })
        .collect();
    report
}

/// Forwards a report and answers it. Returns the form in which its list was sent, and the answers.
fn forward(
    forwarding: &mut ReportForwarding,
    report: StatusReport,
    answer: ForwardedAnswer,
) -> (ForwardedTasks, Vec<AgentAnswer>) {
    forwarding.enqueue(ReqId(1), report, target(), NOW.time);
    forward_waiting(forwarding, answer)
}

fn forward_waiting(
    forwarding: &mut ReportForwarding,
    answer: ForwardedAnswer,
) -> (ForwardedTasks, Vec<AgentAnswer>) {
    let batch = (forwarding.take_due_batch(Span(0), NOW.time)).expect("a batch");
    let (call, reports) = forwarding.open_batch(batch);
    let reply = ForwardedReportsReply {
        token: Some(FencingToken(1)),
        answers: vec![answer],
    };
    let result = forwarding.batch_answered(call, Some(reply), NOW.time);
    let Some(BatchResult::Answered { answers, .. }) = result else {
        panic!("the batch was answered");
    };
    (reports[0].tasks.clone(), answers)
}

/// A batch is bounded by bytes: a bound on the number of tasks ignores the length of their names.
#[test]
fn a_batch_of_long_reports_fits_into_a_message() {
    let mut forwarding = ReportForwarding::default();
    for n in 0..600 {
        let mut long = report(n, 1, 10);
        long.addr = "x".repeat(50_000);
        forwarding.enqueue(ReqId(n as u64), long, target(), NOW.time);
    }
    let mut batches = 0;
    while !forwarding.waiting.is_empty() {
        let reports = forwarding.take_batch().reports;
        assert!(!reports.is_empty());
        assert!(bitcode::encode(&ForwardedReports { reports }).len() < MAX_MESSAGE_BYTES);
        batches += 1;
    }
    assert!(batches > 50, "{batches}");
}

#[test]
fn an_applied_list_is_referred_to_until_the_leader_asks_for_it_whole() {
    let mut forwarding = ReportForwarding::default();
    let answered = || ForwardedAnswer::Answered(None);
    let (first, _) = forward(&mut forwarding, report(1, 1, 3), answered());
    assert!(matches!(first, ForwardedTasks::Whole(_)));
    let (second, _) = forward(&mut forwarding, report(1, 2, 3), answered());
    assert!(matches!(second, ForwardedTasks::SameAs(1)));
    let (_, answers) = forward(&mut forwarding, report(1, 3, 3), ForwardedAnswer::Whole);
    assert!(answers.is_empty(), "the report waits to be sent again");
    let (again, answers) = forward_waiting(&mut forwarding, answered());
    assert!(matches!(again, ForwardedTasks::Whole(_)));
    assert!(answers[0].body.is_some());
    let (next, _) = forward(&mut forwarding, report(1, 4, 3), answered());
    assert!(matches!(next, ForwardedTasks::SameAs(3)));
}

#[test]
fn another_leader_gets_whole_lists() {
    let mut forwarding = ReportForwarding::default();
    forward(
        &mut forwarding,
        report(1, 1, 3),
        ForwardedAnswer::Answered(None),
    );
    let later = ForwardingTarget {
        epoch: Epoch(2),
        ..target()
    };
    forwarding.enqueue(ReqId(2), report(1, 2, 3), later, NOW.time);
    let (list, _) = forward_waiting(&mut forwarding, ForwardedAnswer::Refused);
    assert!(matches!(list, ForwardedTasks::Whole(_)));
}

#[test]
fn a_reply_that_does_not_answer_each_report_answers_no_agent() {
    for (token, answers) in [
        (None, 1),
        (Some(FencingToken(1)), 0),
        (Some(FencingToken(1)), 2),
    ] {
        let mut forwarding = ReportForwarding::default();
        forwarding.enqueue(ReqId(1), report(1, 1, 3), target(), NOW.time);
        let batch = (forwarding.take_due_batch(Span(0), NOW.time)).expect("a batch");
        let (call, _) = forwarding.open_batch(batch);
        let answers = vec![ForwardedAnswer::Answered(None); answers];
        let reply = ForwardedReportsReply { token, answers };
        let result = forwarding.batch_answered(call, Some(reply), NOW.time);
        assert!(matches!(result, Some(BatchResult::Unanswered(held)) if held.len() == 1));
        assert!((forwarding.batch_answered(call, None, NOW.time)).is_none());
    }
}

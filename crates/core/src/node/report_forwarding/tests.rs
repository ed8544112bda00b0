use super::*;
use crate::agents::report_forwarding::MAX_REPORT_WAIT;
use crate::testing::NOW;
use rudderreel_wire::ids::{Attempt, Epoch, FencingToken, JobId, Seq, Version};
use rudderreel_wire::peer::{CancelledJob, ForwardedAnswer, MAX_MESSAGE_BYTES};
use rudderreel_wire::worker::{Command, StatusReportReply, TaskStatus};

fn report(n: usize, tasks: usize) -> StatusReport {
    let machine = MachineId::from(format!("vm-{n:06}").as_str());
    let job: JobId = format!("wk-{n:06}").parse().expect("an id");
    let mut report = crate::testing::running_task_report(
        &machine,
        FencingToken(1),
        Seq(1),
        &job.task(0),
        Attempt(1),
    );
    report.tasks = (0..tasks as u32)
        .map(|index| TaskStatus {
            task: job.task(index),
            ..report.tasks[0].clone()
        })
        .collect();
    report
}

/// Returns a follower that receives the heartbeats of a leader of a large fleet.
fn follower() -> Node {
    let mut node = crate::testing::node();
    node.leader_machines = 6_000;
    let leader = PeerStatus {
        last_heartbeat_at: NOW.time + MAX_REPORT_WAIT,
        leads: true,
        epoch: Epoch(1),
        ..PeerStatus::default()
    };
    node.peers.insert("n1".into(), leader);
    node
}

/// Answers a forwarded batch without commands, as the leader does.
fn answer_without_commands(node: &mut Node, call: CallId, reports: usize, now: Now) {
    let reply = ForwardedReportsReply {
        token: Some(FencingToken(1)),
        answers: vec![ForwardedAnswer::Answered(None); reports],
    };
    node.forwarded_reports_answered(call, Some(reply), now);
}

/// Answers a forwarded batch as the leader does; returns how many agents are answered.
fn answer_batch(node: &mut Node, call: CallId, reports: usize, now: Now) -> usize {
    answer_without_commands(node, call, reports, now);
    node.out.drain(..).count()
}

/// Forwards the report of one machine, and returns the call.
fn forward_one(node: &mut Node) -> CallId {
    node.forward_report(ReqId(1), report(1, 1), NOW);
    let mut now = NOW;
    now.time = now.time + BATCH_INTERVAL;
    node.forwarding_tick(now);
    match node.out.drain(..).next() {
        Some(Output::ForwardReports { call, .. }) => call,
        other => panic!("a batch is expected: {other:?}"),
    }
}

/// The leader had answered before it learned that a job is cancelled, and this node passed the start of the job's task on
/// after it had told the user so.
#[test]
fn a_start_is_not_passed_on_once_its_job_is_known_to_be_cancelled() {
    let mut node = follower();
    let call = forward_one(&mut node);
    let cancelled: JobId = "wk-000007".parse().expect("an id");
    let other: JobId = "wk-000008".parse().expect("an id");
    node.job_cache.update_cancelled(&cancellation(&cancelled));
    let start = |job: &JobId| Command::Start {
        task: job.task(0),
        attempt: Attempt(1),
    };
    let reply = |commands| StatusReportReply {
        token: FencingToken(1),
        commands,
    };
    let answer = json(&reply(vec![start(&cancelled), start(&other)]));
    let answers = ForwardedReportsReply {
        token: Some(FencingToken(1)),
        answers: vec![ForwardedAnswer::Answered(Some(answer))],
    };
    node.forwarded_reports_answered(call, Some(answers), NOW);
    let Some(Output::Answer { status, body, .. }) = node.out.drain(..).next() else {
        panic!("an answer is expected");
    };
    assert_eq!((status, body), (200, json(&reply(vec![start(&other)]))));
}

/// Returns the cancellation of a job that has just become known.
fn cancellation(job: &JobId) -> CancelledJob {
    CancelledJob {
        job: job.to_string(),
        version: Version(20),
        cancelled_ms: NOW.wall.0,
        submitted_ms: NOW.wall.0,
        tasks: 1,
    }
}

/// The answer renews the agent's lease, and the leader may have taken the task for gone.
#[test]
fn an_answer_that_is_passed_on_stops_tasks_of_jobs_that_are_known_to_be_cancelled() {
    let mut node = follower();
    let call = forward_one(&mut node);
    let task = report(1, 1).tasks[0].clone();
    node.job_cache
        .update_cancelled(&cancellation(&task.task.job));
    answer_without_commands(&mut node, call, 1, NOW);
    let Some(Output::Answer { status, body, .. }) = node.out.drain(..).next() else {
        panic!("an answer is expected");
    };
    let reply = StatusReportReply {
        token: FencingToken(1),
        commands: vec![Command::Stop {
            task: task.task,
            attempt: task.attempt,
            grace_s: 0.0,
        }],
    };
    assert_eq!((status, body), (200, json(&reply)));
}

/// When four of five nodes fail, all agents of a fleet of 4,000 or 6,000 report to the remaining node at once. A queue
/// of a thousand reports made it refuse the others, whose agents then tried other nodes without success. All reports
/// must be forwarded, in messages that the leader accepts, and only those that would be answered too late are refused.
#[test]
fn every_report_of_a_fleet_that_reports_at_once_is_forwarded() {
    for machines in [4_000, 6_000] {
        let mut node = follower();
        for n in 0..machines {
            node.forward_report(ReqId(n as u64), report(n, 4), NOW);
        }
        assert_eq!(node.out.drain(..).count(), 0, "all reports are queued");
        let late = Now {
            time: NOW.time + MAX_REPORT_WAIT + Span(1),
            ..NOW
        };
        node.forward_report(ReqId(machines as u64), report(machines, 4), late);
        let refused = node.out.drain(..).count();
        assert_eq!(
            refused, 1,
            "a report that would be answered too late is refused"
        );
        let (mut forwarded, mut now) = (0, NOW);
        loop {
            now.time = now.time + BATCH_INTERVAL;
            node.forwarding_tick(now);
            let outputs: Vec<Output> = node.out.drain(..).collect();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                let Output::ForwardReports {
                    call,
                    reports: batch,
                    ..
                } = output
                else {
                    panic!("{output:?}");
                };
                let reports = batch.reports.len();
                assert!(bitcode::encode(&batch).len() < MAX_MESSAGE_BYTES);
                assert_eq!(answer_batch(&mut node, call, reports, now), reports);
                forwarded += reports;
            }
        }
        assert_eq!(forwarded, machines);
    }
}

use super::*;
use crate::agents::report_forwarding::{ReportForwarding, LEFT_LEAST, LEFT_SPARE};
use crate::testing::NOW;
use rudderreel_wire::ids::Seq;
use rudderreel_wire::peer::MAX_MESSAGE_BYTES;
use rudderreel_wire::worker::TaskStatus;

/// A leader that no worker reached looked idle, and the others sent it all of theirs.
#[test]
fn to_a_node_that_no_worker_reaches_one_is_sent_on_trial() {
    let (mut forwarding, now, report) = (ReportForwarding::default(), Time(1_000_000), Span(6_000));
    let name = NodeName::from("n1");
    let peer = |workers: u32, silence: u64| PeerStatus {
        workers,
        agent_silence: Span(silence),
        ..PeerStatus::default()
    };
    let busy = peer(100, 200);
    let cut = [peer(100, 1_600), peer(0, 200), peer(0, u64::MAX)];
    assert!(cut
        .iter()
        .all(|p| forwarding.may_send(&name, p, report, now)));
    forwarding.trials.insert(name.clone(), now);
    let soon = now + Span(900);
    assert!(forwarding.may_send(&name, &busy, report, soon));
    assert!(!cut
        .iter()
        .any(|p| forwarding.may_send(&name, p, report, soon)));
    assert!(forwarding.may_send(&name, &cut[1], report, now + Span(1_100)));
    // One with few workers is not always heard of.
    assert!(forwarding.may_send(&name, &peer(4, 7_000), report, soon));
}

fn report(n: usize, tasks: usize) -> StatusReport {
    let machine = MachineId::from(format!("vm-{n:06}").as_str());
    let job: rudderreel_wire::ids::JobId = format!("wk-{n:06}").parse().expect("an id");
    let task = rudderreel_wire::ids::Attempt(1);
    let mut report = crate::testing::running(&machine, Epoch(1), Seq(1), &job.task(0), task);
    report.tasks = (0..tasks as u32)
        .map(|index| TaskStatus {
            task: job.task(index),
            ..report.tasks[0].clone()
        })
        .collect();
    report
}

/// A follower that hears a leader of a large fleet.
fn follower() -> Node {
    let mut node = crate::testing::node();
    node.leader_machines = 6_000;
    let leader = PeerStatus {
        last_heartbeat_at: NOW.time + LONGEST_WAIT,
        leads: true,
        ..PeerStatus::default()
    };
    node.peers.insert("n1".into(), leader);
    node
}

/// When four of five nodes are gone, a fleet of 4,000 or 6,000 comes to one node at once. It took a
/// thousand reports and refused the others, whose workers then sought another node in vain. Now all are
/// passed on, in messages that the leader takes, and only what would be answered too late is refused.
#[test]
fn every_report_of_a_fleet_that_comes_at_once_is_passed_on() {
    for machines in [4_000, 6_000] {
        let mut node = follower();
        for n in 0..machines {
            node.forward_report(ReqId(n as u64), report(n, 4), NOW);
        }
        assert_eq!(node.forwarding.waiting.len(), machines);
        let late = Now {
            time: NOW.time + LONGEST_WAIT + Span(1),
            ..NOW
        };
        node.forward_report(ReqId(machines as u64), report(machines, 4), late);
        let refused = node.out.drain(..).count();
        assert_eq!(refused, 1, "what would be answered too late is refused");
        let (mut passed, mut now) = (0, NOW);
        while !node.forwarding.waiting.is_empty() {
            node.forwarding.open.clear();
            now.time = now.time + GATHER;
            node.forwarding_tick(now);
            for output in node.out.drain(..) {
                let Output::ForwardReports(_, _, reports) = output else {
                    panic!("{output:?}");
                };
                passed += reports.reports.len();
                assert!(bitcode::encode(&reports).len() < MAX_MESSAGE_BYTES);
            }
        }
        assert_eq!(passed, machines);
    }
}

/// The number of tasks bounded a batch, and not what their names take.
#[test]
fn a_batch_of_long_reports_fits_into_a_message() {
    let mut node = follower();
    for n in 0..600 {
        let mut long = report(n, 10);
        long.addr = "x".repeat(50_000);
        node.forward_report(ReqId(n as u64), long, NOW);
    }
    let mut batches = 0;
    while !node.forwarding.waiting.is_empty() {
        let batch = node.forwarding.next_batch();
        let (count, reports) = (batch.len(), ForwardedReports { reports: batch });
        assert!(bitcode::encode(&reports).len() < MAX_MESSAGE_BYTES);
        node.forwarding.waiting.drain(..count);
        batches += 1;
    }
    assert!(batches > 50, "{batches}");
}

/// Each report looked through all workers of the node: at 4,000 machines that cost more than the rest.
#[test]
fn workers_that_have_left_are_not_counted() {
    let mut forwarding = ReportForwarding::default();
    let interval = Span(6_000);
    for n in 0..4_000 {
        let machine = MachineId::from(format!("vm-{n}").as_str());
        forwarding.workers.insert(machine, NOW.time);
    }
    assert_eq!(forwarding.workers(NOW.time, interval), 4_000);
    let left = NOW.time + LEFT_LEAST + Span(interval.0 * 5 / 4) + LEFT_SPARE;
    assert_eq!(forwarding.workers(left, interval), 0);
}

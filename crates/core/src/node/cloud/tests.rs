use super::*;
use crate::cloud::calls::CloudCalls;
use crate::io::{CloudCall, Output};
use crate::testing::{add_live_machine, leader, node, NOW};
use rudderreel_wire::cloud::MachinePage;
use rudderreel_wire::cloud::{ListedMachine, ListedState, MACHINES_PER_PAGE};

/// Sends the queued calls and returns them.
fn calls(node: &mut Node, at: Now) -> Vec<(CallId, CloudCall)> {
    node.cloud.send_queued(at.time, &mut node.out);
    let call = |output| match output {
        Output::Cloud(id, call) => Some((id, call)),
        _ => None,
    };
    node.out.drain(..).filter_map(call).collect()
}

/// A refused page must not make the reading of the list begin anew: a list of eight or twelve pages was never read
/// completely while the cloud was busy, since the pages after a refused one were not read.
#[test]
fn list_of_many_pages_is_continued_after_a_refusal() {
    for machines in [4_000, 6_000] {
        let mut node = node();
        node.leader = Some(leader());
        node.cloud.next_catalog = NOW.time + Span(3_600_000);
        let (mut now, mut listed, mut refused) = (NOW, 0, 0);
        node.call_cloud_if_due(now);
        for round in 0..200 {
            now.time = now.time + Span(800);
            for (id, call) in calls(&mut node, now) {
                let CloudCall::List(after) = call else {
                    continue;
                };
                if round % 2 == 0 {
                    refused += 1;
                    node.cloud_call_answered(id, CloudAnswer::Refused, now);
                    continue;
                }
                let first = after.map_or(0, |id| id.as_str()[3..].parse().expect("a number"));
                let last = (first + MACHINES_PER_PAGE).min(machines);
                let page = MachinePage {
                    machines: (first + 1..=last).map(listed_machine).collect(),
                    more: last < machines,
                };
                listed = last.max(listed);
                node.cloud_call_answered(id, CloudAnswer::Page(page), now);
            }
        }
        let leader = node.leader.as_ref().expect("it leads");
        assert_eq!((listed, leader.fleet.machines.len()), (machines, machines));
        assert!(refused >= machines / MACHINES_PER_PAGE, "{refused}");
    }
}

fn listed_machine(n: usize) -> ListedMachine {
    ListedMachine {
        id: format!("vm-{n:06}").as_str().into(),
        addr: None,
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: false,
        state: ListedState::Running,
        age_s: 1.0,
    }
}

/// Reading the pages of a large fleet's list takes at most a fixed fraction of the calls.
#[test]
fn large_fleet_is_listed_less_often() {
    let cloud = CloudCalls::new(1.0);
    assert!(cloud.min_listing_interval(100) <= Span(4_000));
    assert_eq!(cloud.min_listing_interval(4_000), Span(32_000));
    let mut leader = leader();
    for n in 0..10 {
        add_live_machine(&mut leader, &format!("vm-{n}"), "a");
    }
    assert_eq!(
        cloud.min_listing_interval(leader.fleet.machines.len()),
        Span(4_000)
    );
}

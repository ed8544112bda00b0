//! Cancellations that one node confirms to a user while the leader, which does not know of them, still answers agents.
//!
//! The store refuses only the leader, and another node confirms a cancellation. Then the store is down for all nodes
//! for longer than cancelled tasks may remain, and the old leader keeps answering agents with the lease votes of a
//! majority.

use super::world::{Scenario, UserAction, World};
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::{JobSpec, JobState, Kind, Priority};

/// Duration of a leader's lease.
const LEADER_LEASE_MS: u64 = 3_000;

/// Returns a job of replicas, which run until the job is cancelled.
pub fn replicas(n: u32, tasks: u32) -> JobSpec {
    let value = serde_json::json!({
        "id": format!("wk-{n:06}"), "reel": "standing", "crew": "blue", "rig": "standing",
        "precedence": "prod", "takes": tasks, "vcpus": 1.0, "gpus": 0.0, "memoryGb": 1.0,
        "pressing": "img-0", "pullGb": 0.5, "hulls": null, "berth": null, "together": false,
        "scatter": false, "driftwood": false, "expectedS": 0.0, "snapshotS": 0.0, "stowS": 0.0,
        "dueS": null});
    serde_json::from_value(value).expect("a job")
}

/// Returns a scenario in which users do only what the test makes them do.
pub fn scripted_scenario(nodes: usize, spread: bool) -> Scenario {
    Scenario {
        nodes,
        spread,
        scripted: true,
        // As in the deployments: an agent gets an answer within a lease, whichever nodes it tries.
        lease_s: if nodes > 3 { 12 } else { 6 },
        ..Scenario::default()
    }
}

/// Returns a world in which three jobs of two replicas each run, their ids, and the leader.
pub fn run_until_jobs_are_running(
    seed: u64,
    nodes: usize,
    spread: bool,
) -> (World, Vec<JobId>, usize) {
    let mut world = World::with_scenario(seed, scripted_scenario(nodes, spread));
    world.run_until(16_000);
    let specs: Vec<JobSpec> = (1..4).map(|n| replicas(n, 2)).collect();
    let ids: Vec<JobId> = specs.iter().map(|s| s.id.clone()).collect();
    for spec in specs {
        world.add_job(spec);
    }
    for id in &ids {
        while !world.jobs[id].accepted {
            world.user_asks(0, id, UserAction::Submit);
            world.run_until(world.now + 1_000);
        }
    }
    world.run_until(world.now + 14_000);
    for id in &ids {
        assert_eq!(world.on_machines(id), 2, "{id} runs");
    }
    let leader = world.leader().expect("a leader");
    (world, ids, leader)
}

/// The request whose answer tells the user that the job is cancelled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerPath {
    Cancellation,
    StatusRequest,
    RepeatedSubmission,
    /// A cancellation at a node that the store refuses, which forwards it.
    ForwardedCancellation,
}

/// All requests whose answers tell a user that a job is cancelled.
pub const ANSWER_PATHS: [AnswerPath; 4] = [
    AnswerPath::Cancellation,
    AnswerPath::StatusRequest,
    AnswerPath::RepeatedSubmission,
    AnswerPath::ForwardedCancellation,
];

/// A fault in addition to those of every case.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ExtraFault {
    Nothing,
    /// The node that answered the user crashes right afterwards.
    AnsweringNodeCrashes,
    /// The old leader crashes in the outage, and another node stands in for it.
    LeaderCrashes,
    /// A third node has just restarted when the user is answered.
    ThirdNodeRestarts,
    /// A third node restarts in the outage: it can't read the jobs, so its lease vote would be worth nothing.
    ThirdNodeRestartsInOutage,
    /// The nodes can't reach one another from the beginning, and the store goes down later than in the other cases.
    PeersCutBeforeOutage,
    /// The nodes can't reach one another from the beginning of the outage.
    PeersCutInOutage,
    /// The agents' reports arrive, but nothing reaches the agents.
    AgentsUnreachable,
    /// No machine can be returned.
    CloudDown,
    /// The store serves only the node that answers the user, and that node can't reach the old leader. The old leader
    /// learns of the cancellation from the nodes that were notified of it, with their lease votes.
    StoreServesOnlyAnsweringNode,
}

struct Case {
    seed: u64,
    nodes: usize,
    spread: bool,
    path: AnswerPath,
    extra: ExtraFault,
}

/// Repeats a request until the user is answered that the job is cancelled. Panics if that has not happened by `until`.
pub fn request_until_confirmed(
    world: &mut World,
    node: usize,
    id: &JobId,
    path: AnswerPath,
    until: u64,
) {
    let action = match path {
        AnswerPath::Cancellation | AnswerPath::ForwardedCancellation => UserAction::Cancel,
        AnswerPath::StatusRequest => UserAction::Status,
        AnswerPath::RepeatedSubmission => UserAction::Submit,
    };
    while world.jobs[id].cancelled_at.is_none() && world.now < until {
        world.user_asks(node, id, action);
        world.run_until(world.now + 400);
    }
    assert!(
        world.jobs[id].cancelled_at.is_some(),
        "no answer says that {id} is cancelled"
    );
}

/// Runs a case and returns the number of agents whose leases expired.
fn run_case(case: &Case) -> usize {
    let (mut world, ids, old) = run_until_jobs_are_running(case.seed, case.nodes, case.spread);
    let (node, extra) = (|n: usize| (old + n) % case.nodes, case.extra);
    let end = world.now + 75_000;
    if extra == ExtraFault::PeersCutBeforeOutage {
        world.cut_peer_links(end);
    }
    if extra == ExtraFault::CloudDown {
        world.cloud.down = true;
    }
    world.cut_from_store(old, end);
    let answering_node = node(1);
    if case.path == AnswerPath::ForwardedCancellation {
        world.cut_from_store(answering_node, end);
    }
    if extra == ExtraFault::StoreServesOnlyAnsweringNode {
        world.cut_pairs.push((old, answering_node));
        (2..case.nodes).for_each(|n| world.cut_from_store(node(n), end));
    }
    world.run_until(world.now + 500);
    match case.path {
        AnswerPath::Cancellation => {}
        AnswerPath::StatusRequest | AnswerPath::RepeatedSubmission => {
            world.cancel_without_waiting(node(2), &ids[0])
        }
        // The store refuses the answering node like the leader; wait until the node has noticed that.
        AnswerPath::ForwardedCancellation => world.run_until(world.now + 800),
    }
    if extra == ExtraFault::ThirdNodeRestarts {
        world.stop_node_for(node(2), 100);
    }
    // The old leader's own lease must not have expired when the store goes down.
    let timeout_ms = match (extra, case.path) {
        (ExtraFault::PeersCutBeforeOutage, _) => 6_000,
        (_, AnswerPath::ForwardedCancellation) => 900,
        _ => 1_600,
    };
    let latest = world.now + timeout_ms;
    // A leader that does not acknowledge the cancellation delays the answer until its lease has surely expired.
    let is_leader_unaware = extra == ExtraFault::StoreServesOnlyAnsweringNode;
    if is_leader_unaware {
        world.user_asks(answering_node, &ids[0], UserAction::Cancel);
    } else {
        request_until_confirmed(&mut world, answering_node, &ids[0], case.path, latest);
    }
    if extra == ExtraFault::AnsweringNodeCrashes {
        world.stop_node_for(answering_node, 90_000);
    }
    world.run_until(latest);
    let leader = world.leader();
    assert!(
        extra == ExtraFault::PeersCutBeforeOutage || leader == Some(old),
        "the old leader {old} was replaced by {leader:?}"
    );
    world.store.set_down(true, world.now);
    match extra {
        ExtraFault::PeersCutInOutage => world.cut_peer_links(end),
        ExtraFault::ThirdNodeRestartsInOutage => world.stop_node_for(node(2), 100),
        ExtraFault::AgentsUnreachable => {
            for agent in world.agents.values_mut() {
                agent.unreachable_until = end;
            }
        }
        _ => {}
    }
    if is_leader_unaware {
        let latest = world.now + LEADER_LEASE_MS;
        request_until_confirmed(&mut world, answering_node, &ids[0], case.path, latest);
    }
    world.run_until(world.now + 2_000);
    if extra == ExtraFault::LeaderCrashes {
        world.stop_node_for(old, 90_000);
    }
    // The world checks throughout that cancelled tasks are gone in time. The outage is far longer than that time.
    world.run_until(end);
    assert_eq!(world.on_machines(&ids[0]), 0);
    let lost_leases = world
        .agents
        .values()
        .filter(|w| w.incarnation.0 > 1)
        .count();
    world.end_faults();
    world.run_until(world.now + 100_000);
    assert_eq!(world.jobs[&ids[0]].last, Some(JobState::Cancelled));
    assert_eq!(
        world.on_machines(&ids[1]),
        2,
        "the replicas of another job run again"
    );
    lost_leases
}

/// The old leader must learn of the cancellation, or answer no agent. It used to keep answering agents for the whole
/// outage, without knowing of the cancellation, so that the cancelled tasks ran on.
#[test]
fn tasks_of_a_cancelled_job_stop_when_the_store_refuses_the_leader() {
    for (n, path) in ANSWER_PATHS.into_iter().enumerate() {
        for (nodes, spread) in [(3, false), (5, false), (5, true)] {
            let seed = 700 + n as u64;
            println!("seed {seed}, {nodes} nodes, {spread}, {path:?}");
            let lost_leases = run_case(&Case {
                seed,
                nodes,
                spread,
                path,
                extra: ExtraFault::Nothing,
            });
            assert_eq!(
                lost_leases, 0,
                "leases expired although the old leader keeps answering agents"
            );
        }
    }
}

/// As the test above, with one more fault. Some of these faults let the agents' leases expire.
#[test]
fn tasks_of_a_cancelled_job_stop_when_another_fault_occurs_too() {
    let more = [
        (ExtraFault::AnsweringNodeCrashes, true),
        (ExtraFault::LeaderCrashes, true),
        (ExtraFault::ThirdNodeRestarts, true),
        (ExtraFault::ThirdNodeRestartsInOutage, true),
        (ExtraFault::PeersCutBeforeOutage, false),
        (ExtraFault::PeersCutInOutage, false),
        (ExtraFault::AgentsUnreachable, false),
        (ExtraFault::CloudDown, true),
        (ExtraFault::StoreServesOnlyAnsweringNode, true),
    ];
    for (n, (extra, leases_kept)) in more.into_iter().enumerate() {
        for nodes in [3, 5] {
            let path = [AnswerPath::Cancellation, AnswerPath::StatusRequest][n % 2];
            let seed = 720 + n as u64;
            println!("seed {seed}, {nodes} nodes, {path:?}, {extra:?}");
            let lost_leases = run_case(&Case {
                seed,
                nodes,
                spread: false,
                path,
                extra,
            });
            assert_eq!(
                lost_leases == 0,
                leases_kept,
                "{lost_leases} leases expired"
            );
        }
    }
}

/// The store serves only one node, which reaches no other node. That node must not confirm a cancellation as long as
/// another node may keep the tasks alive: the others answer agents with one another's lease votes and don't know of the
/// cancellation. The isolated node becomes the leader when the old leader's lease has expired, and confirms the
/// cancellation once the machines are returned.
#[test]
fn isolated_node_confirms_a_cancellation_only_after_the_tasks_are_gone() {
    for (seed, nodes) in [(740, 3), (741, 5)] {
        let (mut world, ids, old) = run_until_jobs_are_running(seed, nodes, false);
        let isolated = (old + 1) % nodes;
        let end = world.now + 60_000;
        for n in (0..nodes).filter(|n| *n != isolated) {
            world.cut_from_store(n, end);
            world.cut_pairs.push((n, isolated));
        }
        world.run_until(world.now + 500);
        let (from, mut confirmed_after) = (world.now, None);
        while world.now < end {
            world.user_asks(isolated, &ids[0], UserAction::Cancel);
            world.run_until(world.now + 400);
            if confirmed_after.is_none() && world.jobs[&ids[0]].cancelled_at.is_some() {
                confirmed_after = Some(world.now - from);
                assert_eq!(
                    world.on_machines(&ids[0]),
                    0,
                    "confirmed while tasks remain"
                );
            }
        }
        assert!(
            confirmed_after.is_some_and(|after| after > 3_000),
            "{confirmed_after:?}"
        );
        world.end_faults();
        world.run_until(world.now + 100_000);
    }
}

/// The store refuses two nodes, one of them the old leader. They used to redirect agents to each other until the
/// agents' leases expired, because one node still took the other for the leader.
#[test]
fn agents_of_nodes_refused_by_the_store_find_the_new_leader() {
    for (seed, spread) in [(750, false), (751, true)] {
        let (mut world, ids, old) = run_until_jobs_are_running(seed, 5, spread);
        let end = world.now + 40_000;
        world.cut_from_store(old, end);
        world.cut_from_store((old + 1) % 5, end);
        world.run_until(end - 1_000);
        assert_ne!(world.leader(), Some(old));
        let lost_leases = world
            .agents
            .values()
            .filter(|w| w.incarnation.0 > 1)
            .count();
        assert_eq!(lost_leases, 0, "leases expired");
        assert_eq!(world.on_machines(&ids[0]), 2);
    }
}

/// Users cancel jobs just as their first tasks are about to start. Once the leader or another node has confirmed a
/// cancellation, the leader must start no task of the job. The leader used to learn of changes only with its next tick,
/// and sent start commands before it.
#[test]
fn no_task_starts_after_its_cancellation_was_confirmed() {
    let (mut world, _, leader) = run_until_jobs_are_running(760, 3, false);
    for n in 0..240 {
        let mut spec = replicas(100 + n, 1);
        (spec.kind, spec.priority) = (Kind::Array, Priority::Normal);
        let id = spec.id.clone();
        world.add_job(spec);
        let node = (leader + n as usize % 2) % 3;
        while !world.jobs[&id].accepted {
            world.user_asks(node, &id, UserAction::Submit);
            world.run_until(world.now + 15);
        }
        world.run_until(world.now + 30 + u64::from(n) / 2);
        world.user_asks(node, &id, UserAction::Cancel);
        world.run_until(world.now + 700);
    }
    assert_eq!(world.starts_after_cancellation, vec![]);
    let cancelled = world
        .jobs
        .values()
        .filter(|t| t.cancelled_at.is_some())
        .count();
    assert!(cancelled > 200, "{cancelled} jobs were cancelled in time");
}

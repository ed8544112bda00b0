//! A user is told by one node that a job is cancelled while another goes on answering agents that it
//! doesn't know it. The store refuses the leader alone; another node confirms a cancellation;
//! then the service is down for all, for longer than cancelled tasks may remain, and the old leader goes
//! on by the lease votes of a majority.

use super::world::{Scenario, UserAction, World};
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::{JobSpec, JobState, Kind, Priority};

/// Replicas, which run until their job is cancelled.
pub fn replicas(n: u32, tasks: u32) -> JobSpec {
    let value = serde_json::json!({
        "id": format!("wk-{n:06}"), "reel": "standing", "crew": "blue", "rig": "standing",
        "precedence": "prod", "takes": tasks, "vcpus": 1.0, "gpus": 0.0, "memoryGb": 1.0,
        "pressing": "img-0", "pullGb": 0.5, "hulls": null, "berth": null, "together": false,
        "scatter": false, "driftwood": false, "expectedS": 0.0, "snapshotS": 0.0, "stowS": 0.0,
        "dueS": null});
    serde_json::from_value(value).expect("a job")
}

/// A world in which jobs of replicas run, and who leads it.
pub fn play_until_running(seed: u64, nodes: usize, spread: bool) -> (World, Vec<JobId>, usize) {
    let scenario = Scenario {
        nodes,
        spread,
        scripted: true,
        // As in the deployments: agents find an answer within a lease, whichever nodes they try.
        lease_s: if nodes > 3 { 12 } else { 6 },
        ..Scenario::default()
    };
    let mut world = World::of(seed, scenario);
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

/// How the user comes to be told.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Path {
    Withdrawal,
    Poll,
    RepeatedSubmission,
    Forwarded,
}

/// What else goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Also {
    Nothing,
    /// The node that told the user ends right after.
    TellerEnds,
    /// The old leader ends in the outage, and another node takes care of the agents.
    LeaderCrashes,
    /// A third node has just started again when the user is told.
    AnotherReturns,
    /// The same in the outage: it can't read the jobs, and its word would be worth nothing.
    AnotherReturnsLater,
    /// Nodes can't reach one another from the beginning, and the store goes later.
    NoLinks,
    /// Nor when the outage begins.
    LinksLost,
    /// Agents' reports arrive, and nothing reaches them.
    DeafWorkers,
    /// Nothing can be returned.
    NoCloud,
    /// The store serves only the node that tells the user, and that can't reach the old leader:
    /// this learns of the cancellation from those that were told of it, with their words.
    OnlyTellerServed,
}

struct Case {
    seed: u64,
    nodes: usize,
    spread: bool,
    path: Path,
    also: Also,
}

/// Asks until the user is told that a job is cancelled, or a moment has come.
fn ask_until_told(world: &mut World, node: usize, id: &JobId, path: Path, until: u64) {
    let action = match path {
        Path::Withdrawal | Path::Forwarded => UserAction::Cancel,
        Path::Poll => UserAction::Status,
        Path::RepeatedSubmission => UserAction::Submit,
    };
    while world.jobs[id].cancelled_at.is_none() && world.now < until {
        world.user_asks(node, id, action);
        world.run_until(world.now + 400);
    }
    assert!(
        world.jobs[id].cancelled_at.is_some(),
        "the user was not told"
    );
}

/// Plays a case. Returns how many agents lost their leases.
fn play(case: &Case) -> usize {
    let (mut world, ids, old) = play_until_running(case.seed, case.nodes, case.spread);
    let (node, also) = (|n: usize| (old + n) % case.nodes, case.also);
    let end = world.now + 75_000;
    if also == Also::NoLinks {
        world.cut_peer_links(end);
    }
    if also == Also::NoCloud {
        world.cloud.down = true;
    }
    world.cut_from_store(old, end);
    let teller = node(1);
    if case.path == Path::Forwarded {
        world.cut_from_store(teller, end);
    }
    if also == Also::OnlyTellerServed {
        world.cut_pairs.push((old, teller));
        (2..case.nodes).for_each(|n| world.cut_from_store(node(n), end));
    }
    world.run_until(world.now + 500);
    match case.path {
        Path::Withdrawal => {}
        Path::Poll | Path::RepeatedSubmission => world.cancel_without_waiting(node(2), &ids[0]),
        // The store refused it with the leader, and it has noticed that by now.
        Path::Forwarded => world.run_until(world.now + 800),
    }
    if also == Also::AnotherReturns {
        world.stop_node_for(node(2), 100);
    }
    // The old leader's lease must not have ended when the service goes.
    let patience = match (also, case.path) {
        (Also::NoLinks, _) => 6_000,
        (_, Path::Forwarded) => 900,
        _ => 1_600,
    };
    let latest = world.now + patience;
    ask_until_told(&mut world, teller, &ids[0], case.path, latest);
    if also == Also::TellerEnds {
        world.stop_node_for(teller, 90_000);
    }
    world.run_until(latest);
    let leads = world.leader();
    assert!(
        also == Also::NoLinks || leads == Some(old),
        "another leads: {leads:?}"
    );
    world.store.set_down(true, world.now);
    match also {
        Also::LinksLost => world.cut_peer_links(end),
        Also::AnotherReturnsLater => world.stop_node_for(node(2), 100),
        Also::DeafWorkers => {
            for agent in world.agents.values_mut() {
                agent.unreachable_until = end;
            }
        }
        _ => {}
    }
    world.run_until(world.now + 2_000);
    if also == Also::LeaderCrashes {
        world.stop_node_for(old, 90_000);
    }
    // The world checks the rule all the time. The outage is far longer than it allows.
    world.run_until(end);
    assert_eq!(world.on_machines(&ids[0]), 0);
    let lost = world
        .agents
        .values()
        .filter(|w| w.incarnation.0 > 1)
        .count();
    world.end_faults();
    world.run_until(world.now + 100_000);
    assert_eq!(world.jobs[&ids[0]].last, Some(JobState::Cancelled));
    assert_eq!(world.on_machines(&ids[1]), 2, "others run again");
    lost
}

/// The old leader learns of the cancellation, or answers no agent. (It went on for the whole outage.)
#[test]
fn a_cancellation_that_the_leader_can_not_see() {
    let paths = [
        Path::Withdrawal,
        Path::Poll,
        Path::RepeatedSubmission,
        Path::Forwarded,
    ];
    for (n, path) in paths.into_iter().enumerate() {
        for (nodes, spread) in [(3, false), (5, false), (5, true)] {
            let seed = 700 + n as u64;
            println!("seed {seed}, {nodes} nodes, {spread}, {path:?}");
            let lost = play(&Case {
                seed,
                nodes,
                spread,
                path,
                also: Also::Nothing,
            });
            assert_eq!(lost, 0, "the old leader went on, and others' work with it");
        }
    }
}

#[test]
fn a_cancellation_that_the_leader_can_not_see_and_more() {
    let more = [
        (Also::TellerEnds, true),
        (Also::LeaderCrashes, true),
        (Also::AnotherReturns, true),
        (Also::AnotherReturnsLater, true),
        (Also::NoLinks, false),
        (Also::LinksLost, false),
        (Also::DeafWorkers, false),
        (Also::NoCloud, true),
        (Also::OnlyTellerServed, true),
    ];
    for (n, (also, goes_on)) in more.into_iter().enumerate() {
        for nodes in [3, 5] {
            let path = [Path::Withdrawal, Path::Poll][n % 2];
            let seed = 720 + n as u64;
            println!("seed {seed}, {nodes} nodes, {path:?}, {also:?}");
            let lost = play(&Case {
                seed,
                nodes,
                spread: false,
                path,
                also,
            });
            assert_eq!(lost == 0, goes_on, "{lost} leases ran out");
        }
    }
}

/// A node that the store serves alone, and that reaches no other, tells nobody as long as another
/// may keep the tasks alive: the others live by one another's lease votes and don't know. It leads when the old
/// leader's lease has ended, and tells once the machines are returned.
#[test]
fn a_node_alone_tells_only_what_nobody_can_undo() {
    for (seed, nodes) in [(740, 3), (741, 5)] {
        let (mut world, ids, old) = play_until_running(seed, nodes, false);
        let alone = (old + 1) % nodes;
        let end = world.now + 60_000;
        for n in (0..nodes).filter(|n| *n != alone) {
            world.cut_from_store(n, end);
            world.cut_pairs.push((n, alone));
        }
        world.run_until(world.now + 500);
        let (from, mut told) = (world.now, None);
        while world.now < end {
            world.user_asks(alone, &ids[0], UserAction::Cancel);
            world.run_until(world.now + 400);
            if told.is_none() && world.jobs[&ids[0]].cancelled_at.is_some() {
                told = Some(world.now - from);
                assert_eq!(world.on_machines(&ids[0]), 0, "told too early");
            }
        }
        assert!(told.is_some_and(|after| after > 3_000), "{told:?}");
        world.end_faults();
        world.run_until(world.now + 100_000);
    }
}

/// Two nodes that the store refuses, the old leader one of them, sent agents to and fro between
/// them until their leases ran out: one still took the other for the leader.
#[test]
fn workers_of_refused_nodes_find_the_new_leader() {
    for (seed, spread) in [(750, false), (751, true)] {
        let (mut world, ids, old) = play_until_running(seed, 5, spread);
        let end = world.now + 40_000;
        world.cut_from_store(old, end);
        world.cut_from_store((old + 1) % 5, end);
        world.run_until(end - 1_000);
        assert_ne!(world.leader(), Some(old));
        let lost = world
            .agents
            .values()
            .filter(|w| w.incarnation.0 > 1)
            .count();
        assert_eq!(lost, 0, "leases ran out");
        assert_eq!(world.on_machines(&ids[0]), 2);
    }
}

/// Users call jobs off just as their first tasks are about to start: what the leader has told, or another
/// node, it starts nothing of. (It learned of changes with its next tick only, and sent starts before.)
#[test]
fn nothing_is_started_after_its_user_was_told() {
    let (mut world, _, leader) = play_until_running(760, 3, false);
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
    let called_off = world
        .jobs
        .values()
        .filter(|t| t.cancelled_at.is_some())
        .count();
    assert!(
        called_off > 200,
        "{called_off} jobs were called off in time"
    );
}

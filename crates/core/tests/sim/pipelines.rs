//! Pipelines of dependent jobs, with every fault: no task starts too early, and what needs a cancelled
//! job is cancelled with it. The store lowers its limits meanwhile.

use super::unfinished;
use super::world::store::Limits;
use super::world::{Fault, Scenario, UserAction, World};
use rudderreel_core::AdminRequest;
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::{JobSpec, JobState};

/// As low as they are announced anywhere.
const LOW: Limits = Limits {
    rps: 200,
    write_rps: 20,
    value_kb: 2,
    operations: 4,
    page: 10,
};

pub fn scenario(nodes: usize) -> Scenario {
    Scenario {
        nodes,
        jobs: 60,
        user_interval_ms: 300,
        pipelines: true,
        lower_limits: Some((60_000, LOW)),
        ..Scenario::default()
    }
}

/// A day with faults; returns how many jobs were cancelled with others.
pub fn play(seed: u64, scenario: Scenario) -> usize {
    println!("seed {seed}, {scenario:?}");
    let mut world = World::of(seed, scenario);
    world.random_faults = true;
    world.run_until(150_000);
    world.end_faults();
    world.run_until(500_000);
    assert_eq!(unfinished(&world), Vec::<String>::new(), "seed {seed}");
    assert_eq!(world.store.rejected, 0, "seed {seed}");
    world.check_starts();
    world.check_served();
    world.check_cancelled_together()
}

#[test]
fn pipelines_keep_the_rules_whatever_fails() {
    let cancelled: usize = (0..8).map(|n| play(900 + n, scenario(3))).sum();
    assert!(
        cancelled > 10,
        "{cancelled} jobs were cancelled with others"
    );
}

#[test]
fn pipelines_keep_the_rules_with_five_nodes() {
    let spread = |n: u64| Scenario {
        spread: n % 2 == 1,
        ..scenario(5)
    };
    let cancelled: usize = (0..6).map(|n| play(920 + n, spread(n))).sum();
    assert!(cancelled > 8, "{cancelled} jobs were cancelled with others");
}

/// Users call jobs off all the time, while nodes end, answers are lost and writes come late.
#[test]
fn cancellations_meet_the_ends_of_nodes_and_late_writes() {
    use Fault::*;
    let fault_kinds = vec![
        JobsCancelled,
        JobsCancelledAtCompletion,
        LeaderCrashes,
        NodeRestartsQuickly,
        LateWrites,
        LostAnswers,
        StoreRefusesLeader,
        RapidStatusRequests,
        InvalidRequests,
    ];
    let scenario = Scenario {
        fault_kinds,
        uneven_run_times: true,
        ..scenario(5)
    };
    let cancelled: usize = (0..4).map(|n| play(940 + n, scenario.clone())).sum();
    assert!(cancelled > 8, "{cancelled} jobs were cancelled with others");
}

/// Nothing announces the lower limits: what is rejected is split, and nothing is sent again unchanged
/// (the world fails the test if it is).
#[test]
fn limits_that_nobody_announced() {
    let scenario = Scenario {
        announced: false,
        ..scenario(3)
    };
    let mut rejected = 0;
    for seed in 960..964 {
        let mut world = World::of(seed, scenario.clone());
        world.random_faults = true;
        world.run_until(150_000);
        world.end_faults();
        world.run_until(500_000);
        assert_eq!(unfinished(&world), Vec::<String>::new(), "seed {seed}");
        rejected += world.store.rejected;
        world.check_cancelled_together();
    }
    assert!(rejected > 0, "the limits were not met");
}

/// A world in which nobody does anything by themselves.
pub fn scripted(seed: u64, nodes: usize) -> World {
    let scenario = Scenario {
        nodes,
        scripted: true,
        lease_s: if nodes > 3 { 12 } else { 6 },
        lower_limits: Some((0, LOW)),
        ..Scenario::default()
    };
    let mut world = World::of(seed, scenario);
    world.run_until(16_000);
    world
}

/// An array of one task that depends on others.
pub fn step(n: u32, needs: &[u32]) -> JobSpec {
    let id = |n: &u32| format!("wk-{n:06}");
    let value = serde_json::json!({
        "id": id(&n), "reel": "sweep", "crew": "blue", "rig": "sweep", "precedence": "normal",
        "takes": 1, "vcpus": 1.0, "gpus": 0.0, "memoryGb": 1.0, "pressing": "img-0",
        "pullGb": 0.5, "hulls": null, "berth": null, "together": false, "scatter": false,
        "driftwood": true, "expectedS": 4.0, "snapshotS": 0.0, "stowS": 0.0, "dueS": null,
        "awaits": needs.iter().map(id).collect::<Vec<_>>()});
    serde_json::from_value(value).expect("a job")
}

/// Submits a job until it is accepted.
pub fn submit(world: &mut World, node: usize, spec: JobSpec) -> JobId {
    let id = spec.id.clone();
    world.add_job(spec);
    for _ in 0..40 {
        if world.jobs[&id].accepted {
            return id;
        }
        world.user_asks(node, &id, UserAction::Submit);
        world.run_until(world.now + 300);
    }
    panic!("{id} was not accepted");
}

/// Withdraws a job until its user is told how it ended.
pub fn withdraw(world: &mut World, node: usize, id: &JobId) -> JobState {
    for _ in 0..60 {
        world.user_asks(node, id, UserAction::Cancel);
        world.run_until(world.now + 300);
        if let Some(state @ (JobState::Cancelled | JobState::Done)) = world.jobs[id].last {
            return state;
        }
    }
    panic!("the user of {id} was not told");
}

/// Asks about a job until there is an answer after now.
pub fn ask(world: &mut World, node: usize, id: &JobId) -> JobState {
    world.jobs.get_mut(id).expect("a job").last = None;
    for _ in 0..40 {
        world.user_asks(node, id, UserAction::Status);
        world.run_until(world.now + 100);
        if let Some(state) = world.jobs[id].last {
            return state;
        }
    }
    panic!("no answer about {id}");
}

/// Each job along a chain is started soon after the one before it is done, although the store
/// takes few changes.
#[test]
fn a_chain_goes_on_promptly() {
    let mut world = scripted(1_001, 3);
    let mut ids = Vec::new();
    for n in 1..7 {
        let needs: Vec<u32> = (n > 1).then(|| n - 1).into_iter().collect();
        ids.push(submit(&mut world, n as usize % 3, step(n, &needs)));
    }
    world.run_until(world.now + 70_000);
    for id in &ids {
        assert_eq!(ask(&mut world, 0, id), JobState::Done, "{id}");
        let (ready, begun) = (world.jobs[id].ready_at, world.jobs[id].begun_at);
        let waited = begun.expect("begun") - ready.expect("ready");
        assert!(*id == ids[0] || waited < 3_000, "{id} waited {waited} ms");
    }
}

/// The whole of a chain longer than a transaction is told to be cancelled as soon as its first job is,
/// by any node, also if the leader ends at once.
#[test]
fn a_chain_longer_than_a_transaction_is_cancelled_with_its_first_job() {
    for (seed, leader_ends) in [(1_010, false), (1_011, true), (1_012, true)] {
        let mut world = scripted(seed, 3);
        let ids: Vec<JobId> = (1..60)
            .map(|n| {
                let needs: Vec<u32> = (n > 1).then(|| n - 1).into_iter().collect();
                submit(&mut world, n as usize % 3, step(n, &needs))
            })
            // The first ones may be over before the last is submitted.
            .collect();
        let first = (ids.iter())
            .position(|id| ask(&mut world, 0, id) != JobState::Done)
            .expect("an unfinished job");
        let leader = world.leader().expect("a leader");
        let teller = (leader + 1) % 3;
        let state = withdraw(&mut world, teller, &ids[first + 1]);
        assert_eq!(state, JobState::Cancelled);
        if leader_ends {
            world.stop_node_for(leader, 60_000);
        }
        let node = (leader + 2) % 3;
        for id in ids[first + 2..].iter().rev() {
            assert_eq!(ask(&mut world, node, id), JobState::Cancelled, "{id}");
        }
        world.end_faults();
        world.run_until(world.now + 60_000);
        assert_eq!(world.check_cancelled_together(), ids.len() - first - 2);
    }
}

/// Also of jobs that nobody asks about the records say that they are cancelled, soon and whoever leads.
#[test]
fn the_records_of_dependents_are_written_though_nobody_asks() {
    for (seed, leader_ends) in [(1_015, false), (1_016, true)] {
        let mut world = scripted(seed, 3);
        let first = submit(&mut world, 0, step(1, &[]));
        for n in 2..12 {
            submit(&mut world, 1, step(n, &[n - 1]));
        }
        let leader = world.leader().expect("a leader");
        assert_eq!(
            withdraw(&mut world, (leader + 1) % 3, &first),
            JobState::Cancelled
        );
        if leader_ends {
            world.stop_node_for(leader, 30_000);
        }
        world.run_until(world.now + 15_000);
        assert_eq!(world.check_cancelled_together(), 10);
    }
}

/// Administrators are told what a job waits for, and with what it was cancelled.
#[test]
fn explanations_name_dependencies() {
    let mut world = scripted(1_018, 3);
    let first = submit(&mut world, 0, step(1, &[]));
    let second = submit(&mut world, 1, step(2, &[1]));
    let explain = |world: &mut World, id: &JobId| world.admin(2, AdminRequest::Job(id.clone())).1;
    let why = explain(&mut world, &second);
    assert_eq!(why["waits_for"], serde_json::json!([first]));
    assert!(why["why"].as_str().expect("text").contains("depends on"));
    let why = explain(&mut world, &first);
    assert_eq!(why["needed_by"], serde_json::json!([second]));
    assert_eq!(withdraw(&mut world, 0, &first), JobState::Cancelled);
    world.run_until(world.now + 10_000);
    let why = explain(&mut world, &second);
    assert_eq!(why["cancelled_with"], serde_json::json!(first));
}

/// A job that names a cancelled one is accepted, and is cancelled from the start.
#[test]
fn naming_a_cancelled_job_is_accepted_as_cancelled() {
    let mut world = scripted(1_020, 3);
    let first = submit(&mut world, 0, step(1, &[]));
    assert_eq!(withdraw(&mut world, 0, &first), JobState::Cancelled);
    for (node, n) in [(1, 2), (2, 3)] {
        let id = submit(&mut world, node, step(n, &[n - 1]));
        assert_eq!(world.jobs[&id].last, Some(JobState::Cancelled), "{id}");
    }
}

/// A node that was cut off while a job was cancelled takes submissions that name it as soon as the state
/// service serves it again, before it hears of what it missed: none is called queued.
#[test]
fn a_node_that_missed_the_cancellation_accepts_nothing_as_queued() {
    for seed in 1_060..1_070 {
        let mut world = scripted(seed, 3);
        let first = submit(&mut world, 0, step(1, &[]));
        submit(&mut world, 1, step(2, &[1]));
        world.run_until(world.now + 500);
        let leader = world.leader().expect("a leader");
        let (teller, cut) = ((leader + 1) % 3, (leader + 2) % 3);
        let end = world.now + 40_000;
        world.cut_from_all_but_agents(cut, end);
        assert_eq!(withdraw(&mut world, teller, &first), JobState::Cancelled);
        world.run_until(end);
        for n in 0..150 {
            let spec = step(100 + n, &[2]);
            let id = spec.id.clone();
            world.add_job(spec);
            world.user_asks(cut, &id, UserAction::Submit);
            // The world fails the test if it is called queued.
            world.run_until(world.now + 3);
        }
        world.run_until(world.now + 2_000);
        let told = (100..250).filter(|n| {
            let id: JobId = format!("wk-{n:06}").parse().expect("an id");
            world.jobs[&id].accepted
        });
        assert!(told.count() > 3, "hardly any was accepted");
    }
}

/// What was done when its user wanted to cancel it lets the jobs after it go on.
#[test]
fn a_withdrawal_that_comes_too_late_leaves_dependents_alone() {
    let mut world = scripted(1_030, 3);
    let first = submit(&mut world, 0, step(1, &[]));
    let second = submit(&mut world, 1, step(2, &[1]));
    while ask(&mut world, 0, &first) != JobState::Done {
        world.run_until(world.now + 500);
    }
    assert_eq!(withdraw(&mut world, 2, &first), JobState::Done);
    world.run_until(world.now + 25_000);
    assert_eq!(ask(&mut world, 0, &second), JobState::Done);
}

/// Submissions and the cancellation of what they name pass each other at different nodes.
#[test]
fn a_submission_races_with_a_cancellation() {
    let mut world = scripted(1_040, 5);
    for round in 0..30u32 {
        let (first, second) = (round * 2 + 1, round * 2 + 2);
        let first = submit(&mut world, 0, step(first, &[]));
        let spec = step(second, &[second - 1]);
        let second = spec.id.clone();
        world.add_job(spec);
        world.user_asks(1, &first, UserAction::Cancel);
        world.run_until(world.now + u64::from(round));
        world.user_asks(2, &second, UserAction::Submit);
        world.run_until(world.now + 2_000);
        withdraw(&mut world, 1, &first);
        while !world.jobs[&second].accepted {
            world.user_asks(2, &second, UserAction::Submit);
            world.run_until(world.now + 300);
        }
        let cancelled = world.jobs[&first].last == Some(JobState::Cancelled);
        if cancelled {
            assert_eq!(ask(&mut world, 3, &second), JobState::Cancelled, "{second}");
        }
    }
    assert!(world.check_cancelled_together() > 20);
}

/// A pipeline in the gap: one node confirms the cancellation, the store goes for longer than
/// cancelled work may remain, and right after that every node must know of the dependents.
#[test]
fn dependents_are_never_called_queued_after_an_outage() {
    for (seed, nodes) in [(1_050, 3), (1_051, 5)] {
        let mut world = scripted(seed, nodes);
        let first = submit(&mut world, 0, step(1, &[]));
        let ids: Vec<JobId> = (2..6)
            .map(|n| submit(&mut world, 0, step(n, &[n - 1])))
            .collect();
        let leader = world.leader().expect("a leader");
        let end = world.now + 60_000;
        world.cut_from_store(leader, end);
        world.run_until(world.now + 500);
        let told = withdraw(&mut world, (leader + 1) % nodes, &first);
        assert_eq!(told, JobState::Cancelled);
        world.store.set_down(true, world.now);
        world.run_until(world.now + 40_000);
        world.store.set_down(false, world.now);
        // The world fails the test if any is called queued now, or is accepted as queued.
        for node in 0..nodes {
            let n = 100 + node as u32;
            let spec = step(n, &[1, 5]);
            world.add_job(spec.clone());
            world.user_asks(node, &spec.id, UserAction::Submit);
            for id in &ids {
                world.user_asks(node, id, UserAction::Status);
            }
        }
        world.run_until(world.now + 3_000);
        world.end_faults();
        world.run_until(world.now + 40_000);
        for id in &ids {
            assert_eq!(ask(&mut world, 0, id), JobState::Cancelled, "{id}");
        }
    }
}

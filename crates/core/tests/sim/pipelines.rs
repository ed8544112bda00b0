//! Pipelines of dependent jobs, with every fault: no task starts too early, and a job that depends on a cancelled job
//! is cancelled with it. The store lowers its limits during the runs.

use super::unfinished;
use super::world::store::Limits;
use super::world::{Fault, Scenario, UserAction, World};
use rudderreel_core::AdminRequest;
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::{JobSpec, JobState};

/// The lowest limits that are announced in any deployment.
const LOW_LIMITS: Limits = Limits {
    rps: 200,
    write_rps: 20,
    value_kb: 2,
    operations: 4,
    page: 10,
};

/// Returns a scenario with pipelines, in which the store announces lower limits and enforces them after a minute.
pub fn scenario(nodes: usize) -> Scenario {
    Scenario {
        nodes,
        jobs: 60,
        user_interval_ms: 300,
        pipelines: true,
        lower_limits: Some((60_000, LOW_LIMITS)),
        ..Scenario::default()
    }
}

/// Runs a scenario with random faults, then without faults until all jobs must be finished. Returns the number of jobs
/// that were cancelled only because of a dependency.
pub fn run_with_faults(seed: u64, scenario: Scenario) -> usize {
    println!("seed {seed}, {scenario:?}");
    let mut world = World::with_scenario(seed, scenario);
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
fn pipeline_rules_hold_under_random_faults() {
    let cancelled: usize = (0..8).map(|n| run_with_faults(900 + n, scenario(3))).sum();
    assert!(
        cancelled > 10,
        "{cancelled} jobs were cancelled with others"
    );
}

#[test]
fn pipeline_rules_hold_under_random_faults_with_five_nodes() {
    let spread = |n: u64| Scenario {
        spread: n % 2 == 1,
        ..scenario(5)
    };
    let cancelled: usize = (0..6).map(|n| run_with_faults(920 + n, spread(n))).sum();
    assert!(cancelled > 8, "{cancelled} jobs were cancelled with others");
}

/// Users cancel jobs all the time while nodes crash, answers are lost and writes are late.
#[test]
fn pipeline_rules_hold_when_cancellations_overlap_with_crashes_and_late_writes() {
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
    let cancelled: usize = (0..4)
        .map(|n| run_with_faults(940 + n, scenario.clone()))
        .sum();
    assert!(cancelled > 8, "{cancelled} jobs were cancelled with others");
}

/// The settings don't announce the lower limits: a rejected transaction must be split and must not be sent again
/// unchanged (the world fails the test if it is).
#[test]
fn rejected_transactions_are_split_when_lower_limits_are_not_announced() {
    let scenario = Scenario {
        announced: false,
        ..scenario(3)
    };
    let mut rejected = 0;
    for seed in 960..964 {
        let mut world = World::with_scenario(seed, scenario.clone());
        world.random_faults = true;
        world.run_until(150_000);
        world.end_faults();
        world.run_until(500_000);
        assert_eq!(unfinished(&world), Vec::<String>::new(), "seed {seed}");
        rejected += world.store.rejected;
        world.check_cancelled_together();
    }
    assert!(rejected > 0, "no transaction exceeded the limits");
}

/// Returns a world in which users do only what the test makes them do.
pub fn scripted_world(seed: u64, nodes: usize) -> World {
    let scenario = Scenario {
        nodes,
        scripted: true,
        lease_s: if nodes > 3 { 12 } else { 6 },
        lower_limits: Some((0, LOW_LIMITS)),
        ..Scenario::default()
    };
    let mut world = World::with_scenario(seed, scenario);
    world.run_until(16_000);
    world
}

/// Returns an array of one task that depends on other jobs.
pub fn single_task_job(n: u32, needs: &[u32]) -> JobSpec {
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

/// Repeats the cancellation of a job until its user is answered that it has ended, and returns its final state.
pub fn cancel(world: &mut World, node: usize, id: &JobId) -> JobState {
    for _ in 0..60 {
        world.user_asks(node, id, UserAction::Cancel);
        world.run_until(world.now + 300);
        if let Some(state @ (JobState::Cancelled | JobState::Done)) = world.jobs[id].last {
            return state;
        }
    }
    panic!("no answer says that {id} has ended");
}

/// Queries the state of a job until a new answer arrives.
pub fn query_state(world: &mut World, node: usize, id: &JobId) -> JobState {
    world.jobs.get_mut(id).expect("a job").last = None;
    for _ in 0..40 {
        world.user_asks(node, id, UserAction::Status);
        world.run_until(world.now + 100);
        if let Some(state) = world.jobs[id].last {
            return state;
        }
    }
    panic!("no status answer for {id}");
}

/// Each job of a chain must start soon after the one before it is done, although the store allows few changes per
/// transaction and per second.
#[test]
fn each_job_of_a_chain_starts_soon_after_its_dependency_is_done() {
    let mut world = scripted_world(1_001, 3);
    let mut ids = Vec::new();
    for n in 1..7 {
        let needs: Vec<u32> = (n > 1).then(|| n - 1).into_iter().collect();
        ids.push(submit(
            &mut world,
            n as usize % 3,
            single_task_job(n, &needs),
        ));
    }
    world.run_until(world.now + 70_000);
    for id in &ids {
        assert_eq!(query_state(&mut world, 0, id), JobState::Done, "{id}");
        let (ready, begun) = (world.jobs[id].ready_at, world.jobs[id].begun_at);
        let waited = begun.expect("begun") - ready.expect("ready");
        assert!(*id == ids[0] || waited < 3_000, "{id} waited {waited} ms");
    }
}

/// As soon as the first job of a chain is cancelled, every node must answer that the whole chain is, also if the chain
/// has more jobs than a transaction may change and if the leader crashes at once.
#[test]
fn a_chain_longer_than_a_transaction_is_cancelled_with_its_first_job() {
    for (seed, leader_crashes) in [(1_010, false), (1_011, true), (1_012, true)] {
        let mut world = scripted_world(seed, 3);
        let ids: Vec<JobId> = (1..60)
            .map(|n| {
                let needs: Vec<u32> = (n > 1).then(|| n - 1).into_iter().collect();
                submit(&mut world, n as usize % 3, single_task_job(n, &needs))
            })
            // The first jobs may have ended before the last one is submitted.
            .collect();
        let first = (ids.iter())
            .position(|id| query_state(&mut world, 0, id) != JobState::Done)
            .expect("an unfinished job");
        let leader = world.leader().expect("a leader");
        let answering_node = (leader + 1) % 3;
        let state = cancel(&mut world, answering_node, &ids[first + 1]);
        assert_eq!(state, JobState::Cancelled);
        if leader_crashes {
            world.stop_node_for(leader, 60_000);
        }
        let node = (leader + 2) % 3;
        for id in ids[first + 2..].iter().rev() {
            assert_eq!(
                query_state(&mut world, node, id),
                JobState::Cancelled,
                "{id}"
            );
        }
        world.end_faults();
        world.run_until(world.now + 60_000);
        assert_eq!(world.check_cancelled_together(), ids.len() - first - 2);
    }
}

/// The records of dependents must soon say that they are cancelled, whichever node leads, also if no user asks about
/// the jobs.
#[test]
fn records_of_dependents_are_cancelled_without_a_status_request() {
    for (seed, leader_crashes) in [(1_015, false), (1_016, true)] {
        let mut world = scripted_world(seed, 3);
        let first = submit(&mut world, 0, single_task_job(1, &[]));
        for n in 2..12 {
            submit(&mut world, 1, single_task_job(n, &[n - 1]));
        }
        let leader = world.leader().expect("a leader");
        assert_eq!(
            cancel(&mut world, (leader + 1) % 3, &first),
            JobState::Cancelled
        );
        if leader_crashes {
            world.stop_node_for(leader, 30_000);
        }
        world.run_until(world.now + 15_000);
        assert_eq!(world.check_cancelled_together(), 10);
    }
}

/// The answers to administrators name the jobs that a job waits for, and the job with which it was cancelled.
#[test]
fn admin_answers_name_dependencies() {
    let mut world = scripted_world(1_018, 3);
    let first = submit(&mut world, 0, single_task_job(1, &[]));
    let second = submit(&mut world, 1, single_task_job(2, &[1]));
    let job_answer =
        |world: &mut World, id: &JobId| world.admin(2, AdminRequest::Job(id.clone())).1;
    let answer = job_answer(&mut world, &second);
    assert_eq!(answer["waits_for"], serde_json::json!([first]));
    assert!(answer["why"].as_str().expect("text").contains("depends on"));
    let answer = job_answer(&mut world, &first);
    assert_eq!(answer["needed_by"], serde_json::json!([second]));
    assert_eq!(cancel(&mut world, 0, &first), JobState::Cancelled);
    world.run_until(world.now + 10_000);
    let answer = job_answer(&mut world, &second);
    assert_eq!(answer["cancelled_with"], serde_json::json!(first));
}

/// A job that depends on a cancelled one is accepted, and is cancelled from the start.
#[test]
fn job_that_depends_on_a_cancelled_job_is_accepted_as_cancelled() {
    let mut world = scripted_world(1_020, 3);
    let first = submit(&mut world, 0, single_task_job(1, &[]));
    assert_eq!(cancel(&mut world, 0, &first), JobState::Cancelled);
    for (node, n) in [(1, 2), (2, 3)] {
        let id = submit(&mut world, node, single_task_job(n, &[n - 1]));
        assert_eq!(world.jobs[&id].last, Some(JobState::Cancelled), "{id}");
    }
}

/// A node that was cut off while a job was cancelled accepts submissions that depend on the job as soon as the store
/// serves the node again, before the node receives the changes that it missed. It must answer none of them as queued.
#[test]
fn node_that_missed_a_cancellation_reports_no_dependent_as_queued() {
    for seed in 1_060..1_070 {
        let mut world = scripted_world(seed, 3);
        let first = submit(&mut world, 0, single_task_job(1, &[]));
        submit(&mut world, 1, single_task_job(2, &[1]));
        world.run_until(world.now + 500);
        let leader = world.leader().expect("a leader");
        let (answering_node, cut) = ((leader + 1) % 3, (leader + 2) % 3);
        let end = world.now + 40_000;
        world.cut_from_all_but_agents(cut, end);
        assert_eq!(
            cancel(&mut world, answering_node, &first),
            JobState::Cancelled
        );
        world.run_until(end);
        for n in 0..150 {
            let spec = single_task_job(100 + n, &[2]);
            let id = spec.id.clone();
            world.add_job(spec);
            world.user_asks(cut, &id, UserAction::Submit);
            // The world fails the test if the answer is that the job is queued.
            world.run_until(world.now + 3);
        }
        world.run_until(world.now + 2_000);
        let accepted = (100..250).filter(|n| {
            let id: JobId = format!("wk-{n:06}").parse().expect("an id");
            world.jobs[&id].accepted
        });
        assert!(accepted.count() > 3, "at most 3 jobs were accepted");
    }
}

/// If a job was already done when its user cancels it, its dependents must run.
#[test]
fn cancelling_a_finished_job_does_not_cancel_its_dependents() {
    let mut world = scripted_world(1_030, 3);
    let first = submit(&mut world, 0, single_task_job(1, &[]));
    let second = submit(&mut world, 1, single_task_job(2, &[1]));
    while query_state(&mut world, 0, &first) != JobState::Done {
        world.run_until(world.now + 500);
    }
    assert_eq!(cancel(&mut world, 2, &first), JobState::Done);
    world.run_until(world.now + 25_000);
    assert_eq!(query_state(&mut world, 0, &second), JobState::Done);
}

/// A job is submitted at one node while the job that it depends on is cancelled at another.
#[test]
fn dependent_submitted_during_a_cancellation_is_cancelled() {
    let mut world = scripted_world(1_040, 5);
    for round in 0..30u32 {
        let (first, second) = (round * 2 + 1, round * 2 + 2);
        let first = submit(&mut world, 0, single_task_job(first, &[]));
        let spec = single_task_job(second, &[second - 1]);
        let second = spec.id.clone();
        world.add_job(spec);
        world.user_asks(1, &first, UserAction::Cancel);
        world.run_until(world.now + u64::from(round));
        world.user_asks(2, &second, UserAction::Submit);
        world.run_until(world.now + 2_000);
        cancel(&mut world, 1, &first);
        while !world.jobs[&second].accepted {
            world.user_asks(2, &second, UserAction::Submit);
            world.run_until(world.now + 300);
        }
        let cancelled = world.jobs[&first].last == Some(JobState::Cancelled);
        if cancelled {
            assert_eq!(
                query_state(&mut world, 3, &second),
                JobState::Cancelled,
                "{second}"
            );
        }
    }
    assert!(world.check_cancelled_together() > 20);
}

/// One node confirms the cancellation of a job, and the store is down for longer than cancelled tasks may remain. Right
/// after the outage every node must know that the dependents are cancelled.
#[test]
fn dependents_of_a_cancelled_job_are_not_reported_as_queued_after_an_outage() {
    for (seed, nodes) in [(1_050, 3), (1_051, 5)] {
        let mut world = scripted_world(seed, nodes);
        let first = submit(&mut world, 0, single_task_job(1, &[]));
        let ids: Vec<JobId> = (2..6)
            .map(|n| submit(&mut world, 0, single_task_job(n, &[n - 1])))
            .collect();
        let leader = world.leader().expect("a leader");
        let end = world.now + 60_000;
        world.cut_from_store(leader, end);
        world.run_until(world.now + 500);
        let final_state = cancel(&mut world, (leader + 1) % nodes, &first);
        assert_eq!(final_state, JobState::Cancelled);
        world.store.set_down(true, world.now);
        world.run_until(world.now + 40_000);
        world.store.set_down(false, world.now);
        // The world fails the test if a node now answers that a dependent is queued, or accepts one as queued.
        for node in 0..nodes {
            let n = 100 + node as u32;
            let spec = single_task_job(n, &[1, 5]);
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
            assert_eq!(query_state(&mut world, 0, id), JobState::Cancelled, "{id}");
        }
    }
}

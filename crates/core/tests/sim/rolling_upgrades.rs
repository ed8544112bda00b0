//! A node restarts with the version in production after jobs with dependencies were accepted. That version neither
//! knows nor stores dependencies. Whatever such a node does, no task may start too early, and a job that depends on a
//! cancelled job must not be answered as queued and must leave no tasks on machines.

use super::pipelines::{cancel, query_state, scripted_world, single_task_job, submit};
use super::unfinished;
use super::world::{NodeVersion, Scenario, UserAction, World};
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::JobState;
use std::collections::BTreeSet;

/// A time longer than the tasks of a cancelled job may remain.
const AFTER_CANCEL_TIME_MS: u64 = 25_000;
/// A run time longer than any test.
const LONG_RUN_MS: u64 = 600_000;

/// Returns a world with a job that does not end, its id, and the ids of a chain of two jobs that depend on it.
fn world_with_chain(seed: u64) -> (World, JobId, Vec<JobId>) {
    let mut world = scripted_world(seed, 3);
    let root = submit(&mut world, 0, single_task_job(1, &[]));
    let chain = vec![
        submit(&mut world, 1, single_task_job(2, &[1])),
        submit(&mut world, 2, single_task_job(3, &[2])),
    ];
    for job in world.jobs.values_mut() {
        job.run_ms = (LONG_RUN_MS, 0);
    }
    world.collects_violations = true;
    (world, root, chain)
}

/// Checks that no rule was violated.
fn assert_no_violations(world: &World) {
    assert_eq!(world.violations, BTreeSet::new());
}

/// Stops all nodes; the one that restarts first has the version in production.
fn restart_with_production_leader(world: &mut World, old: usize) {
    for node in (0..3).filter(|node| *node != old) {
        world.stop_node_for(node, 12_000);
    }
    world.restart_as(old, NodeVersion::Production, 200);
    world.run_until(world.now + 10_000);
}

/// A leader of the old version must not start the dependents of a job that is not done.
#[test]
fn leader_of_the_old_version_starts_no_dependent_too_early() {
    for (seed, old) in [(2_001, 0), (2_002, 1), (2_003, 2)] {
        let (mut world, root, _) = world_with_chain(seed);
        restart_with_production_leader(&mut world, old);
        world.run_until(world.now + 30_000);
        assert_ne!(
            query_state(&mut world, (old + 1) % 3, &root),
            JobState::Done
        );
        assert_no_violations(&world);
    }
}

/// Once the cancelled tasks must be gone, a leader of the old version must not answer that a dependent is queued.
#[test]
fn node_of_the_old_version_reports_no_dependent_of_a_cancelled_job_as_queued() {
    for (seed, old) in [(2_011, 0), (2_012, 1), (2_013, 2)] {
        let (mut world, root, chain) = world_with_chain(seed);
        restart_with_production_leader(&mut world, old);
        let final_state = cancel(&mut world, old, &root);
        assert_eq!(final_state, JobState::Cancelled);
        world.run_until(world.now + AFTER_CANCEL_TIME_MS);
        for id in &chain {
            world.user_asks(old, id, UserAction::Status);
        }
        world.run_until(world.now + 10_000);
        assert_no_violations(&world);
        for id in &chain {
            assert_eq!(
                query_state(&mut world, (old + 1) % 3, id),
                JobState::Cancelled
            );
        }
    }
}

/// A leader of the old version must stop the tasks of the jobs that depend on a cancelled job.
#[test]
fn leader_of_the_old_version_leaves_no_task_of_a_cancelled_chain_on_machines() {
    for (seed, old) in [(2_021, 0), (2_022, 1), (2_023, 2)] {
        let (mut world, root, chain) = world_with_chain(seed);
        restart_with_production_leader(&mut world, old);
        assert_eq!(cancel(&mut world, old, &root), JobState::Cancelled);
        world.run_until(world.now + AFTER_CANCEL_TIME_MS);
        assert_no_violations(&world);
        for id in &chain {
            assert_eq!(world.on_machines(id), 0, "{id}");
        }
    }
}

/// The old version would accept a job without its dependencies, so it must not accept any job.
#[test]
fn node_of_the_old_version_accepts_no_submission() {
    let (mut world, _, _) = world_with_chain(2_031);
    let leader = world.leader().expect("a leader");
    let old = (leader + 1) % 3;
    world.restart_as(old, NodeVersion::Production, 200);
    world.run_until(world.now + 15_000);
    let spec = single_task_job(4, &[1]);
    world.add_job(spec.clone());
    world.user_asks(old, &spec.id, UserAction::Submit);
    world.run_until(world.now + 5_000);
    assert!(!world.jobs[&spec.id].accepted);
    submit(&mut world, leader, spec);
    assert_no_violations(&world);
}

/// The same if the first job that names dependencies is submitted when these are done: the dependencies are not stored
/// then, but the submission shows that users name dependencies.
#[test]
fn node_of_the_old_version_accepts_no_submission_when_all_dependencies_were_done() {
    let mut world = scripted_world(2_032, 3);
    submit(&mut world, 0, single_task_job(1, &[]));
    world.run_until(world.now + 15_000);
    submit(&mut world, 1, single_task_job(2, &[1]));
    let old = (world.leader().expect("a leader") + 1) % 3;
    world.restart_as(old, NodeVersion::Production, 200);
    world.run_until(world.now + 15_000);
    let spec = single_task_job(3, &[2]);
    world.add_job(spec.clone());
    world.user_asks(old, &spec.id, UserAction::Submit);
    world.run_until(world.now + 5_000);
    assert!(!world.jobs[&spec.id].accepted);
}

/// A node of the old version that the store refuses forwards submissions without their dependencies. They must not be
/// accepted.
#[test]
fn submission_forwarded_by_a_node_of_the_old_version_is_not_accepted() {
    let (mut world, _, _) = world_with_chain(2_033);
    let old = (world.leader().expect("a leader") + 1) % 3;
    world.restart_as(old, NodeVersion::Production, 200);
    world.run_until(world.now + 15_000);
    world.cut_from_store(old, world.now + 10_000);
    world.run_until(world.now + 3_000);
    let spec = single_task_job(4, &[1]);
    world.add_job(spec.clone());
    world.user_asks(old, &spec.id, UserAction::Submit);
    world.run_until(world.now + 5_000);
    assert!(!world.jobs[&spec.id].accepted);
    assert_no_violations(&world);
}

/// Runs a rolling upgrade with every fault, in which some nodes restart with the old version.
pub fn run_with_faults(seed: u64, nodes: usize) {
    let scenario = Scenario {
        nodes,
        jobs: 60,
        user_interval_ms: 300,
        pipelines: true,
        upgrade: true,
        restarts_old_version: true,
        ..Scenario::default()
    };
    println!("seed {seed}, {scenario:?}");
    let mut world = World::with_scenario(seed, scenario);
    world.run_until(50_000);
    world.random_faults = true;
    world.run_until(200_000);
    world.end_faults();
    world.run_until(550_000);
    assert_eq!(unfinished(&world), Vec::<String>::new(), "seed {seed}");
    world.check_served();
    world.check_cancelled_together();
}

#[test]
fn pipeline_rules_hold_when_nodes_restart_with_the_old_version() {
    for seed in 2_050..2_058 {
        run_with_faults(seed, if seed % 2 == 0 { 3 } else { 5 });
    }
}

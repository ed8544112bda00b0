//! A node comes back with the version in production after jobs with dependencies were accepted. That
//! version neither knows nor keeps dependencies. Whatever it does then, no task starts too early, and
//! what needs a cancelled job is not called queued and leaves nothing on machines.

use super::pipelines::{ask, scripted, step, submit, withdraw};
use super::unfinished;
use super::world::{NodeVersion, Scenario, UserAction, World};
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::JobState;
use std::collections::BTreeSet;

/// Longer than a cancelled job's tasks may remain.
const CANCEL_OVER_MS: u64 = 25_000;
/// Longer than a test.
const ENDLESS_MS: u64 = 600_000;

/// A world with a job that goes on, and a chain of two that need it.
fn with_a_chain(seed: u64) -> (World, JobId, Vec<JobId>) {
    let mut world = scripted(seed, 3);
    let root = submit(&mut world, 0, step(1, &[]));
    let chain = vec![
        submit(&mut world, 1, step(2, &[1])),
        submit(&mut world, 2, step(3, &[2])),
    ];
    for told in world.jobs.values_mut() {
        told.run_ms = (ENDLESS_MS, 0);
    }
    world.collects_violations = true;
    (world, root, chain)
}

/// No rule was broken since.
fn assert_kept(world: &World) {
    assert_eq!(world.violations, BTreeSet::new());
}

/// All nodes end, and the one that is back first has the version in production.
fn led_by_production(world: &mut World, old: usize) {
    for node in (0..3).filter(|node| *node != old) {
        world.stop_node_for(node, 12_000);
    }
    world.restart_as(old, NodeVersion::Production, 200);
    world.run_until(world.now + 10_000);
}

#[test]
fn a_leader_of_the_old_version_starts_nothing_too_early() {
    for (seed, old) in [(2_001, 0), (2_002, 1), (2_003, 2)] {
        let (mut world, root, _) = with_a_chain(seed);
        led_by_production(&mut world, old);
        world.run_until(world.now + 30_000);
        assert_ne!(ask(&mut world, (old + 1) % 3, &root), JobState::Done);
        assert_kept(&world);
    }
}

#[test]
fn nothing_is_called_queued_by_a_node_of_the_old_version_after_its_dependency_was_cancelled() {
    for (seed, old) in [(2_011, 0), (2_012, 1), (2_013, 2)] {
        let (mut world, root, chain) = with_a_chain(seed);
        led_by_production(&mut world, old);
        let told = withdraw(&mut world, old, &root);
        assert_eq!(told, JobState::Cancelled);
        world.run_until(world.now + CANCEL_OVER_MS);
        for id in &chain {
            world.user_asks(old, id, UserAction::Status);
        }
        world.run_until(world.now + 10_000);
        assert_kept(&world);
        for id in &chain {
            assert_eq!(ask(&mut world, (old + 1) % 3, id), JobState::Cancelled);
        }
    }
}

#[test]
fn nothing_of_a_cancelled_chain_is_left_on_machines_by_a_leader_of_the_old_version() {
    for (seed, old) in [(2_021, 0), (2_022, 1), (2_023, 2)] {
        let (mut world, root, chain) = with_a_chain(seed);
        led_by_production(&mut world, old);
        assert_eq!(withdraw(&mut world, old, &root), JobState::Cancelled);
        world.run_until(world.now + CANCEL_OVER_MS);
        assert_kept(&world);
        for id in &chain {
            assert_eq!(world.on_machines(id), 0, "{id}");
        }
    }
}

/// What the old version accepts it accepts without its dependencies. So it accepts nothing.
#[test]
fn a_node_of_the_old_version_accepts_nothing() {
    let (mut world, _, _) = with_a_chain(2_031);
    let leader = world.leader().expect("a leader");
    let old = (leader + 1) % 3;
    world.restart_as(old, NodeVersion::Production, 200);
    world.run_until(world.now + 15_000);
    let spec = step(4, &[1]);
    world.add_job(spec.clone());
    world.user_asks(old, &spec.id, UserAction::Submit);
    world.run_until(world.now + 5_000);
    assert!(!world.jobs[&spec.id].accepted);
    submit(&mut world, leader, spec);
    assert_kept(&world);
}

/// The same if the first job that names dependencies comes when these are done: they are not stored then,
/// but it shows that users name some.
#[test]
fn a_node_of_the_old_version_accepts_nothing_also_if_all_dependencies_were_done() {
    let mut world = scripted(2_032, 3);
    submit(&mut world, 0, step(1, &[]));
    world.run_until(world.now + 15_000);
    submit(&mut world, 1, step(2, &[1]));
    let old = (world.leader().expect("a leader") + 1) % 3;
    world.restart_as(old, NodeVersion::Production, 200);
    world.run_until(world.now + 15_000);
    let spec = step(3, &[2]);
    world.add_job(spec.clone());
    world.user_asks(old, &spec.id, UserAction::Submit);
    world.run_until(world.now + 5_000);
    assert!(!world.jobs[&spec.id].accepted);
}

/// A node of the old version that the store refuses passes submissions on without their
/// dependencies.
#[test]
fn what_a_node_of_the_old_version_passes_on_is_not_accepted() {
    let (mut world, _, _) = with_a_chain(2_033);
    let old = (world.leader().expect("a leader") + 1) % 3;
    world.restart_as(old, NodeVersion::Production, 200);
    world.run_until(world.now + 15_000);
    world.cut_from_store(old, world.now + 10_000);
    world.run_until(world.now + 3_000);
    let spec = step(4, &[1]);
    world.add_job(spec.clone());
    world.user_asks(old, &spec.id, UserAction::Submit);
    world.run_until(world.now + 5_000);
    assert!(!world.jobs[&spec.id].accepted);
    assert_kept(&world);
}

/// A day with every fault on which nodes are upgraded, and some come back old.
pub fn play(seed: u64, nodes: usize) {
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
    let mut world = World::of(seed, scenario);
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
fn pipelines_keep_the_rules_though_nodes_come_back_old() {
    for seed in 2_050..2_058 {
        play(seed, if seed % 2 == 0 { 3 } else { 5 });
    }
}

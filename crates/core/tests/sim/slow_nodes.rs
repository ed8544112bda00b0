//! Nodes with a small share of a core, some of which are slower still.
//!
//! Steps take simulated time here, so nodes fall behind. All rules are checked throughout; at the end of each run all
//! jobs must be done, and leadership must have settled.

use super::unfinished;
use super::world::{Fault, Scenario, World};

const NODES: usize = 5;
/// Interval at which the leader is read from the store.
const POLL_INTERVAL_MS: u64 = 250;
/// Time at which faults begin. By then the first leader has led for long, and most machines are up.
const FAULTS_FROM_MS: u64 = 75_000;

/// Returns a scenario whose nodes have a small share of a core.
pub fn scenario() -> Scenario {
    Scenario {
        nodes: NODES,
        machines: 40,
        jobs: 110,
        spread: true,
        large: true,
        lease_s: 12,
        cancel_s: 37,
        user_interval_ms: 240,
        run_ms: Some((15_000, 100)),
        steps_take_time: true,
        core_share: Some(0.032),
        ..Scenario::default()
    }
}

/// Returns a world that has run until [`FAULTS_FROM_MS`].
fn running_world(seed: u64, scenario: Scenario) -> World {
    let mut world = World::with_scenario(seed, scenario);
    world.run_until(FAULTS_FROM_MS);
    assert!(world.agents.len() >= 25, "{}", world.agents.len());
    world
}

/// Runs the world for `ms` milliseconds and returns the nodes that led, in order.
fn leaders_during(world: &mut World, ms: u64) -> Vec<usize> {
    let mut leaders = Vec::new();
    let end = world.now + ms;
    while world.now < end {
        world.run_until(world.now + POLL_INTERVAL_MS);
        if let Some(leader) = world.leader_by_store() {
            if leaders.last() != Some(&leader) {
                leaders.push(leader);
            }
        }
    }
    leaders
}

/// Ends all faults and continues the run until all jobs are done.
fn run_until_all_jobs_finish(world: &mut World) {
    (0..NODES).for_each(|node| world.slow_down(node, 1.0));
    world.end_faults();
    for _ in 0..10 {
        world.run_until(world.now + 50_000);
        if unfinished(world).is_empty() {
            break;
        }
    }
    assert_eq!(unfinished(world), Vec::<String>::new());
    world.check_starts();
    world.check_served();
}

/// A slow leader used to keep its lease for as long as it was slow, and answered few agents in time.
#[test]
fn leader_that_can_not_keep_up_is_replaced() {
    for seed in [901, 902] {
        let mut world = running_world(seed, scenario());
        let leader = world.leader_by_store().expect("a leader");
        world.slow_down(leader, 8.0);
        let leaders = leaders_during(&mut world, 60_000);
        assert!(
            world.leader_by_store().is_some_and(|now| now != leader),
            "{leaders:?}"
        );
        assert!(leaders.len() <= 3, "leadership did not settle: {leaders:?}");
        run_until_all_jobs_finish(&mut world);
    }
}

/// No node is faster than the leader, so leadership must not pass from node to node.
#[test]
fn leadership_settles_while_all_nodes_are_slow() {
    let mut world = running_world(911, scenario());
    (0..NODES).for_each(|node| world.slow_down(node, 9.0));
    let leaders = leaders_during(&mut world, 120_000);
    assert!(leaders.len() <= 3, "{leaders:?}");
    run_until_all_jobs_finish(&mut world);
}

/// Both slow nodes are candidates when the leader crashes.
#[test]
fn leadership_does_not_alternate_between_two_slow_candidates() {
    let mut world = running_world(921, scenario());
    let leader = world.leader_by_store().expect("a leader");
    let slow = (0..NODES).filter(|node| *node != leader).take(2);
    slow.for_each(|node| world.slow_down(node, 8.0));
    world.stop_node_for(leader, 5_000);
    let leaders = leaders_during(&mut world, 90_000);
    assert!(leaders.len() <= 4, "{leaders:?}");
    run_until_all_jobs_finish(&mut world);
}

/// All agents and users send requests at the same time to nodes that have just started.
#[test]
fn leadership_settles_after_all_slow_nodes_restart_together() {
    let mut world = running_world(931, scenario());
    (0..NODES).for_each(|node| world.slow_down(node, 2.0));
    (0..NODES as u64).for_each(|node| world.stop_node_for(node as usize, 3_000 + 500 * node));
    let leaders = leaders_during(&mut world, 60_000);
    assert!(!leaders.is_empty() && leaders.len() <= 3, "{leaders:?}");
    run_until_all_jobs_finish(&mut world);
}

/// Every 15 s another node restarts, while jobs are submitted at four times the usual rate.
#[test]
fn all_jobs_finish_after_a_rolling_restart_during_a_burst() {
    let burst = Scenario {
        jobs: 260,
        user_interval_ms: 60,
        ..scenario()
    };
    let mut world = running_world(941, burst);
    for node in 0..NODES {
        world.stop_node_for(node, 5_000);
        world.run_until(world.now + 15_000);
    }
    assert!(world.leader_by_store().is_some());
    run_until_all_jobs_finish(&mut world);
}

/// The leader is cut off from agents while the store is slow.
#[test]
fn leadership_settles_when_the_leader_is_cut_from_agents_and_the_store_is_slow() {
    let mut world = running_world(951, scenario());
    let leader = world.leader_by_store().expect("a leader");
    let until = world.now + 40_000;
    world.inject_fault(Fault::SlowStore, leader, until);
    world.cut_from_agents(leader, until);
    let leaders = leaders_during(&mut world, 40_000);
    assert!(leaders.len() <= 4, "{leaders:?}");
    run_until_all_jobs_finish(&mut world);
}

/// The leader crashes while all nodes have a backlog of inputs.
#[test]
fn leadership_settles_when_the_leader_crashes_during_a_backlog() {
    let mut world = running_world(961, scenario());
    (0..NODES).for_each(|node| world.slow_down(node, 5.0));
    world.run_until(world.now + 8_000);
    let leader = world.leader_by_store().expect("a leader");
    world.stop_node_for(leader, 4_000);
    let leaders = leaders_during(&mut world, 60_000);
    assert!(leaders.len() <= 4, "{leaders:?}");
    run_until_all_jobs_finish(&mut world);
}

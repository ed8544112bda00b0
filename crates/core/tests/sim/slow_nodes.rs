//! Days on nodes with a small part of a core, some of which are slower yet.
//!
//! Steps take time here, so nodes fall behind. All rules are checked throughout; each day ends with all jobs
//! done, and leadership must have settled.

use super::unfinished;
use super::world::{Fault, Scenario, World};

const NODES: usize = 5;
/// How often it is looked who leads.
const LOOK_MS: u64 = 250;
/// When faults begin: the first leader has led for long, and most machines are up.
const TROUBLE_MS: u64 = 75_000;

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

/// A world that has run for a while.
fn world(seed: u64, scenario: Scenario) -> World {
    let mut world = World::of(seed, scenario);
    world.run_until(TROUBLE_MS);
    assert!(world.agents.len() >= 25, "{}", world.agents.len());
    world
}

/// Who led, one after the other, during a time.
fn leaders_during(world: &mut World, ms: u64) -> Vec<usize> {
    let mut leaders = Vec::new();
    let end = world.now + ms;
    while world.now < end {
        world.run_until(world.now + LOOK_MS);
        if let Some(leader) = world.leader_by_store() {
            if leaders.last() != Some(&leader) {
                leaders.push(leader);
            }
        }
    }
    leaders
}

/// Plays on without faults until all is done.
fn finish(world: &mut World) {
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

/// It kept its lease for as long as it was slow, and answered few agents in time.
#[test]
fn a_leader_that_can_not_keep_up_makes_way() {
    for seed in [901, 902] {
        let mut world = world(seed, scenario());
        let leader = world.leader_by_store().expect("a leader");
        world.slow_down(leader, 8.0);
        let leaders = leaders_during(&mut world, 60_000);
        assert!(
            world.leader_by_store().is_some_and(|now| now != leader),
            "{leaders:?}"
        );
        assert!(leaders.len() <= 3, "it settles: {leaders:?}");
        finish(&mut world);
    }
}

/// Nobody is better than the leader, so the lead does not go round.
#[test]
fn leadership_settles_while_all_nodes_are_slow() {
    let mut world = world(911, scenario());
    (0..NODES).for_each(|node| world.slow_down(node, 9.0));
    let leaders = leaders_during(&mut world, 120_000);
    assert!(leaders.len() <= 3, "{leaders:?}");
    finish(&mut world);
}

/// Both would be candidates when the leader ends.
#[test]
fn two_slow_candidates_do_not_lead_by_turns() {
    let mut world = world(921, scenario());
    let leader = world.leader_by_store().expect("a leader");
    let slow = (0..NODES).filter(|node| *node != leader).take(2);
    slow.for_each(|node| world.slow_down(node, 8.0));
    world.stop_node_for(leader, 5_000);
    let leaders = leaders_during(&mut world, 90_000);
    assert!(leaders.len() <= 4, "{leaders:?}");
    finish(&mut world);
}

/// All agents and users come at once to nodes that have just started.
#[test]
fn all_slow_nodes_end_together_and_come_back() {
    let mut world = world(931, scenario());
    (0..NODES).for_each(|node| world.slow_down(node, 2.0));
    (0..NODES as u64).for_each(|node| world.stop_node_for(node as usize, 3_000 + 500 * node));
    let leaders = leaders_during(&mut world, 60_000);
    assert!(!leaders.is_empty() && leaders.len() <= 3, "{leaders:?}");
    finish(&mut world);
}

/// One node after the other is restarted every 15 s while four times as many jobs come.
#[test]
fn a_rolling_restart_in_a_burst() {
    let burst = Scenario {
        jobs: 260,
        user_interval_ms: 60,
        ..scenario()
    };
    let mut world = world(941, burst);
    for node in 0..NODES {
        world.stop_node_for(node, 5_000);
        world.run_until(world.now + 15_000);
    }
    assert!(world.leader_by_store().is_some());
    finish(&mut world);
}

/// The leader is cut off from agents while the store is slow.
#[test]
fn a_cut_leader_beside_a_slow_state_service() {
    let mut world = world(951, scenario());
    let leader = world.leader_by_store().expect("a leader");
    let until = world.now + 40_000;
    world.inject_fault(Fault::SlowStore, leader, until);
    world.cut_from_agents(leader, until);
    let leaders = leaders_during(&mut world, 40_000);
    assert!(leaders.len() <= 4, "{leaders:?}");
    finish(&mut world);
}

/// The leader ends while inputs have been waiting at all nodes.
#[test]
fn a_take_over_in_the_middle_of_a_backlog() {
    let mut world = world(961, scenario());
    (0..NODES).for_each(|node| world.slow_down(node, 5.0));
    world.run_until(world.now + 8_000);
    let leader = world.leader_by_store().expect("a leader");
    world.stop_node_for(leader, 4_000);
    let leaders = leaders_during(&mut world, 60_000);
    assert!(leaders.len() <= 4, "{leaders:?}");
    finish(&mut world);
}

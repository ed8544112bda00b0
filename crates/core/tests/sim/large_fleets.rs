//! Fleets of several thousand machines with five nodes: failures that only occur at that size, and the costs there.
//!
//! The whole run takes minutes, so it is started by hand; `docs/measuring.md` has the command.

use super::unfinished;
use super::world::store::Limits;
use super::world::{Fault, Scenario, World};

/// Limits of the users' store at the fleet's size.
const FLEET_STORE: Limits = Limits {
    rps: 600,
    write_rps: 60,
    value_kb: 32,
    operations: 20,
    page: 200,
};

/// Returns the scenario of a fleet with a number of machines in three zones, and as many jobs.
fn scenario(machines: usize) -> Scenario {
    Scenario {
        nodes: 5,
        machines,
        jobs: machines as u32,
        user_interval_ms: (50_000 / machines as u64).max(4),
        large: true,
        report_s: 6.0,
        lease_s: 31,
        cancel_s: 56,
        gang_wait_s: 35,
        cloud_rps: 6.0,
        store: FLEET_STORE,
        zone_names: &["a", "b", "c"],
        run_ms: Some((30_000, 500)),
        measures: true,
        ..Scenario::default()
    }
}

/// Runs a phase of a scenario for `ms` milliseconds, and prints its costs.
fn run_phase(world: &mut World, name: &str, ms: u64) {
    let begun = std::time::Instant::now();
    world.costs = Default::default();
    world.run_until(world.now + ms);
    let machines = world.agents.len();
    let tasks = world.agents.values().flat_map(|w| w.tasks.values());
    let running = tasks.filter(|task| task.on_machine()).count();
    let open = unfinished(world).len();
    let segments = world.store.count_keys("book/");
    println!(
        "== {name}: {ms} ms simulated in {:?}, {machines} machines, {running} tasks, {open} unfinished jobs, {segments} segments",
        begun.elapsed()
    );
    for ((leads, kind), cost) in &world.costs.steps {
        let role = if *leads { "leader" } else { "follower" };
        let per_s = cost.total.as_secs_f64() * 1e6 / ms as f64;
        println!(
            "{role:8} {kind:18} {:7} steps, {per_s:8.2} ms/s, longest {:?}",
            cost.count, cost.longest
        );
    }
    for (kind, cost) in &world.costs.messages {
        println!(
            "{kind:18} {:7} messages, {:9} bytes, largest {}",
            cost.count, cost.bytes, cost.largest
        );
    }
}

/// Runs a fleet with the faults whose effects depend on its size: the leader crashes, all nodes crash, the zone with a
/// third of the machines is partitioned, an eighth of the machines hangs, all agents report to one node, and the store
/// is down.
fn run_fleet_with_faults(seed: u64, machines: usize) {
    let mut world = World::with_scenario(seed, scenario(machines));
    run_phase(&mut world, "start", 90_000);
    run_phase(&mut world, "steady", 30_000);
    let machine_count = world.agents.len();
    assert!(
        machine_count * 10 >= machines * 7,
        "{machine_count} machines"
    );
    let (leader, now) = (world.leader_by_store().expect("a leader"), world.now);
    world.inject_fault(Fault::LeaderCrashes, leader, now);
    run_phase(&mut world, "leader crashes", 20_000);
    world.inject_fault(Fault::AllNodesCrash, 0, now);
    run_phase(&mut world, "all nodes crash", 20_000);
    world.partition_zone("c", world.now + 25_000);
    run_phase(&mut world, "one of three zones partitioned", 50_000);
    let hang_until = world.now + 60_000;
    world.affect_some_agents(0.125, |agent| agent.hangs_until = hang_until);
    run_phase(&mut world, "an eighth of the machines hangs", 40_000);
    (1..5).for_each(|node| world.stop_node_for(node, 25_000));
    run_phase(&mut world, "one node for all agents", 40_000);
    world.store.set_down(true, world.now);
    run_phase(&mut world, "store down", 20_000);
    world.end_faults();
    run_until_all_jobs_finish(&mut world);
}

/// Continues the run until all jobs are done, and checks the rules that are judged at the end of a run.
fn run_until_all_jobs_finish(world: &mut World) {
    let mut left = Vec::new();
    for _ in 0..8 {
        run_phase(world, "no faults", 50_000);
        left = unfinished(world);
        if left.is_empty() {
            break;
        }
    }
    let (count, one) = (left.len(), left.first());
    assert!(
        left.is_empty(),
        "{count} unfinished jobs, the first is {one:?}"
    );
    world.check_starts();
    world.check_served();
}

/// The agents of four thousand machines all report to one node when the other four nodes crash.
#[test]
fn fleet_of_4000_machines_keeps_running_with_one_of_five_nodes() {
    let scenario = Scenario {
        jobs: 600,
        measures: false,
        ..scenario(4_000)
    };
    let mut world = World::with_scenario(701, scenario);
    run_phase(&mut world, "start", 60_000);
    let machine_count = world.agents.len();
    assert!(machine_count >= 3_000, "{machine_count} machines");
    (1..5).for_each(|node| world.stop_node_for(node, 15_000));
    run_phase(&mut world, "one node for all agents", 20_000);
    assert!(world.leader_by_store().is_some());
    world.end_faults();
    run_until_all_jobs_finish(&mut world);
}

/// Runs a fleet of `MACHINES` machines:
/// `MACHINES=4000 cargo test --release -p rudderreel-core --test sim fleet_by_hand -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes; run by hand"]
fn fleet_by_hand() {
    let machines = std::env::var("MACHINES").ok().and_then(|n| n.parse().ok());
    run_fleet_with_faults(700, machines.unwrap_or(4_000));
}

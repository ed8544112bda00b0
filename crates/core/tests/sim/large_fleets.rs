//! Fleets of several thousand machines and five nodes: what fails at that size, and what it costs.
//!
//! The whole day takes minutes, so it is played by hand; `docs/measuring.md` has the command.

use super::unfinished;
use super::world::store::Limits;
use super::world::{Fault, Scenario, World};

/// What the users' store takes at the fleet's size.
const FLEET_STORE: Limits = Limits {
    rps: 600,
    write_rps: 60,
    value_kb: 32,
    operations: 20,
    page: 200,
};

/// A fleet with so many machines, in three zones.
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

/// Plays a part of a day, and prints what it cost.
fn part(world: &mut World, name: &str, ms: u64) {
    let begun = std::time::Instant::now();
    world.costs = Default::default();
    world.run_until(world.now + ms);
    let machines = world.agents.len();
    let tasks = world.agents.values().flat_map(|w| w.tasks.values());
    let running = tasks.filter(|task| task.on_machine()).count();
    let open = unfinished(world).len();
    let pages = world.store.count("book/");
    println!(
        "== {name}: {ms} ms played in {:?}, {machines} machines, {running} tasks on them, {open} jobs are open, {pages} pages",
        begun.elapsed()
    );
    for ((leads, kind), cost) in &world.costs.steps {
        let of = if *leads { "leader" } else { "follower" };
        let per_s = cost.total.as_secs_f64() * 1e6 / ms as f64;
        println!(
            "{of:8} {kind:18} {:7} steps, {per_s:8.2} ms/s, longest {:?}",
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

/// A day with what only shows at the size: the leader ends, all nodes end, a third of the machines lies
/// behind a cut, an eighth hangs, every agent comes to one node, and the store is away.
fn fleet_day(seed: u64, machines: usize) {
    let mut world = World::of(seed, scenario(machines));
    part(&mut world, "start", 90_000);
    part(&mut world, "steady", 30_000);
    let up = world.agents.len();
    assert!(up * 10 >= machines * 7, "{up} machines");
    let (leader, now) = (world.leader_by_store().expect("a leader"), world.now);
    world.inject_fault(Fault::LeaderCrashes, leader, now);
    part(&mut world, "the leader ends", 20_000);
    world.inject_fault(Fault::AllNodesCrash, 0, now);
    part(&mut world, "all nodes end", 20_000);
    world.partition_zone("c", world.now + 25_000);
    part(&mut world, "a third is cut off", 50_000);
    let hang = world.now + 60_000;
    world.affect_some_agents(0.125, |agent| agent.hangs_until = hang);
    part(&mut world, "an eighth hangs", 40_000);
    (1..5).for_each(|node| world.stop_node_for(node, 25_000));
    part(&mut world, "one node for all workers", 40_000);
    world.store.set_down(true, world.now);
    part(&mut world, "the state service is away", 20_000);
    world.end_faults();
    finish(&mut world);
}

/// Plays on until all jobs are done, and checks what is judged at the end of a day.
fn finish(world: &mut World) {
    let mut left = Vec::new();
    for _ in 0..8 {
        part(world, "calm", 50_000);
        left = unfinished(world);
        if left.is_empty() {
            break;
        }
    }
    let (count, one) = (left.len(), left.first());
    assert!(left.is_empty(), "{count} unfinished, one is {one:?}");
    world.check_starts();
    world.check_served();
}

/// Four thousand machines, of which all come to one node when the others end.
#[test]
fn four_thousand_machines_go_on_with_one_node_of_five() {
    let scenario = Scenario {
        jobs: 600,
        measures: false,
        ..scenario(4_000)
    };
    let mut world = World::of(701, scenario);
    part(&mut world, "start", 60_000);
    let up = world.agents.len();
    assert!(up >= 3_000, "{up} machines");
    (1..5).for_each(|node| world.stop_node_for(node, 15_000));
    part(&mut world, "one node for all workers", 20_000);
    assert!(world.leader_by_store().is_some());
    world.end_faults();
    finish(&mut world);
}

/// `MACHINES=4000 cargo test --release -p rudderreel-core --test sim fleet_by_hand -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn fleet_by_hand() {
    let machines = std::env::var("MACHINES").ok().and_then(|n| n.parse().ok());
    fleet_day(700, machines.unwrap_or(4_000));
}

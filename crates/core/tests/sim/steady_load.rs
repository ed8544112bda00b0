//! What a fleet costs in which little changes: counts of messages, by the share of a core that nodes have.

use super::world::{Scenario, World};

const NODES: usize = 5;
const MEASURED_MS: u64 = 20_000;

/// Messages of a kind in the measured time, of a fleet whose jobs run throughout.
struct Messages {
    batches: u32,
    heartbeats: u32,
    direct_calls: u32,
    commits: u32,
}

fn steady_fleet(core_share: Option<f64>) -> Messages {
    let scenario = Scenario {
        nodes: NODES,
        machines: 100,
        jobs: 40,
        user_interval_ms: 60,
        spread: true,
        large: true,
        lease_s: 12,
        run_ms: Some((600_000, 0)),
        measures: true,
        core_share,
        ..Scenario::default()
    };
    let mut world = World::of(971, scenario);
    world.run_until(60_000);
    assert!(world.agents.len() >= 60, "{}", world.agents.len());
    world.costs = Default::default();
    world.run_until(world.now + MEASURED_MS);
    let count = |kind: &str| world.costs.messages.get(kind).map_or(0, |cost| cost.count);
    Messages {
        batches: count("batch of reports"),
        heartbeats: count("heartbeat"),
        direct_calls: count("direct call"),
        commits: count("commit"),
    }
}

/// A batch costs the leader as much as several reports do, and fifty came a second whatever the node could take.
#[test]
fn half_of_the_processor_is_asked_for_half_of_the_batches() {
    let ample = steady_fleet(None);
    let small = steady_fleet(Some(0.032));
    let followers = NODES as u32 - 1;
    let seconds = (MEASURED_MS / 1_000) as u32;
    // 80 ms and a tick between two batches of a follower, and 160 ms.
    assert!(
        ample.batches <= followers * seconds * 13,
        "{}",
        ample.batches
    );
    assert!(
        small.batches <= followers * seconds * 7,
        "{}",
        small.batches
    );
    assert!(
        10 * small.batches <= 7 * ample.batches,
        "{} of {}",
        small.batches,
        ample.batches
    );
    // What keeps a rule is not stretched.
    assert!(small.heartbeats.abs_diff(ample.heartbeats) <= NODES as u32);
    assert!(small.heartbeats >= NODES as u32 * seconds * 2 - NODES as u32);
    // Users withdraw a job now and then, and replicas are moved; nothing else calls for an agent.
    assert!(small.direct_calls <= 5 * seconds, "{}", small.direct_calls);
    assert!(ample.direct_calls <= 5 * seconds, "{}", ample.direct_calls);
    // Questions are confirmed, by jobs asked about and time.
    assert!(
        small.commits <= NODES as u32 * seconds * 20,
        "{}",
        small.commits
    );
}

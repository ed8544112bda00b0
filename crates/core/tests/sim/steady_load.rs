//! Message counts of a fleet in which little changes, for different shares of a core that the nodes have.

use super::world::{Scenario, World};

const NODES: usize = 5;
const MEASURED_MS: u64 = 20_000;

/// Number of messages of each kind in the measured time.
struct Messages {
    batches: u32,
    heartbeats: u32,
    direct_calls: u32,
    commits: u32,
}

/// Runs a fleet whose jobs run throughout, and counts its messages.
fn count_messages(core_share: Option<f64>) -> Messages {
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
    let mut world = World::with_scenario(971, scenario);
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

/// A batch costs the leader as much as several reports do, and fifty batches used to arrive per second whatever share
/// of a core the node had.
#[test]
fn small_core_share_reduces_report_batches_but_not_heartbeats() {
    let ample = count_messages(None);
    let small = count_messages(Some(0.032));
    let followers = NODES as u32 - 1;
    let seconds = (MEASURED_MS / 1_000) as u32;
    // Between two batches of a follower are 80 ms and a tick, or 160 ms with the small share.
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
    // Intervals that a rule depends on are not stretched.
    assert!(small.heartbeats.abs_diff(ample.heartbeats) <= NODES as u32);
    assert!(small.heartbeats >= NODES as u32 * seconds * 2 - NODES as u32);
    // Users cancel a job now and then, and replicas are moved; nothing else needs a direct call to an agent.
    assert!(small.direct_calls <= 5 * seconds, "{}", small.direct_calls);
    assert!(ample.direct_calls <= 5 * seconds, "{}", ample.direct_calls);
    // Commits confirm the answers to status requests; their number depends on the jobs asked about and on time.
    assert!(
        small.commits <= NODES as u32 * seconds * 20,
        "{}",
        small.commits
    );
}

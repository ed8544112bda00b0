use super::*;
use crate::testing::settings;
use rudderreel_wire::settings::PlatformLimits;

fn with_sockets(fd_limit: u32) -> Option<FleetLimits> {
    let mut settings = settings();
    settings.params.limits = Some(PlatformLimits {
        cpu_share: None,
        memory_mb: Some(258.0),
        fd_limit,
    });
    FleetLimits::of(&settings)
}

/// Only the platform's limit on sockets bounds the fleet, whatever it is: more sockets support more machines.
#[test]
fn fleet_size_follows_from_the_socket_limit() {
    assert_eq!(with_sockets(0), None, "the settings contain no limit");
    let limits = with_sockets(8_000).expect("limits");
    assert_eq!(limits.agents_of_one_node, 4_500);
    let nodes = settings().params.nodes as usize;
    assert_eq!(limits.agents_of_all_nodes, 4_500 * nodes);
    assert_eq!(limits.beyond(4_500 * nodes), 0);
    assert_eq!(limits.beyond(4_500 * nodes + 7), 7);
}

/// The administrators' overview shows the limits under these names.
#[test]
fn json_names_of_the_limits_are_fixed() {
    let limits = with_sockets(8_000).expect("limits");
    let all = limits.agents_of_all_nodes;
    let expected = serde_json::json!({"workers_of_one_node": 4_500, "workers_of_all_nodes": all});
    assert_eq!(serde_json::to_value(limits).expect("JSON"), expected);
}

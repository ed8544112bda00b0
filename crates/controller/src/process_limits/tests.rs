use super::*;

/// Without a limit in the settings 1,024 sockets were reckoned with: 576 workers to a node, 2,880 to five.
/// Waiting reports, answers and probes had fixed bounds below what a large node has connections for.
#[test]
fn limits_follow_from_the_sockets() {
    let small = ProcessLimits::of_sockets(1_200);
    assert_eq!(small.connections.workers, 675);
    assert_eq!((small.reports, small.calls), (LEAST_REPORTS, LEAST_CALLS));
    for machines in [4_000, 6_000] {
        let limits = ProcessLimits::of_sockets(2 * machines);
        assert!(limits.connections.workers >= machines, "{limits:?}");
        assert!(limits.reports >= machines, "{limits:?}");
        // All threads together stay far below what a process may have.
        let threads = limits.command_threads + limits.probe_threads;
        assert!((150..1_000).contains(&threads), "{limits:?}");
    }
    let huge = ProcessLimits::of_sockets(1 << 20);
    assert_eq!(huge.command_threads, MOST_THREADS);
}

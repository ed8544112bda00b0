use super::*;

/// Without a limit in the settings 1,024 sockets were reckoned with: 576 workers to a node, 2,880 to five.
/// Waiting reports, answers and probes had fixed bounds below what a large node has connections for.
#[test]
fn limits_follow_from_the_sockets() {
    let small = ProcessLimits::of(1_200, None);
    assert_eq!(small.connections.agents, 675);
    assert_eq!(
        (small.queued_reports, small.queued_calls),
        (MIN_QUEUED_REPORTS, MIN_QUEUED_CALLS)
    );
    for machines in [4_000, 6_000] {
        let limits = ProcessLimits::of(2 * machines, None);
        assert!(limits.connections.agents >= machines, "{limits:?}");
        assert!(limits.queued_reports >= machines, "{limits:?}");
        // All threads together stay far below what a process may have.
        let threads = limits.command_threads + limits.probe_threads;
        assert!((150..1_000).contains(&threads), "{limits:?}");
    }
    let huge = ProcessLimits::of(1 << 20, None);
    assert_eq!(huge.command_threads, MAX_THREADS_PER_POOL);
}

/// 900 connections that each send most of a request of 64 KiB were 57 MB on a node that has 46.
#[test]
fn buffers_of_incomplete_requests_follow_from_the_memory() {
    let small = ProcessLimits::of(1_200, Some(46.0));
    assert!(2 * small.buffered_bytes < 6_000_000, "{small:?}");
    assert!(
        small.buffered_bytes >= MAX_MESSAGE_BYTES,
        "a peer's message fits"
    );
    assert_eq!(
        ProcessLimits::of(1_200, None).buffered_bytes,
        DEFAULT_BUFFERED_BYTES
    );
    assert_eq!(
        ProcessLimits::of(1_200, Some(1.0)).buffered_bytes,
        MAX_MESSAGE_BYTES
    );
}

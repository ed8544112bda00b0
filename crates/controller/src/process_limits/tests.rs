use super::*;

/// When 1,024 sockets were assumed without a limit in the settings, one node served 576 agents and five nodes 2,880.
/// Fixed limits of queued reports, answers and probes were below what a large node has connections for.
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
        // The total stays far below the platform's limit on threads of a process.
        let threads = limits.command_threads + limits.probe_threads;
        assert!((150..1_000).contains(&threads), "{limits:?}");
    }
    let huge = ProcessLimits::of(1 << 20, None);
    assert_eq!(huge.command_threads, MAX_THREADS_PER_POOL);
}

/// 900 connections that each send most of a request of 64 KiB would use 57 MB on a node that has 46 MB of memory.
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

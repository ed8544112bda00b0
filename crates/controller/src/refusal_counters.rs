//! Counts of refused connections and requests, for the administration API.

use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

/// A counter that several threads may increment at once.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one to the count.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counters of what the servers have refused since the node started.
#[derive(Debug, Default)]
pub struct RefusalCounters {
    /// Connections refused because the limit of connections was reached.
    pub connections: Counter,
    /// Agents redirected to another node because the limit of agents' connections was reached.
    pub agents_redirected: Counter,
    /// Requests whose body exceeded the size limit.
    pub too_long: Counter,
    /// Requests and messages that could not be parsed.
    pub unreadable: Counter,
    /// Requests refused because the limit of buffered bytes of incompletely received requests was exceeded.
    pub buffers_full: Counter,
    /// Requests refused because the core's queue was full.
    pub queue_full: Counter,
}

/// Counts at one moment, as the administration API returns them.
#[derive(Debug, Serialize)]
pub struct RefusalCounts {
    buffers_full: u64,
    connections_refused: u64,
    queue_full: u64,
    requests_too_long: u64,
    requests_unreadable: u64,
    workers_sent_on: u64,
}

impl RefusalCounters {
    /// Returns the present counts.
    pub fn counts(&self) -> RefusalCounts {
        RefusalCounts {
            buffers_full: self.buffers_full.get(),
            connections_refused: self.connections.get(),
            queue_full: self.queue_full.get(),
            requests_too_long: self.too_long.get(),
            requests_unreadable: self.unreadable.get(),
            workers_sent_on: self.agents_redirected.get(),
        }
    }
}

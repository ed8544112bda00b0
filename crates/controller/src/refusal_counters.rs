//! Counts of what the servers refused, for administrators.

use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

/// A counter that several threads may increment.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Counts one more.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// How many there have been.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// What the servers refused since the node started.
#[derive(Debug, Default)]
pub struct RefusalCounters {
    /// Connections beyond what the node takes.
    pub connections: Counter,
    /// Agents that were sent to another node since this one has no connection left for them.
    pub agents_redirected: Counter,
    /// Requests whose body was too long.
    pub too_long: Counter,
    /// Requests and messages that could not be read.
    pub unreadable: Counter,
    /// Requests refused since too much was buffered of requests that had not come in whole.
    pub buffers_full: Counter,
    /// Inputs that found the core's queue full.
    pub queue_full: Counter,
}

/// The counts at one moment, as administrators see them.
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
    /// The counts at this moment.
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

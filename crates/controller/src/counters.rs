//! Counts of what the servers refused, for administrators.

use serde_json::{json, Value};
use std::sync::atomic::{AtomicU64, Ordering};

/// A count that several threads may raise.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Counts one more.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// How many there have been.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// What the servers refused since the node started.
#[derive(Debug, Default)]
pub struct Refusals {
    /// Connections beyond what the node takes.
    pub connections: Counter,
    /// Workers that were sent on since theirs were too many.
    pub workers_sent_on: Counter,
    /// Requests whose body was too long.
    pub too_long: Counter,
    /// Requests and messages that could not be read.
    pub unreadable: Counter,
    /// Requests refused since too much was buffered of requests that had not come in whole.
    pub buffers_full: Counter,
    /// Inputs that found the core's queue full.
    pub queue_full: Counter,
}

impl Refusals {
    /// As they are told.
    pub fn as_json(&self) -> Value {
        json!({
            "connections_refused": self.connections.get(),
            "workers_sent_on": self.workers_sent_on.get(),
            "requests_too_long": self.too_long.get(),
            "requests_unreadable": self.unreadable.get(),
            "buffers_full": self.buffers_full.get(),
            "queue_full": self.queue_full.get(),
        })
    }
}

//! What a leader counts and times, for administrators. Nothing is decided by it.

use crate::units::{Span, Wall};
use rudderreel_wire::ids::{Class, MachineId, TaskId};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Stops that are remembered.
const REMEMBERED_STOPS: usize = 100;
/// A histogram's bounds in milliseconds, and the significant digits that it keeps.
const LEAST_MS: u64 = 1;
const MOST_MS: u64 = 3_600_000;
const DIGITS: u8 = 2;

/// A histogram of milliseconds.
pub struct LatencyHistogram(hdrhistogram::Histogram<u32>);

/// What a histogram says, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LatencySummary {
    /// How many times were recorded.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// The 95th percentile.
    pub p95: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The longest.
    pub max: u64,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let bounds = hdrhistogram::Histogram::new_with_bounds(LEAST_MS, MOST_MS, DIGITS);
        Self(bounds.expect("the bounds are constants that fit"))
    }
}

impl LatencyHistogram {
    /// Records a time.
    pub fn record(&mut self, span: Span) {
        self.0.saturating_record(span.0.max(LEAST_MS));
    }

    /// How many times were recorded, and their quantiles.
    pub fn summary(&self) -> LatencySummary {
        LatencySummary {
            count: self.0.len(),
            p50: self.0.value_at_quantile(0.5),
            p95: self.0.value_at_quantile(0.95),
            p99: self.0.value_at_quantile(0.99),
            max: self.0.max(),
        }
    }
}

/// A task that was stopped, as administrators are told.
#[derive(Clone, Debug, Serialize)]
pub struct StopRecord {
    /// Milliseconds since 1970.
    pub at_ms: u64,
    /// The task.
    pub task: String,
    /// Its machine.
    pub machine: String,
    /// Why.
    pub why: &'static str,
}

/// What a leader has counted and timed.
#[derive(Default)]
pub struct LeaderMetrics {
    /// Tasks that were stopped lately, the oldest first.
    pub stops: VecDeque<StopRecord>,
    /// How often things have happened, by the names that administrators see.
    pub counters: BTreeMap<&'static str, u64>,
    /// How long tasks waited for their first start, by class.
    pub start_waits: BTreeMap<Class, LatencyHistogram>,
}

impl LeaderMetrics {
    /// Counts something that has happened.
    pub fn count(&mut self, what: &'static str) {
        *self.counters.entry(what).or_default() += 1;
    }

    /// Counts and remembers that a task was stopped.
    pub fn record_stop(&mut self, at: Wall, task: &TaskId, machine: &MachineId, why: &'static str) {
        self.count(why);
        if self.stops.len() >= REMEMBERED_STOPS {
            self.stops.pop_front();
        }
        self.stops.push_back(StopRecord {
            at_ms: at.0,
            task: task.to_string(),
            machine: machine.to_string(),
            why,
        });
    }

    /// Records how long a task waited for its first start.
    pub fn record_start_wait(&mut self, class: Class, waited: Span) {
        self.start_waits.entry(class).or_default().record(waited);
    }
}

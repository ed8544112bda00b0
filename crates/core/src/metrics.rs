//! Counters and latencies that a leader records for administrators. No decision depends on them.

use crate::units::{Span, Wall};
use rudderreel_wire::ids::{Class, MachineId, TaskId};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of stops that are kept, the latest ones.
const MAX_STOP_RECORDS: usize = 100;
/// Smallest value that a histogram distinguishes; shorter times are recorded as this value.
const MIN_MS: u64 = 1;
/// Largest value that a histogram distinguishes; longer times are recorded as this value.
const MAX_MS: u64 = 3_600_000;
/// Decimal digits to which a histogram's values are exact.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A histogram of durations in milliseconds.
pub struct LatencyHistogram(hdrhistogram::Histogram<u32>);

/// Summary of a histogram, with durations in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LatencySummary {
    /// Number of durations that were recorded.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Longest duration.
    pub max: u64,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram =
            hdrhistogram::Histogram::new_with_bounds(MIN_MS, MAX_MS, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are valid constants"))
    }
}

impl LatencyHistogram {
    /// Records a duration.
    pub fn record(&mut self, span: Span) {
        self.0.saturating_record(span.0.max(MIN_MS));
    }

    /// Returns the number of recorded durations and their quantiles.
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

/// A stopped task, as shown to administrators.
#[derive(Clone, Debug, Serialize)]
pub struct StopRecord {
    /// Time of the stop, in milliseconds since 1970.
    pub at_ms: u64,
    /// Id of the task.
    pub task: String,
    /// Id of the task's machine.
    pub machine: String,
    /// Reason of the stop.
    #[serde(rename = "why")]
    pub reason: &'static str,
}

/// The counters and latencies of a leader.
#[derive(Default)]
pub struct LeaderMetrics {
    /// Tasks that were stopped recently, the oldest first.
    pub stops: VecDeque<StopRecord>,
    /// Numbers of events, by the counter names that administrators see.
    pub counters: BTreeMap<&'static str, u64>,
    /// Times that tasks waited for their first start, by class.
    pub start_waits: BTreeMap<Class, LatencyHistogram>,
}

impl LeaderMetrics {
    /// Increments a counter.
    pub fn count(&mut self, counter: &'static str) {
        *self.counters.entry(counter).or_default() += 1;
    }

    /// Records that a task was stopped: keeps the stop and increments the counter of its reason.
    pub fn record_stop(
        &mut self,
        at: Wall,
        task: &TaskId,
        machine: &MachineId,
        reason: &'static str,
    ) {
        self.count(reason);
        if self.stops.len() >= MAX_STOP_RECORDS {
            self.stops.pop_front();
        }
        self.stops.push_back(StopRecord {
            at_ms: at.0,
            task: task.to_string(),
            machine: machine.to_string(),
            reason,
        });
    }

    /// Records how long a task waited for its first start.
    pub fn record_start_wait(&mut self, class: Class, waited: Span) {
        self.start_waits.entry(class).or_default().record(waited);
    }
}

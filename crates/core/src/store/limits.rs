//! Limits of the store that every writer keeps to.
//!
//! The settings may announce limits that come into force at some later moment without notice. The smaller of the
//! present and the announced limit is used from the start, so that nothing that is written becomes unwritable. If a
//! transaction is rejected as too large all the same, the limits are halved: what was rejected is never sent again
//! unchanged.

use rudderreel_wire::settings::StateLimits;
use serde::Serialize;

/// Bytes per KiB.
const KIB: f64 = 1024.0;
/// Number of conditions that the protocol allows in a transaction for each change that it allows.
const CONDITIONS_PER_OPERATION: usize = 4;
/// Fraction of the write rate that the leader may use for placements.
const PLACEMENT_WRITES_FRACTION: f64 = 0.7;
/// Minimum number of changes of a transaction: the leader key and one more.
const MIN_OPERATIONS: usize = 2;
/// Minimum size limit of a value: the smallest record has to fit.
const MIN_VALUE_BYTES: usize = 256;

/// Limits of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Maximum size of a value as JSON, in bytes.
    pub max_value_bytes: usize,
    /// Maximum number of puts and deletes in a transaction.
    pub max_operations: usize,
    /// Maximum requests per second of all nodes together.
    pub requests_per_s: f64,
    /// Maximum puts and deletes per second of all nodes together.
    pub writes_per_s: f64,
}

impl StoreLimits {
    /// Returns the smaller of the present and the announced limits, each by itself.
    pub fn of(state: &StateLimits) -> Self {
        let next = state.next.clone().unwrap_or_default();
        let smaller = |present: f64, next: Option<f64>| next.map_or(present, |n| n.min(present));
        let max_operations = next.txn_ops.unwrap_or(state.txn_ops).min(state.txn_ops);
        Self {
            max_value_bytes: (smaller(state.value_kb, next.value_kb) * KIB) as usize,
            max_operations: max_operations.max(MIN_OPERATIONS),
            requests_per_s: smaller(state.rps, next.rps),
            writes_per_s: smaller(state.write_rps, next.write_rps),
        }
    }

    /// Returns how many puts and deletes per second the leader may make for placements; the rest is for users.
    pub fn placement_writes_per_s(&self) -> f64 {
        self.writes_per_s * PLACEMENT_WRITES_FRACTION
    }

    /// Returns the maximum number of conditions in a transaction.
    pub fn max_conditions(&self) -> usize {
        CONDITIONS_PER_OPERATION * self.max_operations
    }

    /// Returns whether a value is small enough to be stored.
    pub fn fits<T: Serialize>(&self, value: &T) -> bool {
        serde_json::to_vec(value).is_ok_and(|json| json.len() <= self.max_value_bytes)
    }

    /// Halves the limits on sizes, down to their minimums, after a transaction within them was rejected: the store's
    /// limits are lower than was known.
    pub fn halve(&mut self) {
        self.max_value_bytes = (self.max_value_bytes / 2).max(MIN_VALUE_BYTES);
        self.max_operations = (self.max_operations / 2).max(MIN_OPERATIONS);
    }
}

#[cfg(test)]
mod tests;

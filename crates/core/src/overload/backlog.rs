//! Tracks whether this node keeps up with its inputs, judged by how long they wait.
//!
//! A node may be slow for many reasons: too many agents, a busy machine, a shared processor. Whatever the reason, its
//! inputs wait longer. A node that is behind postpones work that can wait, asks for fewer agents by reporting a higher
//! load to its peers, and, if it leads and stays far behind, transfers leadership.

use crate::metrics::LatencyHistogram;
use crate::units::{Span, Time};
use serde_json::{json, Value};

/// A node is behind if one of its inputs has waited for at least this long.
const BEHIND_WAIT: Span = Span(300);
/// Time for which a node counts as behind after such an input.
const BEHIND_HOLD: Span = Span(300);
/// A node is far behind if one of its inputs has waited for at least this long. Agents wait 4 s in all for an answer.
const FAR_BEHIND_WAIT: Span = Span(1_000);
/// Time for which a node counts as far behind after such an input.
const FAR_BEHIND_HOLD: Span = Span(500);
/// Interval between two estimates of the load.
const LOAD_ESTIMATE_INTERVAL: Span = Span(500);
/// Factor by which the load of a node that is behind rises with each estimate.
const LOAD_RISE_FACTOR: f64 = 1.25;
/// Factor by which the load of a node that keeps up falls with each estimate, more slowly than it rises.
const LOAD_FALL_FACTOR: f64 = 0.97;
/// Upper bound of a node's load as a multiple of its number of agents.
const MAX_LOAD_FACTOR: f64 = 8.0;

/// How long inputs wait, and the load that is derived from it.
pub(crate) struct Backlog {
    behind_until: Time,
    far_behind_since: Time,
    far_behind_until: Time,
    load_factor: f64,
    next_estimate_at: Time,
    /// Distribution of the waits, for administrators.
    waits: LatencyHistogram,
}

impl Default for Backlog {
    fn default() -> Self {
        Self {
            behind_until: Time(0),
            far_behind_since: Time(0),
            far_behind_until: Time(0),
            load_factor: 1.0,
            next_estimate_at: Time(0),
            waits: LatencyHistogram::default(),
        }
    }
}

impl Backlog {
    /// Records how long an input has waited.
    pub fn record_wait(&mut self, now: Time, waited: Span) {
        self.waits.record(waited);
        if waited >= BEHIND_WAIT {
            self.behind_until = now + BEHIND_HOLD;
        }
        if waited >= FAR_BEHIND_WAIT {
            if now >= self.far_behind_until {
                self.far_behind_since = now;
            }
            self.far_behind_until = now + FAR_BEHIND_HOLD;
        }
    }

    /// Returns whether inputs wait too long, so that only work that can't wait should be done.
    pub fn is_behind(&self, now: Time) -> bool {
        now < self.behind_until
    }

    /// Returns for how long the node has been far behind without interruption; zero if it is not far behind.
    pub fn far_behind_for(&self, now: Time) -> Span {
        if now < self.far_behind_until {
            now - self.far_behind_since
        } else {
            Span(0)
        }
    }

    /// Estimates the load if an estimate is due.
    pub fn update_load(&mut self, now: Time) {
        if now < self.next_estimate_at {
            return;
        }
        self.next_estimate_at = now + LOAD_ESTIMATE_INTERVAL;
        let change = if self.is_behind(now) {
            LOAD_RISE_FACTOR
        } else {
            LOAD_FALL_FACTOR
        };
        self.load_factor = (self.load_factor * change).clamp(1.0, MAX_LOAD_FACTOR);
    }

    /// Returns the values for the administrators' overview.
    pub fn summary(&self, now: Time) -> Value {
        json!({
            "behind": self.is_behind(now),
            "load_factor": self.load_factor,
            "input_waits_ms": self.waits.summary(),
        })
    }

    /// Returns the load of `agents` agents on this node, expressed as a number of agents of a node that keeps up.
    pub fn load_for_agents(&self, agents: u32) -> u32 {
        (f64::from(agents) * self.load_factor).round() as u32
    }
}

#[cfg(test)]
mod tests;

//! Whether this node keeps up, judged by how long its inputs wait.
//!
//! A node may be slow for many reasons: too many agents, a busy machine, a processor that is shared. Whatever the reason,
//! it shows in what waits. A node that is behind puts off what can wait, asks for fewer agents by naming a higher load to
//! its peers, and, if it leads and stays far behind, transfers leadership.

use crate::metrics::LatencyHistogram;
use crate::units::{Span, Time};
use serde_json::{json, Value};

/// A node with an input that has waited for so long is behind.
const BEHIND_WAIT: Span = Span(300);
/// It counts as behind for so long after such an input.
const BEHIND_HOLD: Span = Span(300);
/// A node with an input that has waited for so long is far behind: agents wait 4 s for an answer in all.
const FAR_BEHIND_WAIT: Span = Span(1_000);
/// It counts as far behind for so long after such an input.
const FAR_BEHIND_HOLD: Span = Span(500);
/// How often the load is estimated.
const LOAD_ESTIMATE_INTERVAL: Span = Span(500);
/// By this factor the load of a node that is behind rises with each estimate.
const LOAD_RISE: f64 = 1.25;
/// By this factor the load of a node that keeps up falls with each estimate: more slowly.
const LOAD_FALL: f64 = 0.97;
/// The load is so many times what the node's agents make it, at most.
const MAX_LOAD_FACTOR: f64 = 8.0;

/// What is known of inputs that wait.
pub(crate) struct Backlog {
    behind_until: Time,
    far_behind_since: Time,
    far_behind_until: Time,
    load_factor: f64,
    next_estimate_at: Time,
    /// How long inputs waited, for administrators.
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

    /// Whether inputs wait too long, so that only what can't wait should be done.
    pub fn is_behind(&self, now: Time) -> bool {
        now < self.behind_until
    }

    /// For how long the node has been far behind without a break.
    pub fn far_behind_for(&self, now: Time) -> Span {
        if now < self.far_behind_until {
            now - self.far_behind_since
        } else {
            Span(0)
        }
    }

    /// Estimates the load if that is due.
    pub fn update_load(&mut self, now: Time) {
        if now < self.next_estimate_at {
            return;
        }
        self.next_estimate_at = now + LOAD_ESTIMATE_INTERVAL;
        let change = if self.is_behind(now) {
            LOAD_RISE
        } else {
            LOAD_FALL
        };
        self.load_factor = (self.load_factor * change).clamp(1.0, MAX_LOAD_FACTOR);
    }

    /// What administrators see.
    pub fn summary(&self, now: Time) -> Value {
        json!({
            "behind": self.is_behind(now),
            "load_factor": self.load_factor,
            "input_waits_ms": self.waits.summary(),
        })
    }

    /// The load that so many agents are for this node, in agents of a node that keeps up.
    pub fn load_for_agents(&self, agents: u32) -> u32 {
        (f64::from(agents) * self.load_factor).round() as u32
    }
}

#[cfg(test)]
mod tests;

//! Whether this node keeps up, judged by how long its inputs wait.
//!
//! A node may be slow for many reasons: too many workers, a busy machine, a processor that is shared. Whatever
//! the reason, it shows in what waits. A node that is behind puts off what can wait, asks for fewer workers by
//! naming a higher load to its peers, and, if it leads and stays far behind, makes way.

use crate::metrics::Latency;
use crate::units::{Span, Time};
use serde_json::{json, Value};

/// A node with an input that has waited for so long is behind, and for so long after that.
const BEHIND: Span = Span(300);
const BEHIND_FOR: Span = Span(300);
/// One with an input that has waited for so long is far behind: workers wait for 4 s in all.
const FAR_BEHIND: Span = Span(1_000);
const FAR_BEHIND_FOR: Span = Span(500);
/// How often the load is estimated anew.
const ESTIMATE: Span = Span(500);
/// The load of a node that is behind is taken to be so much higher each time, at most so many times as high as
/// its workers make it; of one that keeps up it falls back more slowly.
const RISE: f64 = 1.25;
const FALL: f64 = 0.97;
const HIGHEST: f64 = 8.0;

/// What is known of inputs that wait.
pub(crate) struct Backlog {
    behind_until: Time,
    far_behind_since: Time,
    far_behind_until: Time,
    load_factor: f64,
    next_estimate: Time,
    /// How long inputs waited, for administrators.
    waits: Latency,
}

impl Default for Backlog {
    fn default() -> Self {
        Self {
            behind_until: Time(0),
            far_behind_since: Time(0),
            far_behind_until: Time(0),
            load_factor: 1.0,
            next_estimate: Time(0),
            waits: Latency::default(),
        }
    }
}

impl Backlog {
    /// Notes how long an input has waited.
    pub fn note_wait(&mut self, now: Time, waited: Span) {
        self.waits.record(waited);
        if waited >= BEHIND {
            self.behind_until = now + BEHIND_FOR;
        }
        if waited >= FAR_BEHIND {
            if now >= self.far_behind_until {
                self.far_behind_since = now;
            }
            self.far_behind_until = now + FAR_BEHIND_FOR;
        }
    }

    /// Whether inputs wait too long, so that only what can't wait is to be done.
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

    /// Estimates the load anew if that is due.
    pub fn tick(&mut self, now: Time) {
        if now < self.next_estimate {
            return;
        }
        self.next_estimate = now + ESTIMATE;
        let change = if self.is_behind(now) { RISE } else { FALL };
        self.load_factor = (self.load_factor * change).clamp(1.0, HIGHEST);
    }

    /// What administrators are told.
    pub fn summary(&self, now: Time) -> Value {
        json!({
            "behind": self.is_behind(now),
            "load_factor": self.load_factor,
            "input_waits_ms": self.waits.summary(),
        })
    }

    /// The load that so many workers are for this node, in workers of one that keeps up.
    pub fn load_of(&self, workers: u32) -> u32 {
        (f64::from(workers) * self.load_factor).round() as u32
    }
}

#[cfg(test)]
mod tests;

//! Stretches intervals on nodes with a small share of a processor.
//!
//! The cost of much frequent work depends mostly on how often it is done: a message between nodes, a wake-up, a call to
//! an agent. The intervals in this crate suit nodes with at least 6.4% of a core. A node with less does the same work
//! less often and in larger batches, so that the work takes the same fraction of the node's share. Nothing that a
//! safety rule depends on is stretched: leases, fencing, heartbeats, margins for clock drift.

use crate::units::Span;
use rudderreel_wire::settings::Settings;

/// Smallest share of a core for which intervals are not stretched.
const REFERENCE_SHARE: f64 = 0.064;
/// Upper bound of the stretch factor, however small the share is.
const MAX_STRETCH: f64 = 4.0;

/// How much less often a node does costly work, derived from its share of a processor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessorShare {
    /// Factor by which intervals are longer: 1 on a node with a sufficient share.
    stretch: f64,
}

impl ProcessorShare {
    /// Returns the value that follows from the settings. A node whose share is not in the settings is assumed to have a
    /// sufficient one.
    pub fn of(settings: &Settings) -> Self {
        let share = (settings.params.limits.as_ref()).and_then(|limits| limits.cpu_share);
        let stretch = share.map_or(1.0, |share| REFERENCE_SHARE / share);
        Self {
            stretch: stretch.clamp(1.0, MAX_STRETCH),
        }
    }

    /// Returns an interval, stretched as this node needs it.
    pub fn stretched(&self, interval: Span) -> Span {
        Span((interval.0 as f64 * self.stretch) as u64)
    }

    /// Returns a rate per second, reduced as this node needs it.
    pub fn slowed(&self, per_s: f64) -> f64 {
        per_s / self.stretch
    }
}

#[cfg(test)]
mod tests;

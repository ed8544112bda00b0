//! Intervals that follow from the share of a processor that the node has.
//!
//! Much that a node does often costs mostly by how often it is done: a message between nodes, a wake-up, a call to an
//! agent. The intervals in this crate were chosen and measured on nodes with 6.4% of a core and more. A node with less
//! does the same work less often and in larger parts, so that it takes the same portion of what it has. Nothing that a
//! safety rule depends on is stretched: leases, fencing, heartbeats, margins for clock drift.

use crate::units::Span;
use rudderreel_wire::settings::Settings;

/// The smallest share of a core on which the intervals hold as they are written.
const REFERENCE_SHARE: f64 = 0.064;
/// However small the share is, nothing is done more than so many times less often.
const MAX_STRETCH: f64 = 4.0;

/// How much less often a node does costly things.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessorShare {
    /// By what factor intervals are longer: 1 on a node that has enough.
    stretch: f64,
}

impl ProcessorShare {
    /// By the settings. A node whose share is not in them is assumed to have enough.
    pub fn of(settings: &Settings) -> Self {
        let share = (settings.params.limits.as_ref()).and_then(|limits| limits.cpu_share);
        let stretch = share.map_or(1.0, |share| REFERENCE_SHARE / share);
        Self {
            stretch: stretch.clamp(1.0, MAX_STRETCH),
        }
    }

    /// An interval, as long as it is on this node.
    pub fn stretched(&self, interval: Span) -> Span {
        Span((interval.0 as f64 * self.stretch) as u64)
    }

    /// A rate a second, as high as it is on this node.
    pub fn slowed(&self, per_s: f64) -> f64 {
        per_s / self.stretch
    }
}

#[cfg(test)]
mod tests;

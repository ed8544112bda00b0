//! Pauses of the whole process, during which its main loop did not run although its clock advanced.
//!
//! A machine that swaps, a busy hypervisor or a debugger may pause a process for a minute. No decision depends on the
//! pauses recorded here. They tell operators why a node that looked alive did nothing, and afterwards did everything
//! late.

use crate::units::{Span, Time};

/// Minimum gap between two ticks that counts as a pause. Ticks occur many times a second.
const MIN_PAUSE: Span = Span(1_000);

/// Number of this process's pauses, and the duration of the last one.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessPauses {
    last_tick_at: Option<Time>,
    count: u64,
    last: Span,
}

impl ProcessPauses {
    /// Records a tick, and logs a warning if the process was paused since the previous one.
    pub fn record_tick(&mut self, now: Time) {
        let gap = self.last_tick_at.map_or(Span(0), |at| now - at);
        self.last_tick_at = Some(now);
        if gap >= MIN_PAUSE {
            self.count += 1;
            self.last = gap;
            log::warn!("process was paused paused_ms={}", gap.0);
        }
    }

    /// Returns the number of pauses since the process started.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the duration of the last pause; zero if there was none.
    pub fn last(&self) -> Span {
        self.last
    }
}

#[cfg(test)]
mod tests;

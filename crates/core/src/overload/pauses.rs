//! Pauses of the whole process: the main loop did not run although its clock did.
//!
//! A machine that swaps, a busy hypervisor or a debugger may hold a process up for a minute. Nothing is decided by what
//! is recorded here. It tells operators why a node that looked alive did nothing, and did everything late afterwards.

use crate::units::{Span, Time};

/// Ticks come many times a second; a longer gap between two is a pause.
const MIN_PAUSE: Span = Span(1_000);

/// The pauses of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessPauses {
    last_tick_at: Option<Time>,
    count: u64,
    last: Span,
}

impl ProcessPauses {
    /// A tick comes; logs it if the process has stood still since the one before.
    pub fn record_tick(&mut self, now: Time) {
        let gap = self.last_tick_at.map_or(Span(0), |at| now - at);
        self.last_tick_at = Some(now);
        if gap >= MIN_PAUSE {
            self.count += 1;
            self.last = gap;
            log::warn!("process stood still paused_ms={}", gap.0);
        }
    }

    /// How many pauses there were.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// How long the last one was.
    pub fn last(&self) -> Span {
        self.last
    }
}

#[cfg(test)]
mod tests;

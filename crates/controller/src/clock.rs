//! The monotonic clock and the wall clock.

use rudderreel_core::units::{Now, Time, Wall};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Source of monotonic and wall clock time.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

/// Monotonic time at the start of the process, in milliseconds. It is above zero so that moments before the start can
/// be represented.
const START_MS: u64 = 1_000_000;

impl Clock {
    /// Creates a clock whose monotonic time starts now.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the monotonic time.
    pub fn time(&self) -> Time {
        Time(self.0.elapsed().as_millis() as u64 + START_MS)
    }

    /// Returns the time of both clocks.
    pub fn now(&self) -> Now {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Now {
            time: self.time(),
            wall: Wall(wall.as_millis() as u64),
        }
    }
}

//! The steady clock and the time of day.

use rudderreel_core::units::{Now, Time, Wall};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The steady clock and the time of day.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

/// The clock starts above zero, so that moments in the past can be written.
const START_MS: u64 = 1_000_000;

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The steady clock.
    pub fn time(&self) -> Time {
        Time(self.0.elapsed().as_millis() as u64 + START_MS)
    }

    /// Both clocks.
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

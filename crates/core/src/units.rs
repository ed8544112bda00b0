//! Types for times and amounts, so that milliseconds, times of day and resources can't be mixed up.
//!
//! * [`Time`] is a moment on the monotonic clock: every decision by elapsed time uses it.
//! * [`Wall`] is a time of day: it is stored and shown, and may jump within the bound in the settings.
//! * [`Span`] is a duration. Differences saturate at zero: no time has elapsed since a moment in the future.
//! * [`Resources`] are amounts in thousandths, so that sums are exact.

use rudderreel_wire::{cloud::MachineType, job::JobSpec};
use serde::{Deserialize, Serialize};

/// A moment on this process's monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A time of day, in milliseconds since 1970. It may be wrong by as much as the bound in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Wall(pub u64);

/// A duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

/// Both clocks at the same moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Time on the monotonic clock.
    pub time: Time,
    /// Time of day.
    pub wall: Wall,
}

const MS_PER_S: f64 = 1000.0;
/// Two clocks drift apart by at most one part in this many, since each of them drifts by at most 0.05%.
const RELATIVE_DRIFT_DIVISOR: u64 = 1000;

impl Span {
    /// Converts from seconds, rounding up; a negative number counts as zero.
    pub fn secs(seconds: f64) -> Self {
        Self((seconds.max(0.0) * MS_PER_S).ceil() as u64)
    }

    /// Returns this span, extended by the time that two clocks may drift apart during it.
    pub fn with_drift(self) -> Self {
        Self(self.0 + self.0.div_ceil(RELATIVE_DRIFT_DIVISOR))
    }

    /// Converts to seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / MS_PER_S
    }
}

impl Wall {
    /// Returns the time until a later moment; zero if that has passed.
    pub fn until(self, later: Self) -> Span {
        Span(later.0.saturating_sub(self.0))
    }
}

impl std::ops::Add<Span> for Wall {
    type Output = Wall;
    fn add(self, span: Span) -> Wall {
        Wall(self.0.saturating_add(span.0))
    }
}

impl std::ops::Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl std::ops::Add<Span> for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl std::ops::Sub<Time> for Time {
    type Output = Span;
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

/// An amount of each resource, in thousandths of its unit, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a CPU.
    pub cpus: i64,
    /// Thousandths of a GPU.
    pub gpus: i64,
    /// Memory, in thousandths of a GB.
    pub memory: i64,
}

const THOUSANDTHS_PER_UNIT: f64 = 1000.0;
/// An amount this close to a whole number of thousandths is rounded to that number, not to the next one.
const ROUNDING_TOLERANCE: f64 = 1e-6;

fn thousandths_rounded_up(amount: f64) -> i64 {
    (amount * THOUSANDTHS_PER_UNIT - ROUNDING_TOLERANCE).ceil() as i64
}

fn thousandths_rounded_down(amount: f64) -> i64 {
    (amount * THOUSANDTHS_PER_UNIT + ROUNDING_TOLERANCE).floor() as i64
}

impl Resources {
    /// Returns the resources that one task of a job needs, rounded up.
    pub fn of_task(spec: &JobSpec) -> Self {
        Self {
            cpus: thousandths_rounded_up(spec.cpus),
            gpus: thousandths_rounded_up(spec.gpus),
            memory: thousandths_rounded_up(spec.memory_gb),
        }
    }

    /// Returns the resources of a machine of a type, rounded down.
    pub fn of_machine(machine_type: &MachineType) -> Self {
        Self {
            cpus: thousandths_rounded_down(machine_type.cpus),
            gpus: thousandths_rounded_down(machine_type.gpus),
            memory: thousandths_rounded_down(machine_type.memory_gb),
        }
    }

    /// Returns whether `other` fits into these resources.
    pub fn holds(&self, other: &Self) -> bool {
        self.cpus >= other.cpus && self.gpus >= other.gpus && self.memory >= other.memory
    }

    /// Returns these resources multiplied by `n`.
    pub fn times(&self, n: u32) -> Self {
        let n = i64::from(n);
        Self {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory: self.memory * n,
        }
    }

    /// Returns how many times `other` fits into these resources. A resource that `other` does not need sets no limit.
    pub fn fit_count(&self, other: &Self) -> u32 {
        let times = |have: i64, need: i64| {
            if need <= 0 {
                i64::MAX
            } else {
                have.max(0) / need
            }
        };
        times(self.cpus, other.cpus)
            .min(times(self.gpus, other.gpus))
            .min(times(self.memory, other.memory))
            .min(i64::from(u32::MAX)) as u32
    }
}

impl std::ops::AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory += other.memory;
    }
}

impl std::ops::SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory -= other.memory;
    }
}

impl std::ops::Add for Resources {
    type Output = Self;
    fn add(mut self, other: Self) -> Self {
        self += other;
        self
    }
}

impl std::ops::Sub for Resources {
    type Output = Self;
    fn sub(mut self, other: Self) -> Self {
        self -= other;
        self
    }
}

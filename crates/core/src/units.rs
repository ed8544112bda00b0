//! Times and amounts.

use rudderreel_wire::{cloud::MachineType, job::JobSpec};
use serde::{Deserialize, Serialize};

/// A moment on this process's steady clock, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A time of day, in milliseconds since 1970. It may be off by the bound in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Wall(pub u64);

/// A length of time in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

/// Both clocks at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Steady clock.
    pub time: Time,
    /// Time of day.
    pub wall: Wall,
}

impl Span {
    /// From seconds.
    pub fn secs(s: f64) -> Self {
        Self((s.max(0.0) * 1000.0).ceil() as u64)
    }

    /// This span and what clocks may drift apart meanwhile (0.05% each way).
    pub fn with_drift(self) -> Self {
        Self(self.0 + self.0.div_ceil(1000))
    }

    /// In seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Wall {
    /// How long it is until a later moment; nothing if that is over.
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
    fn add(self, more: Span) -> Span {
        Span(self.0.saturating_add(more.0))
    }
}

impl std::ops::Sub<Time> for Time {
    type Output = Span;
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

/// An amount of each resource, in thousandths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// CPUs.
    pub cpus: i64,
    /// GPUs.
    pub gpus: i64,
    /// Memory in GB.
    pub memory: i64,
}

fn up(x: f64) -> i64 {
    (x * 1000.0 - 1e-6).ceil() as i64
}

fn down(x: f64) -> i64 {
    (x * 1000.0 + 1e-6).floor() as i64
}

impl Resources {
    /// What one task of a job takes, rounded up.
    pub fn of_task(spec: &JobSpec) -> Self {
        Self {
            cpus: up(spec.cpus),
            gpus: up(spec.gpus),
            memory: up(spec.memory_gb),
        }
    }

    /// What a machine offers, rounded down.
    pub fn of_machine(m: &MachineType) -> Self {
        Self {
            cpus: down(m.cpus),
            gpus: down(m.gpus),
            memory: down(m.memory_gb),
        }
    }

    /// Whether `other` fits into this.
    pub fn holds(&self, other: &Self) -> bool {
        self.cpus >= other.cpus && self.gpus >= other.gpus && self.memory >= other.memory
    }

    /// This, `n` times.
    pub fn times(&self, n: u32) -> Self {
        let n = i64::from(n);
        Self {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory: self.memory * n,
        }
    }

    /// How many times `other` fits into this.
    pub fn count(&self, other: &Self) -> u32 {
        let per = |have: i64, need: i64| {
            if need <= 0 {
                i64::MAX
            } else {
                have.max(0) / need
            }
        };
        per(self.cpus, other.cpus)
            .min(per(self.gpus, other.gpus))
            .min(per(self.memory, other.memory))
            .min(i64::from(u32::MAX)) as u32
    }
}

impl std::ops::AddAssign for Resources {
    fn add_assign(&mut self, o: Self) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.memory += o.memory;
    }
}

impl std::ops::SubAssign for Resources {
    fn sub_assign(&mut self, o: Self) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.memory -= o.memory;
    }
}

impl std::ops::Add for Resources {
    type Output = Self;
    fn add(mut self, o: Self) -> Self {
        self += o;
        self
    }
}

impl std::ops::Sub for Resources {
    type Output = Self;
    fn sub(mut self, o: Self) -> Self {
        self -= o;
        self
    }
}

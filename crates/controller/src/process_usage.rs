//! What this process uses of what the platform allows it, for administrators.

use rudderreel_wire::settings::Settings;
use serde::Serialize;

/// The kernel counts processor time in so many ticks a second.
const TICKS_PER_S: f64 = 100.0;
/// Where in `/proc/self/stat`, after the name, the time in user mode stands; that in the kernel follows.
const USER_TICKS: usize = 11;

/// What the platform allows this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    core_share: Option<f64>,
    memory_mb: Option<f64>,
}

impl Allowance {
    /// By the settings.
    pub fn of(settings: &Settings) -> Self {
        let limits = settings.params.limits.as_ref();
        Self {
            core_share: limits.and_then(|limits| limits.cpu_share),
            memory_mb: limits.and_then(|limits| limits.memory_mb),
        }
    }

    /// What the process uses beside what it may. What the system does not tell is null.
    pub fn with_usage(&self) -> ProcessUsage {
        let read = |file: &str| std::fs::read_to_string(file).unwrap_or_default();
        let status = read("/proc/self/status");
        ProcessUsage {
            core_share: self.core_share,
            memory_limit_mb: self.memory_mb,
            memory_mb: memory_mb(&status, "VmRSS:"),
            memory_peak_mb: memory_mb(&status, "VmHWM:"),
            processor_s: processor_s(&read("/proc/self/stat")),
        }
    }
}

/// What the process uses beside what it may, as administrators see it.
#[derive(Debug, Serialize)]
pub struct ProcessUsage {
    core_share: Option<f64>,
    memory_limit_mb: Option<f64>,
    memory_mb: Option<f64>,
    memory_peak_mb: Option<f64>,
    processor_s: Option<f64>,
}

/// Megabytes that a line of the status names.
fn memory_mb(status: &str, name: &str) -> Option<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    let kib: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * 1_024.0 / 1e6)
}

/// Seconds on a processor since the process began.
fn processor_s(stat: &str) -> Option<f64> {
    // The name stands in brackets and may hold anything.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks = fields.split_whitespace().skip(USER_TICKS).take(2);
    let ticks: Vec<f64> = ticks.map(str::parse).collect::<Result<_, _>>().ok()?;
    (ticks.len() == 2).then(|| ticks.iter().sum::<f64>() / TICKS_PER_S)
}

#[cfg(test)]
mod tests;

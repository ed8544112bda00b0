//! Resource usage of this process and the platform's limits, for the administration API.

use rudderreel_wire::settings::Settings;
use serde::Serialize;

/// Clock ticks per second in which the kernel reports processor time.
const TICKS_PER_S: f64 = 100.0;
/// Index of the user-mode time in `/proc/self/stat` among the fields after the process name. The kernel-mode time
/// follows it.
const USER_TIME_FIELD: usize = 11;

/// Resources that the platform allows this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceLimits {
    core_share: Option<f64>,
    memory_mb: Option<f64>,
}

impl ResourceLimits {
    /// Returns the limits in the settings.
    pub fn of(settings: &Settings) -> Self {
        let limits = settings.params.limits.as_ref();
        Self {
            core_share: limits.and_then(|limits| limits.cpu_share),
            memory_mb: limits.and_then(|limits| limits.memory_mb),
        }
    }

    /// Returns the present usage and the limits. Values that the system does not report are `None`.
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

/// Usage and limits, as the administration API returns them.
#[derive(Debug, Serialize)]
pub struct ProcessUsage {
    core_share: Option<f64>,
    memory_limit_mb: Option<f64>,
    memory_mb: Option<f64>,
    memory_peak_mb: Option<f64>,
    processor_s: Option<f64>,
}

/// Returns the value of a line of `/proc/self/status` that begins with `name`, in MB (10^6 bytes).
fn memory_mb(status: &str, name: &str) -> Option<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    let kib: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * 1_024.0 / 1e6)
}

/// Returns the processor time used since the process started, in seconds, from the text of `/proc/self/stat`.
fn processor_s(stat: &str) -> Option<f64> {
    // The process name is in parentheses and may contain any characters.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: Vec<f64> = ticks.map(str::parse).collect::<Result<_, _>>().ok()?;
    (ticks.len() == 2).then(|| ticks.iter().sum::<f64>() / TICKS_PER_S)
}

#[cfg(test)]
mod tests;

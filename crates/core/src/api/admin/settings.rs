//! Bounds of the operators' settings.

use crate::teams::team_tree::{TeamSettingsError, TeamTree};
use rudderreel_wire::admin::AdminSettings;
use std::ops::RangeInclusive;

/// The longest time that may be set, in seconds.
const DAY_S: f64 = 86_400.0;
const PERIOD_S: RangeInclusive<f64> = 0.1..=60.0;
const RECLAIM_MULTIPLIER: RangeInclusive<f64> = 1.0..=100.0;
const RESERVE_FACTOR: RangeInclusive<f64> = 0.0..=100.0;
const MACHINES: RangeInclusive<f64> = 0.0..=1e6;

/// What is wrong with operators' settings: the first that can't be.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A number lies outside its bounds, or is none.
    #[error("{field}: must be from {least} to {most}")]
    OutOfRange {
        /// The setting.
        field: &'static str,
        /// Its lower bound.
        least: f64,
        /// Its upper bound.
        most: f64,
    },
    /// The settings of a team or group can't be.
    #[error(transparent)]
    Teams(#[from] TeamSettingsError),
}

/// Checks operators' settings. Returns the platform's team tree with the operators' settings laid over it.
pub fn check(settings: &AdminSettings, platform: &TeamTree) -> Result<TeamTree, SettingsError> {
    let day = 0.0..=DAY_S;
    check_range("period_s", settings.period_s, &PERIOD_S)?;
    let multiplier = settings.reclaim_multiplier;
    check_range("reclaim_multiplier", multiplier, &RECLAIM_MULTIPLIER)?;
    check_range(
        "reclaim_min_runtime_s",
        settings.reclaim_min_runtime_s,
        &day,
    )?;
    check_range(
        "preempt_min_runtime_s",
        settings.preempt_min_runtime_s,
        &day,
    )?;
    check_range("keep_idle_s", settings.keep_idle_s, &day)?;
    check_range("reserve_factor", settings.reserve_factor, &RESERVE_FACTOR)?;
    check_range(
        "spread_reports_from",
        settings.spread_reports_from,
        &MACHINES,
    )?;
    Ok(platform.with_settings(&settings.teams)?)
}

fn check_range(
    field: &'static str,
    value: f64,
    range: &RangeInclusive<f64>,
) -> Result<(), SettingsError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(SettingsError::OutOfRange {
        field,
        least: *range.start(),
        most: *range.end(),
    })
}

#[cfg(test)]
mod tests;

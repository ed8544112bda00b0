//! Validation of the operators' settings: bounds of the numbers, and the team tree that results.

use crate::teams::team_tree::{TeamSettingsError, TeamTree};
use rudderreel_wire::admin::AdminSettings;
use std::ops::RangeInclusive;

/// The longest time that may be set, in seconds: one day.
const MAX_TIME_S: f64 = 86_400.0;
const PERIOD_S_RANGE: RangeInclusive<f64> = 0.1..=60.0;
const RECLAIM_MULTIPLIER_RANGE: RangeInclusive<f64> = 1.0..=100.0;
const RESERVE_FACTOR_RANGE: RangeInclusive<f64> = 0.0..=100.0;
const MACHINE_COUNT_RANGE: RangeInclusive<f64> = 0.0..=1e6;

/// The first invalid value of the operators' settings.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A number lies outside its bounds, or is not a number (NaN).
    #[error("{field}: must be from {min} to {max}")]
    OutOfRange {
        /// Name of the setting.
        field: &'static str,
        /// Lower bound of the setting.
        min: f64,
        /// Upper bound of the setting.
        max: f64,
    },
    /// The settings of a team or group are invalid.
    #[error(transparent)]
    Teams(#[from] TeamSettingsError),
}

/// Checks operators' settings. Returns the platform's team tree with the operators' settings of teams applied to it.
pub fn check(settings: &AdminSettings, platform: &TeamTree) -> Result<TeamTree, SettingsError> {
    let time_range = 0.0..=MAX_TIME_S;
    check_range("period_s", settings.period_s, &PERIOD_S_RANGE)?;
    let multiplier = settings.reclaim_multiplier;
    check_range("reclaim_multiplier", multiplier, &RECLAIM_MULTIPLIER_RANGE)?;
    check_range(
        "reclaim_min_runtime_s",
        settings.reclaim_min_runtime_s,
        &time_range,
    )?;
    check_range(
        "preempt_min_runtime_s",
        settings.preempt_min_runtime_s,
        &time_range,
    )?;
    check_range("keep_idle_s", settings.keep_idle_s, &time_range)?;
    check_range(
        "reserve_factor",
        settings.reserve_factor,
        &RESERVE_FACTOR_RANGE,
    )?;
    check_range(
        "spread_reports_from",
        settings.spread_reports_from,
        &MACHINE_COUNT_RANGE,
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
        min: *range.start(),
        max: *range.end(),
    })
}

#[cfg(test)]
mod tests;

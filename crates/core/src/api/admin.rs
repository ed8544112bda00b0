//! The administration API: operators' settings, and explanations. Any node answers; what only the
//! leader knows is asked of it.

pub(crate) mod views;

use crate::teams::team_tree::TeamTree;
use rudderreel_wire::admin::AdminSettings;

/// Names the first setting that can't be, and why.
pub fn check(settings: &AdminSettings, platform: &TeamTree) -> Result<TeamTree, String> {
    let bounds = [
        ("period_s", settings.period_s, 0.1, 60.0),
        (
            "reclaim_multiplier",
            settings.reclaim_multiplier,
            1.0,
            100.0,
        ),
        (
            "reclaim_min_runtime_s",
            settings.reclaim_min_runtime_s,
            0.0,
            86_400.0,
        ),
        (
            "preempt_min_runtime_s",
            settings.preempt_min_runtime_s,
            0.0,
            86_400.0,
        ),
        ("keep_idle_s", settings.keep_idle_s, 0.0, 86_400.0),
        ("reserve_factor", settings.reserve_factor, 0.0, 100.0),
        (
            "spread_reports_from",
            settings.spread_reports_from,
            0.0,
            1e6,
        ),
    ];
    for (name, value, least, most) in bounds {
        if !(least..=most).contains(&value) {
            return Err(format!("{name}: must be from {least} to {most}"));
        }
    }
    (platform.with(&settings.teams)).map_err(|error| error.to_string())
}

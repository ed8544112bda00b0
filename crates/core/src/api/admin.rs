//! The administration API: operators' settings, and explanations. Any node answers; what only the
//! leader knows is asked of it.

pub(crate) mod views;

use crate::teams::team_tree::TeamTree;
use rudderreel_wire::admin::{AdminSettings, Versioned};
use rudderreel_wire::ids::{JobId, MachineId};

/// Path of the list of machines, and what asks for those after a name.
const MACHINES: &str = "/admin/machines";
const AFTER: &str = "?after=";

/// What an administrator asks for.
#[derive(Clone, Debug)]
pub enum AdminRequest {
    /// How the deployment is doing.
    Overview,
    /// Who uses what, against quota, limit and share.
    Teams,
    /// Machines after a name, and what they cost.
    Machines(Option<MachineId>),
    /// Why a job is where it is.
    Job(JobId),
    /// Tasks that were stopped lately, and why.
    Stops,
    /// The operators' settings.
    Settings,
    /// Replace the operators' settings.
    Replace(Box<Versioned>),
}

impl AdminRequest {
    /// The path that asks for it.
    pub fn path(&self) -> String {
        match self {
            Self::Overview => "/admin/overview".into(),
            Self::Teams => "/admin/teams".into(),
            Self::Machines(None) => MACHINES.into(),
            Self::Machines(Some(after)) => format!("{MACHINES}{AFTER}{after}"),
            Self::Job(id) => format!("/admin/jobs/{id}"),
            Self::Stops => "/admin/stops".into(),
            Self::Settings | Self::Replace(_) => "/admin/settings".into(),
        }
    }

    /// The request of a GET path.
    pub fn of_path(path: &str) -> Option<Self> {
        let after = path
            .strip_prefix(MACHINES)
            .and_then(|p| p.strip_prefix(AFTER));
        if let Some(after) = after.filter(|name| !name.is_empty()) {
            return Some(Self::Machines(Some(after.into())));
        }
        Some(match path {
            "/admin/overview" => Self::Overview,
            "/admin/teams" => Self::Teams,
            MACHINES => Self::Machines(None),
            "/admin/stops" => Self::Stops,
            "/admin/settings" => Self::Settings,
            _ => Self::Job(path.strip_prefix("/admin/jobs/")?.parse().ok()?),
        })
    }
}

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
    platform.with(&settings.teams)
}

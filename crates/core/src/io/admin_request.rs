//! Administrators' requests and their paths. A node forwards a request to the leader by its path.

use rudderreel_wire::admin::Versioned;
use rudderreel_wire::ids::{JobId, MachineId};

/// Path of the list of machines.
const MACHINES_PATH: &str = "/admin/machines";
/// Query that limits the list to the machines after a name.
const AFTER_QUERY: &str = "?after=";

/// An administrator's request.
#[derive(Clone, Debug)]
pub enum AdminRequest {
    /// The state of the deployment.
    Overview,
    /// Resources that each team uses, with its quota, limit and share.
    Teams,
    /// A page of the machines after a name, or from the first, with their prices.
    Machines(Option<MachineId>),
    /// The state of a job, and the reason why its next task is not started.
    Job(JobId),
    /// Tasks that were stopped recently, with the reasons.
    Stops,
    /// The operators' settings.
    Settings,
    /// Replace the operators' settings.
    ReplaceSettings(Box<Versioned>),
}

impl AdminRequest {
    /// Returns the path of the request.
    pub fn path(&self) -> String {
        match self {
            Self::Overview => "/admin/overview".into(),
            Self::Teams => "/admin/teams".into(),
            Self::Machines(None) => MACHINES_PATH.into(),
            Self::Machines(Some(after)) => format!("{MACHINES_PATH}{AFTER_QUERY}{after}"),
            Self::Job(id) => format!("/admin/jobs/{id}"),
            Self::Stops => "/admin/stops".into(),
            Self::Settings | Self::ReplaceSettings(_) => "/admin/settings".into(),
        }
    }

    /// Returns the request that a GET of `path` makes, or `None` if there is none.
    pub fn of_path(path: &str) -> Option<Self> {
        let after = path
            .strip_prefix(MACHINES_PATH)
            .and_then(|p| p.strip_prefix(AFTER_QUERY));
        if let Some(after) = after.filter(|name| !name.is_empty()) {
            return Some(Self::Machines(Some(after.into())));
        }
        Some(match path {
            "/admin/overview" => Self::Overview,
            "/admin/teams" => Self::Teams,
            MACHINES_PATH => Self::Machines(None),
            "/admin/stops" => Self::Stops,
            "/admin/settings" => Self::Settings,
            _ => Self::Job(path.strip_prefix("/admin/jobs/")?.parse().ok()?),
        })
    }
}

#[cfg(test)]
mod tests;

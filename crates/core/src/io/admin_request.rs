//! What administrators ask for, and the paths by which they ask. A node forwards a request to the leader by its path.

use rudderreel_wire::admin::Versioned;
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
    ReplaceSettings(Box<Versioned>),
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
            Self::Settings | Self::ReplaceSettings(_) => "/admin/settings".into(),
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

#[cfg(test)]
mod tests;

//! The settings file that the platform hands over.

use crate::ids::{Class, NodeName, Team, Zone};
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum BadSettings {
    /// Not TOML, or a field is missing or of the wrong type.
    #[error("{0}")]
    Parse(String),
    /// A field's value can't be right.
    #[error("field `{0}`: {1}")]
    Value(String, String),
}

/// All settings.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This node's name.
    pub node: NodeName,
    /// Its zone.
    #[serde(rename = "domain")]
    pub zone: Zone,
    /// The address of the public API listener, for users and agents.
    #[serde(rename = "front")]
    pub listen: SocketAddrV4,
    /// The address of the peer listener, for other nodes and administrators.
    #[serde(rename = "peer_bind")]
    pub peer_listen: SocketAddrV4,
    /// The other nodes.
    #[serde(rename = "members", default)]
    pub peers: Vec<Peer>,
    /// The services outside.
    #[serde(rename = "outside")]
    pub services: Services,
    /// The deployment.
    pub params: Params,
}

/// Another node.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node: NodeName,
    /// Where it listens for peers.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddrV4,
}

/// The services outside.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud.
    pub cloud: SocketAddrV4,
    /// The state service.
    pub state: SocketAddrV4,
}

/// The deployment.
#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    /// Number of controller nodes.
    pub nodes: u32,
    /// All zones.
    #[serde(default)]
    pub zones: Vec<Zone>,
    /// How far the time of day may be off.
    #[serde(default)]
    pub clock_error_ms: f64,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<TeamLimits>,
    /// The service-level objectives, as users state them.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The timings of agents.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// What this process may use.
    #[serde(rename = "machine_limits", default)]
    pub limits: Option<PlatformLimits>,
}

/// A team's guarantee and limit. 0 means none.
#[derive(Clone, Debug, Deserialize)]
pub struct TeamLimits {
    /// Its name.
    pub name: Team,
    /// CPUs guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// CPUs at most.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// GPUs at most.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What is counted.
    pub kind: String,
    /// The class of jobs that it is about.
    #[serde(default)]
    pub class: Option<Class>,
    /// Within what time.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For what share.
    #[serde(default)]
    pub share: Option<f64>,
}

/// The timings of agents.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Interval of status reports.
    pub report_s: f64,
    /// How long an agent keeps its tasks running without an answer: its lease.
    pub lease_s: f64,
    /// How long a gang's task waits for the others.
    pub gang_wait_s: f64,
    /// How soon the tasks of a gang notice that one of them is lost.
    pub gang_peer_s: f64,
    /// How long the tasks of a cancelled job may remain.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// KiB per value.
    pub value_kb: f64,
    /// Puts and deletes per transaction.
    pub txn_ops: usize,
    /// Limits that may come into force at any moment.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// Announced limits of the state service. What is missing stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct NextStateLimits {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Puts and deletes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// KiB per value.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Puts and deletes per transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// How late the machine list is.
    pub list_lag_s: f64,
}

/// What this process may use.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformLimits {
    /// Part of one core; none if the platform names none.
    #[serde(rename = "core_share", default)]
    pub cpu_share: Option<f64>,
    /// Memory; none if the platform names none.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Sockets; 0 if the platform names none.
    #[serde(default)]
    pub fd_limit: u32,
}

/// The largest numbers of cores and memory that are taken for right. A larger one is a mistake in its unit.
const MOST_CORES: f64 = 4_096.0;
const MOST_MEMORY_MB: f64 = 16_777_216.0;

impl Settings {
    /// Reads and checks settings.
    pub fn parse(text: &str) -> Result<Self, BadSettings> {
        let settings: Self = toml::from_str(text).map_err(|e| {
            let line = e.span().map(|s| text[..s.start].lines().count().max(1));
            let place = line.map(|l| format!(" (line {l})")).unwrap_or_default();
            BadSettings::Parse(format!("{}{place}", e.message().replace('\n', " ")))
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), BadSettings> {
        let p = &self.params;
        let positive = [
            ("params.workers.report_s", p.workers.report_s),
            ("params.workers.lease_s", p.workers.lease_s),
            ("params.workers.gang_wait_s", p.workers.gang_wait_s),
            ("params.workers.gang_peer_s", p.workers.gang_peer_s),
            ("params.workers.cancel_s", p.workers.cancel_s),
            ("params.state.rps", p.state.rps),
            ("params.state.write_rps", p.state.write_rps),
            ("params.state.value_kb", p.state.value_kb),
            ("params.state.txn_ops", p.state.txn_ops as f64),
            ("params.cloud.rps", p.cloud.rps),
        ];
        for (name, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Err(bad(name, "must be a number above 0"));
            }
        }
        self.check_next_limits()?;
        self.check_process_limits()?;
        if !(p.cloud.list_lag_s.is_finite() && p.cloud.list_lag_s >= 0.0) {
            return Err(bad("params.cloud.list_lag_s", "must not be negative"));
        }
        if self.node.as_str().is_empty() {
            return Err(bad("node", "must not be empty"));
        }
        if self.peers.iter().any(|peer| peer.node == self.node) {
            return Err(bad("members", "must not name this node"));
        }
        if p.nodes as usize != self.peers.len() + 1 {
            let text = format!(
                "is {}, but members name {} others",
                p.nodes,
                self.peers.len()
            );
            return Err(bad("params.nodes", &text));
        }
        self.check_teams()
    }

    fn check_next_limits(&self) -> Result<(), BadSettings> {
        let Some(next) = &self.params.state.next else {
            return Ok(());
        };
        let positive = [
            ("params.state.next.rps", next.rps),
            ("params.state.next.write_rps", next.write_rps),
            ("params.state.next.value_kb", next.value_kb),
            (
                "params.state.next.txn_ops",
                next.txn_ops.map(|operations| operations as f64),
            ),
        ];
        for (name, value) in positive {
            if value.is_some_and(|value| !(value.is_finite() && value > 0.0)) {
                return Err(bad(name, "must be a number above 0"));
            }
        }
        Ok(())
    }

    fn check_process_limits(&self) -> Result<(), BadSettings> {
        let Some(limits) = &self.params.limits else {
            return Ok(());
        };
        let bounded = [
            (
                "params.machine_limits.core_share",
                limits.cpu_share,
                MOST_CORES,
            ),
            (
                "params.machine_limits.memory_mb",
                limits.memory_mb,
                MOST_MEMORY_MB,
            ),
        ];
        for (name, value, most) in bounded {
            if value.is_some_and(|value| !(value > 0.0 && value <= most)) {
                let text = format!("must be a number above 0 and at most {most}");
                return Err(bad(name, &text));
            }
        }
        Ok(())
    }

    fn check_teams(&self) -> Result<(), BadSettings> {
        for (i, team) in self.params.teams.iter().enumerate() {
            let field = |name: &str| format!("params.teams[{i}].{name}");
            let amounts = [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ];
            for (name, value) in amounts {
                if !(value.is_finite() && value >= 0.0) {
                    return Err(bad(&field(name), "must not be negative"));
                }
            }
            if self.params.teams[..i].iter().any(|t| t.name == team.name) {
                return Err(bad(&field("name"), "is used twice"));
            }
        }
        Ok(())
    }
}

fn bad(field: &str, text: &str) -> BadSettings {
    BadSettings::Value(field.into(), text.into())
}

//! The settings file that the platform provides to a node.

use crate::ids::{Class, NodeName, Team, Zone};
use serde::Deserialize;
use std::net::SocketAddrV4;

/// The reason why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum BadSettings {
    /// The file is not TOML, or a field is missing or of the wrong type.
    #[error("{0}")]
    Parse(String),
    /// A field's value is invalid: the field's path, and what is wrong.
    #[error("field `{0}`: {1}")]
    Value(String, String),
}

/// The settings of a node.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This node's name.
    pub node: NodeName,
    /// This node's zone.
    #[serde(rename = "domain")]
    pub zone: Zone,
    /// Address of the public API listener, for users and agents.
    #[serde(rename = "front")]
    pub listen: SocketAddrV4,
    /// Address of the peer listener, for other nodes and administrators.
    #[serde(rename = "peer_bind")]
    pub peer_listen: SocketAddrV4,
    /// The other nodes.
    #[serde(rename = "members", default)]
    pub peers: Vec<Peer>,
    /// The external services.
    #[serde(rename = "outside")]
    pub services: Services,
    /// The parameters of the deployment.
    pub params: Params,
}

/// Another node.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// The node's name.
    pub node: NodeName,
    /// Address of the node's peer listener.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddrV4,
}

/// The external services that a node calls.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// Address of the cloud.
    pub cloud: SocketAddrV4,
    /// Address of the state service.
    pub state: SocketAddrV4,
}

/// The parameters of the deployment.
#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    /// Number of controller nodes.
    pub nodes: u32,
    /// All zones.
    #[serde(default)]
    pub zones: Vec<Zone>,
    /// Maximum error of the time of day, in milliseconds.
    #[serde(default)]
    pub clock_error_ms: f64,
    /// The teams with their guaranteed and maximum resources.
    #[serde(default)]
    pub teams: Vec<TeamLimits>,
    /// The service-level objectives, as users state them.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The timings of agents.
    pub workers: AgentSettings,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of this process.
    #[serde(rename = "machine_limits", default)]
    pub limits: Option<PlatformLimits>,
}

/// The guaranteed and maximum resources of a team. 0 means no guarantee or no maximum.
#[derive(Clone, Debug, Deserialize)]
pub struct TeamLimits {
    /// The team's name.
    pub name: Team,
    /// Number of CPUs that are guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Number of GPUs that are guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What the objective measures: `wait` for the time until tasks start, `finished` for the time until jobs are done.
    pub kind: String,
    /// The class of jobs that the objective applies to.
    #[serde(default)]
    pub class: Option<Class>,
    /// Time within which the tasks should start or the jobs be done, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Fraction of the cases that should keep to this time.
    #[serde(default)]
    pub share: Option<f64>,
}

/// The timings of agents.
#[derive(Clone, Debug, Deserialize)]
pub struct AgentSettings {
    /// Interval of an agent's status reports, in seconds.
    pub report_s: f64,
    /// Duration of an agent's lease, in seconds: the time for which it keeps its tasks running without an answer.
    pub lease_s: f64,
    /// Time for which a task of a gang waits for the others, in seconds.
    pub gang_wait_s: f64,
    /// Time within which the tasks of a gang notice that one of them is lost, in seconds.
    pub gang_peer_s: f64,
    /// Time for which the tasks of a cancelled job may remain, in seconds.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Announced limits, which may take effect at any time.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// Announced limits of the state service. A limit that is missing does not change.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct NextStateLimits {
    /// Maximum number of requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Maximum number of puts and deletes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of puts and deletes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Lag of the machine list, in seconds.
    pub list_lag_s: f64,
}

/// Limits that the platform sets on this process.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformLimits {
    /// Processor time that the process may use, in cores; `None` if the platform sets no limit.
    #[serde(rename = "core_share", default)]
    pub cpu_share: Option<f64>,
    /// Memory that the process may use, in MB; `None` if the platform sets no limit.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Maximum number of open sockets; 0 if the platform sets no limit.
    #[serde(default)]
    pub fd_limit: u32,
}

/// Maximum values that are accepted for this process's limits. A larger value is a mistake in the unit.
const MAX_CORES: f64 = 4_096.0;
const MAX_MEMORY_MB: f64 = 16_777_216.0;

impl Settings {
    /// Parses and checks the text of a settings file.
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
                return Err(invalid_value(name, "must be a number above 0"));
            }
        }
        self.check_next_limits()?;
        self.check_process_limits()?;
        if !(p.cloud.list_lag_s.is_finite() && p.cloud.list_lag_s >= 0.0) {
            return Err(invalid_value(
                "params.cloud.list_lag_s",
                "must not be negative",
            ));
        }
        if self.node.as_str().is_empty() {
            return Err(invalid_value("node", "must not be empty"));
        }
        if self.peers.iter().any(|peer| peer.node == self.node) {
            return Err(invalid_value("members", "must not name this node"));
        }
        if p.nodes as usize != self.peers.len() + 1 {
            let text = format!(
                "is {}, but `members` names {} other nodes",
                p.nodes,
                self.peers.len()
            );
            return Err(invalid_value("params.nodes", &text));
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
                return Err(invalid_value(name, "must be a number above 0"));
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
                MAX_CORES,
            ),
            (
                "params.machine_limits.memory_mb",
                limits.memory_mb,
                MAX_MEMORY_MB,
            ),
        ];
        for (name, value, max) in bounded {
            if value.is_some_and(|value| !(value > 0.0 && value <= max)) {
                let text = format!("must be a number above 0 and at most {max}");
                return Err(invalid_value(name, &text));
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
                    return Err(invalid_value(&field(name), "must not be negative"));
                }
            }
            if self.params.teams[..i].iter().any(|t| t.name == team.name) {
                return Err(invalid_value(
                    &field("name"),
                    "names a team that an earlier entry names",
                ));
            }
        }
        Ok(())
    }
}

fn invalid_value(field: &str, text: &str) -> BadSettings {
    BadSettings::Value(field.into(), text.into())
}

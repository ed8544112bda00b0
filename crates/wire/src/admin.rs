//! Operators' settings, as the administration API returns and accepts them.

use crate::ids::{Team, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Operators' settings. They are read and replaced as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AdminSettings {
    /// Seconds between two scheduling cycles if no event requests one sooner.
    pub period_s: f64,
    /// Factor on a team's usage when reclaim compares it with the team's share: at least 1. A larger factor makes
    /// reclaim rarer.
    pub reclaim_multiplier: f64,
    /// Run time in seconds below which a task is not reclaimed.
    pub reclaim_min_runtime_s: f64,
    /// Run time in seconds below which a task is not preempted within its team.
    pub preempt_min_runtime_s: f64,
    /// Time in seconds for which an idle machine is kept; machines of cheap types are kept longer.
    pub keep_idle_s: f64,
    /// Factor on the capacity that is reserved for urgent arrivals: 1 for the usual amount, 0 for none.
    pub reserve_factor: f64,
    /// Number of machines above which agents report to all nodes, which forward the status reports to the leader.
    /// Otherwise agents report to the leader.
    pub spread_reports_from: f64,
    /// Settings of teams and groups by name. A name that the platform's settings file does not contain denotes a group
    /// of teams.
    pub teams: BTreeMap<Team, TeamSettings>,
}

/// Operators' settings for a team or a group. For a field that is missing, the platform's value applies.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TeamSettings {
    /// The group that the team or group belongs to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub parent: Option<Team>,
    /// Number of CPUs that are guaranteed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quota_cpus: Option<f64>,
    /// Number of GPUs that are guaranteed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quota_gpus: Option<f64>,
    /// Maximum number of CPUs; no more than the platform allows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit_cpus: Option<f64>,
    /// Maximum number of GPUs; no more than the platform allows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit_gpus: Option<f64>,
    /// Weight by which resources beyond the quotas are divided among siblings of the same priority.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// Order in which siblings receive resources beyond the quotas: the highest first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<i32>,
}

impl Default for AdminSettings {
    fn default() -> Self {
        Self {
            period_s: 2.0,
            reclaim_multiplier: 1.0,
            reclaim_min_runtime_s: 30.0,
            preempt_min_runtime_s: 0.0,
            spread_reports_from: 80.0,
            keep_idle_s: 20.0,
            reserve_factor: 1.0,
            teams: BTreeMap::new(),
        }
    }
}

/// Settings with their version. A change must name the version that it replaces (compare-and-swap).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// Version of the settings; 0 while nothing has been set.
    pub version: Version,
    /// The settings of this version.
    pub settings: AdminSettings,
}

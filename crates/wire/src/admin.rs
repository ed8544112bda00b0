//! Operators' settings, as the administration API shows and takes them.

use crate::ids::{Team, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Operators' settings. They are read and replaced as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AdminSettings {
    /// Seconds between two scheduling cycles if nothing requests one sooner.
    pub period_s: f64,
    /// Damps reclaim: at least 1.
    pub reclaim_multiplier: f64,
    /// Work that is younger is not reclaimed.
    pub reclaim_min_runtime_s: f64,
    /// Work that is younger is not preempted within its team.
    pub preempt_min_runtime_s: f64,
    /// How long an idle machine is kept.
    pub keep_idle_s: f64,
    /// How much capacity is reserved for urgent arrivals, as a factor: 0 for none.
    pub reserve_factor: f64,
    /// With more machines than this, agents report to all nodes, which forward their status reports to the leader;
    /// with fewer, to the leader.
    pub spread_reports_from: f64,
    /// Teams by name. Names that the platform's file does not know are groups of teams.
    pub teams: BTreeMap<Team, TeamSettings>,
}

/// Operators' settings for a team or a group. What is missing stays as the platform gives it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TeamSettings {
    /// The group that it belongs to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub parent: Option<Team>,
    /// CPUs guaranteed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quota_cpus: Option<f64>,
    /// GPUs guaranteed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quota_gpus: Option<f64>,
    /// CPUs at most; no more than the platform allows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit_cpus: Option<f64>,
    /// GPUs at most; no more than the platform allows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit_gpus: Option<f64>,
    /// Its weight in the division of what exceeds the quotas, among siblings of the same priority.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// The order in which siblings get what is left: the highest first.
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
    /// 0 while nothing has been set.
    pub version: Version,
    /// The settings.
    pub settings: AdminSettings,
}

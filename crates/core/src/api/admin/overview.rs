//! How the deployment is doing, as one node sees it.

use crate::leader::Leader;
use crate::metrics::LatencySummary;
use crate::overload::fleet_limits::FleetLimits;
use crate::overload::pauses::Pauses;
use crate::store::confirmation::CacheConfirmation;
use crate::units::Time;
use rudderreel_wire::ids::{Epoch, NodeName, Version};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// The overview. What only the leader knows is null elsewhere.
#[derive(Serialize)]
pub struct Overview<'a> {
    /// The node that answers.
    pub node: &'a NodeName,
    /// The node that leads by its key in the state service, if one does.
    pub leader: Option<&'a NodeName>,
    /// The leader's epoch.
    pub epoch: Option<Epoch>,
    /// Whether the node that answers leads.
    pub leads: bool,
    /// Whether the state service answers this node.
    pub state_service_answers: bool,
    /// Jobs in the node's cache.
    pub jobs_known: usize,
    /// How old the node's cache may be.
    pub cache: CacheAge,
    /// When the whole process stood still.
    pub pauses: PauseFigures,
    /// Records that could not be read since the node started.
    pub unreadable_records: u64,
    /// How many workers the nodes' connections suffice for.
    pub connections_for: Option<FleetLimits>,
    /// Whether the node keeps up with its inputs.
    pub backlog: Value,
    /// How long answers to users took.
    pub answers_ms: LatencySummary,
    /// What only the leader knows.
    #[serde(flatten)]
    pub leader_view: LeaderOverview<'a>,
}

/// How old a node's cache may be.
#[derive(Serialize)]
pub struct CacheAge {
    /// The revision of the state service up to which every change has been applied.
    revision: Version,
    /// Milliseconds since that was surely the newest one; null if changes may have been missed.
    confirmed_ms_ago: Option<u64>,
}

impl CacheAge {
    /// The age at a moment.
    pub fn of(cache: CacheConfirmation, now: Time) -> Self {
        Self {
            revision: cache.revision(),
            confirmed_ms_ago: cache.age(now).map(|age| age.0),
        }
    }
}

/// When the whole process stood still although its clock went on.
#[derive(Serialize)]
pub struct PauseFigures {
    /// How often since it started.
    count: u64,
    /// Milliseconds of the last pause.
    last_ms: u64,
}

impl From<Pauses> for PauseFigures {
    fn from(pauses: Pauses) -> Self {
        Self {
            count: pauses.count(),
            last_ms: pauses.last().0,
        }
    }
}

/// What only the leader knows. Without a leader all is null.
#[derive(Default, Serialize)]
pub struct LeaderOverview<'a> {
    jobs_unfinished: Option<usize>,
    machines: Option<usize>,
    machines_beyond_connections: Option<usize>,
    /// Segments of the placement log.
    #[serde(rename = "pages")]
    placement_log_segments: Option<usize>,
    counters: Option<&'a BTreeMap<&'static str, u64>>,
    start_waits_ms: Option<BTreeMap<String, LatencySummary>>,
}

impl<'a> LeaderOverview<'a> {
    /// What a leader knows.
    pub fn of(leader: &'a Leader) -> Self {
        let start_waits = leader.metrics.start_waits.iter();
        Self {
            jobs_unfinished: Some(leader.jobs.len()),
            machines: Some(leader.fleet.machines.len()),
            machines_beyond_connections: Some(leader.fleet.machines_beyond_connections),
            placement_log_segments: Some(leader.placement_log.len()),
            counters: Some(&leader.metrics.counters),
            start_waits_ms: Some(
                start_waits
                    .map(|(class, waits)| (class.to_string(), waits.summary()))
                    .collect(),
            ),
        }
    }
}

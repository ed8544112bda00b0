//! The overview: the state of the deployment as one node sees it.

use crate::leader::Leader;
use crate::metrics::LatencySummary;
use crate::overload::fleet_limits::FleetLimits;
use crate::overload::pauses::ProcessPauses;
use crate::store::confirmation::CacheConfirmation;
use crate::units::Time;
use rudderreel_wire::ids::{Epoch, NodeName, Version};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// The overview. On other nodes than the leader, the values that only the leader has are null.
#[derive(Serialize)]
pub struct Overview<'a> {
    /// The node that answers the request.
    pub node: &'a NodeName,
    /// The leader according to the leader key in the store, if there is one.
    pub leader: Option<&'a NodeName>,
    /// The leader's epoch.
    pub epoch: Option<Epoch>,
    /// Whether the node that answers the request leads.
    pub leads: bool,
    /// Whether the store answers this node.
    pub state_service_answers: bool,
    /// Number of jobs in the node's cache.
    pub jobs_known: usize,
    /// Upper bound on the age of the node's cache.
    pub cache: CacheAge,
    /// Pauses of the whole process.
    pub pauses: PauseFigures,
    /// Number of stored records that could not be read since the node started.
    pub unreadable_records: u64,
    /// Number of agents that the nodes' connections suffice for; none if the settings contain no limit on sockets.
    pub connections_for: Option<FleetLimits>,
    /// Whether the node keeps up with its inputs.
    pub backlog: Value,
    /// Latency of answers to users, in milliseconds.
    pub answers_ms: LatencySummary,
    /// The values that only the leader has.
    #[serde(flatten)]
    pub leader_view: LeaderOverview<'a>,
}

/// Upper bound on the age of a node's cache.
#[derive(Serialize)]
pub struct CacheAge {
    /// The revision of the store up to which every change has been applied.
    revision: Version,
    /// Milliseconds since the latest moment at which that was surely the newest revision; null if changes may have
    /// been missed.
    confirmed_ms_ago: Option<u64>,
}

impl CacheAge {
    /// Returns the age at a moment.
    pub fn of(cache: CacheConfirmation, now: Time) -> Self {
        Self {
            revision: cache.revision(),
            confirmed_ms_ago: cache.age(now).map(|age| age.0),
        }
    }
}

/// Pauses of the whole process, during which its main loop did not run although its clock advanced.
#[derive(Serialize)]
pub struct PauseFigures {
    /// Number of pauses since the process started.
    count: u64,
    /// Length of the last pause in milliseconds.
    last_ms: u64,
}

impl From<ProcessPauses> for PauseFigures {
    fn from(pauses: ProcessPauses) -> Self {
        Self {
            count: pauses.count(),
            last_ms: pauses.last().0,
        }
    }
}

/// The values that only the leader has. On other nodes all of them are null.
#[derive(Default, Serialize)]
pub struct LeaderOverview<'a> {
    jobs_unfinished: Option<usize>,
    machines: Option<usize>,
    /// Number of machines that the nodes' connections don't suffice for.
    machines_beyond_connections: Option<usize>,
    /// Number of segments of the placement log.
    #[serde(rename = "pages")]
    placement_log_segments: Option<usize>,
    counters: Option<&'a BTreeMap<&'static str, u64>>,
    /// Waiting times of tasks before their first start, in milliseconds, by class.
    start_waits_ms: Option<BTreeMap<String, LatencySummary>>,
}

impl<'a> LeaderOverview<'a> {
    /// Returns the values of a leader.
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

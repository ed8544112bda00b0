//! Resource usage of teams and groups, compared with quota, limit and fair share.

use crate::leader::Leader;
use crate::scheduling::snapshot::Snapshot;
use crate::units::Now;
use rudderreel_wire::ids::Team;
use serde::Serialize;

/// Indices of the resource kinds in amounts.
const CPUS: usize = 0;
const GPUS: usize = 1;

/// The list of all teams and groups.
#[derive(Serialize)]
pub struct TeamsView<'a> {
    teams: Vec<TeamView<'a>>,
}

/// A team or group as shown to administrators.
#[derive(Serialize)]
struct TeamView<'a> {
    team: &'a Team,
    /// The group that the team or group belongs to.
    parent: Option<&'a Team>,
    priority: i32,
    weight: f64,
    cpus: ResourceView,
    gpus: ResourceView,
    /// The highest ratio of counted usage to fair share among the resources; null if it is infinite, because a resource
    /// is used of which the fair share is 0.
    saturation: Option<f64>,
}

/// Usage and bounds of a team for one kind of resource. Infinite amounts are null.
#[derive(Serialize)]
struct ResourceView {
    used: f64,
    /// The part of the usage that is counted against the fair share.
    #[serde(rename = "of_share")]
    counted: f64,
    #[serde(rename = "share")]
    fair_share: f64,
    quota: Option<f64>,
    limit: Option<f64>,
}

/// Returns an amount, or none if it is infinite.
fn finite(amount: f64) -> Option<f64> {
    amount.is_finite().then_some(amount)
}

impl<'a> TeamsView<'a> {
    /// Returns the teams and groups at a moment.
    pub fn of(leader: &'a Leader, now: Now) -> Self {
        let snapshot = Snapshot::take(leader, now);
        let nodes = leader.policy.teams.nodes.iter().enumerate();
        // The first node is the root, which is not a team.
        let teams = nodes.skip(1).map(|(index, team)| {
            let usage = snapshot.quota_status(index);
            let resource = |kind: usize| ResourceView {
                used: usage.used[kind],
                counted: usage.counted[kind],
                fair_share: usage.fair_share[kind],
                quota: finite(team.quota[kind]),
                limit: finite(team.limit[kind]),
            };
            TeamView {
                team: &team.name,
                parent: team.parent.map(|at| &leader.policy.teams.nodes[at].name),
                priority: team.priority,
                weight: team.weight,
                cpus: resource(CPUS),
                gpus: resource(GPUS),
                saturation: finite(snapshot.saturation(index)),
            }
        });
        Self {
            teams: teams.collect(),
        }
    }
}

//! Who uses what, against quota, limit and fair share.

use crate::leader::Leader;
use crate::scheduling::snapshot::Snapshot;
use crate::units::Now;
use rudderreel_wire::ids::Team;
use serde::Serialize;

/// Kinds of resources, by their place in amounts.
const CPUS: usize = 0;
const GPUS: usize = 1;

/// All teams and groups.
#[derive(Serialize)]
pub struct TeamsView<'a> {
    teams: Vec<TeamView<'a>>,
}

/// A team or group.
#[derive(Serialize)]
struct TeamView<'a> {
    team: &'a Team,
    /// The group that it belongs to.
    parent: Option<&'a Team>,
    priority: i32,
    weight: f64,
    cpus: ResourceView,
    gpus: ResourceView,
    /// Usage against the fair share; none if the share is unlimited.
    saturation: Option<f64>,
}

/// What a team uses of one kind of resource. Infinite amounts are null.
#[derive(Serialize)]
struct ResourceView {
    used: f64,
    /// What of that counts for the fair share.
    #[serde(rename = "of_share")]
    counted: f64,
    #[serde(rename = "share")]
    fair_share: f64,
    quota: Option<f64>,
    limit: Option<f64>,
}

fn finite(amount: f64) -> Option<f64> {
    amount.is_finite().then_some(amount)
}

impl<'a> TeamsView<'a> {
    /// The teams at this moment.
    pub fn of(leader: &'a Leader, now: Now) -> Self {
        let snapshot = Snapshot::take(leader, now);
        let nodes = leader.policy.teams.nodes.iter().enumerate();
        // The root is no team.
        let teams = nodes.skip(1).map(|(index, team)| {
            let usage = snapshot.team_usage(index);
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

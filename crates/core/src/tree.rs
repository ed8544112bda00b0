//! The tree of teams: each node has, per resource, a quota, a limit and a weight, and a priority.

use crate::units::Resources;
use rudderreel_wire::ids::Team;
use rudderreel_wire::settings::TeamLimits;
use std::collections::BTreeMap;

/// Number of resources that shares are computed for: CPUs, GPUs, memory.
pub const KINDS: usize = 3;

/// An amount of each resource, in whole units.
pub type Amounts = [f64; KINDS];

/// Resources as amounts.
pub fn amounts(r: &Resources) -> Amounts {
    [
        r.cpus as f64 / 1000.0,
        r.gpus as f64 / 1000.0,
        r.memory as f64 / 1000.0,
    ]
}

/// A node of the tree.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamNode {
    /// Its name.
    pub name: Team,
    /// The node above it; none for the root.
    pub parent: Option<usize>,
    /// Handed out first. Infinite if unlimited.
    pub quota: Amounts,
    /// Never exceeded, borrowed room included. Infinite if there is none.
    pub limit: Amounts,
    /// Its part of what is left, against siblings of the same priority.
    pub weight: f64,
    /// Who gets what is left first.
    pub priority: i32,
}

/// The tree; node 0 is the root, and parents come before their children.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamTree {
    /// The nodes.
    pub nodes: Vec<TeamNode>,
    index: BTreeMap<Team, usize>,
}

impl TeamTree {
    /// The platform's teams, all below one root.
    ///
    /// A team with no quota at all is given an unlimited one: its work at priority 100 or above
    /// may run only within quota, and otherwise never could.
    pub fn from_limits(teams: &[TeamLimits]) -> Self {
        let root = TeamNode {
            name: "".into(),
            parent: None,
            quota: [f64::INFINITY; KINDS],
            limit: [f64::INFINITY; KINDS],
            weight: 1.0,
            priority: 0,
        };
        let mut nodes = vec![root];
        nodes.extend(teams.iter().map(leaf));
        let index = (nodes.iter().enumerate().skip(1))
            .map(|(i, n)| (n.name.clone(), i))
            .collect();
        Self { nodes, index }
    }

    /// The node of a team.
    pub fn find(&self, team: &Team) -> Option<usize> {
        self.index.get(team).copied()
    }

    /// The nodes directly below one.
    pub fn children(&self, node: usize) -> Vec<usize> {
        (1..self.nodes.len())
            .filter(|&i| self.nodes[i].parent == Some(node))
            .collect()
    }

    /// A node and all above it.
    pub fn chain(&self, node: usize) -> impl Iterator<Item = usize> + '_ {
        std::iter::successors(Some(node), |&n| self.nodes[n].parent)
    }
}

fn leaf(team: &TeamLimits) -> TeamNode {
    let or_none = |x: f64| if x > 0.0 { x } else { f64::INFINITY };
    let unlimited = team.cpus <= 0.0 && team.gpus <= 0.0;
    let quota = if unlimited {
        [f64::INFINITY; KINDS]
    } else {
        [team.cpus, team.gpus, f64::INFINITY]
    };
    TeamNode {
        name: team.name.clone(),
        parent: Some(0),
        quota,
        limit: [
            or_none(team.cpus_max),
            or_none(team.gpus_max),
            f64::INFINITY,
        ],
        weight: 1.0,
        priority: 0,
    }
}

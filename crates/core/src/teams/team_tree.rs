//! The tree of teams: each node has, per resource, a quota, a limit and a weight, and a priority.

use crate::units::Resources;
use rudderreel_wire::admin::TeamSettings;
use rudderreel_wire::ids::Team;
use rudderreel_wire::settings::TeamLimits;
use std::collections::BTreeMap;

/// Number of resources that shares are computed for.
pub const KINDS: usize = 3;
/// The place of CPUs among [`Amounts`].
pub const CPUS: usize = 0;
/// The place of GPUs among [`Amounts`].
pub const GPUS: usize = 1;
/// The place of memory among [`Amounts`].
pub const MEMORY: usize = 2;

/// An amount of each resource, in whole units: CPUs, GPUs, GB of memory.
pub type Amounts = [f64; KINDS];

/// Nothing of any resource.
pub const NO_AMOUNTS: Amounts = [0.0; KINDS];

/// Thousandths in a whole unit.
const THOUSANDTHS: f64 = 1000.0;

/// Resources as amounts.
pub fn amounts(resources: &Resources) -> Amounts {
    [resources.cpus, resources.gpus, resources.memory].map(|amount| amount as f64 / THOUSANDTHS)
}

/// Adds amounts.
pub fn add_amounts(sum: &mut Amounts, more: &Amounts) {
    for (sum, amount) in sum.iter_mut().zip(more) {
        *sum += amount;
    }
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

    /// The platform's tree with operators' settings laid over it: groups, parents, quotas, weights,
    /// priorities, and limits that may be tightened but not exceeded. Names the first setting that
    /// can't be.
    pub fn with(&self, settings: &BTreeMap<Team, TeamSettings>) -> Result<Self, String> {
        let mut named: Vec<TeamNode> = self.nodes[1..].to_vec();
        for (name, _) in settings
            .iter()
            .filter(|(name, _)| self.find(name).is_none())
        {
            if name.as_str().is_empty() {
                return Err("teams: a group's name must not be empty".into());
            }
            named.push(TeamNode {
                name: name.clone(),
                ..self.nodes[0].clone()
            });
        }
        let mut parents: BTreeMap<Team, Option<Team>> = BTreeMap::new();
        for node in &mut named {
            let own = settings.get(&node.name).cloned().unwrap_or_default();
            overlay(node, &own)?;
            parents.insert(node.name.clone(), own.parent);
        }
        self.arrange(named, &parents)
    }

    /// Puts parents before their children.
    fn arrange(
        &self,
        mut rest: Vec<TeamNode>,
        parents: &BTreeMap<Team, Option<Team>>,
    ) -> Result<Self, String> {
        let mut nodes = vec![self.nodes[0].clone()];
        let mut index: BTreeMap<Team, usize> = BTreeMap::new();
        while !rest.is_empty() {
            let before = rest.len();
            let (ready, later): (Vec<_>, Vec<_>) = rest.into_iter().partition(|n| {
                parents[&n.name]
                    .as_ref()
                    .is_none_or(|p| index.contains_key(p))
            });
            rest = later;
            for mut node in ready {
                node.parent = Some(parents[&node.name].as_ref().map_or(0, |p| index[p]));
                index.insert(node.name.clone(), nodes.len());
                nodes.push(node);
            }
            if rest.len() == before {
                let name = &rest[0].name;
                return Err(format!(
                    "teams.{name}.parent: is not a group, or goes round in a circle"
                ));
            }
        }
        let platform = |name: &Team| self.find(name).is_some();
        for node in nodes.iter().skip(1) {
            let parent = node.parent.map_or(&node.name, |p| &nodes[p].name);
            if node.parent != Some(0) && platform(parent) {
                let name = &node.name;
                return Err(format!(
                    "teams.{name}.parent: {parent} is a team, not a group"
                ));
            }
        }
        Ok(Self { nodes, index })
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

fn overlay(node: &mut TeamNode, own: &TeamSettings) -> Result<(), String> {
    let name = node.name.clone();
    let bad = |field: &str, text: &str| Err(format!("teams.{name}.{field}: {text}"));
    let given = [
        ("quota_cpus", own.quota_cpus),
        ("quota_gpus", own.quota_gpus),
        ("limit_cpus", own.limit_cpus),
        ("limit_gpus", own.limit_gpus),
        ("weight", own.weight),
    ];
    for (field, value) in given {
        if value.is_some_and(|v| !(v.is_finite() && (0.0..=1e9).contains(&v))) {
            return bad(field, "must be a number from 0 to 1e9");
        }
    }
    for (kind, field, value) in [
        (CPUS, "limit_cpus", own.limit_cpus),
        (GPUS, "limit_gpus", own.limit_gpus),
    ] {
        if let Some(value) = value {
            if value > node.limit[kind] {
                return bad(field, "is more than the platform allows");
            }
            node.limit[kind] = value;
        }
    }
    for (kind, value) in [(CPUS, own.quota_cpus), (GPUS, own.quota_gpus)] {
        node.quota[kind] = value.unwrap_or(node.quota[kind]);
    }
    node.weight = own.weight.unwrap_or(node.weight);
    node.priority = own.priority.unwrap_or(node.priority);
    Ok(())
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

#[cfg(test)]
mod tests;

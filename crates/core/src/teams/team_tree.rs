//! The tree of teams: each node has, per resource, a quota and a limit, and a weight and a priority.
//!
//! Invariants: node 0 is the root, and parents come before their children. Leaves are the platform's teams; nodes between
//! them and the root are the operators' groups. A limit of the platform is never exceeded, whatever operators set.

use crate::units::Resources;
use rudderreel_wire::admin::TeamSettings;
use rudderreel_wire::ids::Team;
use rudderreel_wire::settings::TeamLimits;
use std::collections::BTreeMap;

/// Number of resources that shares are computed for.
pub const RESOURCE_KINDS: usize = 3;
/// The place of CPUs among [`Amounts`].
pub const CPUS: usize = 0;
/// The place of GPUs among [`Amounts`].
pub const GPUS: usize = 1;
/// The place of memory among [`Amounts`].
pub const MEMORY: usize = 2;

/// An amount of each resource, in whole units: CPUs, GPUs, GB of memory.
pub type Amounts = [f64; RESOURCE_KINDS];

/// Nothing of any resource.
pub const NO_AMOUNTS: Amounts = [0.0; RESOURCE_KINDS];

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
    /// What is guaranteed to it. Infinite if unlimited.
    pub quota: Amounts,
    /// Never exceeded, borrowed room included. Infinite if there is none.
    pub limit: Amounts,
    /// Its part of what exceeds the quotas, against siblings of the same priority.
    pub weight: f64,
    /// Who gets what exceeds the quotas first.
    pub priority: i32,
}

/// The tree; node 0 is the root, and parents come before their children.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamTree {
    /// The nodes.
    pub nodes: Vec<TeamNode>,
    index: BTreeMap<Team, usize>,
}

/// The largest number that operators may set.
const MAX_SETTING: f64 = 1e9;

/// What is wrong with the operators' settings of a team or group.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TeamSettingsError {
    /// A group has no name.
    #[error("teams: a group's name must not be empty")]
    EmptyName,
    /// A number is negative, too large, or none.
    #[error("teams.{team}.{field}: must be a number from 0 to 1e9")]
    OutOfRange {
        /// The team or group.
        team: Team,
        /// The setting.
        field: &'static str,
    },
    /// A limit exceeds the platform's.
    #[error("teams.{team}.{field}: is more than the platform allows")]
    ExceedsPlatform {
        /// The team.
        team: Team,
        /// The setting.
        field: &'static str,
    },
    /// The parent does not exist, or is below the node itself.
    #[error("teams.{team}.parent: is not a group, or goes round in a circle")]
    NoParent {
        /// The team or group.
        team: Team,
    },
    /// The parent is a team.
    #[error("teams.{team}.parent: {parent} is a team, not a group")]
    ParentIsTeam {
        /// The team or group.
        team: Team,
        /// Its parent.
        parent: Team,
    },
}

impl TeamTree {
    /// The platform's teams, all below one root.
    ///
    /// A team with no quota at all is given an unlimited one: its work at priority 100 or above may run only within
    /// quota, and otherwise never could.
    pub fn from_limits(teams: &[TeamLimits]) -> Self {
        let root = TeamNode {
            name: "".into(),
            parent: None,
            quota: [f64::INFINITY; RESOURCE_KINDS],
            limit: [f64::INFINITY; RESOURCE_KINDS],
            weight: 1.0,
            priority: 0,
        };
        let mut nodes = vec![root];
        nodes.extend(teams.iter().map(TeamNode::from));
        let index = (nodes.iter().enumerate().skip(1))
            .map(|(position, node)| (node.name.clone(), position))
            .collect();
        Self { nodes, index }
    }

    /// The platform's tree with the operators' settings laid over it: groups, parents, quotas, weights, priorities, and
    /// limits that may be tightened but not exceeded. Fails with the first setting that is not possible.
    pub fn with_settings(
        &self,
        settings: &BTreeMap<Team, TeamSettings>,
    ) -> Result<Self, TeamSettingsError> {
        let mut nodes: Vec<TeamNode> = self.nodes[1..].to_vec();
        for name in settings.keys().filter(|name| self.find(name).is_none()) {
            if name.as_str().is_empty() {
                return Err(TeamSettingsError::EmptyName);
            }
            nodes.push(TeamNode {
                name: name.clone(),
                ..self.nodes[0].clone()
            });
        }
        let mut parents: BTreeMap<Team, Option<Team>> = BTreeMap::new();
        for node in &mut nodes {
            let own = settings.get(&node.name).cloned().unwrap_or_default();
            node.apply(&own)?;
            parents.insert(node.name.clone(), own.parent);
        }
        let tree = self.arrange(nodes, &parents)?;
        self.check_parents(&tree)?;
        Ok(tree)
    }

    /// Puts parents before their children.
    fn arrange(
        &self,
        mut rest: Vec<TeamNode>,
        parents: &BTreeMap<Team, Option<Team>>,
    ) -> Result<Self, TeamSettingsError> {
        let mut nodes = vec![self.nodes[0].clone()];
        let mut index: BTreeMap<Team, usize> = BTreeMap::new();
        while !rest.is_empty() {
            let count_before = rest.len();
            let (ready, later): (Vec<_>, Vec<_>) = rest.into_iter().partition(|node| {
                (parents[&node.name].as_ref()).is_none_or(|parent| index.contains_key(parent))
            });
            rest = later;
            for mut node in ready {
                let parent = parents[&node.name].as_ref();
                node.parent = Some(parent.map_or(0, |parent| index[parent]));
                index.insert(node.name.clone(), nodes.len());
                nodes.push(node);
            }
            if rest.len() == count_before {
                return Err(TeamSettingsError::NoParent {
                    team: rest[0].name.clone(),
                });
            }
        }
        Ok(Self { nodes, index })
    }

    /// Only groups may be parents in a tree with operators' settings, not the platform's teams.
    fn check_parents(&self, tree: &Self) -> Result<(), TeamSettingsError> {
        for node in tree.nodes.iter().skip(1) {
            let parent = node.parent.filter(|parent| *parent != 0);
            let Some(parent) = parent.map(|parent| &tree.nodes[parent].name) else {
                continue;
            };
            if self.find(parent).is_some() {
                return Err(TeamSettingsError::ParentIsTeam {
                    team: node.name.clone(),
                    parent: parent.clone(),
                });
            }
        }
        Ok(())
    }

    /// The node of a team.
    pub fn find(&self, team: &Team) -> Option<usize> {
        self.index.get(team).copied()
    }

    /// The nodes directly below one.
    pub fn children(&self, node: usize) -> Vec<usize> {
        (1..self.nodes.len())
            .filter(|&child| self.nodes[child].parent == Some(node))
            .collect()
    }

    /// A node and all above it.
    pub fn path_to_root(&self, node: usize) -> impl Iterator<Item = usize> + '_ {
        std::iter::successors(Some(node), |&node| self.nodes[node].parent)
    }
}

impl TeamNode {
    /// Applies operators' settings.
    fn apply(&mut self, own: &TeamSettings) -> Result<(), TeamSettingsError> {
        self.check_ranges(own)?;
        for (kind, field, value) in [
            (CPUS, "limit_cpus", own.limit_cpus),
            (GPUS, "limit_gpus", own.limit_gpus),
        ] {
            let Some(value) = value else {
                continue;
            };
            if value > self.limit[kind] {
                return Err(TeamSettingsError::ExceedsPlatform {
                    team: self.name.clone(),
                    field,
                });
            }
            self.limit[kind] = value;
        }
        for (kind, value) in [(CPUS, own.quota_cpus), (GPUS, own.quota_gpus)] {
            self.quota[kind] = value.unwrap_or(self.quota[kind]);
        }
        self.weight = own.weight.unwrap_or(self.weight);
        self.priority = own.priority.unwrap_or(self.priority);
        Ok(())
    }

    fn check_ranges(&self, own: &TeamSettings) -> Result<(), TeamSettingsError> {
        let numbers = [
            ("quota_cpus", own.quota_cpus),
            ("quota_gpus", own.quota_gpus),
            ("limit_cpus", own.limit_cpus),
            ("limit_gpus", own.limit_gpus),
            ("weight", own.weight),
        ];
        let is_bad = |value: f64| !(0.0..=MAX_SETTING).contains(&value);
        let bad = numbers
            .into_iter()
            .find(|(_, value)| value.is_some_and(is_bad));
        match bad {
            Some((field, _)) => Err(TeamSettingsError::OutOfRange {
                team: self.name.clone(),
                field,
            }),
            None => Ok(()),
        }
    }
}

impl From<&TeamLimits> for TeamNode {
    /// A team of the platform, below the root. A limit of 0 is none; without any quota the quota is unlimited.
    fn from(team: &TeamLimits) -> Self {
        let limit = |limit: f64| if limit > 0.0 { limit } else { f64::INFINITY };
        let has_no_quota = team.cpus <= 0.0 && team.gpus <= 0.0;
        let quota = if has_no_quota {
            [f64::INFINITY; RESOURCE_KINDS]
        } else {
            [team.cpus, team.gpus, f64::INFINITY]
        };
        Self {
            name: team.name.clone(),
            parent: Some(0),
            quota,
            limit: [limit(team.cpus_max), limit(team.gpus_max), f64::INFINITY],
            weight: 1.0,
            priority: 0,
        }
    }
}

#[cfg(test)]
mod tests;

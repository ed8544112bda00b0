//! The tree of teams: each node has a quota and a limit per resource, a weight and a priority.
//!
//! Invariants: node 0 is the root, and parents come before their children. The leaves are the platform's teams; nodes
//! between them and the root are the operators' groups. A limit of the platform is never exceeded, whatever operators
//! set.

use crate::units::Resources;
use rudderreel_wire::admin::TeamSettings;
use rudderreel_wire::ids::Team;
use rudderreel_wire::settings::TeamLimits;
use std::collections::BTreeMap;

/// Number of resources that shares are computed for.
pub const RESOURCE_KINDS: usize = 3;
/// Index of CPUs in [`Amounts`].
pub const CPUS: usize = 0;
/// Index of GPUs in [`Amounts`].
pub const GPUS: usize = 1;
/// Index of memory in [`Amounts`].
pub const MEMORY: usize = 2;

/// An amount of each resource, in whole units: CPUs, GPUs, GB of memory.
pub type Amounts = [f64; RESOURCE_KINDS];

/// Zero of each resource.
pub const NO_AMOUNTS: Amounts = [0.0; RESOURCE_KINDS];

/// Number of thousandths, the unit of [`Resources`], in a whole unit.
const THOUSANDTHS: f64 = 1000.0;

/// Converts resources to amounts.
pub fn amounts(resources: &Resources) -> Amounts {
    [resources.cpus, resources.gpus, resources.memory].map(|amount| amount as f64 / THOUSANDTHS)
}

/// Adds `added` to `sum`, resource by resource.
pub fn add_amounts(sum: &mut Amounts, added: &Amounts) {
    for (sum, amount) in sum.iter_mut().zip(added) {
        *sum += amount;
    }
}

/// A node of the tree: the root, a team or a group.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamNode {
    /// Name of the team or group; empty for the root.
    pub name: Team,
    /// Index of the parent node; `None` for the root.
    pub parent: Option<usize>,
    /// Guaranteed amount of each resource; infinite if unlimited.
    pub quota: Amounts,
    /// Maximum amount of each resource, including what is borrowed above the quota; infinite if there is no limit.
    pub limit: Amounts,
    /// Share of the surplus above the quotas, relative to siblings of the same priority.
    pub weight: f64,
    /// Order among siblings in which the surplus above the quotas is given out, the highest priority first.
    pub priority: i32,
}

/// The tree of teams and groups; node 0 is the root, and parents come before their children.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamTree {
    /// The nodes, with the root first and parents before their children.
    pub nodes: Vec<TeamNode>,
    /// Index of each node except the root, by name.
    index: BTreeMap<Team, usize>,
}

/// Largest value of a numeric setting.
const MAX_SETTING: f64 = 1e9;

/// An invalid operator setting of a team or group.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TeamSettingsError {
    /// The name of a group is empty.
    #[error("teams: name of a group must not be empty")]
    EmptyName,
    /// A number is negative, too large, or not a number.
    #[error("teams.{team}.{field}: must be a number from 0 to 1e9")]
    OutOfRange {
        /// The team or group.
        team: Team,
        /// Name of the setting.
        field: &'static str,
    },
    /// A limit exceeds the platform's limit for the team.
    #[error("teams.{team}.{field}: limit must not exceed the platform's limit for the team")]
    ExceedsPlatform {
        /// The team.
        team: Team,
        /// Name of the setting.
        field: &'static str,
    },
    /// The parent or one of its ancestors does not exist, or the parents form a cycle.
    #[error("teams.{team}.parent: parent or one of its ancestors does not exist, or the parents form a cycle")]
    UnresolvedParent {
        /// The team or group.
        team: Team,
    },
    /// The parent is one of the platform's teams.
    #[error("teams.{team}.parent: parent must be a group, but {parent} is a team of the platform")]
    ParentIsTeam {
        /// The team or group.
        team: Team,
        /// The parent that was set.
        parent: Team,
    },
}

impl TeamTree {
    /// Creates the tree of the platform's teams, all directly below the root.
    ///
    /// A team with neither a CPU nor a GPU quota gets an unlimited quota: its work at priority 100 or above may run
    /// only within quota, and could otherwise never run.
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

    /// Returns this tree of the platform's teams with the operators' settings applied: groups, parents, quotas,
    /// weights, priorities, and limits, which may be lowered but not raised above the platform's. Fails with the first
    /// invalid setting.
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
        let tree = self.order_topologically(nodes, &parents)?;
        self.check_parents(&tree)?;
        Ok(tree)
    }

    /// Builds the tree with parents before their children. Fails if a node can't be connected to the root.
    fn order_topologically(
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
                return Err(TeamSettingsError::UnresolvedParent {
                    team: rest[0].name.clone(),
                });
            }
        }
        Ok(Self { nodes, index })
    }

    /// Checks that only the root and groups are parents, not the platform's teams.
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

    /// Returns the node of a team or group.
    pub fn find(&self, team: &Team) -> Option<usize> {
        self.index.get(team).copied()
    }

    /// Returns the direct children of a node.
    pub fn children(&self, node: usize) -> Vec<usize> {
        (1..self.nodes.len())
            .filter(|&child| self.nodes[child].parent == Some(node))
            .collect()
    }

    /// Iterates over a node and its ancestors up to the root.
    pub fn path_to_root(&self, node: usize) -> impl Iterator<Item = usize> + '_ {
        std::iter::successors(Some(node), |&node| self.nodes[node].parent)
    }
}

impl TeamNode {
    /// Applies the operators' settings of this team or group.
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

    /// Checks that each numeric setting is in its range.
    fn check_ranges(&self, own: &TeamSettings) -> Result<(), TeamSettingsError> {
        let numbers = [
            ("quota_cpus", own.quota_cpus),
            ("quota_gpus", own.quota_gpus),
            ("limit_cpus", own.limit_cpus),
            ("limit_gpus", own.limit_gpus),
            ("weight", own.weight),
        ];
        let is_out_of_range = |value: f64| !(0.0..=MAX_SETTING).contains(&value);
        let out_of_range = numbers
            .into_iter()
            .find(|(_, value)| value.is_some_and(is_out_of_range));
        match out_of_range {
            Some((field, _)) => Err(TeamSettingsError::OutOfRange {
                team: self.name.clone(),
                field,
            }),
            None => Ok(()),
        }
    }
}

impl From<&TeamLimits> for TeamNode {
    /// Creates the node of a platform team below the root. A limit of 0 means no limit; with neither a CPU nor a GPU
    /// quota the quota is unlimited.
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

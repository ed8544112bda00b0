//! Computes fair shares top down (article "KAI Scheduler Deep Dive", section "How fair share is computed"): first the
//! quotas, then the surplus by priority and weight.
//!
//! Phase one of the article gives each team `min(quota, requested)` and assumes that the quotas are backed by capacity.
//! Where these guarantees add up to more than the total, they are scaled down by a common factor here, so that the
//! shares never guarantee capacity that does not exist.
//!
//! A team without any quota may run work of priority 100 or above (for that check its quota counts as unlimited), but
//! nothing is guaranteed to it: otherwise it would claim everything that it requests in phase one, next to teams with a
//! guarantee. Once the guarantees are met, it gets what such work requests, and then its part of the surplus, by
//! priority and weight.

use crate::teams::team_tree::{Amounts, TeamTree, NO_AMOUNTS, RESOURCE_KINDS};
use std::cmp::Reverse;

/// Amounts up to this count as zero.
const EPSILON: f64 = 1e-9;

/// Returns each node's fair share of `total`, given the amounts that the leaves request and the part of those that
/// can't be preempted.
pub fn fair_shares(
    tree: &TeamTree,
    total: Amounts,
    requested: &[Amounts],
    non_preemptible: &[Amounts],
) -> Vec<Amounts> {
    let mut shares = vec![NO_AMOUNTS; tree.nodes.len()];
    for kind in 0..RESOURCE_KINDS {
        let division = Division {
            tree,
            kind,
            requests: effective_requests(tree, requested, kind),
            non_preemptible,
        };
        shares[0][kind] = total[kind].min(division.requests[0]);
        for parent in 0..tree.nodes.len() {
            let children = tree.children(parent);
            let given = division.divide(&children, shares[parent][kind]);
            for (child, amount) in children.iter().zip(given) {
                shares[*child][kind] = amount;
            }
        }
    }
    shares
}

/// Returns what each node requests of a resource: a leaf its own request, a parent the sum of its children's, both
/// capped by the node's limit.
fn effective_requests(tree: &TeamTree, requested: &[Amounts], kind: usize) -> Vec<f64> {
    let mut requests: Vec<f64> = requested.iter().map(|amounts| amounts[kind]).collect();
    for node in (0..tree.nodes.len()).rev() {
        requests[node] = requests[node].min(tree.nodes[node].limit[kind]);
        if let Some(parent) = tree.nodes[node].parent {
            requests[parent] += requests[node];
        }
    }
    requests
}

/// The division of one resource among the nodes.
struct Division<'a> {
    tree: &'a TeamTree,
    kind: usize,
    /// Amount that each node requests, capped by its limit.
    requests: Vec<f64>,
    /// Part of the leaves' requests that can't be preempted.
    non_preemptible: &'a [Amounts],
}

impl Division<'_> {
    /// Divides an amount among siblings; returns their shares.
    fn divide(&self, children: &[usize], amount: f64) -> Vec<f64> {
        let mut given: Vec<f64> = (children.iter())
            .map(|&child| self.guaranteed(child))
            .collect();
        let guaranteed: f64 = given.iter().sum();
        if guaranteed > amount {
            let scale = if guaranteed > 0.0 {
                amount / guaranteed
            } else {
                0.0
            };
            given.iter_mut().for_each(|share| *share *= scale);
            return given;
        }
        let mut left = amount - guaranteed;
        left -= self.give_non_preemptible_without_quota(children, &mut given, left);
        let mut priorities: Vec<i32> = (children.iter())
            .map(|&child| self.tree.nodes[child].priority)
            .collect();
        priorities.sort_unstable_by_key(|&priority| Reverse(priority));
        priorities.dedup();
        for priority in priorities {
            left = self.give_surplus(children, &mut given, left, priority);
        }
        given
    }

    /// Returns the guaranteed part of a node's request: up to its quota, or up to the sum of its children's guarantees
    /// if it has no quota.
    fn guaranteed(&self, node: usize) -> f64 {
        let quota = self.tree.nodes[node].quota[self.kind];
        let guarantee = if quota.is_finite() {
            quota
        } else {
            let children = self.tree.children(node).into_iter();
            children.map(|child| self.guaranteed(child)).sum()
        };
        guarantee.min(self.requests[node])
    }

    /// Gives siblings the amounts that they request for non-preemptible work under an unlimited quota, scaled down
    /// by a common factor to `left` if they exceed it; returns the sum of the amounts given.
    fn give_non_preemptible_without_quota(
        &self,
        children: &[usize],
        given: &mut [f64],
        left: f64,
    ) -> f64 {
        let requests: Vec<f64> = (children.iter())
            .map(|&child| (self.non_preemptible_without_quota(child)).min(self.requests[child]))
            .collect();
        let total: f64 = requests.iter().sum();
        if total <= EPSILON {
            return 0.0;
        }
        let scale = (left / total).min(1.0);
        for (share, request) in given.iter_mut().zip(&requests) {
            *share += request * scale;
        }
        total * scale
    }

    /// Returns the amount that a node requests for non-preemptible work that only an unlimited quota allows to run.
    fn non_preemptible_without_quota(&self, node: usize) -> f64 {
        let children = self.tree.children(node);
        if self.tree.nodes[node].quota[self.kind].is_finite() {
            0.0
        } else if children.is_empty() {
            self.non_preemptible[node][self.kind]
        } else {
            (children.into_iter())
                .map(|child| self.non_preemptible_without_quota(child))
                .sum()
        }
    }

    /// Gives the surplus to siblings of one priority, by weight, until it is used up or none of them requests more.
    /// Returns what is still left.
    fn give_surplus(
        &self,
        children: &[usize],
        given: &mut [f64],
        mut left: f64,
        priority: i32,
    ) -> f64 {
        loop {
            let unsatisfied: Vec<usize> = (0..children.len())
                .filter(|&position| {
                    let node = &self.tree.nodes[children[position]];
                    let lacking = self.requests[children[position]] - given[position];
                    node.priority == priority && node.weight > 0.0 && lacking > EPSILON
                })
                .collect();
            if unsatisfied.is_empty() || left <= EPSILON {
                return left;
            }
            let weight = |position: usize| self.tree.nodes[children[position]].weight;
            let total_weight: f64 = unsatisfied.iter().map(|&position| weight(position)).sum();
            let round_total = left;
            for position in unsatisfied {
                let part = round_total * weight(position) / total_weight;
                let lacking = self.requests[children[position]] - given[position];
                let share = part.min(lacking);
                given[position] += share;
                left -= share;
            }
        }
    }
}

/// Returns the ratio of allocated amount to fair share, for the resource where it is highest.
pub fn saturation(allocated: &Amounts, share: &Amounts) -> f64 {
    let ratio = |kind: usize| {
        if allocated[kind] <= EPSILON {
            0.0
        } else if share[kind] <= EPSILON {
            f64::INFINITY
        } else {
            allocated[kind] / share[kind]
        }
    };
    (0..RESOURCE_KINDS).map(ratio).fold(0.0, f64::max)
}

#[cfg(test)]
mod tests;

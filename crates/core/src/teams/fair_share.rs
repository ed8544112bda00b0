//! Fair shares, top down (article: "How fair share is computed"): quotas first, then what is left by priority and weight.
//!
//! The article's phase one hands out `min(quota, requested)` and assumes that quotas are backed. Where they add up to
//! more than there is, they are scaled down evenly here, so that the shares never guarantee room that does not exist.
//!
//! A team without any quota may run work of priority 100 or above (its quota counts as unlimited there), but nothing is
//! guaranteed to it: beside teams that have a guarantee it would otherwise claim all it requests in phase one. Once
//! guarantees are met it gets what such work takes, and then its part of what is left, by priority and weight.

use crate::teams::team_tree::{Amounts, TeamTree, NO_AMOUNTS, RESOURCE_KINDS};
use std::cmp::Reverse;

/// Below this, an amount counts as nothing.
const NOTHING: f64 = 1e-9;

/// Each node's fair share of `total`, given what the leaves request, and what of that can't be preempted.
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

/// What each node requests of a resource: a leaf its own, a parent its children's, both capped by the limit.
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

/// The division of one resource.
struct Division<'a> {
    tree: &'a TeamTree,
    kind: usize,
    /// What each node requests, within its limit.
    requests: Vec<f64>,
    /// What leaves request that can't be preempted.
    non_preemptible: &'a [Amounts],
}

impl Division<'_> {
    /// Divides an amount among siblings.
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

    /// What is guaranteed to a node of what it requests: its quota. One without has what is guaranteed below it.
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

    /// Gives siblings what they request that only an unlimited quota lets run; returns how much.
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
        if total <= NOTHING {
            return 0.0;
        }
        let scale = (left / total).min(1.0);
        for (share, request) in given.iter_mut().zip(&requests) {
            *share += request * scale;
        }
        total * scale
    }

    /// What a node requests that only an unlimited quota lets run.
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

    /// Gives what is left to siblings of one priority, by weight, until it is used up or none requests more. Returns
    /// what is still left.
    fn give_surplus(
        &self,
        children: &[usize],
        given: &mut [f64],
        mut left: f64,
        priority: i32,
    ) -> f64 {
        loop {
            let open: Vec<usize> = (0..children.len())
                .filter(|&position| {
                    let node = &self.tree.nodes[children[position]];
                    let lacking = self.requests[children[position]] - given[position];
                    node.priority == priority && node.weight > 0.0 && lacking > NOTHING
                })
                .collect();
            if open.is_empty() || left <= NOTHING {
                return left;
            }
            let weight = |position: usize| self.tree.nodes[children[position]].weight;
            let total_weight: f64 = open.iter().map(|&position| weight(position)).sum();
            let round = left;
            for position in open {
                let part = round * weight(position) / total_weight;
                let lacking = self.requests[children[position]] - given[position];
                let share = part.min(lacking);
                given[position] += share;
                left -= share;
            }
        }
    }
}

/// Allocated amounts over the fair share, for the resource where that is highest.
pub fn saturation(allocated: &Amounts, share: &Amounts) -> f64 {
    let ratio = |kind: usize| {
        if allocated[kind] <= NOTHING {
            0.0
        } else if share[kind] <= NOTHING {
            f64::INFINITY
        } else {
            allocated[kind] / share[kind]
        }
    };
    (0..RESOURCE_KINDS).map(ratio).fold(0.0, f64::max)
}

#[cfg(test)]
mod tests;

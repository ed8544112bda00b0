//! Fair shares, top down: quota first, then what is left by priority and weight.
//!
//! The article's phase one hands out `min(quota, requested)` and assumes that quotas are backed.
//! Where they add up to more than there is, they are scaled down evenly here, so that the shares
//! never promise room that does not exist.
//!
//! A team without any quota may run work of priority 100 or above (its quota counts as unlimited
//! there), but is promised nothing: beside teams that have a guarantee it would otherwise claim all it
//! asks for in phase one. Once guarantees are met it gets what such work takes, and then its part of
//! what is left, by priority and weight.

use crate::teams::team_tree::{Amounts, TeamTree, KINDS};

/// Below this, an amount counts as nothing.
const NOTHING: f64 = 1e-9;

/// Each node's fair share of `total`, given what the leaves request, and what of that is work of
/// priority 100 or above.
pub fn fair_shares(
    tree: &TeamTree,
    total: Amounts,
    requested: &[Amounts],
    firm: &[Amounts],
) -> Vec<Amounts> {
    let mut shares = vec![[0.0; KINDS]; tree.nodes.len()];
    for kind in 0..KINDS {
        let wanted = wanted(tree, requested, kind);
        shares[0][kind] = total[kind].min(wanted[0]);
        for parent in 0..tree.nodes.len() {
            let children = tree.children(parent);
            let given = divide(tree, &children, &wanted, firm, shares[parent][kind], kind);
            for (child, amount) in children.iter().zip(given) {
                shares[*child][kind] = amount;
            }
        }
    }
    shares
}

/// What each node wants of a resource: a leaf its request, a parent its children's, both capped
/// by the limit.
fn wanted(tree: &TeamTree, requested: &[Amounts], kind: usize) -> Vec<f64> {
    let mut sums: Vec<f64> = requested.iter().map(|r| r[kind]).collect();
    for node in (0..tree.nodes.len()).rev() {
        sums[node] = sums[node].min(tree.nodes[node].limit[kind]);
        if let Some(parent) = tree.nodes[node].parent {
            sums[parent] += sums[node];
        }
    }
    sums
}

fn divide(
    tree: &TeamTree,
    children: &[usize],
    wanted: &[f64],
    firm: &[Amounts],
    amount: f64,
    kind: usize,
) -> Vec<f64> {
    let mut given: Vec<f64> = (children.iter())
        .map(|&c| promised(tree, c, wanted, kind))
        .collect();
    let promised: f64 = given.iter().sum();
    if promised > amount {
        let scale = if promised > 0.0 {
            amount / promised
        } else {
            0.0
        };
        given.iter_mut().for_each(|g| *g *= scale);
        return given;
    }
    let mut left = amount - promised;
    let unbounded: Vec<f64> = (children.iter())
        .map(|&c| firm_without_quota(tree, c, firm, kind).min(wanted[c]))
        .collect();
    let all: f64 = unbounded.iter().sum();
    if all > NOTHING {
        let scale = (left / all).min(1.0);
        for (given, more) in given.iter_mut().zip(&unbounded) {
            *given += more * scale;
        }
        left -= all * scale;
    }
    let mut priorities: Vec<i32> = children.iter().map(|c| tree.nodes[*c].priority).collect();
    priorities.sort_unstable_by(|a, b| b.cmp(a));
    priorities.dedup();
    for priority in priorities {
        left = surplus(tree, children, wanted, &mut given, left, priority);
    }
    given
}

/// What a node is promised of what it wants: its quota. One without is promised what those below it
/// are.
fn promised(tree: &TeamTree, node: usize, wanted: &[f64], kind: usize) -> f64 {
    let quota = tree.nodes[node].quota[kind];
    let below = || -> f64 {
        let children = tree.children(node).into_iter();
        children.map(|c| promised(tree, c, wanted, kind)).sum()
    };
    let due = if quota.is_finite() { quota } else { below() };
    due.min(wanted[node])
}

/// What a node asks for that only an unlimited quota lets run.
fn firm_without_quota(tree: &TeamTree, node: usize, firm: &[Amounts], kind: usize) -> f64 {
    let children = tree.children(node);
    if tree.nodes[node].quota[kind].is_finite() {
        0.0
    } else if children.is_empty() {
        firm[node][kind]
    } else {
        let below = children.into_iter();
        below.map(|c| firm_without_quota(tree, c, firm, kind)).sum()
    }
}

/// Gives what is left to one priority, by weight, until it is used up or nobody wants more.
fn surplus(
    tree: &TeamTree,
    children: &[usize],
    wanted: &[f64],
    given: &mut [f64],
    mut left: f64,
    priority: i32,
) -> f64 {
    loop {
        let open: Vec<usize> = (0..children.len())
            .filter(|&i| {
                let node = &tree.nodes[children[i]];
                node.priority == priority
                    && node.weight > 0.0
                    && wanted[children[i]] - given[i] > NOTHING
            })
            .collect();
        let weights: f64 = open.iter().map(|&i| tree.nodes[children[i]].weight).sum();
        if open.is_empty() || left <= NOTHING {
            return left;
        }
        let round = left;
        for i in open {
            let part = round * tree.nodes[children[i]].weight / weights;
            let give = part.min(wanted[children[i]] - given[i]);
            given[i] += give;
            left -= give;
        }
    }
}

/// Allocated room over fair share, for the resource where that is highest.
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
    (0..KINDS).map(ratio).fold(0.0, f64::max)
}

#[cfg(test)]
mod tests;

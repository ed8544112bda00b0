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

use crate::tree::{Amounts, TeamTree, KINDS};

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
mod tests {
    use super::*;
    use crate::tree::TeamNode;
    use proptest::prelude::*;

    fn node(parent: Option<usize>, quota: f64, limit: f64, weight: f64, priority: i32) -> TeamNode {
        TeamNode {
            name: format!("t{quota}").as_str().into(),
            parent,
            quota: [quota; KINDS],
            limit: [limit; KINDS],
            weight,
            priority,
        }
    }

    /// The slow plain model: hands out a crumb at a time, to the sibling that has least of what it
    /// is due, first against quotas and then by priority and weight.
    fn model(teams: &[(f64, f64, f64, f64, i32)], total: f64) -> Vec<f64> {
        const CRUMB: f64 = 0.005;
        let mut given = vec![0.0; teams.len()];
        let mut left = total;
        let quota = |q: f64| if q.is_finite() { q } else { 0.0 };
        let due: Vec<f64> = teams.iter().map(|t| quota(t.0).min(t.3).min(t.1)).collect();
        loop {
            let next = (0..teams.len())
                .filter(|&i| given[i] + CRUMB <= due[i] + 1e-9)
                .min_by(|&a, &b| (given[a] / due[a]).total_cmp(&(given[b] / due[b])));
            match next {
                Some(i) if left >= CRUMB => given[i] += CRUMB,
                _ => break,
            }
            left -= CRUMB;
        }
        let first = given.clone();
        let over = |given: &[f64], i: usize| (given[i] - first[i]) / teams[i].2;
        while left >= CRUMB {
            let open = |i: &usize| given[*i] + CRUMB <= teams[*i].3.min(teams[*i].1) + 1e-9;
            let top = (0..teams.len()).filter(open).map(|i| teams[i].4).max();
            let next = (0..teams.len())
                .filter(open)
                .filter(|&i| Some(teams[i].4) == top)
                .min_by(|&a, &b| over(&given, a).total_cmp(&over(&given, b)));
            match next {
                Some(i) => given[i] += CRUMB,
                None => break,
            }
            left -= CRUMB;
        }
        given
    }

    fn team() -> impl Strategy<Value = (f64, f64, f64, f64, i32)> {
        // Quota, limit, weight, request, priority.
        // A quota of 6 stands for none: a guest.
        let quota = |q: u32| if q < 6 { f64::from(q) } else { f64::INFINITY };
        (0..7u32, 4..12u32, 1..4u32, 0..12u32, 0..2i32).prop_map(move |(q, l, w, r, p)| {
            (quota(q), f64::from(l), f64::from(w), f64::from(r), p)
        })
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(120) })]

        #[test]
        fn shares_agree_with_the_slow_model(
            teams in proptest::collection::vec(team(), 1..6),
            total in 0..30u32,
        ) {
            let mut tree = TeamTree::from_limits(&[]);
            tree.nodes.extend(teams.iter().map(|t| node(Some(0), t.0, t.1, t.2, t.4)));
            let mut requested = vec![[0.0; KINDS]];
            requested.extend(teams.iter().map(|t| [t.3; KINDS]));
            let total = f64::from(total);
            let firm = vec![[0.0; KINDS]; tree.nodes.len()];
            let shares = fair_shares(&tree, [total; KINDS], &requested, &firm);
            for (i, expected) in model(&teams, total).into_iter().enumerate() {
                let got = shares[i + 1][0];
                prop_assert!((got - expected).abs() < 0.05, "{i}: {got} but {expected}: {teams:?}");
            }
        }
    }

    #[test]
    fn shares_recurse_into_children() {
        let mut tree = TeamTree::from_limits(&[]);
        tree.nodes.push(node(Some(0), 6.0, 10.0, 1.0, 0));
        tree.nodes.push(node(Some(0), 2.0, 10.0, 1.0, 0));
        tree.nodes.push(node(Some(1), 0.0, 10.0, 3.0, 0));
        tree.nodes.push(node(Some(1), 0.0, 10.0, 1.0, 0));
        let want = [
            [0.0; KINDS],
            [0.0; KINDS],
            [9.0; KINDS],
            [9.0; KINDS],
            [9.0; KINDS],
        ];
        let shares = fair_shares(&tree, [12.0; KINDS], &want, &[[0.0; KINDS]; 5]);
        let of_cpus: Vec<f64> = shares.iter().map(|s| s[0]).collect();
        assert_eq!(of_cpus, vec![12.0, 8.0, 4.0, 6.0, 2.0]);
    }

    /// A guest that asked for much claimed most of the room in phase one, and teams within their
    /// guarantees waited. In a group without a quota of its own, guarantees still hold.
    #[test]
    fn a_guest_without_a_quota_is_promised_nothing() {
        let mut tree = TeamTree::from_limits(&[]);
        let none = f64::INFINITY;
        tree.nodes.push(node(Some(0), none, none, 1.0, 0));
        tree.nodes.push(node(Some(0), none, none, 1.0, 0));
        tree.nodes.push(node(Some(2), 8.0, none, 1.0, 0));
        let want = |team: f64| [[0.0; KINDS], [90.0; KINDS], [0.0; KINDS], [team; KINDS]];
        let shares = |team| {
            let got = fair_shares(&tree, [10.0; KINDS], &want(team), &[[0.0; KINDS]; 4]);
            [got[1][0], got[2][0], got[3][0]]
        };
        assert_eq!(shares(8.0), [2.0, 8.0, 8.0]);
        assert_eq!(shares(2.0), [8.0, 2.0, 2.0]);
    }

    /// Of two teams without a quota one ran replicas on half of the room: its other work had nothing
    /// left of its share, and waited behind all that the other, a guest, could lend.
    #[test]
    fn what_only_an_unlimited_quota_lets_run_comes_before_what_is_left() {
        let mut tree = TeamTree::from_limits(&[]);
        let none = f64::INFINITY;
        tree.nodes.push(node(Some(0), none, none, 1.0, 0));
        tree.nodes.push(node(Some(0), none, none, 1.0, 0));
        let want = [[0.0; KINDS], [90.0; KINDS], [90.0; KINDS]];
        let shares = |firm: f64| {
            let firm = [[0.0; KINDS], [firm; KINDS], [0.0; KINDS]];
            let got = fair_shares(&tree, [20.0; KINDS], &want, &firm);
            [got[1][0], got[2][0]]
        };
        assert_eq!(shares(0.0), [10.0, 10.0]);
        assert_eq!(shares(10.0), [15.0, 5.0]);
        assert_eq!(shares(30.0), [20.0, 0.0]);
    }

    /// The design's doubt: where the cloud can't deliver, quotas promise room that is not there.
    #[test]
    fn quotas_that_are_not_backed_are_scaled_down_evenly() {
        let mut tree = TeamTree::from_limits(&[]);
        tree.nodes.push(node(Some(0), 6.0, 10.0, 1.0, 0));
        tree.nodes.push(node(Some(0), 3.0, 10.0, 9.0, 5));
        let want = [[0.0; KINDS], [8.0; KINDS], [8.0; KINDS]];
        let shares = fair_shares(&tree, [6.0; KINDS], &want, &[[0.0; KINDS]; 3]);
        assert_eq!([shares[1][0], shares[2][0]], [4.0, 2.0]);
    }
}

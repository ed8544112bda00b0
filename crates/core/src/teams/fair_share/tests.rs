use super::*;
use crate::teams::team_tree::TeamNode;
use proptest::prelude::*;

fn node(parent: Option<usize>, quota: f64, limit: f64, weight: f64, priority: i32) -> TeamNode {
    TeamNode {
        name: format!("t{quota}").as_str().into(),
        parent,
        quota: [quota; RESOURCE_KINDS],
        limit: [limit; RESOURCE_KINDS],
        weight,
        priority,
    }
}

/// Slow reference model: gives out one small part at a time. Each part goes to the sibling that has received the
/// smallest fraction of its guarantee; once the guarantees are met, parts are given by priority and weight.
fn reference_shares(teams: &[(f64, f64, f64, f64, i32)], total: f64) -> Vec<f64> {
    const PART: f64 = 0.005;
    let mut given = vec![0.0; teams.len()];
    let mut left = total;
    let quota = |q: f64| if q.is_finite() { q } else { 0.0 };
    let guaranteed: Vec<f64> = teams.iter().map(|t| quota(t.0).min(t.3).min(t.1)).collect();
    loop {
        let next = (0..teams.len())
            .filter(|&i| given[i] + PART <= guaranteed[i] + 1e-9)
            .min_by(|&a, &b| (given[a] / guaranteed[a]).total_cmp(&(given[b] / guaranteed[b])));
        match next {
            Some(i) if left >= PART => given[i] += PART,
            _ => break,
        }
        left -= PART;
    }
    let first = given.clone();
    let over = |given: &[f64], i: usize| (given[i] - first[i]) / teams[i].2;
    while left >= PART {
        let open = |i: &usize| given[*i] + PART <= teams[*i].3.min(teams[*i].1) + 1e-9;
        let top = (0..teams.len()).filter(open).map(|i| teams[i].4).max();
        let next = (0..teams.len())
            .filter(open)
            .filter(|&i| Some(teams[i].4) == top)
            .min_by(|&a, &b| over(&given, a).total_cmp(&over(&given, b)));
        match next {
            Some(i) => given[i] += PART,
            None => break,
        }
        left -= PART;
    }
    given
}

fn team() -> impl Strategy<Value = (f64, f64, f64, f64, i32)> {
    // The values are quota, limit, weight, request and priority. A quota of 6 stands for no quota.
    let quota = |q: u32| if q < 6 { f64::from(q) } else { f64::INFINITY };
    (0..7u32, 4..12u32, 1..4u32, 0..12u32, 0..2i32)
        .prop_map(move |(q, l, w, r, p)| (quota(q), f64::from(l), f64::from(w), f64::from(r), p))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(120) })]

    #[test]
    fn shares_agree_with_the_reference_model(
        teams in proptest::collection::vec(team(), 1..6),
        total in 0..30u32,
    ) {
        let mut tree = TeamTree::from_limits(&[]);
        tree.nodes.extend(teams.iter().map(|t| node(Some(0), t.0, t.1, t.2, t.4)));
        let mut requested = vec![[0.0; RESOURCE_KINDS]];
        requested.extend(teams.iter().map(|t| [t.3; RESOURCE_KINDS]));
        let total = f64::from(total);
        let non_preemptible = vec![[0.0; RESOURCE_KINDS]; tree.nodes.len()];
        let shares = fair_shares(&tree, [total; RESOURCE_KINDS], &requested, &non_preemptible);
        for (i, expected) in reference_shares(&teams, total).into_iter().enumerate() {
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
        [0.0; RESOURCE_KINDS],
        [0.0; RESOURCE_KINDS],
        [9.0; RESOURCE_KINDS],
        [9.0; RESOURCE_KINDS],
        [9.0; RESOURCE_KINDS],
    ];
    let shares = fair_shares(
        &tree,
        [12.0; RESOURCE_KINDS],
        &want,
        &[[0.0; RESOURCE_KINDS]; 5],
    );
    let of_cpus: Vec<f64> = shares.iter().map(|s| s[0]).collect();
    assert_eq!(of_cpus, vec![12.0, 8.0, 4.0, 6.0, 2.0]);
}

/// Guards against a team without a quota claiming most of the capacity in phase one by a large request, so that teams
/// within their guarantees wait. Guarantees also hold in a group that has no quota of its own.
#[test]
fn nothing_is_guaranteed_to_a_team_without_a_quota() {
    let mut tree = TeamTree::from_limits(&[]);
    let none = f64::INFINITY;
    tree.nodes.push(node(Some(0), none, none, 1.0, 0));
    tree.nodes.push(node(Some(0), none, none, 1.0, 0));
    tree.nodes.push(node(Some(2), 8.0, none, 1.0, 0));
    let want = |team: f64| {
        [
            [0.0; RESOURCE_KINDS],
            [90.0; RESOURCE_KINDS],
            [0.0; RESOURCE_KINDS],
            [team; RESOURCE_KINDS],
        ]
    };
    let shares = |team| {
        let got = fair_shares(
            &tree,
            [10.0; RESOURCE_KINDS],
            &want(team),
            &[[0.0; RESOURCE_KINDS]; 4],
        );
        [got[1][0], got[2][0], got[3][0]]
    };
    assert_eq!(shares(8.0), [2.0, 8.0, 8.0]);
    assert_eq!(shares(2.0), [8.0, 2.0, 2.0]);
}

/// Of two teams without a quota, one runs replicas on half of the capacity. Without this rule the replicas use up its
/// share, and its other work waits behind everything that the other team borrows.
#[test]
fn non_preemptible_work_without_a_quota_comes_before_the_surplus() {
    let mut tree = TeamTree::from_limits(&[]);
    let none = f64::INFINITY;
    tree.nodes.push(node(Some(0), none, none, 1.0, 0));
    tree.nodes.push(node(Some(0), none, none, 1.0, 0));
    let want = [
        [0.0; RESOURCE_KINDS],
        [90.0; RESOURCE_KINDS],
        [90.0; RESOURCE_KINDS],
    ];
    let shares = |non_preemptible: f64| {
        let non_preemptible = [
            [0.0; RESOURCE_KINDS],
            [non_preemptible; RESOURCE_KINDS],
            [0.0; RESOURCE_KINDS],
        ];
        let got = fair_shares(&tree, [20.0; RESOURCE_KINDS], &want, &non_preemptible);
        [got[1][0], got[2][0]]
    };
    assert_eq!(shares(0.0), [10.0, 10.0]);
    assert_eq!(shares(10.0), [15.0, 5.0]);
    assert_eq!(shares(30.0), [20.0, 0.0]);
}

/// When the cloud can't deliver machines, the quotas add up to more capacity than exists.
#[test]
fn quotas_that_are_not_backed_are_scaled_down_by_a_common_factor() {
    let mut tree = TeamTree::from_limits(&[]);
    tree.nodes.push(node(Some(0), 6.0, 10.0, 1.0, 0));
    tree.nodes.push(node(Some(0), 3.0, 10.0, 9.0, 5));
    let want = [
        [0.0; RESOURCE_KINDS],
        [8.0; RESOURCE_KINDS],
        [8.0; RESOURCE_KINDS],
    ];
    let shares = fair_shares(
        &tree,
        [6.0; RESOURCE_KINDS],
        &want,
        &[[0.0; RESOURCE_KINDS]; 3],
    );
    assert_eq!([shares[1][0], shares[2][0]], [4.0, 2.0]);
}

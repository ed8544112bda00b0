//! What teams use in a snapshot, against their limits, quotas and fair shares (article: "Queues and hierarchical
//! fair share").
//!
//! Every amount is kept for each node of the team tree; what a team uses counts for all nodes above it, too.
//! Invariants: everything that is not surely gone counts as used; non-preemptible work keeps to the quota, and all
//! work to the limit, of each node from its team up to the root.
//!
//! Fair shares count work on GPUs apart (see [`QuotaAccount::counted_for_shares`]).

use crate::fleet::Machine;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::teams::fair_share::{fair_shares, saturation};
use crate::teams::team_tree::{
    add_amounts, amounts, Amounts, GPUS, MEMORY, NO_AMOUNTS, RESOURCE_KINDS,
};
use crate::units::Resources;

/// Sums of amounts are compared with limits up to this.
const LIMIT_TOLERANCE: f64 = 1e-9;
/// Fair shares are compared up to this.
const SHARE_TOLERANCE: f64 = 1e-6;

/// What is used below each node of the team tree.
#[derive(Clone)]
pub struct QuotaUsage {
    /// Everything that is not surely gone.
    used: Vec<Amounts>,
    /// What of that can't be preempted.
    non_preemptible: Vec<Amounts>,
}

impl QuotaUsage {
    fn new(nodes: usize) -> Self {
        Self {
            used: vec![NO_AMOUNTS; nodes],
            non_preemptible: vec![NO_AMOUNTS; nodes],
        }
    }

    /// Adds to what the team of a job, which is this node of the tree, and all nodes above it use.
    fn charge_team(&mut self, leader: &Leader, team: usize, job: &Job, need: &Amounts) {
        for node in leader.policy.teams.path_to_root(team) {
            add_amounts(&mut self.used[node], need);
            if !job.is_preemptible() {
                add_amounts(&mut self.non_preemptible[node], need);
            }
        }
    }

    /// Whether a job's team, and all nodes above it, may use so much more.
    pub fn within_limits(&self, leader: &Leader, job: &Job, need: &Amounts) -> bool {
        (leader.policy.teams.find(&job.spec.team))
            .is_some_and(|team| self.team_within_limits(leader, team, job, need))
    }

    /// The same if the team's node of the tree is known.
    fn team_within_limits(&self, leader: &Leader, team: usize, job: &Job, need: &Amounts) -> bool {
        let fits = |used: &Amounts, cap: &Amounts| {
            (0..RESOURCE_KINDS)
                .all(|k| need[k] <= 0.0 || used[k] + need[k] <= cap[k] + LIMIT_TOLERANCE)
        };
        leader.policy.teams.path_to_root(team).all(|node| {
            let settings = &leader.policy.teams.nodes[node];
            let within_quota =
                job.is_preemptible() || fits(&self.non_preemptible[node], &settings.quota);
            within_quota && fits(&self.used[node], &settings.limit)
        })
    }

    /// Adds as many of `most` tasks of a job as its team's limits allow; returns how many.
    pub fn charge_within_limits(&mut self, leader: &Leader, job: &Job, most: u32) -> u32 {
        let Some(team) = leader.policy.teams.find(&job.spec.team) else {
            return 0;
        };
        let need = amounts(&job.need);
        let mut tasks = 0;
        while tasks < most && self.team_within_limits(leader, team, job, &need) {
            tasks += 1;
            self.charge_team(leader, team, job, &need);
        }
        tasks
    }
}

/// What a node of the team tree uses and its fair share.
#[derive(Clone, Copy, Debug)]
pub struct TeamStanding {
    /// Everything that is not surely gone.
    pub used: Amounts,
    /// What of that counts for fair shares.
    pub counted: Amounts,
    /// The fair share.
    pub fair_share: Amounts,
}

/// What teams use, and their fair shares.
pub struct QuotaAccount {
    usage: QuotaUsage,
    /// For each node: what of its usage counts for fair shares.
    counted: Vec<Amounts>,
    /// For each node: its fair share, with work on GPUs counted apart.
    fair_share: Vec<Amounts>,
    /// For each node: its fair share, with everything counted together.
    fair_share_of_all: Vec<Amounts>,
    /// Whether GPUs are shared apart from all else: if there are machines without.
    counts_gpus_apart: bool,
}

impl QuotaAccount {
    /// Counts what all jobs may have anywhere, and computes fair shares.
    pub(super) fn new(leader: &Leader) -> Self {
        let nodes = leader.policy.teams.nodes.len();
        let mut account = Self {
            usage: QuotaUsage::new(nodes),
            counted: vec![NO_AMOUNTS; nodes],
            fair_share: Vec::new(),
            fair_share_of_all: Vec::new(),
            counts_gpus_apart: leader.policy.catalog.types.iter().any(|t| t.gpus <= 0.0),
        };
        for job in (leader.jobs.values()).filter(|job| !job.placements.is_empty()) {
            let need = amounts(&job.need.times(job.placement_count()));
            account.charge(leader, job, &need);
        }
        account.compute_fair_shares(leader);
        account
    }

    /// Fair shares by what teams use and what their waiting tasks request.
    fn compute_fair_shares(&mut self, leader: &Leader) {
        let mut requested = self.counted.clone();
        let mut requested_of_all = self.usage.used.clone();
        let mut non_preemptible = self.usage.non_preemptible.clone();
        for job in leader.jobs.values().filter(|job| job.is_active()) {
            let need = amounts(&job.need.times(job.startable_tasks()));
            let counted = self.counted_for_shares(&need);
            if let Some(team) = leader.policy.teams.find(&job.spec.team) {
                add_amounts(&mut requested_of_all[team], &need);
                add_amounts(&mut requested[team], &counted);
                if !job.is_preemptible() {
                    add_amounts(&mut non_preemptible[team], &counted);
                }
            }
        }
        requested[0] = NO_AMOUNTS;
        requested_of_all[0] = NO_AMOUNTS;
        let (mut shared, mut all) = (NO_AMOUNTS, NO_AMOUNTS);
        for machine in leader.fleet.machines.values() {
            if machine.retire_reason.is_none() && machine.return_requested_at.is_none() {
                add_amounts(&mut shared, &self.shared_capacity(machine));
                add_amounts(&mut all, &amounts(&machine.capacity));
            }
        }
        let teams = &leader.policy.teams;
        self.fair_share = fair_shares(teams, shared, &requested, &non_preemptible);
        self.fair_share_of_all = fair_shares(teams, all, &requested_of_all, &non_preemptible);
    }

    /// What is used below each node.
    pub fn usage(&self) -> &QuotaUsage {
        &self.usage
    }

    /// What a node uses and its fair share.
    pub fn standing(&self, node: usize) -> TeamStanding {
        TeamStanding {
            used: self.usage.used[node],
            counted: self.counted[node],
            fair_share: self.fair_share[node],
        }
    }

    /// How much of its fair share a node uses.
    pub fn saturation(&self, node: usize) -> f64 {
        saturation(&self.counted[node], &self.fair_share[node])
    }

    /// Whether any team uses more than its fair share, so that there is something to reclaim.
    pub fn is_any_over_share(&self) -> bool {
        (1..self.counted.len()).any(|node| self.saturation(node) > 1.0)
    }

    /// Adds to what a job's team, and all nodes above it, use.
    pub(super) fn charge(&mut self, leader: &Leader, job: &Job, need: &Amounts) {
        let Some(team) = leader.policy.teams.find(&job.spec.team) else {
            return;
        };
        self.usage.charge_team(leader, team, job, need);
        let counted = self.counted_for_shares(need);
        for node in leader.policy.teams.path_to_root(team) {
            add_amounts(&mut self.counted[node], &counted);
        }
    }

    /// What of a need counts for fair shares. Work without GPUs stays off machines with GPUs where it can, so
    /// the CPUs of these are no room that it could borrow: counted with the rest they made every team seem to stay
    /// within its share, and nothing was ever reclaimed. So work with GPUs counts by these, and all else by what
    /// machines without GPUs have.
    fn counted_for_shares(&self, need: &Amounts) -> Amounts {
        if self.counts_gpus_apart && need[GPUS] != 0.0 {
            gpus_only(need)
        } else {
            *need
        }
    }

    /// What a machine adds to the room that is shared. What runs on a machine with GPUs without using them has
    /// its room there all the same.
    fn shared_capacity(&self, machine: &Machine) -> Amounts {
        let capacity = amounts(&machine.capacity);
        if !self.counts_gpus_apart || capacity[GPUS] <= 0.0 {
            return capacity;
        }
        let mut shared = gpus_only(&capacity);
        let without_gpus =
            (machine.tasks.iter()).filter(|task| task.occupies_capacity() && task.need.gpus == 0);
        for task in without_gpus {
            add_amounts(&mut shared, &amounts(&task.need));
        }
        shared
    }

    /// Usage and fair shares as they count for reclaiming room for a job. Work on GPUs is stopped only where its
    /// team is above its share of all that it takes: by GPUs alone, gangs of teams on a large deployment stopped
    /// one another, and fewer were done in time.
    pub fn reclaim_basis(&self, job: &Job) -> ReclaimBasis<'_> {
        if job.need.gpus > 0 {
            ReclaimBasis {
                used: &self.usage.used,
                fair_share: &self.fair_share_of_all,
                counting: Counting::Everything,
                account: self,
            }
        } else {
            ReclaimBasis {
                used: &self.counted,
                fair_share: &self.fair_share,
                counting: Counting::GpusApart,
                account: self,
            }
        }
    }
}

fn gpus_only(need: &Amounts) -> Amounts {
    let mut counted = NO_AMOUNTS;
    counted[GPUS] = need[GPUS];
    counted
}

/// How needs count for reclaiming.
#[derive(Clone, Copy)]
enum Counting {
    Everything,
    GpusApart,
}

/// Usage and fair shares as they count for reclaiming room for a job.
pub struct ReclaimBasis<'a> {
    used: &'a [Amounts],
    fair_share: &'a [Amounts],
    counting: Counting,
    account: &'a QuotaAccount,
}

impl ReclaimBasis<'_> {
    /// What a need counts for.
    pub fn counted(&self, need: &Resources) -> Amounts {
        let need = amounts(need);
        match self.counting {
            Counting::Everything => need,
            Counting::GpusApart => self.account.counted_for_shares(&need),
        }
    }

    /// Whether a team stays within its fair share with so much more, counted `multiplier` times.
    pub fn stays_within_share(&self, team: usize, need: &Resources, multiplier: f64) -> bool {
        let need = self.counted(need);
        let (used, share) = (&self.used[team], &self.fair_share[team]);
        (0..RESOURCE_KINDS).all(|k| {
            need[k] <= 0.0 || (used[k] + need[k]) * multiplier <= share[k] + SHARE_TOLERANCE
        })
    }

    /// Whether a team is still at or above its fair share in what it gives. Memory has neither quota nor limit in
    /// the platform's settings, so it is not reclaimed.
    pub fn stays_at_share_without(&self, team: usize, given: &Amounts) -> bool {
        let (used, share) = (&self.used[team], &self.fair_share[team]);
        (0..RESOURCE_KINDS)
            .filter(|&k| k != MEMORY && given[k] > 0.0)
            .all(|k| used[k] - given[k] >= share[k] - SHARE_TOLERANCE)
    }
}

//! Usage of teams in a snapshot, with their limits, quotas and fair shares (article "KAI Scheduler Deep Dive", section
//! "Queues and hierarchical fair share").
//!
//! Every amount is kept for each node of the team tree; the usage of a team also counts for all nodes above it.
//! Invariants: everything that is not surely gone counts as used; non-preemptible work stays within the quota, and
//! all work within the limit, of each node from its team up to the root.
//!
//! Fair shares count work on GPUs separately (see [`QuotaAccount::counted_for_shares`]).

use crate::fleet::Machine;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::teams::fair_share::{fair_shares, saturation};
use crate::teams::team_tree::{
    add_amounts, amounts, Amounts, GPUS, MEMORY, NO_AMOUNTS, RESOURCE_KINDS,
};
use crate::units::Resources;

/// Rounding tolerance of comparisons with quotas and limits.
const LIMIT_TOLERANCE: f64 = 1e-9;
/// Rounding tolerance of comparisons with fair shares.
const SHARE_TOLERANCE: f64 = 1e-6;

/// Resources in use in the subtree of each node of the team tree.
#[derive(Clone)]
pub struct QuotaUsage {
    /// Usage of each node: everything that is not surely gone.
    used: Vec<Amounts>,
    /// The part of the usage that is non-preemptible.
    non_preemptible: Vec<Amounts>,
}

impl QuotaUsage {
    fn new(nodes: usize) -> Self {
        Self {
            used: vec![NO_AMOUNTS; nodes],
            non_preemptible: vec![NO_AMOUNTS; nodes],
        }
    }

    /// Adds `need` to the usage of a job's team, whose node of the tree is `team`, and of all nodes above it.
    fn charge_team(&mut self, leader: &Leader, team: usize, job: &Job, need: &Amounts) {
        for node in leader.policy.teams.path_to_root(team) {
            add_amounts(&mut self.used[node], need);
            if !job.is_preemptible() {
                add_amounts(&mut self.non_preemptible[node], need);
            }
        }
    }

    /// Returns whether a job's team, and all nodes above it, may use `need` in addition.
    pub fn within_limits(&self, leader: &Leader, job: &Job, need: &Amounts) -> bool {
        (leader.policy.teams.find(&job.spec.team))
            .is_some_and(|team| self.team_within_limits(leader, team, job, need))
    }

    /// Returns the same as [`Self::within_limits`], given the job's team as a node of the tree.
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

    /// Adds as many tasks of a job to the usage as its team's limits allow, at most `max_tasks`. Returns the number of
    /// tasks added.
    pub fn charge_within_limits(&mut self, leader: &Leader, job: &Job, max_tasks: u32) -> u32 {
        let Some(team) = leader.policy.teams.find(&job.spec.team) else {
            return 0;
        };
        let need = amounts(&job.need);
        let mut tasks = 0;
        while tasks < max_tasks && self.team_within_limits(leader, team, job, &need) {
            tasks += 1;
            self.charge_team(leader, team, job, &need);
        }
        tasks
    }
}

/// Usage and fair share of a node of the team tree.
#[derive(Clone, Copy, Debug)]
pub struct QuotaStatus {
    /// Usage: everything that is not surely gone.
    pub used: Amounts,
    /// The part of the usage that counts for fair shares.
    pub counted: Amounts,
    /// Fair share of the node.
    pub fair_share: Amounts,
}

/// Usage and fair shares of all nodes of the team tree.
pub struct QuotaAccount {
    usage: QuotaUsage,
    /// For each node: the part of its usage that counts for fair shares.
    counted: Vec<Amounts>,
    /// For each node: its fair share, with work on GPUs counted separately.
    fair_share: Vec<Amounts>,
    /// For each node: its fair share, with all resources counted together.
    combined_fair_share: Vec<Amounts>,
    /// Whether work on GPUs is counted separately: true if there are machine types without GPUs.
    counts_gpus_separately: bool,
}

impl QuotaAccount {
    /// Counts the usage of all jobs, including every task that may be on any machine, and computes the fair shares.
    pub(super) fn new(leader: &Leader) -> Self {
        let nodes = leader.policy.teams.nodes.len();
        let mut account = Self {
            usage: QuotaUsage::new(nodes),
            counted: vec![NO_AMOUNTS; nodes],
            fair_share: Vec::new(),
            combined_fair_share: Vec::new(),
            counts_gpus_separately: leader.policy.catalog.types.iter().any(|t| t.gpus <= 0.0),
        };
        for job in (leader.jobs.values()).filter(|job| !job.placements.is_empty()) {
            let need = amounts(&job.need.times(job.placement_count()));
            account.charge(leader, job, &need);
        }
        account.compute_fair_shares(leader);
        account
    }

    /// Computes the fair shares from the usage of teams and the requests of their waiting tasks.
    fn compute_fair_shares(&mut self, leader: &Leader) {
        let mut requested = self.counted.clone();
        let mut combined_request = self.usage.used.clone();
        let mut non_preemptible = self.usage.non_preemptible.clone();
        for job in leader.jobs.values().filter(|job| job.is_active()) {
            let need = amounts(&job.need.times(job.startable_tasks()));
            let counted = self.counted_for_shares(&need);
            if let Some(team) = leader.policy.teams.find(&job.spec.team) {
                add_amounts(&mut combined_request[team], &need);
                add_amounts(&mut requested[team], &counted);
                if !job.is_preemptible() {
                    add_amounts(&mut non_preemptible[team], &counted);
                }
            }
        }
        requested[0] = NO_AMOUNTS;
        combined_request[0] = NO_AMOUNTS;
        let (mut shared, mut all) = (NO_AMOUNTS, NO_AMOUNTS);
        for machine in leader.fleet.machines.values() {
            if machine.retire_reason.is_none() && machine.return_requested_at.is_none() {
                add_amounts(&mut shared, &self.shared_capacity(machine));
                add_amounts(&mut all, &amounts(&machine.capacity));
            }
        }
        let teams = &leader.policy.teams;
        self.fair_share = fair_shares(teams, shared, &requested, &non_preemptible);
        self.combined_fair_share = fair_shares(teams, all, &combined_request, &non_preemptible);
    }

    /// Returns the resources in use in the subtree of each node.
    pub fn usage(&self) -> &QuotaUsage {
        &self.usage
    }

    /// Returns the usage and the fair share of a node.
    pub fn status(&self, node: usize) -> QuotaStatus {
        QuotaStatus {
            used: self.usage.used[node],
            counted: self.counted[node],
            fair_share: self.fair_share[node],
        }
    }

    /// Returns the saturation of a node: its usage relative to its fair share.
    pub fn saturation(&self, node: usize) -> f64 {
        saturation(&self.counted[node], &self.fair_share[node])
    }

    /// Returns whether any node uses more than its fair share, so that there is something to reclaim.
    pub fn is_any_over_share(&self) -> bool {
        (1..self.counted.len()).any(|node| self.saturation(node) > 1.0)
    }

    /// Adds `need`, which may be negative, to the usage of a job's team and of all nodes above it.
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

    /// Returns the part of a need that counts for fair shares. If there are machine types without GPUs, a need with
    /// GPUs counts by its GPUs only, and any other need counts in full, against the capacity of machines without
    /// GPUs. Work without GPUs stays off machines with GPUs where it can, so the CPUs of these machines are not
    /// capacity that it could borrow. If they were counted with the rest, every team would seem to stay within its
    /// share, and nothing would ever be reclaimed.
    fn counted_for_shares(&self, need: &Amounts) -> Amounts {
        if self.counts_gpus_separately && need[GPUS] != 0.0 {
            gpus_only(need)
        } else {
            *need
        }
    }

    /// Returns the amounts that a machine adds to the capacity that is shared. Tasks without GPUs on a machine with
    /// GPUs occupy capacity there all the same, so their needs are added.
    fn shared_capacity(&self, machine: &Machine) -> Amounts {
        let capacity = amounts(&machine.capacity);
        if !self.counts_gpus_separately || capacity[GPUS] <= 0.0 {
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

    /// Returns usage and fair shares as they count for reclaiming room for a job. Work on GPUs is stopped only where
    /// its team is above its share of every resource that this work takes: when only GPUs were counted, gangs of
    /// different teams stopped one another on a large deployment, and fewer were done in time.
    pub fn reclaim_basis(&self, job: &Job) -> ReclaimBasis<'_> {
        if job.need.gpus > 0 {
            ReclaimBasis {
                used: &self.usage.used,
                fair_share: &self.combined_fair_share,
                counting: CountingMode::Combined,
                account: self,
            }
        } else {
            ReclaimBasis {
                used: &self.counted,
                fair_share: &self.fair_share,
                counting: CountingMode::GpusSeparately,
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

/// How the needs of work on GPUs are counted for reclaiming.
#[derive(Clone, Copy)]
enum CountingMode {
    /// All resources of a need count.
    Combined,
    /// A need counts as in [`QuotaAccount::counted_for_shares`].
    GpusSeparately,
}

/// Usage and fair shares as they count for reclaiming room for a job.
pub struct ReclaimBasis<'a> {
    used: &'a [Amounts],
    fair_share: &'a [Amounts],
    counting: CountingMode,
    account: &'a QuotaAccount,
}

impl ReclaimBasis<'_> {
    /// Returns the amounts that a need counts for.
    pub fn counted(&self, need: &Resources) -> Amounts {
        let need = amounts(need);
        match self.counting {
            CountingMode::Combined => need,
            CountingMode::GpusSeparately => self.account.counted_for_shares(&need),
        }
    }

    /// Returns whether a team stays within its fair share of each resource in `need` when its usage and `need`
    /// together are multiplied by `multiplier`.
    pub fn stays_within_share(&self, team: usize, need: &Resources, multiplier: f64) -> bool {
        let need = self.counted(need);
        let (used, share) = (&self.used[team], &self.fair_share[team]);
        (0..RESOURCE_KINDS).all(|k| {
            need[k] <= 0.0 || (used[k] + need[k]) * multiplier <= share[k] + SHARE_TOLERANCE
        })
    }

    /// Returns whether a team stays at or above its fair share without `evicted`, for each resource in `evicted`.
    /// Memory has neither quota nor limit in the platform's settings, so it is not reclaimed.
    pub fn stays_at_share_without(&self, team: usize, evicted: &Amounts) -> bool {
        let (used, share) = (&self.used[team], &self.fair_share[team]);
        (0..RESOURCE_KINDS)
            .filter(|&k| k != MEMORY && evicted[k] > 0.0)
            .all(|k| used[k] - evicted[k] >= share[k] - SHARE_TOLERANCE)
    }
}

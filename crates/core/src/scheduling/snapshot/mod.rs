//! The snapshot that a cycle decides on (article "KAI Scheduler Deep Dive", section "The scheduling cycle: snapshot,
//! session, actions, plugins").
//!
//! The snapshot is taken when the cycle begins and does not follow later changes. The decisions of the cycle are
//! simulated in it, mostly through a [`Statement`](super::statement::Statement), and take effect only when the cycle
//! applies them. Each cycle builds a new snapshot from several hundred machines, so names that are compared often are
//! replaced by numbers.
//!
//! * [`candidate_machine`]: a machine that work can be placed on.
//! * [`name_index`]: numbers of images and zones.
//! * [`quota`]: usage of teams, their limits and fair shares.
//! * [`reservations`]: free room kept for urgent arrivals and for gangs.
//! * [`simulation`]: simulated placements and evictions, and their reversal.

pub mod candidate_machine;
mod name_index;
pub mod quota;
pub mod reservations;
pub(in crate::scheduling) mod simulation;

pub use candidate_machine::CandidateMachine;
pub use simulation::Victim;

use crate::fleet::Machine;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::teams::team_tree::{amounts, Amounts};
use crate::units::{Now, Span, Time};
use name_index::NameIndex;
use quota::{QuotaAccount, QuotaStatus};
use rudderreel_wire::ids::{Attempt, Image, JobId, TaskId};
use rudderreel_wire::job::JobSpec;
use std::collections::{BTreeSet, HashMap};

/// Divisor of the number of all replicas that gives the cap for one machine, so that its loss affects few of them.
const REPLICA_CAP_DIVISOR: u32 = 4;
/// Lower bound of the cap on the replicas of one machine, however few replicas there are.
const MIN_REPLICA_CAP: u32 = 4;

/// State of the fleet, the jobs and the teams at the beginning of a cycle, with the decisions of the cycle so far.
pub struct Snapshot {
    /// Machines that work can be placed on.
    pub candidates: Vec<CandidateMachine>,
    /// Usage of teams, with their limits and fair shares.
    pub quota: QuotaAccount,
    /// Time at which the snapshot was taken.
    pub now: Now,
    /// Gangs that room is reserved for.
    gang_reservations: BTreeSet<JobId>,
    /// Numbers of images and zones.
    names: NameIndex,
    /// For each job with zone rules: number of tasks that may exist in each zone.
    tasks_by_zone: HashMap<JobId, Vec<u32>>,
    /// Tasks to be evicted.
    evicted: BTreeSet<(TaskId, Attempt)>,
    /// Number of tasks of each job that were placed in this cycle.
    placed: HashMap<JobId, usize>,
}

/// Returns whether new work may be placed on a machine.
fn is_usable(machine: &Machine, leader: &Leader, now: Time) -> bool {
    let max_silence = Span(leader.agent_timings.lease.0 / 2);
    let was_heard_recently =
        (machine.last_heard_at).is_some_and(|heard_at| now - heard_at < max_silence);
    // Receiving reports of the machine is not enough: while its agent leaves calls unanswered, the machine gets no
    // new work.
    let answers_calls = machine.unanswered_calls == 0;
    let is_leaving = machine.reclaim_at.is_some()
        || machine.retire_reason.is_some()
        || machine.return_requested_at.is_some();
    machine.is_reconciled(leader.term.tokens())
        && was_heard_recently
        && !leader.fleet.partitioned_zones.contains(&machine.zone)
        && answers_calls
        && !is_leaving
        && machine.quarantined_until <= now
        && machine.cordoned_until <= now
}

/// Returns whether the zones allowed for a task depend on the zones of the job's other tasks.
pub fn has_zone_rules(spec: &JobSpec) -> bool {
    spec.spread || spec.one_zone
}

impl Snapshot {
    /// Takes a snapshot of the leader's state.
    pub fn take(leader: &Leader, now: Now) -> Self {
        let mut snapshot = Self {
            candidates: Vec::new(),
            quota: QuotaAccount::new(leader),
            now,
            gang_reservations: BTreeSet::new(),
            names: NameIndex::default(),
            tasks_by_zone: HashMap::new(),
            evicted: BTreeSet::new(),
            placed: HashMap::new(),
        };
        for machine in leader.fleet.machines.values() {
            if is_usable(machine, leader, now.time) {
                let names = &mut snapshot.names;
                let candidate = CandidateMachine::new(leader, machine, names, now.time);
                snapshot.candidates.push(candidate);
            }
        }
        for job in leader.jobs.values() {
            snapshot.count_zones(leader, job);
            if job.is_active() {
                snapshot.names.intern_image(&job.spec.image);
            }
        }
        snapshot
    }

    /// Counts by zone the tasks of a job with zone rules, including every task that may exist.
    fn count_zones(&mut self, leader: &Leader, job: &Job) {
        if !has_zone_rules(&job.spec) {
            return;
        }
        for (id, _) in job.placements.values().flatten() {
            if let Some(machine) = leader.fleet.machines.get(id) {
                let zone = self.names.intern_zone(&machine.zone);
                self.adjust_zone_count(&job.spec.id, zone, 1);
            }
        }
    }

    /// Returns the number of an image, if any active job uses it or any machine has it cached or fetches it.
    pub fn image(&self, image: &Image) -> Option<u32> {
        self.names.image(image)
    }

    /// Returns the zones to be tried one after the other for a gang; a single `None` if its tasks may be in several
    /// zones.
    pub fn zone_choices(&self, gang: &JobSpec) -> Vec<Option<usize>> {
        if gang.one_zone {
            (0..self.names.zone_count()).map(Some).collect()
        } else {
            vec![None]
        }
    }

    /// Returns the number of tasks of a job with zone rules in each zone, by zone index.
    pub fn tasks_by_zone(&self, job: &JobId) -> &[u32] {
        self.tasks_by_zone.get(job).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of a job's tasks that were placed in this cycle.
    pub fn placed_count(&self, job: &JobId) -> usize {
        self.placed.get(job).copied().unwrap_or(0)
    }

    /// Returns whether a task is to be evicted.
    pub fn is_evicted(&self, task: &TaskId, attempt: Attempt) -> bool {
        !self.evicted.is_empty() && self.evicted.contains(&(task.clone(), attempt))
    }

    /// Returns whether a job's team, and all nodes above it, may use `need` in addition.
    pub fn within_limits(&self, leader: &Leader, job: &Job, need: &Amounts) -> bool {
        self.quota.usage().within_limits(leader, job, need)
    }

    /// Returns whether one more task of a job keeps its team within its limits.
    pub fn allows_one_more(&self, leader: &Leader, job: &Job) -> bool {
        self.within_limits(leader, job, &amounts(&job.need))
    }

    /// Returns the usage and the fair share of a node of the team tree.
    pub fn quota_status(&self, node: usize) -> QuotaStatus {
        self.quota.status(node)
    }

    /// Returns the saturation of a node of the team tree: its usage relative to its fair share.
    pub fn saturation(&self, node: usize) -> f64 {
        self.quota.saturation(node)
    }

    /// Returns the number of replicas that one machine should hold at most.
    pub fn replica_cap(&self) -> u32 {
        let replicas: u32 = (self.candidates.iter().map(|c| c.replica_count)).sum();
        (replicas / REPLICA_CAP_DIVISOR).max(MIN_REPLICA_CAP)
    }
}

//! The snapshot that a cycle decides on (article: "The scheduling cycle: snapshot, session, actions, plugins").
//!
//! It is frozen when the cycle begins. What the cycle decides is simulated in it, mostly through a
//! [`Statement`](super::statement::Statement), and becomes real only when the cycle applies its decisions. It is
//! made anew for each cycle from several hundred machines, so names that are compared often are numbers here.
//!
//! * [`candidate_machine`]: one machine that work can be placed on.
//! * [`name_index`]: numbers of images and zones.
//! * [`quota`]: what teams use, their limits and fair shares.
//! * [`reservations`]: free room kept for urgent arrivals and for gangs.
//! * [`simulation`]: placing and evicting tasks in the snapshot, and taking that back.

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
use quota::{QuotaAccount, TeamStanding};
use rudderreel_wire::ids::{Attempt, Image, JobId, TaskId};
use rudderreel_wire::job::JobSpec;
use std::collections::{BTreeSet, HashMap};

/// No machine should hold more than one in so many of all replicas, so that its loss is not felt too much.
const REPLICA_SPREAD: u32 = 4;
/// So many replicas may be on one machine in any case.
const MIN_REPLICA_CAP: u32 = 4;

/// The state of the fleet, the jobs and the teams at the beginning of a cycle, with what was decided since.
pub struct Snapshot {
    /// Machines that work can be placed on.
    pub candidates: Vec<CandidateMachine>,
    /// What teams use, against their limits and fair shares.
    pub quota: QuotaAccount,
    /// When it was taken.
    pub now: Now,
    /// Gangs that room is reserved for.
    gang_reservations: BTreeSet<JobId>,
    /// Numbers of images and zones.
    names: NameIndex,
    /// Of jobs with rules for zones: tasks in each zone that may exist.
    tasks_by_zone: HashMap<JobId, Vec<u32>>,
    /// Tasks that are to be evicted.
    evicted: BTreeSet<(TaskId, Attempt)>,
    /// Tasks of each job that were placed in this cycle.
    placed: HashMap<JobId, usize>,
}

/// Whether new work may be placed on a machine.
fn is_usable(machine: &Machine, leader: &Leader, now: Time) -> bool {
    let max_silence = Span(leader.agent_timings.lease.0 / 2);
    let heard_lately = (machine.last_heard_at).is_some_and(|at| now - at < max_silence);
    // Being heard is not enough: while its agent leaves calls unanswered it gets nothing new.
    let is_commanded = machine.unanswered_calls == 0;
    let is_leaving = machine.reclaim_at.is_some()
        || machine.retire_reason.is_some()
        || machine.return_requested_at.is_some();
    machine.is_reconciled(leader.term.epoch())
        && heard_lately
        && !leader.fleet.partitioned_zones.contains(&machine.zone)
        && is_commanded
        && !is_leaving
        && machine.quarantined_until <= now
        && machine.cordoned_until <= now
}

/// Whether the zones of a job's tasks depend on one another.
pub fn has_zone_rules(spec: &JobSpec) -> bool {
    spec.spread || spec.one_zone
}

impl Snapshot {
    /// Takes the snapshot.
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
                snapshot.names.number_image(&job.spec.image);
            }
        }
        snapshot
    }

    /// Counts the tasks of a job with rules for zones that may exist anywhere.
    fn count_zones(&mut self, leader: &Leader, job: &Job) {
        if !has_zone_rules(&job.spec) {
            return;
        }
        for (id, _) in job.placements.values().flatten() {
            if let Some(machine) = leader.fleet.machines.get(id) {
                let zone = self.names.number_zone(&machine.zone);
                self.shift_zone_count(&job.spec.id, zone, 1);
            }
        }
    }

    /// The number of an image, if any job uses it or any machine has it.
    pub fn image(&self, image: &Image) -> Option<u32> {
        self.names.image(image)
    }

    /// The zones to be tried one after the other for a gang: none in particular if its tasks may be in several.
    pub fn zone_choices(&self, gang: &JobSpec) -> Vec<Option<usize>> {
        if gang.one_zone {
            (0..self.names.zone_count()).map(Some).collect()
        } else {
            vec![None]
        }
    }

    /// Tasks of a job with rules for zones, by zone.
    pub fn tasks_by_zone(&self, job: &JobId) -> &[u32] {
        self.tasks_by_zone.get(job).map_or(&[], Vec::as_slice)
    }

    /// How many of a job's tasks were placed in this cycle.
    pub fn placed_count(&self, job: &JobId) -> usize {
        self.placed.get(job).copied().unwrap_or(0)
    }

    /// Whether a task is to be evicted.
    pub fn is_evicted(&self, task: &TaskId, attempt: Attempt) -> bool {
        !self.evicted.is_empty() && self.evicted.contains(&(task.clone(), attempt))
    }

    /// Whether a job's team, and all nodes above it, may use so much more.
    pub fn within_limits(&self, leader: &Leader, job: &Job, need: &Amounts) -> bool {
        self.quota.usage().within_limits(leader, job, need)
    }

    /// Whether one more task of a job keeps its team within its limits.
    pub fn allows_one_more(&self, leader: &Leader, job: &Job) -> bool {
        self.within_limits(leader, job, &amounts(&job.need))
    }

    /// What a node of the team tree uses and its fair share.
    pub fn team_usage(&self, node: usize) -> TeamStanding {
        self.quota.standing(node)
    }

    /// How much of its fair share a node of the team tree uses.
    pub fn saturation(&self, node: usize) -> f64 {
        self.quota.saturation(node)
    }

    /// Replicas that one machine should hold at most.
    pub fn replica_cap(&self) -> u32 {
        let replicas: u32 = (self.candidates.iter().map(|c| c.replica_count)).sum();
        (replicas / REPLICA_SPREAD).max(MIN_REPLICA_CAP)
    }
}

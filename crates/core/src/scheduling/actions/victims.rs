//! Victims: which tasks of a machine would be stopped to make room for a waiting one.

use super::evict::EvictionPolicy;
use super::predicates::should_avoid_gpus;
use crate::fleet::{Machine, Phase, PlacedTask};
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::{Snapshot, Victim};
use crate::teams::team_tree::{add_amounts, Amounts, NO_AMOUNTS};
use crate::units::{Resources, Span, Time};
use rudderreel_wire::ids::Team;
use rudderreel_wire::job::{JobSpec, Kind, Priority};
use std::collections::BTreeMap;

/// What starting again costs a task, besides the work that is lost.
const RESTART_COST: Span = Span(10_000);
/// Milliseconds of half a second: a task is nearly done once it has run for half of its estimate.
const HALF_SECOND_MS: f64 = 500.0;

/// What a job loses if a task of so many resources is stopped after it ran for so long: time, weighted with CPUs. What
/// can save loses at most the time to save; both must start again.
pub(super) fn eviction_loss(spec: Option<&JobSpec>, ran: Span, need: &Resources) -> u64 {
    let lost = match spec.filter(|spec| spec.checkpoint_s > 0.0) {
        Some(spec) => ran.min(Span::secs(spec.save_s)),
        None => ran,
    };
    (lost.0 + RESTART_COST.0) * need.cpus.max(1) as u64
}

/// Whether a task is on its machine, not stopped yet, and has been there long enough to be evicted, whatever its job.
fn has_run_long_enough(snapshot: &Snapshot, placed: &PlacedTask, min_runtime: Span) -> bool {
    matches!(placed.phase, Phase::On(_))
        && placed.stop.is_none()
        && snapshot.now.time - placed.placed_at >= min_runtime
        && !snapshot.is_evicted(&placed.task, placed.attempt)
}

/// Whether a task of a job may be evicted.
pub(super) fn is_evictable(
    snapshot: &Snapshot,
    placed: &PlacedTask,
    job: &Job,
    min_runtime: Span,
) -> bool {
    job.is_preemptible() && has_run_long_enough(snapshot, placed, min_runtime)
}

/// A task that may be evicted, and what that would cost.
struct PossibleVictim {
    victim: Victim,
    loss: u64,
    is_nearly_done: bool,
    can_save: bool,
    priority: Priority,
}

impl PossibleVictim {
    fn new(at: usize, placed: &PlacedTask, job: &Job, now: Time) -> Self {
        let ran = placed.running_since.map_or(Span(0), |since| now - since);
        let can_save = job.spec.checkpoint_s > 0.0;
        Self {
            victim: Victim::new(at, placed),
            loss: eviction_loss(Some(&job.spec), ran, &placed.need),
            is_nearly_done: !can_save && job.spec.estimate_s * HALF_SECOND_MS < ran.0 as f64,
            can_save,
            priority: job.urgency.priority,
        }
    }

    /// Whether it is worth stopping for a job, which may be one that avoids machines with GPUs.
    fn is_worth_stopping_for(&self, job: &Job, avoids_gpus: bool) -> bool {
        if job.is_preemptible() && self.is_nearly_done {
            // It makes room sooner by being left alone.
            return false;
        }
        let is_array = job.is_preemptible() && job.spec.kind == Kind::Array;
        if is_array && !self.can_save && self.priority >= job.spec.priority {
            // One array's work lost for another's that is no more urgent makes both late.
            return false;
        }
        // Work that only needs CPUs does not end work on GPUs for the CPUs beside them.
        !avoids_gpus || self.victim.need.gpus == 0
    }
}

/// The victims on a machine that make room for a task of a job, with what stopping them loses.
pub(super) struct VictimSet {
    pub(super) victims: Vec<Victim>,
    pub(super) loss: u64,
}

/// The victims on a machine whose stop makes room for a task of a job at the least loss; none if there are not
/// enough, or if none has to be stopped.
pub(super) fn victims_on(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    at: usize,
    policy: &EvictionPolicy,
) -> Option<VictimSet> {
    let machine = leader.fleet.machines.get(&snapshot.candidates[at].id)?;
    if !machine.capacity.holds(&job.need) {
        return None;
    }
    let mut options = evictable_tasks(leader, snapshot, machine, at, policy.min_runtime);
    let avoids_gpus = should_avoid_gpus(leader, job);
    options.retain(|option| option.is_worth_stopping_for(job, avoids_gpus));
    options.sort_by_key(|option| option.loss);
    choose_victims(leader, snapshot, job, at, policy, options)
}

/// Chooses of possible victims, in their order, until a task of a job fits. Each team is judged by all that it would
/// give, not task by task.
fn choose_victims(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    at: usize,
    policy: &EvictionPolicy,
    options: Vec<PossibleVictim>,
) -> Option<VictimSet> {
    let basis = snapshot.quota.reclaim_basis(job);
    let mut free = snapshot.candidates[at].free;
    let mut chosen = VictimSet {
        victims: Vec::new(),
        loss: 0,
    };
    let mut given: BTreeMap<&Team, Amounts> = BTreeMap::new();
    for option in options {
        if free.holds(&job.need) {
            break;
        }
        let owner = leader.jobs.get(&option.victim.task.job)?;
        let given_by_team = given.entry(&owner.spec.team).or_insert(NO_AMOUNTS);
        let mut given_with = *given_by_team;
        add_amounts(&mut given_with, &basis.counted(&option.victim.need));
        if (policy.allows)(leader, snapshot, job, owner, &given_with) {
            *given_by_team = given_with;
            free += option.victim.need;
            chosen.loss += option.loss;
            chosen.victims.push(option.victim);
        }
    }
    (free.holds(&job.need) && !chosen.victims.is_empty()).then_some(chosen)
}

/// Tasks of a machine that may be evicted by themselves: none of gangs with several.
fn evictable_tasks(
    leader: &Leader,
    snapshot: &Snapshot,
    machine: &Machine,
    at: usize,
    min_runtime: Span,
) -> Vec<PossibleVictim> {
    (machine.tasks.iter())
        // Before the job is looked up: this is asked of every task of many machines.
        .filter(|placed| has_run_long_enough(snapshot, placed, min_runtime))
        .filter_map(|placed| {
            let job = leader.jobs.get(&placed.task.job)?;
            let is_single = job.spec.kind != Kind::Gang || job.spec.tasks == 1;
            (is_single && job.is_preemptible())
                .then(|| PossibleVictim::new(at, placed, job, snapshot.now.time))
        })
        .collect()
}

//! Victims: selects the tasks of a machine to be stopped to make room for a waiting task.

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

/// Cost of starting a task again, in addition to the lost work.
const RESTART_COST: Span = Span(10_000);
/// Run time, in milliseconds for each second of its estimate, after which a task is nearly done: half of the estimate.
const NEARLY_DONE_MS_PER_S: f64 = 500.0;

/// Returns the loss if a task that needs `need` is stopped after running for `ran`: lost time in milliseconds,
/// multiplied by thousandths of a CPU. A task that can save loses at most the time to save; every task must start
/// again.
pub(super) fn eviction_loss(spec: Option<&JobSpec>, ran: Span, need: &Resources) -> u64 {
    let lost = match spec.filter(|spec| spec.checkpoint_s > 0.0) {
        Some(spec) => ran.min(Span::secs(spec.save_s)),
        None => ran,
    };
    (lost.0 + RESTART_COST.0) * need.cpus.max(1) as u64
}

/// Returns whether a task is on its machine, is neither being stopped nor evicted in this cycle, and was placed long
/// enough ago to be evicted, whatever its job.
fn has_run_long_enough(snapshot: &Snapshot, placed: &PlacedTask, min_runtime: Span) -> bool {
    matches!(placed.phase, Phase::On(_))
        && placed.stop.is_none()
        && snapshot.now.time - placed.placed_at >= min_runtime
        && !snapshot.is_evicted(&placed.task, placed.attempt)
}

/// Returns whether a task of a job may be evicted.
pub(super) fn is_evictable(
    snapshot: &Snapshot,
    placed: &PlacedTask,
    job: &Job,
    min_runtime: Span,
) -> bool {
    job.is_preemptible() && has_run_long_enough(snapshot, placed, min_runtime)
}

/// A task that may be evicted, and the cost of its eviction.
struct PossibleVictim {
    victim: Victim,
    loss: u64,
    is_nearly_done: bool,
    can_save: bool,
    priority: Priority,
}

impl PossibleVictim {
    fn new(candidate_index: usize, placed: &PlacedTask, job: &Job, now: Time) -> Self {
        let ran = placed.running_since.map_or(Span(0), |since| now - since);
        let can_save = job.spec.checkpoint_s > 0.0;
        Self {
            victim: Victim::new(candidate_index, placed),
            loss: eviction_loss(Some(&job.spec), ran, &placed.need),
            is_nearly_done: !can_save && job.spec.estimate_s * NEARLY_DONE_MS_PER_S < ran.0 as f64,
            can_save,
            priority: job.urgency.priority,
        }
    }

    /// Returns whether the task may be stopped for `job`. `avoids_gpus`: whether `job` avoids machines with GPUs.
    fn is_worth_stopping_for(&self, job: &Job, avoids_gpus: bool) -> bool {
        if job.is_preemptible() && self.is_nearly_done {
            // The task makes room sooner if it is left running.
            return false;
        }
        let is_array = job.is_preemptible() && job.spec.kind == Kind::Array;
        if is_array && !self.can_save && self.priority >= job.spec.priority {
            // Losing the work of one array for another array that is no more urgent makes both late.
            return false;
        }
        // Work that needs no GPUs does not stop work on GPUs for the CPUs of the same machine.
        !avoids_gpus || self.victim.need.gpus == 0
    }
}

/// The victims on a machine that make room for a task of a job, and the loss if they are stopped.
pub(super) struct VictimSet {
    pub(super) victims: Vec<Victim>,
    pub(super) loss: u64,
}

/// Returns the victims on a machine that make room for a task of a job at the least loss; none if all possible
/// victims do not make enough room, or if no task has to be stopped.
pub(super) fn victims_on(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    candidate_index: usize,
    policy: &EvictionPolicy,
) -> Option<VictimSet> {
    let machine = leader
        .fleet
        .machines
        .get(&snapshot.candidates[candidate_index].id)?;
    if !machine.capacity.holds(&job.need) {
        return None;
    }
    let mut options = evictable_tasks(
        leader,
        snapshot,
        machine,
        candidate_index,
        policy.min_runtime,
    );
    let avoids_gpus = should_avoid_gpus(leader, job);
    options.retain(|option| option.is_worth_stopping_for(job, avoids_gpus));
    options.sort_by_key(|option| option.loss);
    choose_victims(leader, snapshot, job, candidate_index, policy, options)
}

/// Chooses possible victims, in their order, until a task of a job fits. Each team is judged by all of its resources
/// that would be evicted, not task by task.
fn choose_victims(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    candidate_index: usize,
    policy: &EvictionPolicy,
    options: Vec<PossibleVictim>,
) -> Option<VictimSet> {
    let basis = snapshot.quota.reclaim_basis(job);
    let mut free = snapshot.candidates[candidate_index].free;
    let mut chosen = VictimSet {
        victims: Vec::new(),
        loss: 0,
    };
    let mut evicted_by_team: BTreeMap<&Team, Amounts> = BTreeMap::new();
    for option in options {
        if free.holds(&job.need) {
            break;
        }
        let owner = leader.jobs.get(&option.victim.task.job)?;
        let evicted_of_team = evicted_by_team
            .entry(&owner.spec.team)
            .or_insert(NO_AMOUNTS);
        let mut evicted_with_option = *evicted_of_team;
        add_amounts(
            &mut evicted_with_option,
            &basis.counted(&option.victim.need),
        );
        if (policy.allows)(leader, snapshot, job, owner, &evicted_with_option) {
            *evicted_of_team = evicted_with_option;
            free += option.victim.need;
            chosen.loss += option.loss;
            chosen.victims.push(option.victim);
        }
    }
    (free.holds(&job.need) && !chosen.victims.is_empty()).then_some(chosen)
}

/// Returns the tasks of a machine that may be evicted individually, which excludes tasks of gangs with several tasks.
fn evictable_tasks(
    leader: &Leader,
    snapshot: &Snapshot,
    machine: &Machine,
    candidate_index: usize,
    min_runtime: Span,
) -> Vec<PossibleVictim> {
    (machine.tasks.iter())
        // Checked before the job is looked up, because it applies to every task of many machines.
        .filter(|placed| has_run_long_enough(snapshot, placed, min_runtime))
        .filter_map(|placed| {
            let job = leader.jobs.get(&placed.task.job)?;
            let is_single = job.spec.kind != Kind::Gang || job.spec.tasks == 1;
            (is_single && job.is_preemptible())
                .then(|| PossibleVictim::new(candidate_index, placed, job, snapshot.now.time))
        })
        .collect()
}

//! Shared part of reclaim and preempt: stops work on one machine for a task, and only if the task then fits.
//!
//! The task is placed at once on the room that is being freed (*pipeline* in the article "KAI Scheduler Deep Dive");
//! its start is sent when that room is surely free. Gangs of several tasks need several machines emptied at once: see
//! [`reclaim_gang`](super::reclaim_gang).

use super::predicates::is_eligible;
use super::scenario::{Eviction, Scenario};
use super::scoring::{best_machine, ImagePreference};
use super::task_class::TaskClass;
use super::victims::{victims_on, VictimSet};
use crate::fleet::StopReason;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::Snapshot;
use crate::scheduling::statement::Statement;
use crate::teams::team_tree::Amounts;
use crate::units::Span;
use rudderreel_wire::ids::Team;
use rudderreel_wire::job::Kind;
use std::collections::{HashSet, VecDeque};

/// Maximum number of jobs for which a cycle ranks the machines by the loss from an eviction. This bound and the next
/// are large enough that the replicas of a zone find room within seconds, and small enough that a cycle stays short;
/// the remaining jobs and tasks wait for the next cycle.
const MAX_JOBS_RANKED: usize = 24;
/// Maximum number of tasks of each job for which a cycle makes room.
const MAX_TASKS_PER_JOB: usize = 8;

/// Which tasks may be stopped, and for which reason.
pub(super) struct EvictionPolicy {
    /// Reason for the stops.
    pub(super) reason: StopReason,
    /// Time after its placement during which a task is not stopped.
    pub(super) min_runtime: Span,
    /// Returns whether work of the second job may be stopped for the first. The amounts are all that the second job's
    /// team would then lose on that machine.
    pub(super) allows: fn(&Leader, &Snapshot, &Job, &Job, &Amounts) -> bool,
}

/// Result of the search for room for a job's tasks.
#[derive(Default)]
struct SearchOutcome {
    /// Whether machines were ranked for the job.
    has_ranked: bool,
    /// Whether a task found no machine where room could be made.
    found_none: bool,
}

/// Stops work for waiting tasks, in the order of their jobs.
pub(super) fn evict_for(
    leader: &Leader,
    snapshot: &mut Snapshot,
    waiting: &[&Job],
    scenario: &mut Scenario,
    policy: &EvictionPolicy,
) {
    // Equivalent tasks are decided as a class: if one finds no room, no other does. When the bound of the cycle was
    // counted by jobs instead, waiting gangs used it up, and nothing was reclaimed for arrays.
    let mut refused: HashSet<(&Team, TaskClass)> = HashSet::new();
    let mut jobs_ranked = 0;
    for &job in waiting.iter().filter(|job| may_evict(job)) {
        let class = (&job.spec.team, TaskClass::of(job, snapshot.now.time));
        if refused.contains(&class) {
            continue;
        }
        if jobs_ranked >= MAX_JOBS_RANKED {
            return;
        }
        let outcome = evict_for_job(leader, snapshot, job, scenario, policy);
        jobs_ranked += usize::from(outcome.has_ranked);
        if outcome.found_none {
            refused.insert(class);
        }
    }
}

/// Returns whether work may be stopped for a job: it must not be a gang of several tasks, nor a job that is suspected
/// because it fails wherever it is tried.
fn may_evict(job: &Job) -> bool {
    (job.spec.kind != Kind::Gang || job.spec.tasks == 1) && !job.is_suspected()
}

/// Makes room for tasks of a job that are within its team's limits and find no room.
fn evict_for_job(
    leader: &Leader,
    snapshot: &mut Snapshot,
    job: &Job,
    scenario: &mut Scenario,
    policy: &EvictionPolicy,
) -> SearchOutcome {
    let already_placed = snapshot.placed_count(&job.spec.id);
    // The tasks of a job are equivalent, so the machines are ranked once for all of them.
    let mut ranked: Option<VecDeque<usize>> = None;
    let mut found_none = false;
    for index in job.next_startable(already_placed, MAX_TASKS_PER_JOB) {
        // The limits are checked first: that takes a few comparisons, while the search for room looks at every
        // machine.
        let needs_eviction = snapshot.allows_one_more(leader, job)
            && best_machine(leader, snapshot, job, ImagePreference::CachedIfUrgent).is_none();
        if !needs_eviction {
            break;
        }
        let machines =
            ranked.get_or_insert_with(|| machines_by_loss(leader, snapshot, job, policy));
        let Some((candidate_index, chosen)) = next_machine(leader, snapshot, job, machines, policy)
        else {
            found_none = true;
            break;
        };
        for victim in chosen.victims {
            snapshot.evict(leader, &victim);
            let eviction = Eviction::new(&victim, snapshot, policy.reason);
            scenario.evictions.push(eviction);
        }
        let mut statement = Statement::default();
        statement.place(leader, snapshot, job, index, candidate_index);
        scenario.placements.extend(statement.commit());
    }
    SearchOutcome {
        has_ranked: ranked.is_some(),
        found_none,
    }
}

/// Returns the next of the ranked machines where room can still be made for a task, and the victims there.
fn next_machine(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    ranked: &mut VecDeque<usize>,
    policy: &EvictionPolicy,
) -> Option<(usize, VictimSet)> {
    while let Some(candidate_index) = ranked.pop_front() {
        if !is_eligible(leader, snapshot, job, &snapshot.candidates[candidate_index]) {
            continue;
        }
        if let Some(chosen) = victims_on(leader, snapshot, job, candidate_index, policy) {
            return Some((candidate_index, chosen));
        }
    }
    None
}

/// Returns the machines where room can be made for a task, the one with the least loss first. If the job's start
/// cannot wait for a fetch, machines that have its image come before the others. In that case, if the task would find
/// free room on a machine without the image, no work is stopped on another machine without it.
fn machines_by_loss(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    policy: &EvictionPolicy,
) -> VecDeque<usize> {
    let needs_cached = leader.needs_cached_image(job);
    let finds_no_room = best_machine(leader, snapshot, job, ImagePreference::Any).is_none();
    let image = snapshot.image(&job.spec.image);
    let mut by_loss: Vec<(bool, u64, usize)> = (snapshot.candidates.iter().enumerate())
        .filter(|(_, candidate)| (candidate.free + candidate.preemptible).holds(&job.need))
        .filter(|(_, candidate)| is_eligible(leader, snapshot, job, candidate))
        .filter(|(_, candidate)| finds_no_room || !needs_cached || candidate.has_image(image))
        .filter_map(|(candidate_index, candidate)| {
            let chosen = victims_on(leader, snapshot, job, candidate_index, policy)?;
            let must_fetch = needs_cached && !candidate.has_image(image);
            Some((must_fetch, chosen.loss, candidate_index))
        })
        .collect();
    by_loss.sort_unstable();
    by_loss
        .into_iter()
        .map(|(.., candidate_index)| candidate_index)
        .collect()
}

//! Reclaim and preempt: make room by stopping work, and only if the task that it is for then fits.
//!
//! Reclaim takes back lent room: from evictable work of teams over their share, leaving each at or
//! above it, for a team that stays within its own. Preempt makes room within a team for a job of
//! strictly higher priority. The task is placed at once on the room that is being freed, and its
//! start goes out when that is surely free.

use super::allocate::Shape;
use super::fit;
use crate::fleet::machine::{Machine, Phase, PlacedTask};
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::{add, Snapshot};
use crate::scheduling::statement::{Placement, Statement};
use crate::teams::team_tree::{amounts, Amounts, KINDS};
use crate::units::{Resources, Span};
use rudderreel_wire::ids::{Attempt, MachineId, TaskId, Team};
use rudderreel_wire::job::{Kind, Priority};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// A task to be stopped.
#[derive(Clone, Debug)]
pub struct Eviction {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// Its machine.
    pub machine: MachineId,
    /// Why.
    pub why: &'static str,
}

/// What making room comes to.
#[derive(Default)]
pub struct Scenario {
    /// Tasks to be stopped.
    pub evictions: Vec<Eviction>,
    /// Tasks that go on the room.
    pub placements: Vec<Placement>,
}

/// A candidate for eviction.
struct Victim {
    task: TaskId,
    attempt: Attempt,
    need: Resources,
    loss: u64,
    nearly_over: bool,
    saves: bool,
    priority: Priority,
}

/// Whether one job's work may be stopped for another's; the amounts are what its team would have
/// given then, on that machine.
type Rule = fn(&Leader, &Snapshot, &Job, &Job, &Amounts) -> bool;

/// Takes lent room back for teams below their share.
pub fn reclaim(
    leader: &Leader,
    snapshot: &mut Snapshot,
    waiting: &[&Job],
    scenario: &mut Scenario,
) {
    let lent = (1..leader.policy.teams.nodes.len()).any(|n| snapshot.saturation(n) > 1.0);
    if lent {
        let how = (
            "reclaimed",
            leader.policy.reclaim_min_runtime,
            may_reclaim as Rule,
        );
        evict_for(leader, snapshot, waiting, scenario, how);
    }
}

/// Makes room within a team for work of higher priority.
pub fn preempt(
    leader: &Leader,
    snapshot: &mut Snapshot,
    waiting: &[&Job],
    scenario: &mut Scenario,
) {
    // Only what some other work yields to can preempt.
    let lowest = leader.jobs.values().map(|j| j.urgency.priority).min();
    let higher: Vec<&Job> = (waiting.iter().copied())
        .filter(|j| Some(j.spec.priority) > lowest)
        .collect();
    let how = (
        "preempted",
        leader.policy.preempt_min_runtime,
        may_preempt as Rule,
    );
    evict_for(leader, snapshot, &higher, scenario, how);
}

fn may_reclaim(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    victim: &Job,
    taken: &Amounts,
) -> bool {
    let (Some(mine), Some(theirs)) = (
        leader.policy.teams.find(&job.spec.team),
        leader.policy.teams.find(&victim.spec.team),
    ) else {
        return false;
    };
    if mine == theirs {
        return false;
    }
    let lending = snapshot.lending(job);
    let need = lending.counts(&job.need);
    let m = leader.policy.reclaim_multiplier;
    let stays_within = (0..KINDS).all(|k| {
        need[k] <= 0.0 || (lending.used[mine][k] + need[k]) * m <= lending.share[mine][k] + 1e-6
    });
    stays_within && over_share_after(&lending.used[theirs], &lending.share[theirs], taken)
}

/// Whether a team is still at or above its share in what it gives.
pub(super) fn over_share_after(used: &Amounts, share: &Amounts, taken: &Amounts) -> bool {
    // Memory has neither quota nor limit in the platform's file, so it is not lent.
    (0..KINDS - 1)
        .filter(|&k| taken[k] > 0.0)
        .all(|k| used[k] - taken[k] >= share[k] - 1e-6)
}

/// An inherited priority protects a job from being stopped, and goes first where room is free; for it
/// no work is stopped. (Stages of pipelines stopped some three hundred tasks that can't save on one day
/// of herbstzeit next, and deadlines were missed for it; the pipelines were in time without.)
fn may_preempt(_: &Leader, _: &Snapshot, job: &Job, victim: &Job, _: &Amounts) -> bool {
    job.spec.team == victim.spec.team && job.spec.priority > victim.urgency.priority
}

/// What starting again costs a task, besides the work that is lost.
pub(super) const RESTART: Span = Span(10_000);
/// For how many jobs a cycle ranks machines, and for how many tasks of each: enough that a zone's
/// replicas find room within seconds, and few enough that a cycle stays short. What is left waits
/// for the next.
const DEPTH: usize = 24;
const TASKS: usize = 8;

fn evict_for(
    leader: &Leader,
    snapshot: &mut Snapshot,
    waiting: &[&Job],
    scenario: &mut Scenario,
    (why, spare, may): (&'static str, Span, Rule),
) {
    // A gang of several tasks needs several machines emptied at once: see `reclaim_gang`. What fails
    // wherever it is tried stops nobody's work.
    let single = |j: &&&Job| (j.spec.kind != Kind::Gang || j.spec.tasks == 1) && !j.is_suspected();
    // Like tasks are decided as a class: where one finds no room, neither does the next. Counted by
    // jobs, waiting gangs used up what a cycle looks at, and nothing was reclaimed for arrays.
    let mut refused: HashSet<(&Team, Shape)> = HashSet::new();
    let mut looks = 0;
    for &job in waiting.iter().filter(single) {
        let class = (&job.spec.team, Shape::of(job, snapshot.now.time));
        if refused.contains(&class) {
            continue;
        }
        if looks >= DEPTH {
            return;
        }
        let taken = snapshot.taken(&job.spec.id);
        let mut ranked: Option<VecDeque<usize>> = None;
        for index in job.next_startable(taken, TASKS) {
            let fits = snapshot.within_limits(leader, job, &amounts(&job.need))
                && fit::best(leader, snapshot, job, true).is_none();
            if !fits {
                break;
            }
            // The tasks of a job are alike: the machines are ranked once for all.
            let ranked = ranked.get_or_insert_with(|| {
                looks += 1;
                cheapest(leader, snapshot, job, spare, may)
            });
            let mut found = None;
            while let (None, Some(at)) = (&found, ranked.pop_front()) {
                if fit::suits(leader, snapshot, job, &snapshot.candidates[at]) {
                    let victims = victims_on(leader, snapshot, job, at, spare, may);
                    found = victims.map(|v| (at, v));
                }
            }
            let Some((at, victims)) = found else {
                refused.insert(class);
                break;
            };
            for victim in victims {
                snapshot.evict(leader, at, &victim.task, victim.attempt, &victim.need);
                scenario.evictions.push(Eviction {
                    task: victim.task,
                    attempt: victim.attempt,
                    machine: snapshot.candidates[at].id.clone(),
                    why,
                });
            }
            let mut statement = Statement::default();
            statement.place(leader, snapshot, job, index, at);
            scenario.placements.extend(statement.commit());
        }
    }
}

/// Machines where room can be made for a task, the one where that loses the least first: among those
/// that have the image, if it matters.
fn cheapest(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    spare: Span,
    may: Rule,
) -> VecDeque<usize> {
    let picky = leader.needs_cached_image(job);
    let anywhere = fit::best(leader, snapshot, job, false).is_none();
    let image = snapshot.image(&job.spec.image);
    let cold = |i: usize| !image.is_some_and(|no| snapshot.candidates[i].images.contains(&no));
    let mut found: Vec<(bool, u64, usize)> = (0..snapshot.candidates.len())
        .filter(|&i| {
            let spot = &snapshot.candidates[i];
            (spot.free + spot.is_preemptible).holds(&job.need)
        })
        .filter(|&i| fit::suits(leader, snapshot, job, &snapshot.candidates[i]))
        .filter(|&i| anywhere || !picky || !cold(i))
        .filter_map(|i| {
            let victims = victims_on(leader, snapshot, job, i, spare, may)?;
            Some((picky && cold(i), victims.iter().map(|v| v.loss).sum(), i))
        })
        .collect();
    found.sort_unstable();
    found.into_iter().map(|(.., i)| i).collect()
}

fn victims_on(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    at: usize,
    spare: Span,
    may: Rule,
) -> Option<Vec<Victim>> {
    let spot = &snapshot.candidates[at];
    let machine = leader.fleet.machines.get(&spot.id)?;
    if !machine.capacity.holds(&job.need) {
        return None;
    }
    let mut candidates = candidates(leader, snapshot, machine, spare);
    if job.is_preemptible() {
        // Work that has less before it than behind it makes room sooner by being left alone.
        candidates.retain(|v| !v.nearly_over);
    }
    if job.is_preemptible() && job.spec.kind == Kind::Array {
        // So does all that can't save, for what is no less urgent: one array's work lost for
        // another's is late twice.
        candidates.retain(|v| v.saves || v.priority < job.spec.priority);
    }
    if job.need.gpus == 0 && leader.policy.fits_without_gpus(&job.spec, &job.need) {
        // Work that only needs CPUs does not end work on GPUs for the CPUs beside them.
        candidates.retain(|v| v.need.gpus == 0);
    }
    candidates.sort_by_key(|v| v.loss);
    let mut free = spot.free;
    let mut victims = Vec::new();
    let mut taken: BTreeMap<&Team, Amounts> = BTreeMap::new();
    for victim in candidates {
        if free.holds(&job.need) {
            break;
        }
        // Judged with what the same team has given already, not one by one.
        let theirs = leader.jobs.get(&victim.task.job)?;
        let sum = taken.entry(&theirs.spec.team).or_insert([0.0; KINDS]);
        let mut with = *sum;
        add(&mut with, &snapshot.lending(job).counts(&victim.need));
        if may(leader, snapshot, job, theirs, &with) {
            *sum = with;
            free += victim.need;
            victims.push(victim);
        }
    }
    (free.holds(&job.need) && !victims.is_empty()).then_some(victims)
}

fn candidates(leader: &Leader, snapshot: &Snapshot, machine: &Machine, spare: Span) -> Vec<Victim> {
    let now = snapshot.now.time;
    let old = |e: &&PlacedTask| now - e.placed_at >= spare;
    let there = |e: &&PlacedTask| matches!(e.phase, Phase::On(_)) && e.stop.is_none();
    (machine.tasks.iter())
        .filter(there)
        .filter(old)
        .filter(|e| !snapshot.is_evicted(&e.task, e.attempt))
        .filter_map(|e| {
            let victim = leader.jobs.get(&e.task.job)?;
            let whole = victim.spec.kind != Kind::Gang || victim.spec.tasks == 1;
            let ran = e.running_since.map_or(0, |t| (now - t).0);
            // What can save loses little but the time to save; both must start again.
            let saved = victim.spec.checkpoint_s > 0.0;
            let ran = if saved {
                ran.min(Span::secs(victim.spec.save_s).0)
            } else {
                ran
            };
            let loss = ran + RESTART.0;
            (whole && victim.is_preemptible()).then(|| Victim {
                task: e.task.clone(),
                attempt: e.attempt,
                need: e.need,
                loss: loss * e.need.cpus.max(1) as u64,
                saves: saved,
                priority: victim.urgency.priority,
                nearly_over: !saved && victim.spec.estimate_s * 500.0 < ran as f64,
            })
        })
        .collect()
}

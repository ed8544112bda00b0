//! Reclaim and preempt: make room by stopping work, and only if the job that it is for then fits.
//!
//! Reclaim takes back lent room: from evictable work of teams over their share, leaving each at or
//! above it, for a team that stays within its own. Preempt makes room within a team for a job of
//! strictly higher priority. Young work is spared by both.

use super::fit;
use crate::job::Job;
use crate::lead::Lead;
use crate::possession::{Machine, Phase};
use crate::snapshot::{add, usable, Snapshot};
use crate::tree::{amounts, Amounts, KINDS};
use crate::units::Resources;
use rudderreel_wire::ids::{Attempt, JobId, MachineId, TaskId, Team};
use rudderreel_wire::job::Kind;
use std::collections::{BTreeMap, BTreeSet};

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
    /// The room is then meant for this job.
    pub for_job: JobId,
}

/// A candidate for eviction: a task, or a gang's task that stands for the whole gang.
struct Victim {
    task: TaskId,
    attempt: Attempt,
    need: Resources,
    loss: u64,
}

/// Takes lent room back for teams below their share.
pub fn reclaim(lead: &Lead, picture: &mut Snapshot) -> Vec<Eviction> {
    evict_for(
        lead,
        picture,
        "reclaimed",
        |lead, picture, job, victim, taken| {
            let (Some(mine), Some(theirs)) = (
                lead.tree.find(&job.spec.team),
                lead.tree.find(&victim.spec.team),
            ) else {
                return false;
            };
            if mine == theirs {
                return false;
            }
            let need = amounts(&job.need);
            let m = lead.multiplier;
            let stays_within = (0..KINDS).all(|k| {
                need[k] <= 0.0
                    || (picture.used[mine][k] + need[k]) * m <= picture.share[mine][k] + 1e-6
            });
            stays_within && over_share_after(&picture.used[theirs], &picture.share[theirs], taken)
        },
    )
}

/// Whether a team is still at or above its share in what it gives, and gives something lent.
fn over_share_after(used: &Amounts, share: &Amounts, taken: &Amounts) -> bool {
    let relevant = |k: &usize| taken[*k] > 0.0 && *k < 2;
    (0..KINDS)
        .filter(relevant)
        .all(|k| used[k] - taken[k] >= share[k] - 1e-6)
}

/// Makes room within a team for work of higher priority.
pub fn preempt(lead: &Lead, picture: &mut Snapshot) -> Vec<Eviction> {
    evict_for(lead, picture, "preempted", |_, _, job, victim, _| {
        job.spec.team == victim.spec.team && job.spec.priority > victim.spec.priority
    })
}

/// How many jobs a cycle looks at.
const DEPTH: usize = 6;

fn evict_for(
    lead: &Lead,
    picture: &mut Snapshot,
    why: &'static str,
    may: impl Fn(&Lead, &Snapshot, &Job, &Job, &Amounts) -> bool,
) -> Vec<Eviction> {
    let mut jobs: Vec<&Job> = (lead.jobs.values())
        .filter(|j| j.is_active() && j.not_before <= picture.now.time && j.free_tasks() > 0)
        .filter(|j| j.spec.kind != Kind::Gang || j.places.is_empty())
        .filter(|j| !lead.claims.contains_key(&j.spec.id))
        .collect();
    jobs.sort_by_key(|j| {
        (
            std::cmp::Reverse(j.spec.priority),
            j.submitted,
            j.spec.id.clone(),
        )
    });
    let mut evictions = Vec::new();
    let mut claimed = BTreeSet::new();
    for job in jobs.into_iter().take(DEPTH) {
        // A gang of several tasks would need several machines emptied at once: it waits.
        let single = job.spec.kind != Kind::Gang || job.spec.tasks == 1;
        let pending = picture_allows(lead, picture, job);
        if !single || !pending || fit::best(lead, picture, job).is_some() {
            continue;
        }
        if let Some(found) = cheapest(lead, picture, job, &claimed, &may) {
            let (machine, victims) = found;
            claimed.insert(machine.clone());
            for victim in victims {
                evictions.push(Eviction {
                    task: victim.task,
                    attempt: victim.attempt,
                    machine: machine.clone(),
                    why,
                    for_job: job.spec.id.clone(),
                });
            }
            picture.charge(lead, job, &amounts(&job.need));
        }
    }
    evictions
}

fn picture_allows(lead: &Lead, picture: &Snapshot, job: &Job) -> bool {
    picture.within_limits(lead, job, &amounts(&job.need))
}

/// The machine where making room loses the least.
fn cheapest(
    lead: &Lead,
    picture: &Snapshot,
    job: &Job,
    claimed: &BTreeSet<MachineId>,
    may: &impl Fn(&Lead, &Snapshot, &Job, &Job, &Amounts) -> bool,
) -> Option<(MachineId, Vec<Victim>)> {
    (lead.machines.values())
        .filter(|m| usable(m, lead, picture.now.time) && !claimed.contains(&m.id))
        .filter(|m| fit::allowed(&job.spec, &m.machine_type, &m.zone, m.spot))
        .filter(|m| fit::zone_allows(picture, &job.spec, &m.zone))
        .filter(|m| m.room.holds(&job.need))
        .filter_map(|m| victims_on(lead, picture, job, m, may).map(|v| (m, v)))
        .min_by_key(|(_, victims)| victims.iter().map(|v| v.loss).sum::<u64>())
        .map(|(m, victims)| (m.id.clone(), victims))
}

fn victims_on(
    lead: &Lead,
    picture: &Snapshot,
    job: &Job,
    machine: &Machine,
    may: &impl Fn(&Lead, &Snapshot, &Job, &Job, &Amounts) -> bool,
) -> Option<Vec<Victim>> {
    let now = picture.now.time;
    let spot = picture.spots.iter().find(|s| s.id == machine.id)?;
    let mut free = spot.free;
    let mut candidates: Vec<Victim> = (machine.entries.iter())
        .filter(|e| matches!(e.phase, Phase::On(_)) && e.stop.is_none())
        .filter(|e| now - e.placed >= lead.min_runtime)
        .filter_map(|e| {
            let victim = lead.jobs.get(&e.task.job)?;
            let whole = victim.spec.kind != Kind::Gang || victim.spec.tasks == 1;
            let eligible =
                whole && victim.evictable() && may(lead, picture, job, victim, &amounts(&e.need));
            let ran = e.running.map_or(0, |t| (now - t).0);
            let loss = if victim.spec.checkpoint_s > 0.0 {
                0
            } else {
                ran
            };
            eligible.then(|| Victim {
                task: e.task.clone(),
                attempt: e.attempt,
                need: e.need,
                loss,
            })
        })
        .collect();
    candidates.sort_by_key(|v| v.loss);
    let mut victims = Vec::new();
    let mut taken: BTreeMap<&Team, Amounts> = BTreeMap::new();
    for victim in candidates {
        if free.holds(&job.need) {
            break;
        }
        // Judged with what the same team has given already, not one by one.
        let theirs = lead.jobs.get(&victim.task.job)?;
        let sum = taken.entry(&theirs.spec.team).or_insert([0.0; KINDS]);
        let mut with = *sum;
        add(&mut with, &amounts(&victim.need));
        if !may(lead, picture, job, theirs, &with) {
            continue;
        }
        *sum = with;
        free += victim.need;
        victims.push(victim);
    }
    (free.holds(&job.need) && !victims.is_empty()).then_some(victims)
}

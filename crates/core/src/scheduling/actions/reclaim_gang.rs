//! Takes lent room back for gangs of several tasks: in one statement, simulated whole and kept whole.
//!
//! A gang needs several machines at once, in one zone mostly. What is lent there is stopped, in the
//! order of what is lost by it, until the gang fits; what turns out not to be needed is let go on; and
//! if the gang does not fit after all, nothing is stopped. Gangs are victims as a whole, wherever
//! their tasks are, and save what they have. Every victim's team stays at or above its share, and the
//! gang's own within its share, so that neither can take the room back from the other.

use super::evict::{over_share_after, Eviction, Scenario, RESTART};
use super::fit;
use crate::fleet::machine::{Phase, PlacedTask};
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::Snapshot;
use crate::scheduling::statement::{Placement, Statement};
use crate::teams::team_tree::{amounts, KINDS};
use crate::units::{Resources, Span};
use rudderreel_wire::ids::{Attempt, JobId, MachineId, TaskId};
use rudderreel_wire::job::Kind;
use std::collections::{BTreeSet, HashMap};

/// So many waiting gangs are looked at in a cycle: each means a look at all that is lent.
const GANGS: usize = 2;

/// What is stopped together: a task, or a gang with all its tasks.
struct Unit {
    tasks: Vec<Victim>,
    loss: u64,
}

struct Victim {
    at: usize,
    task: TaskId,
    attempt: Attempt,
    need: Resources,
}

/// Takes lent room back for gangs of teams that stay within their share with it.
pub fn reclaim_gangs(
    leader: &Leader,
    snapshot: &mut Snapshot,
    waiting: &[&Job],
    scenario: &mut Scenario,
) {
    let lent = (1..leader.policy.teams.nodes.len()).any(|n| snapshot.saturation(n) > 1.0);
    if !lent {
        return;
    }
    let gangs: Vec<&Job> = (waiting.iter().copied())
        .filter(|j| j.spec.kind == Kind::Gang && j.spec.tasks > 1 && !j.is_suspected())
        .filter(|j| snapshot.taken(&j.spec.id) == 0 && stays_within(leader, snapshot, j))
        .take(GANGS)
        .collect();
    if gangs.is_empty() {
        return;
    }
    let candidates: HashMap<MachineId, usize> = (snapshot.candidates.iter().enumerate())
        .map(|(i, s)| (s.id.clone(), i))
        .collect();
    for job in gangs {
        let zones: Vec<Option<usize>> = if job.spec.one_zone {
            (0..snapshot.zone_names.len()).map(Some).collect()
        } else {
            vec![None]
        };
        if zones
            .iter()
            .any(|z| room(leader, snapshot, job, *z) >= job.spec.tasks)
        {
            // It fits as it is.
            continue;
        }
        let mut best: Option<(u64, Vec<Unit>, Option<usize>)> = None;
        for zone in zones {
            let Some(units) = make_room(leader, snapshot, &candidates, job, zone) else {
                continue;
            };
            units.iter().for_each(|u| u.restore(leader, snapshot));
            let loss = units.iter().map(|u| u.loss).sum();
            if best.as_ref().is_none_or(|(least, ..)| loss < *least) {
                best = Some((loss, units, zone));
            }
        }
        if let Some((_, units, zone)) = best {
            units.iter().for_each(|u| u.evict(leader, snapshot));
            match place(leader, snapshot, job, zone) {
                Some(placements) => {
                    scenario.placements.extend(placements);
                    scenario
                        .evictions
                        .extend(units.iter().flat_map(|u| u.evictions(snapshot)));
                }
                None => units.iter().for_each(|u| u.restore(leader, snapshot)),
            }
        }
    }
}

/// Whether a gang's team stays within its share, and all above it within their limits, with it.
fn stays_within(leader: &Leader, snapshot: &Snapshot, job: &Job) -> bool {
    let need = amounts(&job.need.times(job.spec.tasks));
    let Some(mine) = leader.policy.teams.find(&job.spec.team) else {
        return false;
    };
    let lending = snapshot.lending(job);
    let counted = lending.counts(&job.need.times(job.spec.tasks));
    let within = (0..KINDS).all(|k| {
        let with = (lending.used[mine][k] + counted[k]) * leader.policy.reclaim_multiplier;
        counted[k] <= 0.0 || with <= lending.share[mine][k] + 1e-6
    });
    within && snapshot.within_limits(leader, job, &need)
}

/// How many tasks of a gang find room.
fn room(leader: &Leader, snapshot: &Snapshot, job: &Job, zone: Option<usize>) -> u32 {
    let counts = fit::ranked(leader, snapshot, job, zone).into_iter();
    counts.map(|(_, n)| n).fold(0, u32::saturating_add)
}

/// What must be stopped for a gang to fit into a zone; it is simulated in the picture.
fn make_room(
    leader: &Leader,
    snapshot: &mut Snapshot,
    candidates: &HashMap<MachineId, usize>,
    job: &Job,
    zone: Option<usize>,
) -> Option<Vec<Unit>> {
    let want = job.spec.tasks;
    let mut have = room(leader, snapshot, job, zone);
    let mut stopped: Vec<(Unit, u32)> = Vec::new();
    for unit in units(leader, snapshot, candidates, job, zone) {
        if have >= want {
            break;
        }
        if !unit.is_lent(leader, snapshot, job) {
            continue;
        }
        let before = unit.room(leader, snapshot, job, zone);
        unit.evict(leader, snapshot);
        let gain = unit
            .room(leader, snapshot, job, zone)
            .saturating_sub(before);
        if gain == 0 {
            unit.restore(leader, snapshot);
            continue;
        }
        have += gain;
        stopped.push((unit, gain));
    }
    if have < want {
        stopped
            .iter()
            .for_each(|(u, _)| u.restore(leader, snapshot));
        return None;
    }
    // What was stopped first may not be needed any more.
    let mut needed = Vec::new();
    for (unit, gain) in stopped {
        if have - gain >= want {
            unit.restore(leader, snapshot);
            have -= gain;
        } else {
            needed.push(unit);
        }
    }
    Some(needed)
}

/// What could be stopped in a zone, by what is lost for the room that comes free.
fn units(
    leader: &Leader,
    snapshot: &Snapshot,
    candidates: &HashMap<MachineId, usize>,
    job: &Job,
    zone: Option<usize>,
) -> Vec<Unit> {
    let mut gangs: BTreeSet<(&JobId, Attempt)> = BTreeSet::new();
    let mut found = Vec::new();
    for (at, spot) in snapshot.candidates.iter().enumerate() {
        let here = zone.is_none_or(|z| z == spot.zone_no);
        let Some(machine) = leader.fleet.machines.get(&spot.id) else {
            continue;
        };
        if !here || !machine.capacity.holds(&job.need) || !fit::suits(leader, snapshot, job, spot) {
            continue;
        }
        for entry in &machine.tasks {
            let Some(theirs) = leader.jobs.get(&entry.task.job) else {
                continue;
            };
            if theirs.spec.team == job.spec.team || !may_stop(leader, snapshot, theirs, entry) {
                continue;
            }
            if theirs.spec.kind != Kind::Gang || theirs.spec.tasks == 1 {
                found.push(Unit::of(leader, snapshot, vec![victim(at, entry)]));
            } else if gangs.insert((&theirs.spec.id, entry.attempt)) {
                found.extend(whole_gang(
                    leader,
                    snapshot,
                    candidates,
                    theirs,
                    entry.attempt,
                ));
            }
        }
    }
    found.sort_by_cached_key(|u| {
        let cpus: i64 = u.tasks.iter().map(|v| v.need.cpus).sum();
        u.loss / cpus.max(1) as u64
    });
    found
}

fn victim(at: usize, entry: &PlacedTask) -> Victim {
    Victim {
        at,
        task: entry.task.clone(),
        attempt: entry.attempt,
        need: entry.need,
    }
}

fn may_stop(leader: &Leader, snapshot: &Snapshot, theirs: &Job, entry: &PlacedTask) -> bool {
    matches!(entry.phase, Phase::On(_))
        && entry.stop.is_none()
        && theirs.is_active()
        && theirs.is_preemptible()
        && snapshot.now.time - entry.placed_at >= leader.policy.reclaim_min_runtime
        && !snapshot.is_evicted(&entry.task, entry.attempt)
}

/// A gang with all its tasks, if all of them are there and may be stopped.
fn whole_gang(
    leader: &Leader,
    snapshot: &Snapshot,
    candidates: &HashMap<MachineId, usize>,
    theirs: &Job,
    attempt: Attempt,
) -> Option<Unit> {
    let mut tasks = Vec::new();
    for (index, places) in &theirs.placements {
        let [(id, a)] = places.as_slice() else {
            return None;
        };
        let at = *candidates.get(id)?;
        let task = theirs.spec.id.task(*index);
        let entries = &leader.fleet.machines.get(id)?.tasks;
        let entry = entries.iter().find(|e| e.attempt == *a && e.task == task)?;
        if *a != attempt || !may_stop(leader, snapshot, theirs, entry) {
            return None;
        }
        tasks.push(victim(at, entry));
    }
    (tasks.len() as u32 == theirs.spec.tasks).then(|| Unit::of(leader, snapshot, tasks))
}

/// Places a gang whole.
fn place(
    leader: &Leader,
    snapshot: &mut Snapshot,
    job: &Job,
    zone: Option<usize>,
) -> Option<Vec<Placement>> {
    let ranked = fit::ranked(leader, snapshot, job, zone).into_iter();
    let places = ranked.flat_map(|(at, n)| std::iter::repeat_n(at, n as usize));
    let mut statement = Statement::default();
    for (index, at) in (0..job.spec.tasks).zip(places) {
        statement.place(leader, snapshot, job, index, at);
    }
    if statement.len() == job.spec.tasks as usize {
        return Some(statement.commit());
    }
    statement.discard(leader, snapshot, job);
    None
}

impl Unit {
    fn of(leader: &Leader, snapshot: &Snapshot, tasks: Vec<Victim>) -> Self {
        let loss = (tasks.iter())
            .map(|v| {
                let ran = (leader.fleet.machines.get(&snapshot.candidates[v.at].id))
                    .and_then(|m| m.tasks.iter().find(|e| e.task == v.task))
                    .and_then(|e| e.running_since)
                    .map_or(Span(0), |since| snapshot.now.time - since);
                let spec = leader.jobs.get(&v.task.job).map(|j| j.spec.clone());
                // What can save loses the time to save.
                let lost = match spec.filter(|s| s.checkpoint_s > 0.0) {
                    Some(spec) => ran.min(Span::secs(spec.save_s)),
                    None => ran,
                };
                (lost.0 + RESTART.0) * v.need.cpus.max(1) as u64
            })
            .sum();
        Self { tasks, loss }
    }

    /// Whether its team stays at or above its share without it.
    fn is_lent(&self, leader: &Leader, snapshot: &Snapshot, job: &Job) -> bool {
        let lending = snapshot.lending(job);
        let team = (self.tasks.first()).and_then(|v| leader.jobs.get(&v.task.job));
        let Some(theirs) = team.and_then(|j| leader.policy.teams.find(&j.spec.team)) else {
            return false;
        };
        let mut taken = [0.0; KINDS];
        for victim in &self.tasks {
            crate::scheduling::snapshot::add(&mut taken, &lending.counts(&victim.need));
        }
        over_share_after(&lending.used[theirs], &lending.share[theirs], &taken)
    }

    /// How many tasks of a gang find room on its machines.
    fn room(&self, leader: &Leader, snapshot: &Snapshot, job: &Job, zone: Option<usize>) -> u32 {
        let candidates: BTreeSet<usize> = self.tasks.iter().map(|v| v.at).collect();
        (candidates.into_iter())
            .map(|at| &snapshot.candidates[at])
            .filter(|s| zone.is_none_or(|z| z == s.zone_no) && fit::fits(leader, snapshot, job, s))
            .map(|s| (s.free - s.held).count(&job.need))
            .sum()
    }

    fn evict(&self, leader: &Leader, snapshot: &mut Snapshot) {
        for v in &self.tasks {
            snapshot.evict(leader, v.at, &v.task, v.attempt, &v.need);
        }
    }

    fn restore(&self, leader: &Leader, snapshot: &mut Snapshot) {
        for v in &self.tasks {
            snapshot.restore(leader, v.at, &v.task, v.attempt, &v.need);
        }
    }

    fn evictions<'a>(&'a self, snapshot: &'a Snapshot) -> impl Iterator<Item = Eviction> + 'a {
        self.tasks.iter().map(|v| Eviction {
            task: v.task.clone(),
            attempt: v.attempt,
            machine: snapshot.candidates[v.at].id.clone(),
            why: "reclaimed",
        })
    }
}

#[cfg(test)]
mod tests;

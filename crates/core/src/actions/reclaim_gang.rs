//! Takes lent room back for gangs of several tasks: in one statement, simulated whole and kept whole.
//!
//! A gang needs several machines at once, in one zone mostly. What is lent there is stopped, in the
//! order of what is lost by it, until the gang fits; what turns out not to be needed is let go on; and
//! if the gang does not fit after all, nothing is stopped. Gangs are victims as a whole, wherever
//! their tasks are, and save what they have. Every victim's team stays at or above its share, and the
//! gang's own within its share, so that neither can take the room back from the other.

use super::evict::{over_share_after, Eviction, Scenario, RESTART};
use super::fit;
use crate::job::Job;
use crate::lead::Lead;
use crate::possession::{Entry, Phase};
use crate::snapshot::Snapshot;
use crate::statement::{Placement, Statement};
use crate::tree::{amounts, KINDS};
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
    lead: &Lead,
    picture: &mut Snapshot,
    waiting: &[&Job],
    scenario: &mut Scenario,
) {
    let lent = (1..lead.tree.nodes.len()).any(|n| picture.saturation(n) > 1.0);
    if !lent {
        return;
    }
    let gangs: Vec<&Job> = (waiting.iter().copied())
        .filter(|j| j.spec.kind == Kind::Gang && j.spec.tasks > 1 && !j.is_suspected())
        .filter(|j| picture.taken(&j.spec.id) == 0 && stays_within(lead, picture, j))
        .take(GANGS)
        .collect();
    if gangs.is_empty() {
        return;
    }
    let spots: HashMap<MachineId, usize> = (picture.spots.iter().enumerate())
        .map(|(i, s)| (s.id.clone(), i))
        .collect();
    for job in gangs {
        let zones: Vec<Option<usize>> = if job.spec.one_zone {
            (0..picture.zone_names.len()).map(Some).collect()
        } else {
            vec![None]
        };
        if zones
            .iter()
            .any(|z| room(lead, picture, job, *z) >= job.spec.tasks)
        {
            // It fits as it is.
            continue;
        }
        let mut best: Option<(u64, Vec<Unit>, Option<usize>)> = None;
        for zone in zones {
            let Some(units) = make_room(lead, picture, &spots, job, zone) else {
                continue;
            };
            units.iter().for_each(|u| u.restore(lead, picture));
            let loss = units.iter().map(|u| u.loss).sum();
            if best.as_ref().is_none_or(|(least, ..)| loss < *least) {
                best = Some((loss, units, zone));
            }
        }
        if let Some((_, units, zone)) = best {
            units.iter().for_each(|u| u.evict(lead, picture));
            match place(lead, picture, job, zone) {
                Some(placements) => {
                    scenario.placements.extend(placements);
                    scenario
                        .evictions
                        .extend(units.iter().flat_map(|u| u.evictions(picture)));
                }
                None => units.iter().for_each(|u| u.restore(lead, picture)),
            }
        }
    }
}

/// Whether a gang's team stays within its share, and all above it within their limits, with it.
fn stays_within(lead: &Lead, picture: &Snapshot, job: &Job) -> bool {
    let need = amounts(&job.need.times(job.spec.tasks));
    let Some(mine) = lead.tree.find(&job.spec.team) else {
        return false;
    };
    let lending = picture.lending(job);
    let counted = lending.counts(&job.need.times(job.spec.tasks));
    let within = (0..KINDS).all(|k| {
        let with = (lending.used[mine][k] + counted[k]) * lead.multiplier;
        counted[k] <= 0.0 || with <= lending.share[mine][k] + 1e-6
    });
    within && picture.within_limits(lead, job, &need)
}

/// How many tasks of a gang find room.
fn room(lead: &Lead, picture: &Snapshot, job: &Job, zone: Option<usize>) -> u32 {
    let counts = fit::ranked(lead, picture, job, zone).into_iter();
    counts.map(|(_, n)| n).fold(0, u32::saturating_add)
}

/// What must be stopped for a gang to fit into a zone; it is simulated in the picture.
fn make_room(
    lead: &Lead,
    picture: &mut Snapshot,
    spots: &HashMap<MachineId, usize>,
    job: &Job,
    zone: Option<usize>,
) -> Option<Vec<Unit>> {
    let want = job.spec.tasks;
    let mut have = room(lead, picture, job, zone);
    let mut stopped: Vec<(Unit, u32)> = Vec::new();
    for unit in units(lead, picture, spots, job, zone) {
        if have >= want {
            break;
        }
        if !unit.is_lent(lead, picture, job) {
            continue;
        }
        let before = unit.room(lead, picture, job, zone);
        unit.evict(lead, picture);
        let gain = unit.room(lead, picture, job, zone).saturating_sub(before);
        if gain == 0 {
            unit.restore(lead, picture);
            continue;
        }
        have += gain;
        stopped.push((unit, gain));
    }
    if have < want {
        stopped.iter().for_each(|(u, _)| u.restore(lead, picture));
        return None;
    }
    // What was stopped first may not be needed any more.
    let mut needed = Vec::new();
    for (unit, gain) in stopped {
        if have - gain >= want {
            unit.restore(lead, picture);
            have -= gain;
        } else {
            needed.push(unit);
        }
    }
    Some(needed)
}

/// What could be stopped in a zone, by what is lost for the room that comes free.
fn units(
    lead: &Lead,
    picture: &Snapshot,
    spots: &HashMap<MachineId, usize>,
    job: &Job,
    zone: Option<usize>,
) -> Vec<Unit> {
    let mut gangs: BTreeSet<(&JobId, Attempt)> = BTreeSet::new();
    let mut found = Vec::new();
    for (at, spot) in picture.spots.iter().enumerate() {
        let here = zone.is_none_or(|z| z == spot.zone_no);
        let Some(machine) = lead.machines.get(&spot.id) else {
            continue;
        };
        if !here || !machine.room.holds(&job.need) || !fit::suits(lead, picture, job, spot) {
            continue;
        }
        for entry in &machine.entries {
            let Some(theirs) = lead.jobs.get(&entry.task.job) else {
                continue;
            };
            if theirs.spec.team == job.spec.team || !may_stop(lead, picture, theirs, entry) {
                continue;
            }
            if theirs.spec.kind != Kind::Gang || theirs.spec.tasks == 1 {
                found.push(Unit::of(lead, picture, vec![victim(at, entry)]));
            } else if gangs.insert((&theirs.spec.id, entry.attempt)) {
                found.extend(whole_gang(lead, picture, spots, theirs, entry.attempt));
            }
        }
    }
    found.sort_by_cached_key(|u| {
        let cpus: i64 = u.tasks.iter().map(|v| v.need.cpus).sum();
        u.loss / cpus.max(1) as u64
    });
    found
}

fn victim(at: usize, entry: &Entry) -> Victim {
    Victim {
        at,
        task: entry.task.clone(),
        attempt: entry.attempt,
        need: entry.need,
    }
}

fn may_stop(lead: &Lead, picture: &Snapshot, theirs: &Job, entry: &Entry) -> bool {
    matches!(entry.phase, Phase::On(_))
        && entry.stop.is_none()
        && theirs.is_active()
        && theirs.evictable()
        && picture.now.time - entry.placed >= lead.min_runtime
        && !picture.is_evicted(&entry.task, entry.attempt)
}

/// A gang with all its tasks, if all of them are there and may be stopped.
fn whole_gang(
    lead: &Lead,
    picture: &Snapshot,
    spots: &HashMap<MachineId, usize>,
    theirs: &Job,
    attempt: Attempt,
) -> Option<Unit> {
    let mut tasks = Vec::new();
    for (index, places) in &theirs.places {
        let [(id, a)] = places.as_slice() else {
            return None;
        };
        let at = *spots.get(id)?;
        let task = theirs.spec.id.task(*index);
        let entries = &lead.machines.get(id)?.entries;
        let entry = entries.iter().find(|e| e.attempt == *a && e.task == task)?;
        if *a != attempt || !may_stop(lead, picture, theirs, entry) {
            return None;
        }
        tasks.push(victim(at, entry));
    }
    (tasks.len() as u32 == theirs.spec.tasks).then(|| Unit::of(lead, picture, tasks))
}

/// Places a gang whole.
fn place(
    lead: &Lead,
    picture: &mut Snapshot,
    job: &Job,
    zone: Option<usize>,
) -> Option<Vec<Placement>> {
    let ranked = fit::ranked(lead, picture, job, zone).into_iter();
    let places = ranked.flat_map(|(at, n)| std::iter::repeat_n(at, n as usize));
    let mut statement = Statement::default();
    for (index, at) in (0..job.spec.tasks).zip(places) {
        statement.place(lead, picture, job, index, at);
    }
    if statement.len() == job.spec.tasks as usize {
        return Some(statement.commit());
    }
    statement.discard(lead, picture, job);
    None
}

impl Unit {
    fn of(lead: &Lead, picture: &Snapshot, tasks: Vec<Victim>) -> Self {
        let loss = (tasks.iter())
            .map(|v| {
                let ran = (lead.machines.get(&picture.spots[v.at].id))
                    .and_then(|m| m.entries.iter().find(|e| e.task == v.task))
                    .and_then(|e| e.running)
                    .map_or(Span(0), |since| picture.now.time - since);
                let spec = lead.jobs.get(&v.task.job).map(|j| j.spec.clone());
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
    fn is_lent(&self, lead: &Lead, picture: &Snapshot, job: &Job) -> bool {
        let lending = picture.lending(job);
        let team = (self.tasks.first()).and_then(|v| lead.jobs.get(&v.task.job));
        let Some(theirs) = team.and_then(|j| lead.tree.find(&j.spec.team)) else {
            return false;
        };
        let mut taken = [0.0; KINDS];
        for victim in &self.tasks {
            crate::snapshot::add(&mut taken, &lending.counts(&victim.need));
        }
        over_share_after(&lending.used[theirs], &lending.share[theirs], &taken)
    }

    /// How many tasks of a gang find room on its machines.
    fn room(&self, lead: &Lead, picture: &Snapshot, job: &Job, zone: Option<usize>) -> u32 {
        let spots: BTreeSet<usize> = self.tasks.iter().map(|v| v.at).collect();
        (spots.into_iter())
            .map(|at| &picture.spots[at])
            .filter(|s| zone.is_none_or(|z| z == s.zone_no) && fit::fits(lead, picture, job, s))
            .map(|s| (s.free - s.held).count(&job.need))
            .sum()
    }

    fn evict(&self, lead: &Lead, picture: &mut Snapshot) {
        for v in &self.tasks {
            picture.evict(lead, v.at, &v.task, v.attempt, &v.need);
        }
    }

    fn restore(&self, lead: &Lead, picture: &mut Snapshot) {
        for v in &self.tasks {
            picture.restore(lead, v.at, &v.task, v.attempt, &v.need);
        }
    }

    fn evictions<'a>(&'a self, picture: &'a Snapshot) -> impl Iterator<Item = Eviction> + 'a {
        self.tasks.iter().map(|v| Eviction {
            task: v.task.clone(),
            attempt: v.attempt,
            machine: picture.spots[v.at].id.clone(),
            why: "reclaimed",
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::{job_of, lead, run, up, NOW};
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    use std::collections::BTreeMap;

    /// A crowded fleet: one team runs much of it, in gangs and single tasks, and the other waits with
    /// a gang for whole machines of one zone.
    fn crowded(rng: &mut StdRng) -> (Lead, Job) {
        let mut lead = lead();
        let machines: Vec<MachineId> = (0..rng.random_range(8..24))
            .map(|n| up(&mut lead, &format!("vm-{n:02}"), ["a", "b"][n % 2]))
            .collect();
        let quota = f64::from(rng.random_range(2..6u32)) * 4.0;
        for node in lead.tree.nodes.iter_mut().skip(1) {
            node.quota[0] = quota;
        }
        let mut free = machines;
        for n in 0..rng.random_range(3..16) {
            let gang = rng.random_bool(0.5);
            let tasks = if gang { rng.random_range(2..6) } else { 1 };
            if free.len() < tasks as usize {
                break;
            }
            let kind = if gang { "gang" } else { "sweep" };
            let cpus = if gang {
                4.0
            } else {
                f64::from(rng.random_range(1..5u32))
            };
            let team = if rng.random_bool(0.85) { "red" } else { "blue" };
            let running = job_of(n, kind, team, "normal", tasks, cpus);
            for index in 0..tasks {
                let at = rng.random_range(0..free.len());
                let machine = free.remove(at);
                run(&mut lead, &running, index, &machine);
            }
        }
        let tasks = rng.random_range(2..5);
        let waiting = job_of(99, "gang", "blue", "normal", tasks, 4.0);
        lead.jobs.insert(waiting.spec.id.clone(), waiting.clone());
        (lead, waiting)
    }

    /// CPUs that a team's tasks use, looked up on every machine, but for some tasks.
    fn used(lead: &Lead, team: &str, without: &BTreeSet<TaskId>) -> i64 {
        let entries = lead.machines.values().flat_map(|m| &m.entries);
        entries
            .filter(|e| e.spec.as_ref().is_some_and(|s| s.team == team.into()))
            .filter(|e| !without.contains(&e.task))
            .map(|e| e.need.cpus)
            .sum()
    }

    /// How many tasks of a gang a zone has room for if some tasks are stopped.
    fn room_for(lead: &Lead, job: &Job, zone: &str, without: &BTreeSet<TaskId>) -> u32 {
        (lead.machines.values())
            .filter(|m| m.zone == zone.into())
            .map(|m| {
                let mut free = m.room;
                for e in m.entries.iter().filter(|e| !without.contains(&e.task)) {
                    free -= e.need;
                }
                free.count(&job.need)
            })
            .sum()
    }

    /// Compared with the slow plain way: what is stopped, if anything, is lent, whole and needed, and
    /// then the gang fits whole into one zone.
    fn check(lead: &Lead, job: &Job) -> bool {
        let mut picture = Snapshot::take(lead, NOW);
        let share = picture.share.clone();
        let mut scenario = Scenario::default();
        reclaim_gangs(lead, &mut picture, &[job], &mut scenario);
        let nobody = BTreeSet::new();
        let stopped: BTreeSet<TaskId> = scenario.evictions.iter().map(|e| e.task.clone()).collect();
        if stopped.is_empty() {
            assert!(scenario.placements.is_empty());
            return false;
        }
        assert_eq!(scenario.placements.len() as u32, job.spec.tasks);
        let zones: BTreeSet<&str> = (scenario.placements.iter())
            .map(|p| lead.machines[&p.machine].zone.as_str())
            .collect();
        assert_eq!(zones.len(), 1, "one zone");
        let zone = zones.first().copied().unwrap_or_default();
        assert!(
            room_for(lead, job, zone, &stopped) >= job.spec.tasks,
            "it fits"
        );
        assert!(["a", "b"]
            .iter()
            .all(|z| room_for(lead, job, z, &nobody) < job.spec.tasks));
        let mut units: BTreeMap<&JobId, BTreeSet<TaskId>> = BTreeMap::new();
        for task in &stopped {
            let victim = &lead.jobs[&task.job];
            assert_eq!(victim.spec.team, "red".into(), "of another team");
            units.entry(&task.job).or_default().insert(task.clone());
        }
        for (id, tasks) in &units {
            assert_eq!(tasks.len() as u32, lead.jobs[*id].spec.tasks, "whole");
            let others: BTreeSet<TaskId> = stopped.difference(tasks).cloned().collect();
            assert!(
                room_for(lead, job, zone, &others) < job.spec.tasks,
                "{id} is needed"
            );
        }
        let share_of = |team: &str| {
            let leaf = lead.tree.find(&team.into()).expect("a team");
            share[leaf][0]
        };
        let cpus = |milli: i64| milli as f64 * 4.0 / lead.room_of(&"m4".into()).cpus as f64;
        let need = job.need.times(job.spec.tasks).cpus;
        assert!(
            cpus(used(lead, "red", &stopped)) >= share_of("red") - 1e-6,
            "lent"
        );
        let mine = used(lead, "blue", &nobody) + need;
        assert!(cpus(mine) <= share_of("blue") + 1e-6, "within its share");
        true
    }

    #[test]
    fn what_is_stopped_for_a_gang_is_lent_whole_and_needed() {
        let mut rng = StdRng::seed_from_u64(32);
        let made = (0..5_000)
            .filter(|_| {
                let (lead, job) = crowded(&mut rng);
                check(&lead, &job)
            })
            .count();
        assert!(made > 50, "room was made {made} times");
    }

    fn evicted(lead: &Lead, job: &Job) -> BTreeSet<JobId> {
        let mut picture = Snapshot::take(lead, NOW);
        let mut scenario = Scenario::default();
        reclaim_gangs(lead, &mut picture, &[job], &mut scenario);
        let jobs = scenario.evictions.into_iter().map(|e| e.task.job);
        jobs.collect()
    }

    /// A task is stopped first, then a gang that makes room enough alone: the task goes on. And when
    /// the gang that was stopped waits in its turn, it can't take the room back.
    #[test]
    fn what_is_not_needed_goes_on_and_room_is_not_taken_back() {
        let mut lead = lead();
        let ids: Vec<MachineId> = (0..8)
            .map(|n| up(&mut lead, &format!("vm-{n}"), ["a", "b"][n / 4]))
            .collect();
        let quotas = [("red", 4.0), ("blue", 12.0)];
        for (team, quota) in quotas {
            let leaf = lead.tree.find(&team.into()).expect("a team");
            lead.tree.nodes[leaf].quota[0] = quota;
        }
        // More is lent than is needed: its limit was tightened.
        let red = lead.tree.find(&"red".into()).expect("a team");
        lead.tree.nodes[red].limit[0] = 16.0;
        let single = |n: u32| job_of(n, "sweep", "red", "normal", 1, 4.0);
        let lent = job_of(2, "gang", "red", "normal", 3, 4.0);
        run(&mut lead, &single(1), 0, &ids[0]);
        (0..3).for_each(|i| run(&mut lead, &lent, i, &ids[1 + i as usize]));
        (4..8).for_each(|i| run(&mut lead, &single(i as u32), 0, &ids[i]));
        let waiting = job_of(99, "gang", "blue", "normal", 3, 4.0);
        lead.jobs.insert(waiting.spec.id.clone(), waiting.clone());
        let stopped = evicted(&lead, &waiting);
        assert_eq!(stopped, BTreeSet::from([lent.spec.id.clone()]));
        for id in &ids[1..4] {
            lead.machines
                .get_mut(id)
                .expect("a machine")
                .entries
                .clear();
        }
        lead.jobs.insert(lent.spec.id.clone(), lent.clone());
        (0..3).for_each(|i| run(&mut lead, &waiting, i, &ids[1 + i as usize]));
        assert_eq!(evicted(&lead, &lent), BTreeSet::new());
    }
}

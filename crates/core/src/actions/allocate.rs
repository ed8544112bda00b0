//! Places pending work on free room: teams below 1 on saturation first, and among them by priority
//! and by the least work left. Work that can't be evicted may use only quota, which is handed out first, so
//! it is placed before work that can also borrow. Like tasks are decided as a class: one refusal
//! holds for all of the same
//! shape in this cycle.

use super::fit;
use crate::job::Job;
use crate::lead::Lead;
use crate::snapshot::Snapshot;
use crate::statement::{Placement, Statement};
use crate::tree::amounts;
use crate::units::Resources;
use rudderreel_wire::ids::{JobId, Zone};
use rudderreel_wire::job::{JobSpec, Kind};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// What makes tasks alike: if one does not fit, neither does another.
#[derive(PartialEq, Eq, Hash)]
struct Shape {
    need: (i64, i64, i64),
    types: Option<Vec<String>>,
    zone: Option<Zone>,
    spot: bool,
    kind: Kind,
    tasks: u32,
    together: bool,
    job: Option<JobId>,
}

impl Shape {
    fn of(spec: &JobSpec, need: &Resources) -> Self {
        // Tasks bound to where others of their job are can't be judged by another job's.
        let bound = spec.spread || spec.one_zone;
        Self {
            need: (need.cpus, need.gpus, need.memory),
            types: (spec.types.as_ref())
                .map(|t| t.iter().map(|n| n.as_str().to_string()).collect()),
            zone: spec.zone.clone(),
            spot: spec.spot,
            kind: spec.kind,
            tasks: if spec.kind == Kind::Gang {
                spec.tasks
            } else {
                0
            },
            together: spec.one_zone,
            job: bound.then(|| spec.id.clone()),
        }
    }
}

/// How many tasks of a job are placed before its team's saturation is looked at again.
const CHUNK: usize = 4;

/// Jobs waiting, by team, in order.
fn queues(lead: &Lead, picture: &Snapshot, firm: bool) -> BTreeMap<usize, VecDeque<JobId>> {
    let jobs = lead.waiting(picture.now.time);
    let mut queues: BTreeMap<usize, VecDeque<JobId>> = BTreeMap::new();
    for job in jobs {
        let placed = picture.taken(&job.spec.id) >= job.free_tasks() as usize;
        if placed || job.evictable() == firm {
            continue;
        }
        if let Some(leaf) = lead.tree.find(&job.spec.team) {
            queues
                .entry(leaf)
                .or_default()
                .push_back(job.spec.id.clone());
        }
    }
    queues
}

/// Decides placements. With `picky`, work whose start can't wait for a fetch is left alone where
/// its image is not at hand: room may yet be made for it where it is.
pub fn allocate(lead: &Lead, picture: &mut Snapshot, picky: bool) -> Vec<Placement> {
    let mut placed = allocate_tier(lead, picture, true, picky);
    picture.hold_reserve(lead);
    placed.extend(allocate_tier(lead, picture, false, picky));
    placed
}

fn allocate_tier(lead: &Lead, picture: &mut Snapshot, firm: bool, picky: bool) -> Vec<Placement> {
    let mut queues = queues(lead, picture, firm);
    let mut refused: HashSet<Shape> = HashSet::new();
    let mut placed = Vec::new();
    loop {
        let next = (queues.iter())
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(&leaf, _)| leaf)
            .min_by_key(|&leaf| {
                let first = queues[&leaf].front().and_then(|id| lead.jobs.get(id));
                (picture.saturation(leaf) >= 1.0, first.map(Job::order))
            });
        let Some(leaf) = next else {
            return placed;
        };
        let Some(id) = queues.get(&leaf).and_then(|q| q.front()).cloned() else {
            return placed;
        };
        let done = match lead.jobs.get(&id) {
            Some(job) => {
                let shape = Shape::of(&job.spec, &job.need);
                if refused.contains(&shape) {
                    true
                } else {
                    let got = place_some(lead, picture, job, picky);
                    let more = job.free_tasks() as usize > picture.taken(&id);
                    let full = got.is_empty() || (got.len() < CHUNK && more);
                    if full && limits_allow(lead, picture, job) {
                        refused.insert(shape);
                    }
                    placed.extend(got);
                    full || !more
                }
            }
            None => true,
        };
        if done {
            if let Some(queue) = queues.get_mut(&leaf) {
                queue.pop_front();
            }
        }
    }
}

fn limits_allow(lead: &Lead, picture: &Snapshot, job: &Job) -> bool {
    picture.within_limits(lead, job, &amounts(&job.need))
}

/// Places some tasks of a job; a gang whole or not at all.
fn place_some(lead: &Lead, picture: &mut Snapshot, job: &Job, picky: bool) -> Vec<Placement> {
    let gang = job.spec.kind == Kind::Gang;
    let want = if gang { job.spec.tasks as usize } else { CHUNK };
    if gang {
        return place_gang(lead, picture, job, want);
    }
    let skip = picture.taken(&job.spec.id);
    let free = job.next_free(skip + want);
    let mut statement = Statement::default();
    for &index in free.iter().skip(skip) {
        if !limits_allow(lead, picture, job) {
            break;
        }
        let Some(at) = fit::best(lead, picture, job, picky) else {
            break;
        };
        statement.place(lead, picture, job, index, at);
    }
    statement.commit()
}

/// A gang that must be in one zone is tried in each.
fn place_gang(lead: &Lead, picture: &mut Snapshot, job: &Job, want: usize) -> Vec<Placement> {
    let mut zones: Vec<Option<Zone>> = vec![None];
    if job.spec.one_zone {
        zones = (picture.spots.iter())
            .map(|s| Some(s.zone.clone()))
            .collect();
        zones.sort();
        zones.dedup();
    }
    for zone in zones {
        let mut statement = Statement::default();
        for index in 0..job.spec.tasks {
            if !limits_allow(lead, picture, job) {
                break;
            }
            let Some(at) = best_in(lead, picture, job, zone.as_ref()) else {
                break;
            };
            statement.place(lead, picture, job, index, at);
        }
        if statement.len() == want {
            return statement.commit();
        }
        statement.discard(lead, picture, job);
    }
    Vec::new()
}

fn best_in(lead: &Lead, picture: &Snapshot, job: &Job, zone: Option<&Zone>) -> Option<usize> {
    let Some(zone) = zone else {
        return fit::best(lead, picture, job, false);
    };
    (0..picture.spots.len())
        .filter(|&i| picture.spots[i].zone == *zone)
        .filter(|&i| fit::fits(lead, picture, job, &picture.spots[i]))
        .min_by_key(|&i| {
            let spot = &picture.spots[i];
            let cached = spot.images.contains(&job.spec.image);
            (!cached, !spot.spot, spot.free.cpus)
        })
}

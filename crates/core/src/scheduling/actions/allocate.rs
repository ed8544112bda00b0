//! Places pending work on free room: teams below 1 on saturation first, and among them by priority
//! what has waited too long for its first start, then by the least work left. Work that can't be evicted may use only quota, which is handed out first, so
//! it is placed before work that can also borrow. Like tasks are decided as a class: one refusal
//! holds for all of the same
//! shape in this cycle.

use super::{fit, gather};
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::{is_bound, Snapshot};
use crate::scheduling::statement::{Placement, Statement};
use crate::teams::team_tree::amounts;
use crate::units::Time;
use rudderreel_wire::ids::{JobId, Zone};
use rudderreel_wire::job::Kind;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// What makes tasks alike: if one does not fit, neither does another.
#[derive(PartialEq, Eq, Hash)]
pub(super) struct Shape {
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
    pub(super) fn of(job: &Job, now: Time) -> Self {
        let (spec, need) = (&job.spec, &job.need);
        // Tasks bound to where others of their job are can't be judged by another job's.
        // Nor can those of one that keeps off machines where it failed.
        let bound = is_bound(spec) || job.failures.avoids_any_machine(now);
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
const CHUNK: usize = 16;

/// Jobs waiting, by team, in order.
fn queues<'a>(
    leader: &Leader,
    snapshot: &Snapshot,
    waiting: &[&'a Job],
    firm: bool,
) -> BTreeMap<usize, VecDeque<&'a Job>> {
    let mut queues: BTreeMap<usize, VecDeque<&Job>> = BTreeMap::new();
    for &job in waiting {
        let placed = snapshot.taken(&job.spec.id) >= job.startable_tasks() as usize;
        if placed || job.is_preemptible() == firm {
            continue;
        }
        if let Some(leaf) = leader.policy.teams.find(&job.spec.team) {
            queues.entry(leaf).or_default().push_back(job);
        }
    }
    queues
}

/// Places work that can't be evicted. With `picky`, what can't wait for a fetch is left alone where its
/// image is not at hand: room may yet be made for it where it is.
pub fn allocate_non_preemptible(
    leader: &Leader,
    snapshot: &mut Snapshot,
    waiting: &[&Job],
    picky: bool,
) -> Vec<Placement> {
    allocate_tier(leader, snapshot, waiting, true, picky)
}

/// Places what can be evicted, after all that can't: also after what went without its image, or on
/// machines that have just come up it would find no room left.
pub fn allocate_preemptible(
    leader: &Leader,
    snapshot: &mut Snapshot,
    waiting: &[&Job],
) -> Vec<Placement> {
    snapshot.hold_reserve(leader);
    gather::keep_room(leader, snapshot, waiting);
    allocate_tier(leader, snapshot, waiting, false, false)
}

fn allocate_tier(
    leader: &Leader,
    snapshot: &mut Snapshot,
    waiting: &[&Job],
    firm: bool,
    picky: bool,
) -> Vec<Placement> {
    let mut queues = queues(leader, snapshot, waiting, firm);
    let mut refused: HashSet<Shape> = HashSet::new();
    let mut placed = Vec::new();
    let rank: HashMap<&JobId, usize> = (waiting.iter().enumerate())
        .map(|(i, j)| (&j.spec.id, i))
        .collect();
    loop {
        let next = (queues.iter())
            .filter_map(|(&leaf, queue)| Some((leaf, *queue.front()?)))
            .min_by_key(|(leaf, job)| {
                let overdue = leader.is_overdue(job, snapshot.now.wall);
                let over = snapshot.saturation(*leaf) >= 1.0;
                (over && !overdue, rank.get(&job.spec.id).copied())
            });
        let Some((leaf, job)) = next else {
            return placed;
        };
        let shape = Shape::of(job, snapshot.now.time);
        let mut done = refused.contains(&shape);
        if !done {
            let got = place_some(leader, snapshot, job, picky);
            let more = job.startable_tasks() as usize > snapshot.taken(&job.spec.id);
            let full = got.is_empty() || (got.len() < CHUNK && more);
            if full && limits_allow(leader, snapshot, job) {
                refused.insert(shape);
            }
            placed.extend(got);
            done = full || !more;
        }
        if done {
            if let Some(queue) = queues.get_mut(&leaf) {
                queue.pop_front();
            }
        }
    }
}

fn limits_allow(leader: &Leader, snapshot: &Snapshot, job: &Job) -> bool {
    snapshot.within_limits(leader, job, &amounts(&job.need))
}

/// Places some tasks of a job; a gang whole or not at all.
fn place_some(leader: &Leader, snapshot: &mut Snapshot, job: &Job, picky: bool) -> Vec<Placement> {
    match job.spec.kind {
        Kind::Gang => place_gang(leader, snapshot, job),
        Kind::Array if !is_bound(&job.spec) => place_alike(leader, snapshot, job),
        _ => place_each(leader, snapshot, job, picky),
    }
}

/// Tasks of which each changes where the next may go.
fn place_each(leader: &Leader, snapshot: &mut Snapshot, job: &Job, picky: bool) -> Vec<Placement> {
    let skip = snapshot.taken(&job.spec.id);
    let mut statement = Statement::default();
    for index in job.next_startable(skip, CHUNK) {
        if !limits_allow(leader, snapshot, job) {
            break;
        }
        let Some(at) = fit::best(leader, snapshot, job, picky) else {
            break;
        };
        statement.place(leader, snapshot, job, index, at);
    }
    statement.commit()
}

/// Tasks that are alike: the machines are ranked once and filled one after the other.
fn place_alike(leader: &Leader, snapshot: &mut Snapshot, job: &Job) -> Vec<Placement> {
    let skip = snapshot.taken(&job.spec.id);
    let mut indexes = job.next_startable(skip, CHUNK).into_iter().peekable();
    let mut statement = Statement::default();
    for (at, count) in fit::ranked(leader, snapshot, job, None) {
        for _ in 0..count {
            if !limits_allow(leader, snapshot, job) {
                return statement.commit();
            }
            match indexes.next() {
                Some(index) => statement.place(leader, snapshot, job, index, at),
                None => return statement.commit(),
            }
        }
        if indexes.peek().is_none() {
            break;
        }
    }
    statement.commit()
}

/// A gang that must be in one zone is tried in each, the one where most of its machines have the
/// image, and suit it, first.
fn place_gang(leader: &Leader, snapshot: &mut Snapshot, job: &Job) -> Vec<Placement> {
    let want = job.spec.tasks;
    let zones: Vec<Option<usize>> = if job.spec.one_zone {
        (0..snapshot.zone_names.len()).map(Some).collect()
    } else {
        vec![None]
    };
    let image = snapshot.image(&job.spec.image);
    let mut best: Option<(usize, Vec<(usize, u32)>)> = None;
    for zone in zones {
        let ranked = fit::ranked(leader, snapshot, job, zone);
        if ranked.iter().map(|(_, n)| u64::from(*n)).sum::<u64>() < u64::from(want) {
            continue;
        }
        let cold = |&(i, _): &(usize, u32)| {
            let images = &snapshot.candidates[i].images;
            !image.is_some_and(|no| images.contains(&no))
        };
        let fetches = ranked
            .iter()
            .take(want as usize)
            .filter(|r| cold(r))
            .count();
        if best.as_ref().is_none_or(|(least, _)| fetches < *least) {
            best = Some((fetches, ranked));
        }
    }
    let Some((_, ranked)) = best else {
        return Vec::new();
    };
    let mut statement = Statement::default();
    let places = (ranked.into_iter()).flat_map(|(at, n)| std::iter::repeat_n(at, n as usize));
    for (index, at) in (0..want).zip(places) {
        if !limits_allow(leader, snapshot, job) {
            break;
        }
        statement.place(leader, snapshot, job, index, at);
    }
    if statement.len() == want as usize {
        return statement.commit();
    }
    statement.discard(leader, snapshot, job);
    Vec::new()
}

//! Room is gathered for a gang that has waited too long.
//!
//! A gang of many tasks in one zone would wait for ever while smaller work takes each machine that
//! comes free. So in good time machines of one zone are kept for it: those that will be free
//! soonest. What would not have ended by the time that enough are free does not go on them, and
//! then the gang is placed whole.

use super::fit;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::{CandidateMachine, Snapshot};
use crate::units::Span;
use rudderreel_wire::job::Kind;

/// For so many gangs room is gathered at the same time: more would keep too much room from small
/// ones. In a large fleet more of them may wait, so one that has waited so long does not count.
const GANGS: usize = 4;
const LONG_S: f64 = 120.0;
/// So many waiting gangs are looked at.
const DEPTH: usize = 24;
/// Users take a job that does not begin within four minutes for not served. Room is gathered in
/// time for a gang to begin well before, and not sooner: meanwhile smaller work goes first.
const BEGIN_S: f64 = 90.0;
/// Gathering takes longer than owners' estimates say.
const SLOWER: f64 = 1.5;
/// What boots and fetches may add.
const MARGIN_S: f64 = 30.0;

/// Keeps machines for gangs that would not begin in time otherwise, longest waiting first.
pub fn keep_room(leader: &Leader, snapshot: &mut Snapshot, waiting: &[&Job]) {
    for spot in &mut snapshot.candidates {
        spot.kept_for = None;
    }
    snapshot.gathering.clear();
    let mut gangs: Vec<&Job> = (waiting.iter().copied())
        .filter(|j| {
            j.spec.kind == Kind::Gang && j.spec.tasks > 1 && !j.has_started && !j.is_suspected()
        })
        .filter(|j| snapshot.taken(&j.spec.id) == 0)
        .collect();
    gangs.sort_by_key(|j| j.waiting_since());
    for job in gangs.into_iter().take(DEPTH) {
        let zones: Vec<Option<usize>> = if job.spec.one_zone {
            (0..snapshot.zone_names.len()).map(Some).collect()
        } else {
            vec![None]
        };
        let waited = Span(snapshot.now.wall.0.saturating_sub(job.waiting_since().0)).as_secs();
        if snapshot.gathering.len() >= GANGS && waited < LONG_S {
            // The others have waited less.
            return;
        }
        let best = (zones.into_iter())
            .filter_map(|zone| soonest(leader, snapshot, job, zone))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((ready_s, candidates)) = best else {
            continue;
        };
        if waited + ready_s * SLOWER + MARGIN_S < BEGIN_S {
            continue;
        }
        for at in candidates {
            snapshot.candidates[at].kept_for = Some((job.spec.id.clone(), ready_s));
        }
        snapshot.gathering.insert(job.spec.id.clone());
    }
}

/// The machines of a zone that could hold a gang soonest, and in how many seconds; none if there
/// are too few.
fn soonest(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    zone: Option<usize>,
) -> Option<(f64, Vec<usize>)> {
    let mut candidates: Vec<(f64, usize, u32)> = (snapshot.candidates.iter().enumerate())
        .filter(|(_, s)| zone.is_none_or(|z| z == s.zone_no) && s.kept_for.is_none())
        .filter(|(_, s)| fit::suits(leader, snapshot, job, s))
        .map(|(i, s)| {
            let (wait, count) = free_in(job, s);
            (wait, i, count)
        })
        .filter(|(_, _, count)| *count > 0)
        .collect();
    candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut left = job.spec.tasks;
    let mut chosen = Vec::new();
    for (wait, i, count) in candidates {
        chosen.push(i);
        left = left.saturating_sub(count);
        if left == 0 {
            return Some((wait, chosen));
        }
    }
    None
}

/// In how many seconds a machine will probably have room for tasks of a job, and for how many.
fn free_in(job: &Job, spot: &CandidateMachine) -> (f64, u32) {
    let free = spot.free - spot.held;
    match free.count(&job.need) {
        0 => (spot.ended_in_s, (free + spot.ending).count(&job.need)),
        now_free => (0.0, now_free),
    }
}

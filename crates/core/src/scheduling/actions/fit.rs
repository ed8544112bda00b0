//! Which machine a task goes on.

use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::{CandidateMachine, Snapshot};
use rudderreel_wire::ids::{TypeName, Zone};
use rudderreel_wire::job::{JobSpec, Kind};

/// Whether a job may use machines of a type, zone and kind.
pub fn allowed(spec: &JobSpec, machine_type: &TypeName, zone: &Zone, spot: bool) -> bool {
    (spec.spot || !spot)
        && (spec.types.as_ref()).is_none_or(|types| types.contains(machine_type))
        && (spec.zone.as_ref()).is_none_or(|z| z == zone)
}

/// Whether one more task of the job may be in a zone, given where its tasks may be.
fn zone_allows(snapshot: &Snapshot, spec: &JobSpec, zone: usize) -> bool {
    if !crate::scheduling::snapshot::is_bound(spec) {
        return true;
    }
    let zones = snapshot.zones_of(&spec.id);
    let here = zones.get(zone).copied().unwrap_or(0);
    let elsewhere = zones.iter().enumerate().any(|(z, n)| z != zone && *n > 0);
    here < spec.zone_cap() && !(spec.one_zone && elsewhere)
}

/// Whether one more task of the job fits on a machine.
pub fn fits(leader: &Leader, snapshot: &Snapshot, job: &Job, spot: &CandidateMachine) -> bool {
    let free = if job.is_preemptible() {
        spot.free - spot.held
    } else {
        spot.free
    };
    free.holds(&job.need) && suits(leader, snapshot, job, spot)
}

/// Whether one more task of the job may go on a machine if there is room.
pub fn suits(leader: &Leader, snapshot: &Snapshot, job: &Job, spot: &CandidateMachine) -> bool {
    allowed(&job.spec, &spot.machine_type, &spot.zone, spot.spot)
        && !is_kept(job, spot)
        && !job.failures.avoids_machine(&spot.id, snapshot.now.time)
        && !wastes_gpus(leader, job, spot)
        && zone_allows(snapshot, &job.spec, spot.zone_no)
}

/// Whether it is kept for a gang for which room is gathered. Work that can't be evicted comes
/// before that, and work that will have ended when the gang has enough room is let in meanwhile.
fn is_kept(job: &Job, spot: &CandidateMachine) -> bool {
    job.is_preemptible()
        && (spot.kept_for.as_ref()).is_some_and(|(id, ready_s)| {
            *id != job.spec.id && job.spec.estimate_s * OVERRUN + FETCH_S > *ready_s
        })
}

/// Owners' estimates are often too short by half.
const OVERRUN: f64 = 1.4;
/// What a start takes besides.
const FETCH_S: f64 = 8.0;

/// Work without GPUs stays off machines with free GPUs if it could ever run elsewhere, and
/// replicas off all machines with GPUs: they would hold them long after the GPUs' work is done.
fn wastes_gpus(leader: &Leader, job: &Job, spot: &CandidateMachine) -> bool {
    let lasting = job.spec.kind == Kind::Service && spot.room.gpus > 0;
    job.need.gpus == 0
        && (spot.free.gpus > 0 || lasting)
        && leader.policy.fits_without_gpus(&job.spec, &job.need)
}

/// The best machine for one more task of the job. With `picky`, a job whose start can't wait for
/// a fetch is offered only machines that have its image.
pub fn best(leader: &Leader, snapshot: &Snapshot, job: &Job, picky: bool) -> Option<usize> {
    let picky = picky && leader.needs_cached_image(job);
    let image = snapshot.image(&job.spec.image);
    let cap = snapshot.replica_cap();
    (0..snapshot.candidates.len())
        .filter(|&i| !picky || has(&snapshot.candidates[i].images, image))
        .filter(|&i| fits(leader, snapshot, job, &snapshot.candidates[i]))
        .min_by(|&a, &b| {
            let score = |i: usize| score(job, image, cap, &snapshot.candidates[i]);
            compare(&score(a), &score(b))
        })
}

/// Machines for more tasks of a job, the best first, each with how many it takes. Tasks of an
/// array, or of a gang in one zone, are alike: they are decided as a class.
pub fn ranked(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    zone: Option<usize>,
) -> Vec<(usize, u32)> {
    let image = snapshot.image(&job.spec.image);
    let cap = snapshot.replica_cap();
    let mut found: Vec<(Score, usize, u32)> = (snapshot.candidates.iter().enumerate())
        .filter(|(_, s)| zone.is_none_or(|z| z == s.zone_no))
        .filter(|(_, s)| fits(leader, snapshot, job, s))
        .map(|(i, s)| {
            let free = if job.is_preemptible() {
                s.free - s.held
            } else {
                s.free
            };
            (score(job, image, cap, s), i, free.count(&job.need))
        })
        .collect();
    found.sort_by(|a, b| compare(&a.0, &b.0).then(a.1.cmp(&b.1)));
    found.into_iter().map(|(_, i, n)| (i, n)).collect()
}

fn has(images: &[u32], image: Option<u32>) -> bool {
    image.is_some_and(|no| images.contains(&no))
}

type Score = (u32, u32, u32, f64);

fn compare(a: &Score, b: &Score) -> std::cmp::Ordering {
    a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal)
}

/// From so many tasks on a gang is large: one spot machine that is taken stops them all.
const LARGE: u32 = 4;

/// Whether a job is better off on ordinary machines even if it may use spot ones. With one spot
/// machine in ten taken in the time that a gang runs, hardly one of many tasks would end undisturbed.
pub fn shuns_spot(job: &Job) -> bool {
    job.spec.kind == Kind::Gang && job.spec.tasks >= LARGE
}

/// Lower is better: few replicas of the same service, or ordinary machines for a large gang; image
/// at hand; the kind of machine that leaves others free; then the fullest machine, so that machines
/// empty out.
fn score(job: &Job, image: Option<u32>, cap: u32, spot: &CandidateMachine) -> Score {
    let apart = match job.spec.kind {
        Kind::Service => spot.replicas_of(&job.spec.id) + spot.replicas / cap,
        _ => u32::from(spot.spot && shuns_spot(job)),
    };
    let fetch = if has(&spot.images, image) {
        0
    } else if has(&spot.fetching, image) {
        1
    } else {
        // Images that are fetched at the same time share the rate.
        2 + spot.fetches()
    };
    let kind = u32::from(job.spec.spot != spot.spot);
    let left = (spot.free - job.need).cpus as f64 / spot.room.cpus.max(1) as f64;
    (apart, fetch, kind, left)
}

//! Which machine a task goes on.

use crate::job::Job;
use crate::lead::Lead;
use crate::snapshot::{Snapshot, Spot};
use rudderreel_wire::ids::{TypeName, Zone};
use rudderreel_wire::job::{JobSpec, Kind};

/// Whether a job may use machines of a type, zone and kind.
pub fn allowed(spec: &JobSpec, machine_type: &TypeName, zone: &Zone, spot: bool) -> bool {
    (spec.spot || !spot)
        && (spec.types.as_ref()).is_none_or(|types| types.contains(machine_type))
        && (spec.zone.as_ref()).is_none_or(|z| z == zone)
}

/// Whether one more task of the job may be in a zone, given where its tasks may be.
pub fn zone_allows(picture: &Snapshot, spec: &JobSpec, zone: &Zone) -> bool {
    let Some(zones) = picture.zones.get(&spec.id) else {
        return true;
    };
    let here = zones.get(zone).copied().unwrap_or(0);
    let elsewhere = zones.iter().any(|(z, n)| z != zone && *n > 0);
    here < spec.zone_cap() && !(spec.one_zone && elsewhere)
}

/// Whether one more task of the job fits on a machine.
pub fn fits(lead: &Lead, picture: &Snapshot, job: &Job, spot: &Spot) -> bool {
    let free = if job.evictable() {
        spot.free - spot.held
    } else {
        spot.free
    };
    free.holds(&job.need) && suits(lead, picture, job, spot)
}

/// Whether one more task of the job may go on a machine if there is room.
pub fn suits(lead: &Lead, picture: &Snapshot, job: &Job, spot: &Spot) -> bool {
    spot.slots > 0
        && allowed(&job.spec, &spot.machine_type, &spot.zone, spot.spot)
        && !wastes_gpus(lead, job, spot)
        && zone_allows(picture, &job.spec, &spot.zone)
}

/// Work without GPUs stays off machines with free GPUs if it could ever run elsewhere, and
/// replicas off all machines with GPUs: they would hold them long after the GPUs' work is done.
fn wastes_gpus(lead: &Lead, job: &Job, spot: &Spot) -> bool {
    let lasting = job.spec.kind == Kind::Service && spot.room.gpus > 0;
    job.need.gpus == 0
        && (spot.free.gpus > 0 || lasting)
        && lead.fits_without_gpus(&job.spec, &job.need)
}

/// The best machine for one more task of the job. With `picky`, a job whose start can't wait for
/// a fetch is offered only machines that have its image.
pub fn best(lead: &Lead, picture: &Snapshot, job: &Job, picky: bool) -> Option<usize> {
    let picky = picky && lead.is_picky(job);
    (0..picture.spots.len())
        .filter(|&i| !picky || picture.spots[i].images.contains(&job.spec.image))
        .filter(|&i| fits(lead, picture, job, &picture.spots[i]))
        .min_by(|&a, &b| {
            let (a, b) = (score(picture, job, a), score(picture, job, b));
            a.partial_cmp(&b).unwrap_or(std::cmp::Ordering::Equal)
        })
}

/// Lower is better: few replicas of the same service, image at hand, the kind of machine that
/// leaves others free, then the fullest machine, so that machines empty out.
fn score(picture: &Snapshot, job: &Job, at: usize) -> (u32, u32, u32, f64) {
    let spot = &picture.spots[at];
    let image = &job.spec.image;
    let replicas = if job.spec.kind == Kind::Service {
        let same = spot.jobs.get(&job.spec.id).copied().unwrap_or(0);
        same + spot.replicas / picture.replica_cap()
    } else {
        0
    };
    let fetch = if spot.images.contains(image) {
        0
    } else if spot.fetching.contains(image) {
        1
    } else {
        2
    };
    let kind = u32::from(job.spec.spot != spot.spot);
    let left = (spot.free - job.need).cpus as f64 / spot.room.cpus.max(1) as f64;
    (replicas, fetch, kind, left)
}

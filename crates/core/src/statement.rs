//! Simulate first, commit later: a log of decisions over the snapshot, kept whole or dropped whole.

use crate::job::Job;
use crate::lead::Lead;
use crate::snapshot::Snapshot;
use crate::tree::amounts;
use rudderreel_wire::ids::{Image, MachineId, TaskId};
use rudderreel_wire::job::Kind;

/// A task and the machine it is to go on.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The task.
    pub task: TaskId,
    /// The machine.
    pub machine: MachineId,
}

/// A log of placements, each already noted in the snapshot.
#[derive(Default)]
pub struct Statement {
    log: Vec<(Placement, usize, Image, bool)>,
}

impl Statement {
    /// Places a task on a machine of the snapshot.
    pub fn place(&mut self, lead: &Lead, picture: &mut Snapshot, job: &Job, index: u32, at: usize) {
        picture.charge(lead, job, &amounts(&job.need));
        picture.note_taken(&job.spec.id, 1);
        let spot = &mut picture.spots[at];
        spot.free -= job.need;
        spot.slots = spot.slots.saturating_sub(1);
        *spot.jobs.entry(job.spec.id.clone()).or_default() += 1;
        spot.replicas += u32::from(job.spec.kind == Kind::Service);
        let fetches = spot.fetching.insert(job.spec.image.clone());
        let zones = picture.zones.entry(job.spec.id.clone()).or_default();
        *zones.entry(spot.zone.clone()).or_default() += 1;
        let placement = Placement {
            task: job.spec.id.task(index),
            machine: spot.id.clone(),
        };
        self.log
            .push((placement, at, job.spec.image.clone(), fetches));
    }

    /// How much has been placed.
    pub fn len(&self) -> usize {
        self.log.len()
    }

    /// Keeps everything.
    pub fn commit(self) -> Vec<Placement> {
        self.log.into_iter().map(|(p, ..)| p).collect()
    }

    /// Takes everything back.
    pub fn discard(self, lead: &Lead, picture: &mut Snapshot, job: &Job) {
        let back = amounts(&job.need).map(|x| -x);
        for (placement, at, image, fetches) in self.log.into_iter().rev() {
            picture.charge(lead, job, &back);
            picture.note_taken(&job.spec.id, -1);
            let spot = &mut picture.spots[at];
            spot.free += job.need;
            spot.slots += 1;
            spot.replicas -= u32::from(job.spec.kind == Kind::Service);
            if let Some(n) = spot.jobs.get_mut(&placement.task.job) {
                *n -= 1;
            }
            if fetches {
                spot.fetching.remove(&image);
            }
            if let Some(zones) = picture.zones.get_mut(&placement.task.job) {
                if let Some(n) = zones.get_mut(&spot.zone) {
                    *n -= 1;
                }
            }
        }
    }
}

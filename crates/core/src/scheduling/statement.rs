//! Simulate first, commit later: a log of decisions over the snapshot, kept whole or dropped whole.

use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::{is_bound, Snapshot};
use crate::teams::team_tree::amounts;
use rudderreel_wire::ids::{MachineId, TaskId};
use rudderreel_wire::job::Kind;

/// A task and the machine it is to go on.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The task.
    pub task: TaskId,
    /// The machine.
    pub machine: MachineId,
}

/// A log of placements of one job, each already noted in the snapshot.
#[derive(Default)]
pub struct Statement {
    log: Vec<(Placement, usize, bool)>,
}

impl Statement {
    /// Places a task on a machine of the snapshot.
    pub fn place(
        &mut self,
        leader: &Leader,
        snapshot: &mut Snapshot,
        job: &Job,
        index: u32,
        at: usize,
    ) {
        snapshot.charge(leader, job, &amounts(&job.need));
        snapshot.note_taken(&job.spec.id, 1);
        let image = snapshot.image(&job.spec.image);
        let spot = &mut snapshot.candidates[at];
        spot.free -= job.need;
        if job.spec.kind == Kind::Service {
            spot.shift_service(&job.spec.id, 1);
        }
        let fetches = image.is_some();
        spot.fetching.extend(image);
        let zone = spot.zone_no;
        let placement = Placement {
            task: job.spec.id.task(index),
            machine: spot.id.clone(),
        };
        if is_bound(&job.spec) {
            snapshot.note_zone(&job.spec.id, zone, 1);
        }
        self.log.push((placement, at, fetches));
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
    pub fn discard(self, leader: &Leader, snapshot: &mut Snapshot, job: &Job) {
        let back = amounts(&job.need).map(|x| -x);
        for (placement, at, fetches) in self.log.into_iter().rev() {
            snapshot.charge(leader, job, &back);
            snapshot.note_taken(&job.spec.id, -1);
            let spot = &mut snapshot.candidates[at];
            spot.free += job.need;
            if job.spec.kind == Kind::Service {
                spot.shift_service(&placement.task.job, -1);
            }
            if fetches {
                spot.fetching.pop();
            }
            let zone = spot.zone_no;
            if is_bound(&job.spec) {
                snapshot.note_zone(&job.spec.id, zone, -1);
            }
        }
    }
}

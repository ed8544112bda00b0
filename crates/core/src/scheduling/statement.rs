//! Statements: logs of simulated placements that are committed or discarded as a whole (article "KAI
//! Scheduler Deep Dive", section "Simulate first, commit later").

use super::snapshot::simulation::FetchCounted;
use super::snapshot::Snapshot;
use crate::jobs::job::Job;
use crate::leader::Leader;
use rudderreel_wire::ids::{MachineId, TaskId};

/// A task and the machine that it is placed on.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Placed task.
    pub task: TaskId,
    /// Machine that the task is placed on.
    pub machine: MachineId,
}

/// A placement that is already simulated in the snapshot.
struct LogEntry {
    placement: Placement,
    /// Index of the machine in [`Snapshot::candidates`].
    candidate_index: usize,
    fetch: FetchCounted,
}

/// A log of placements of one job, each already simulated in the snapshot.
#[derive(Default)]
pub struct Statement {
    log: Vec<LogEntry>,
}

impl Statement {
    /// Simulates the placement of a task on a candidate machine and logs it.
    pub fn place(
        &mut self,
        leader: &Leader,
        snapshot: &mut Snapshot,
        job: &Job,
        index: u32,
        candidate_index: usize,
    ) {
        let fetch = snapshot.place(leader, job, candidate_index);
        let placement = Placement {
            task: job.spec.id.task(index),
            machine: snapshot.candidates[candidate_index].id.clone(),
        };
        self.log.push(LogEntry {
            placement,
            candidate_index,
            fetch,
        });
    }

    /// Returns the number of tasks placed.
    pub fn len(&self) -> usize {
        self.log.len()
    }

    /// Keeps all placements and returns them.
    pub fn commit(self) -> Vec<Placement> {
        self.log.into_iter().map(|entry| entry.placement).collect()
    }

    /// Keeps all placements and returns them if there are exactly `tasks` of them; otherwise discards them all.
    pub fn commit_if_whole(
        self,
        leader: &Leader,
        snapshot: &mut Snapshot,
        job: &Job,
        tasks: u32,
    ) -> Option<Vec<Placement>> {
        if self.len() == tasks as usize {
            return Some(self.commit());
        }
        self.discard(leader, snapshot, job);
        None
    }

    /// Reverts all placements in the snapshot, the last one first.
    pub fn discard(self, leader: &Leader, snapshot: &mut Snapshot, job: &Job) {
        for entry in self.log.into_iter().rev() {
            snapshot.withdraw(leader, job, entry.candidate_index, entry.fetch);
        }
    }
}

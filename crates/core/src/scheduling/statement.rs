//! Statements: logs of simulated placements, kept whole or dropped whole (article: "Simulate first, commit later").

use super::snapshot::simulation::FetchCounted;
use super::snapshot::Snapshot;
use crate::jobs::job::Job;
use crate::leader::Leader;
use rudderreel_wire::ids::{MachineId, TaskId};

/// A task and the machine that it is to go on.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The task.
    pub task: TaskId,
    /// The machine.
    pub machine: MachineId,
}

/// A placement that the snapshot already shows.
struct LogEntry {
    placement: Placement,
    /// The machine's place among the candidates.
    at: usize,
    fetch: FetchCounted,
}

/// A log of placements of one job, each already simulated in the snapshot.
#[derive(Default)]
pub struct Statement {
    log: Vec<LogEntry>,
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
        let fetch = snapshot.place(leader, job, at);
        let placement = Placement {
            task: job.spec.id.task(index),
            machine: snapshot.candidates[at].id.clone(),
        };
        self.log.push(LogEntry {
            placement,
            at,
            fetch,
        });
    }

    /// How many tasks were placed.
    pub fn len(&self) -> usize {
        self.log.len()
    }

    /// Keeps everything.
    pub fn commit(self) -> Vec<Placement> {
        self.log.into_iter().map(|entry| entry.placement).collect()
    }

    /// Keeps everything if it is so much, and otherwise takes everything back.
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

    /// Takes everything back.
    pub fn discard(self, leader: &Leader, snapshot: &mut Snapshot, job: &Job) {
        for entry in self.log.into_iter().rev() {
            snapshot.withdraw(leader, job, entry.at, entry.fetch);
        }
    }
}

//! The combined result of reclaiming, preempting and consolidating.

use crate::fleet::StopReason;
use crate::scheduling::snapshot::{Snapshot, Victim};
use crate::scheduling::statement::Placement;
use rudderreel_wire::ids::{Attempt, MachineId, TaskId};

/// A task to be stopped.
#[derive(Clone, Debug)]
pub struct Eviction {
    /// Task to be stopped.
    pub task: TaskId,
    /// Attempt of the task.
    pub attempt: Attempt,
    /// Machine that the task is on.
    pub machine: MachineId,
    /// Reason for the stop.
    pub reason: StopReason,
}

impl Eviction {
    /// Creates the eviction of a victim.
    pub(super) fn new(victim: &Victim, snapshot: &Snapshot, reason: StopReason) -> Self {
        Self {
            task: victim.task.clone(),
            attempt: victim.attempt,
            machine: snapshot.candidates[victim.candidate_index].id.clone(),
            reason,
        }
    }
}

/// Tasks that are stopped, and the placements on the room that they free.
#[derive(Default)]
pub struct Scenario {
    /// Tasks to be stopped.
    pub evictions: Vec<Eviction>,
    /// Placements on the freed room. Their starts are sent once that room is surely free.
    pub placements: Vec<Placement>,
}

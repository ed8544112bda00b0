//! What reclaiming, preempting and consolidating come to.

use crate::fleet::StopReason;
use crate::scheduling::snapshot::{Snapshot, Victim};
use crate::scheduling::statement::Placement;
use rudderreel_wire::ids::{Attempt, MachineId, TaskId};

/// A task to be stopped.
#[derive(Clone, Debug)]
pub struct Eviction {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// Its machine.
    pub machine: MachineId,
    /// Why.
    pub reason: StopReason,
}

impl Eviction {
    /// The eviction of a victim.
    pub(super) fn new(victim: &Victim, snapshot: &Snapshot, reason: StopReason) -> Self {
        Self {
            task: victim.task.clone(),
            attempt: victim.attempt,
            machine: snapshot.candidates[victim.at].id.clone(),
            reason,
        }
    }
}

/// Tasks that are stopped, and tasks that go on the room which that frees.
#[derive(Default)]
pub struct Scenario {
    /// Tasks to be stopped.
    pub evictions: Vec<Eviction>,
    /// Tasks that go on their room. Their starts are sent once it is surely free.
    pub placements: Vec<Placement>,
}

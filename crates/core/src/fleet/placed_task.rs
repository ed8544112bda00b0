//! A task on a machine, as far as the leader knows, and what status reports show of it.
//!
//! An attempt goes one way: `Planned` (decided), `Sent` (a start may be under way or carried out), `On` (reported),
//! `Exited` (reported as ended, or shown to be gone). It takes up capacity until then. The entry of an exited
//! attempt is kept until its agent may forget it (see [`PlacedTask::may_forget`]).

use super::reasons::StopReason;
use crate::store::records::SegmentId;
use crate::units::{Resources, Span, Time};
use rudderreel_wire::ids::{Attempt, Epoch, Incarnation, TaskId};
use rudderreel_wire::job::JobSpec;
use rudderreel_wire::worker::{Cause, StatusReport, TaskState, TaskStatus};
use std::sync::Arc;

/// How far a task has come on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Decided, but no start has been sent: surely not on the machine.
    Planned,
    /// A start has been sent.
    Sent,
    /// Reported as on the machine.
    On(TaskState),
    /// Reported as exited: surely gone.
    Exited(Cause),
}

/// What a start was last sent under. The agent refuses it under a higher epoch or in a later incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartSent {
    /// The epoch of the leader that sent it.
    pub epoch: Epoch,
    /// The incarnation of the agent that it was sent to.
    pub incarnation: Incarnation,
}

/// Why and how a task is stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stop {
    /// Time for a checkpoint, in seconds.
    pub grace_s: f64,
    /// When it was decided.
    pub since: Time,
    /// Why.
    pub why: StopReason,
}

impl Stop {
    /// A stop at once.
    pub fn without_grace(why: StopReason, since: Time) -> Self {
        Self::with_grace(why, 0.0, since)
    }

    /// A stop with time for a checkpoint, in seconds.
    pub fn with_grace(why: StopReason, grace_s: f64, since: Time) -> Self {
        Self {
            grace_s,
            since,
            why,
        }
    }
}

/// A task on a machine, as far as the leader knows.
#[derive(Clone, Debug)]
pub struct PlacedTask {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// What its job's owner submitted; none if the job is not known.
    pub spec: Option<Arc<JobSpec>>,
    /// What it takes.
    pub need: Resources,
    /// How far it has come.
    pub phase: Phase,
    /// The committed segment that names it.
    pub segment: SegmentId,
    /// A segment that names it and whose commit is open.
    pub pending_segment: SegmentId,
    /// What a start was last sent under.
    pub start_sent: StartSent,
    /// Direct calls with a start of it whose outcome is open.
    pub open_direct_starts: u32,
    /// A direct call with a start of it ended without an answer and may still be carried out.
    pub start_may_arrive_late: bool,
    /// Set once it is to be stopped.
    pub stop: Option<Stop>,
    /// Its outcome is recorded, so that nobody needs the agent's reports of it any more.
    pub outcome_recorded: bool,
    /// When it was placed.
    pub placed_at: Time,
    /// Since when it has been running.
    pub running_since: Option<Time>,
    /// Since when the newest reports omit it although it should be on the machine.
    pub missing_since: Option<Time>,
}

/// What a status report changed.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskChange {
    /// A task has its image and runs.
    Started(TaskId),
    /// A task exited.
    Exited(TaskExit),
    /// A task is gone, and nobody knows how it ended.
    Lost(TaskId, Attempt),
    /// A task is on the machine that the leader has not placed there.
    Unknown(TaskStatus),
}

/// The end of a task's attempt, as an agent reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskExit {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// Why it ended.
    pub cause: Cause,
    /// How long it ran; none if it was never seen running.
    pub ran: Option<Span>,
}

impl PlacedTask {
    /// A task about to be placed.
    pub fn planned(task: TaskId, attempt: Attempt, spec: Option<Arc<JobSpec>>, now: Time) -> Self {
        Self {
            task,
            attempt,
            need: spec.as_deref().map(Resources::of_task).unwrap_or_default(),
            spec,
            phase: Phase::Planned,
            segment: SegmentId::NONE,
            pending_segment: SegmentId::NONE,
            start_sent: StartSent::default(),
            open_direct_starts: 0,
            start_may_arrive_late: false,
            stop: None,
            outcome_recorded: false,
            placed_at: now,
            running_since: None,
            missing_since: None,
        }
    }

    /// Whether this is a task's attempt.
    pub fn is(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.attempt == attempt && self.task == *task
    }

    /// Whether a committed segment names it.
    pub fn is_recorded(&self) -> bool {
        self.segment != SegmentId::NONE
    }

    /// Whether it has to be recorded and no open commit names it.
    pub fn awaits_recording(&self) -> bool {
        self.occupies_capacity() && !self.is_recorded() && self.pending_segment == SegmentId::NONE
    }

    /// Whether it takes up capacity: everything that is not surely gone does.
    pub fn occupies_capacity(&self) -> bool {
        !self.has_exited()
    }

    /// Whether it is reported as exited.
    pub fn has_exited(&self) -> bool {
        matches!(self.phase, Phase::Exited(_))
    }

    /// Whether it is running, as far as is known.
    pub fn is_running(&self) -> bool {
        matches!(
            self.phase,
            Phase::On(TaskState::Running | TaskState::Saving)
        )
    }

    /// Whether its job is never evicted to make room.
    pub fn is_non_preemptible(&self) -> bool {
        (self.spec.as_deref()).is_some_and(crate::jobs::job::is_non_preemptible)
    }

    /// Whether its agent has yet to be sent a stop: to stop it, or to end a checkpoint that has no time left.
    pub fn awaits_stop(&self) -> bool {
        let checkpoints = self.phase == Phase::On(TaskState::Saving);
        (self.stop)
            .is_some_and(|stop| self.occupies_capacity() && !(checkpoints && stop.grace_s > 0.0))
    }

    /// Decides that it is stopped. It keeps the reason and time of an earlier stop; a second one without grace ends
    /// a checkpoint.
    pub fn request_stop(&mut self, stop: Stop) {
        let requested = self.stop.get_or_insert(stop);
        requested.grace_s = requested.grace_s.min(stop.grace_s);
    }

    /// Whether the agent may forget it: no start for it may be under way, since after that a repeated start would
    /// run it again.
    pub fn may_forget(&self) -> bool {
        self.has_exited()
            && self.outcome_recorded
            && self.open_direct_starts == 0
            && !self.start_may_arrive_late
    }

    /// The newest report shows it.
    pub(super) fn apply_status(
        &mut self,
        status: &TaskStatus,
        now: Time,
        changes: &mut Vec<TaskChange>,
    ) {
        self.missing_since = None;
        if self.has_exited() {
            return;
        }
        if status.state == TaskState::Exited {
            let cause = status.cause.unwrap_or(Cause::Error);
            self.phase = Phase::Exited(cause);
            changes.push(TaskChange::Exited(TaskExit {
                task: self.task.clone(),
                attempt: self.attempt,
                cause,
                ran: self.running_since.map(|since| now - since),
            }));
            return;
        }
        if status.state == TaskState::Running && self.running_since.is_none() {
            self.running_since = Some(now);
            changes.push(TaskChange::Started(self.task.clone()));
        }
        self.phase = Phase::On(status.state);
    }

    /// The newest report omits it. Returns whether it may still be on the machine, or a start may still arrive.
    pub(super) fn apply_omission(
        &mut self,
        report: &StatusReport,
        epoch: Epoch,
        now: Time,
        changes: &mut Vec<TaskChange>,
    ) -> bool {
        if self.phase == Phase::Planned {
            return true;
        }
        let later_incarnation = report.incarnation > self.start_sent.incarnation;
        let later_epoch = report.token == epoch && report.token > self.start_sent.epoch;
        if later_incarnation || later_epoch {
            // A start that is still under way would be refused: it is surely gone.
            if self.occupies_capacity() {
                changes.push(TaskChange::Lost(self.task.clone(), self.attempt));
            }
            return false;
        }
        if self.has_exited() {
            // The agent has forgotten it as it was told to. No start is under way, or it would not have been told.
            return !self.may_forget();
        }
        self.missing_since.get_or_insert(now);
        true
    }

    /// Its agent has acknowledged an epoch: a start that was sent under an older one is refused from now on.
    pub(super) fn epoch_acknowledged(&mut self, epoch: Epoch) {
        if epoch > self.start_sent.epoch {
            self.start_may_arrive_late = false;
        }
    }
}

#[cfg(test)]
mod tests;

//! A task on a machine, as far as the leader knows, and what status reports show of it.
//!
//! The phases of an attempt follow each other: `Planned` (decided), `Sent` (a start may be in flight or carried out),
//! `On` (reported), `Exited` (reported as ended, or shown to be gone). An attempt goes back to `On` only if an agent
//! that has forgotten it reports it as on the machine again. The attempt occupies capacity unless it is `Exited`. The entry of an
//! exited attempt is kept until its agent may forget the attempt (see [`PlacedTask::may_forget`]).

use super::reasons::StopReason;
use crate::leadership::fencing_tokens::TokenRange;
use crate::store::records::SegmentId;
use crate::units::{Resources, Span, Time};
use rudderreel_wire::ids::{Attempt, FencingToken, Incarnation, TaskId};
use rudderreel_wire::job::JobSpec;
use rudderreel_wire::worker::{Cause, StatusReport, TaskState, TaskStatus};
use std::sync::Arc;

/// Progress of a task on its machine.
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

/// The fencing token and incarnation under which a start was last sent. The agent carries the start out, however late
/// and however often it arrives, until it has seen a higher token or has begun a later incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartSent {
    /// Fencing token of the start.
    pub token: FencingToken,
    /// Incarnation of the agent that the start was sent to.
    pub incarnation: Incarnation,
}

impl StartSent {
    /// Returns whether an agent that has seen a token, and is in an incarnation, would carry the start out.
    pub fn is_valid_at(self, token: FencingToken, incarnation: Incarnation) -> bool {
        self.token >= token && self.incarnation >= incarnation
    }
}

/// A decision to stop a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stop {
    /// Time that the task gets for a checkpoint, in seconds.
    pub grace_s: f64,
    /// Time of the decision.
    pub since: Time,
    /// Reason for the stop.
    pub reason: StopReason,
}

impl Stop {
    /// Returns a stop without time for a checkpoint.
    pub fn without_grace(reason: StopReason, since: Time) -> Self {
        Self::with_grace(reason, 0.0, since)
    }

    /// Returns a stop with time for a checkpoint, in seconds.
    pub fn with_grace(reason: StopReason, grace_s: f64, since: Time) -> Self {
        Self {
            grace_s,
            since,
            reason,
        }
    }
}

/// A task on a machine, as far as the leader knows.
#[derive(Clone, Debug)]
pub struct PlacedTask {
    /// Id of the task.
    pub task: TaskId,
    /// Attempt of the task.
    pub attempt: Attempt,
    /// Specification of the task's job; none if the job is not known.
    pub spec: Option<Arc<JobSpec>>,
    /// Resources that the task needs; none if its job is not known.
    pub need: Resources,
    /// Progress of the attempt.
    pub phase: Phase,
    /// Committed segment of the placement log that names the attempt.
    pub segment: SegmentId,
    /// Segment that names the attempt and whose commit is open.
    pub pending_segment: SegmentId,
    /// Token and incarnation under which a start was last sent.
    pub start_sent: StartSent,
    /// Token and incarnation under which a start was last sent by a direct call; none if no call had one. The call may
    /// arrive again, also after it was answered.
    pub direct_start: Option<StartSent>,
    /// Number of direct calls with a start of the attempt whose outcome is open.
    pub open_direct_starts: u32,
    /// The stop that was decided, if the task is to be stopped.
    pub stop: Option<Stop>,
    /// Whether the outcome is recorded, so that the agent's reports of the attempt are not needed any more.
    pub outcome_recorded: bool,
    /// Time at which the task was placed.
    pub placed_at: Time,
    /// Time since which the task has been running; none if it was never seen running.
    pub running_since: Option<Time>,
    /// Time since which the newest reports omit the task although it should be on the machine.
    pub missing_since: Option<Time>,
}

/// A change that a status report shows.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskChange {
    /// A task has its image and is running.
    Started(TaskId),
    /// A task exited.
    Exited(TaskExit),
    /// A task is gone, and its outcome is unknown.
    Lost(TaskId, Attempt),
    /// A task is reported that the leader has not placed on the machine.
    Unknown(TaskStatus),
    /// An attempt is reported as on the machine that had been reported as exited.
    Reappeared(TaskStatus),
}

/// The end of a task's attempt, as an agent reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskExit {
    /// Id of the task.
    pub task: TaskId,
    /// Attempt that has ended.
    pub attempt: Attempt,
    /// Cause of the exit.
    pub cause: Cause,
    /// Time for which the attempt ran; none if it was never seen running.
    pub ran: Option<Span>,
}

impl PlacedTask {
    /// Returns the entry of a task that is about to be placed.
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
            direct_start: None,
            open_direct_starts: 0,
            stop: None,
            outcome_recorded: false,
            placed_at: now,
            running_since: None,
            missing_since: None,
        }
    }

    /// Returns whether this is the entry of a task's attempt.
    pub fn is_attempt(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.attempt == attempt && self.task == *task
    }

    /// Returns whether a committed segment names the attempt.
    pub fn is_recorded(&self) -> bool {
        self.segment != SegmentId::NONE
    }

    /// Returns whether the attempt has to be recorded and no open commit names it.
    pub fn awaits_recording(&self) -> bool {
        self.occupies_capacity() && !self.is_recorded() && self.pending_segment == SegmentId::NONE
    }

    /// Returns whether the attempt occupies capacity: everything that is not surely gone does.
    pub fn occupies_capacity(&self) -> bool {
        !self.has_exited()
    }

    /// Returns whether the attempt is reported as exited.
    pub fn has_exited(&self) -> bool {
        matches!(self.phase, Phase::Exited(_))
    }

    /// Returns whether the task is running, as far as is known.
    pub fn is_running(&self) -> bool {
        matches!(
            self.phase,
            Phase::On(TaskState::Running | TaskState::Saving)
        )
    }

    /// Returns whether the job's tasks are never evicted to make room.
    pub fn is_non_preemptible(&self) -> bool {
        (self.spec.as_deref()).is_some_and(crate::jobs::job::is_non_preemptible)
    }

    /// Returns whether its agent has yet to be sent a stop: to stop the task, or to end a checkpoint that gets no more
    /// time.
    pub fn awaits_stop(&self) -> bool {
        let checkpoints = self.phase == Phase::On(TaskState::Saving);
        (self.stop)
            .is_some_and(|stop| self.occupies_capacity() && !(checkpoints && stop.grace_s > 0.0))
    }

    /// Records the decision to stop the task. The reason and time of an earlier decision are kept; a second one without
    /// grace ends a checkpoint.
    pub fn request_stop(&mut self, stop: Stop) {
        let requested = self.stop.get_or_insert(stop);
        requested.grace_s = requested.grace_s.min(stop.grace_s);
    }

    /// Records that the start of the attempt counts as sent by a direct call, since how it was sent is not known.
    pub fn count_as_sent_directly(&mut self, start: StartSent) {
        self.start_sent = start;
        self.direct_start = Some(start);
    }

    /// Returns whether the attempt has ended, and its agent's reports of it are not needed any more.
    pub fn awaits_forgetting(&self) -> bool {
        self.has_exited() && self.outcome_recorded
    }

    /// Returns whether a direct call with a start of the attempt would be carried out by an agent that has seen a
    /// token and is in an incarnation.
    pub fn direct_start_is_valid_at(&self, token: FencingToken, incarnation: Incarnation) -> bool {
        (self.direct_start).is_some_and(|start| start.is_valid_at(token, incarnation))
    }

    /// Returns whether the agent may forget the attempt on a command with this token. Once it has forgotten the
    /// attempt, any start that it accepts runs the attempt again, so none may be valid any more: a call that was
    /// answered may arrive once more.
    pub fn may_forget(&self, token: FencingToken, incarnation: Incarnation) -> bool {
        self.awaits_forgetting() && !self.direct_start_is_valid_at(token, incarnation)
    }

    /// Returns the fields for log lines that say why the agent may forget the attempt: how the attempt ended, and under
    /// which token and incarnation its start was last sent, also by a direct call.
    pub fn log_fields(&self) -> String {
        let direct_start = (self.direct_start)
            .map(|start| format!("{}/{}", start.token, start.incarnation))
            .unwrap_or_default();
        format!(
            "phase={:?} start_token={} start_incarnation={} direct_start={direct_start:?}",
            self.phase, self.start_sent.token, self.start_sent.incarnation
        )
    }

    /// Applies the status that the newest report shows of the task.
    pub(super) fn apply_status(
        &mut self,
        status: &TaskStatus,
        now: Time,
        changes: &mut Vec<TaskChange>,
    ) {
        self.missing_since = None;
        if self.has_exited() {
            if status.state != TaskState::Exited {
                self.reappear(status.state, now);
                changes.push(TaskChange::Reappeared(status.clone()));
            }
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

    /// Returns an attempt that has exited to its machine, where it is to be stopped: it occupies capacity again. What was
    /// recorded of it may have been deleted since.
    fn reappear(&mut self, state: TaskState, now: Time) {
        self.phase = Phase::On(state);
        self.stop = Some(Stop::without_grace(StopReason::Reappeared, now));
        self.outcome_recorded = false;
        self.segment = SegmentId::NONE;
        self.pending_segment = SegmentId::NONE;
    }

    /// Applies that the newest report omits the task. Returns whether the entry is kept, since the task may still be on
    /// the machine, or a start may still arrive.
    pub(super) fn apply_omission(
        &mut self,
        report: &StatusReport,
        tokens: TokenRange,
        now: Time,
        changes: &mut Vec<TaskChange>,
    ) -> bool {
        if self.phase == Phase::Planned {
            return true;
        }
        let later_incarnation = report.incarnation > self.start_sent.incarnation;
        let later_token = report.token >= tokens.first && report.token > self.start_sent.token;
        if later_incarnation || later_token {
            // A start that is still in flight would be refused: the task is surely gone.
            if self.occupies_capacity() {
                changes.push(TaskChange::Lost(self.task.clone(), self.attempt));
            }
            return false;
        }
        if self.has_exited() {
            // The agent has forgotten the attempt on command.
            return !self.may_forget(report.token, report.incarnation);
        }
        self.missing_since.get_or_insert(now);
        true
    }
}

#[cfg(test)]
mod tests;

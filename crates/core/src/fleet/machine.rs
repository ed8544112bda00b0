//! A machine, as the leader knows it: the tasks that may be on it, and what its agent's reports and answers show.
//!
//! **Which tasks may be on which machine is decided here and nowhere else.** An attempt may be on a machine from
//! the moment its record is committed until one of these conditions holds:
//! 1. A report of that machine's agent, the newest by incarnation and sequence number, shows the attempt as exited; or
//!    omits it when no start for it can be carried out any more: the report belongs to a later incarnation than the
//!    start, or acknowledges a higher fencing token, so that a delayed start, or a copy of one, would be refused.
//! 2. The cloud has answered that the machine is returned.
//! 3. The agent's lease has surely expired: no node has answered its reports for the lease, clock drift and a margin,
//!    nor has the leader heard from the agent in that time. Both are required, because an incarnation's lease also runs
//!    from the beginning of the incarnation, and the leader also hears from an agent by its answers to direct calls,
//!    which renew nothing: a task started in an incarnation that has just begun is alive although no report was
//!    answered lately.

use super::blame::JobFailure;
use super::placed_task::{Phase, PlacedTask, StartSent, TaskChange};
use super::reasons::RetireReason;
use super::report_order::{MessageOrder, ReportedTasks};
use crate::leadership::fencing_tokens::TokenRange;
use crate::store::records::SegmentId;
use crate::units::{Resources, Span, Time, Wall};
use rudderreel_wire::ids::{
    Attempt, FencingToken, Image, Incarnation, MachineId, TaskId, TypeName, Zone,
};
use rudderreel_wire::worker::StatusReport;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Time by which an answer and a timer may be late, in addition to the lease and clock drift.
const LEASE_EXPIRY_MARGIN: Span = Span(500);

/// The properties of a machine that do not depend on the tasks on it.
#[derive(Clone, Debug)]
pub struct MachineDescription {
    /// Id of the machine.
    pub id: MachineId,
    /// Machine type.
    pub machine_type: TypeName,
    /// Zone that the machine is in.
    pub zone: Zone,
    /// Whether the machine is a spot instance.
    pub is_spot: bool,
    /// Resources that the machine offers; none while its type is unknown.
    pub capacity: Resources,
    /// Time at which the machine was rented or first seen.
    pub known_since: Wall,
}

/// A machine and all tasks that may be on it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Id of the machine.
    pub id: MachineId,
    /// Machine type.
    pub machine_type: TypeName,
    /// Zone that the machine is in.
    pub zone: Zone,
    /// Whether the machine is a spot instance.
    pub is_spot: bool,
    /// Resources that the machine offers; none while its type is unknown.
    pub capacity: Resources,
    /// Address at which its agent accepts direct calls; none until the agent has reported or the cloud has listed it.
    pub addr: Option<String>,
    /// Newest message of its agent that was applied.
    pub last_message: MessageOrder,
    /// Highest fencing token that its agent has acknowledged.
    pub acknowledged_token: FencingToken,
    /// Highest fencing token that was acknowledged, or that commands for its agent were given (see
    /// [`Machine::command_token`]).
    pub raised_token: FencingToken,
    /// Tasks that are planned for the machine or may be on it. Exited ones are kept until the agent has forgotten them.
    pub tasks: Vec<PlacedTask>,
    /// Committed segment of the placement log that names the machine.
    pub segment: SegmentId,
    /// Segment that names the machine and whose commit is open.
    pub pending_segment: SegmentId,
    /// Last full list of tasks that was applied.
    pub reported_tasks: ReportedTasks,
    /// Time at which a report of its agent was last answered.
    pub last_answered_at: Option<Time>,
    /// Time at which its agent was last heard from: at which a new report, or answer to a direct call, was received.
    pub last_heard_at: Option<Time>,
    /// Time at which the cloud will reclaim the machine; none without a notice.
    pub reclaim_at: Option<Time>,
    /// Images that should be in the machine's cache.
    pub cached_images: BTreeSet<Image>,
    /// Whether a direct call to its agent is open.
    pub direct_call_open: bool,
    /// Time before which no direct call is made, after one without an answer.
    pub next_direct_call_at: Time,
    /// Number of direct calls in a row that its agent has not answered. Reports alone don't show that the agent can be
    /// commanded: they may arrive while nothing reaches the agent.
    pub unanswered_calls: u32,
    /// Time at which the first of these calls was found to be unanswered.
    pub unreachable_since: Option<Time>,
    /// Reason for which the machine is to be emptied and returned to the cloud; none while it is kept.
    pub retire_reason: Option<RetireReason>,
    /// Time at which the cloud was last asked to return the machine.
    pub return_requested_at: Option<Time>,
    /// Time at which the machine was rented or first seen.
    pub known_since: Wall,
    /// Time since which nothing has been on the machine.
    pub idle_since: Option<Time>,
    /// Failures on the machine of jobs that are not suspected themselves.
    pub failed_jobs: Vec<JobFailure>,
    /// Whether a task was ever completed on the machine.
    pub has_completed_task: bool,
    /// End of the quarantine after failures: no task is started on the machine before this time.
    pub quarantined_until: Time,
    /// Time before which the machine gets no new placements, while it is being emptied.
    pub cordoned_until: Time,
}

impl Machine {
    /// Returns a machine of which nothing but the description is known.
    pub fn new(description: MachineDescription) -> Self {
        Self {
            id: description.id,
            machine_type: description.machine_type,
            zone: description.zone,
            is_spot: description.is_spot,
            capacity: description.capacity,
            known_since: description.known_since,
            addr: None,
            last_message: MessageOrder::default(),
            acknowledged_token: FencingToken(0),
            raised_token: FencingToken(0),
            tasks: Vec::new(),
            segment: SegmentId::NONE,
            pending_segment: SegmentId::NONE,
            reported_tasks: ReportedTasks {
                message: MessageOrder::default(),
                tasks: Arc::new([]),
            },
            last_answered_at: None,
            last_heard_at: None,
            reclaim_at: None,
            cached_images: BTreeSet::new(),
            direct_call_open: false,
            next_direct_call_at: Time(0),
            unanswered_calls: 0,
            unreachable_since: None,
            retire_reason: None,
            return_requested_at: None,
            idle_since: None,
            failed_jobs: Vec::new(),
            has_completed_task: false,
            quarantined_until: Time(0),
            cordoned_until: Time(0),
        }
    }

    /// Returns whether the machine may hold non-preemptible work.
    pub fn runs_non_preemptible(&self) -> bool {
        (self.tasks.iter()).any(|task| task.occupies_capacity() && task.is_non_preemptible())
    }

    /// Returns whether a start of non-preemptible work is planned on the machine.
    pub fn awaits_non_preemptible_start(&self) -> bool {
        (self.tasks.iter()).any(|task| task.phase == Phase::Planned && task.is_non_preemptible())
    }

    /// Returns the token and incarnation that a start has now, in the term with these tokens.
    pub fn present_start(&self, tokens: TokenRange) -> StartSent {
        StartSent {
            token: self.command_token(tokens),
            incarnation: self.last_message.incarnation,
        }
    }

    /// Returns the free capacity. The capacity of a task that may still be on the machine is never counted as free, and
    /// nothing is free while a task whose resource needs are unknown may be on the machine.
    pub fn free(&self) -> Resources {
        let mut free = self.capacity;
        for task in self.tasks.iter().filter(|task| task.occupies_capacity()) {
            if task.spec.is_none() {
                return Resources::default();
            }
            free -= task.need;
        }
        free
    }

    /// Returns the entry of a task's attempt.
    pub fn task_mut(&mut self, task: &TaskId, attempt: Attempt) -> Option<&mut PlacedTask> {
        (self.tasks.iter_mut()).find(|placed| placed.is_attempt(task, attempt))
    }

    /// Returns an attempt of a task that may be on the machine.
    pub fn task(&self, task: &TaskId, attempt: Attempt) -> Option<&PlacedTask> {
        (self.tasks.iter()).find(|placed| placed.is_attempt(task, attempt))
    }

    /// Marks the machine to be emptied and returned to the cloud. An earlier reason is kept.
    pub fn retire(&mut self, reason: RetireReason) {
        self.retire_reason.get_or_insert(reason);
    }

    /// Returns whether the machine is up and the tasks on it are known to the leader of the term with these tokens: its
    /// agent has acknowledged one of them.
    pub fn is_reconciled(&self, tokens: TokenRange) -> bool {
        self.last_heard_at.is_some() && self.acknowledged_token >= tokens.first
    }

    /// Returns the fencing token of commands and answers for the agent, in the term with these tokens.
    pub fn command_token(&self, tokens: TokenRange) -> FencingToken {
        tokens.clamp(self.raised_token)
    }

    /// Returns whether the leader has heard from the agent within a time.
    pub fn is_heard_within(&self, span: Span, now: Time) -> bool {
        self.last_heard_at.is_some_and(|heard| now - heard < span)
    }

    /// Applies a status report and returns the changes. A report that is not newer than the last one changes nothing.
    pub fn apply_report(
        &mut self,
        report: &StatusReport,
        tokens: TokenRange,
        now: Time,
    ) -> Vec<TaskChange> {
        if MessageOrder::of(report) <= self.last_message {
            log::debug!("old report ignored machine={}", self.id);
            return Vec::new();
        }
        self.update_reachability(report, now);
        self.last_message = MessageOrder::of(report);
        self.acknowledged_token = report.token;
        self.raised_token = self.raised_token.max(report.token);
        self.addr = Some(report.addr.clone());
        self.last_heard_at = Some(now);
        self.reclaim_at = report.reclaim_in_s.map(|s| now + Span::secs(s));
        let mut changes = Vec::new();
        self.tasks.retain_mut(|placed| {
            let status = (report.tasks.iter()).find(|t| placed.is_attempt(&t.task, t.attempt));
            match status {
                Some(status) => {
                    placed.apply_status(status, now, &mut changes);
                    true
                }
                None => placed.apply_omission(report, tokens, now, &mut changes),
            }
        });
        for status in &report.tasks {
            if !(self.tasks.iter()).any(|placed| placed.is_attempt(&status.task, status.attempt)) {
                changes.push(TaskChange::Unknown(status.clone()));
            }
        }
        changes
    }

    /// Updates whether calls and answers reach the agent, as far as a newer report shows it.
    fn update_reachability(&mut self, report: &StatusReport, now: Time) {
        let is_first = self.last_message.incarnation == Incarnation(0);
        let new_incarnation = report.incarnation > self.last_message.incarnation && !is_first;
        if report.token > self.acknowledged_token {
            self.call_answered();
        } else if new_incarnation && self.last_answered_at.is_some() {
            // The agent's lease expired although its reports were answered: perhaps nothing reaches the agent. It gets
            // nothing new until it has answered a call.
            self.call_unanswered(now);
        }
    }

    /// Records that its agent has answered a call, or has shown that it received an answer.
    pub fn call_answered(&mut self) {
        self.unanswered_calls = 0;
        self.unreachable_since = None;
    }

    /// Records that its agent has left a call unanswered.
    pub fn call_unanswered(&mut self, now: Time) {
        self.unanswered_calls += 1;
        self.unreachable_since.get_or_insert(now);
    }

    /// Returns whether no node can have answered its agent for such a long time that everything on the machine is gone.
    ///
    /// `old_leaders_fenced_at`: time since which no older leader can have answered; none while that is not known.
    pub fn is_lease_expired(
        &self,
        now: Time,
        lease: Span,
        old_leaders_fenced_at: Option<Time>,
    ) -> bool {
        let Some(fenced_at) = old_leaders_fenced_at else {
            return false;
        };
        let last_renewal = (self.last_answered_at)
            .max(self.last_heard_at)
            .map_or(fenced_at, |renewal| renewal.max(fenced_at));
        now > last_renewal + lease.with_drift() + LEASE_EXPIRY_MARGIN
    }

    /// Removes all tasks, since everything on the machine is surely gone. Returns those that occupied capacity.
    pub fn take_tasks(&mut self) -> Vec<(TaskId, Attempt)> {
        let gone = self.tasks.drain(..).filter(PlacedTask::occupies_capacity);
        gone.map(|e| (e.task, e.attempt)).collect()
    }
}

#[cfg(test)]
mod tests;

//! A machine, as the leader knows it: what may be on it, and what its agent's reports and answers show.
//!
//! **Which tasks may be on which machine is decided here and nowhere else.** An attempt may be on a machine from
//! the moment its record is committed until
//! 1. a report of that machine's agent, the newest by incarnation and sequence number, shows it as exited; or omits
//!    it although no start for it can still be under way: the report belongs to a later incarnation than the start,
//!    or acknowledges a later epoch than the start was sent under, so that a delayed start would be refused;
//! 2. the cloud has answered that the machine is returned;
//! 3. the agent's lease has surely expired: nobody has answered its reports for the lease, clock drift and a margin,
//!    nor has the agent been heard in that time. (An incarnation's lease also runs from its beginning, and an agent
//!    is heard by answers to direct calls too, which renew nothing: a task started in an incarnation that has just
//!    begun lives on although no report was answered lately.)

use super::blame::JobFailure;
use super::placed_task::{Phase, PlacedTask, TaskChange};
use super::reasons::RetireReason;
use super::report_order::{MessageOrder, ReportedTasks};
use crate::store::records::SegmentId;
use crate::units::{Resources, Span, Time, Wall};
use rudderreel_wire::ids::{Attempt, Epoch, Image, Incarnation, MachineId, TaskId, TypeName, Zone};
use rudderreel_wire::worker::StatusReport;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Beyond the lease and clock drift, what an answer and a timer may be late by.
const LEASE_EXPIRY_MARGIN: Span = Span(500);

/// What a machine is, whatever happens on it.
#[derive(Clone, Debug)]
pub struct MachineDescription {
    /// Its name.
    pub id: MachineId,
    /// Its type.
    pub machine_type: TypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is a spot instance.
    pub is_spot: bool,
    /// What it offers; nothing while its type is unknown.
    pub capacity: Resources,
    /// When it was rented or first seen.
    pub known_since: Wall,
}

/// A machine and all that may be on it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Its type.
    pub machine_type: TypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is a spot instance.
    pub is_spot: bool,
    /// What it offers; nothing while its type is unknown.
    pub capacity: Resources,
    /// Where its agent takes direct calls, once it has reported.
    pub addr: Option<String>,
    /// The newest message that was applied.
    pub last_message: MessageOrder,
    /// The highest epoch that its agent has acknowledged.
    pub acknowledged_epoch: Epoch,
    /// What may be on it.
    pub tasks: Vec<PlacedTask>,
    /// The committed segment that names it.
    pub segment: SegmentId,
    /// A segment that names it and whose commit is open.
    pub pending_segment: SegmentId,
    /// The last full list of tasks that was applied.
    pub reported_tasks: ReportedTasks,
    /// When a report of its agent was last answered.
    pub last_answered_at: Option<Time>,
    /// When its agent was last heard.
    pub last_heard_at: Option<Time>,
    /// When the cloud will reclaim it.
    pub reclaim_at: Option<Time>,
    /// Images that it should have in its cache.
    pub cached_images: BTreeSet<Image>,
    /// A direct call to its agent is open.
    pub direct_call_open: bool,
    /// No direct call before this moment, after one without an answer.
    pub next_direct_call_at: Time,
    /// Direct calls in a row that its agent has not answered. Reports alone don't show that it can be commanded:
    /// they may arrive while nothing reaches it.
    pub unanswered_calls: u32,
    /// When the first of them was sent.
    pub unreachable_since: Option<Time>,
    /// Why it is to be emptied and returned; none while it is kept.
    pub retire_reason: Option<RetireReason>,
    /// When the cloud was last asked to return it.
    pub return_requested_at: Option<Time>,
    /// When it was rented or first seen.
    pub known_since: Wall,
    /// Since when nothing has been on it.
    pub idle_since: Option<Time>,
    /// Jobs that failed on it and that nothing else speaks against.
    pub failed_jobs: Vec<JobFailure>,
    /// Whether a task was ever completed on it.
    pub has_completed_task: bool,
    /// Quarantine after failures: no starts before this moment.
    pub quarantined_until: Time,
    /// No new placements before this moment, while it is being emptied.
    pub cordoned_until: Time,
}

impl Machine {
    /// A machine of which nothing else is known.
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
            acknowledged_epoch: Epoch(0),
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

    /// Whether it may hold non-preemptible work.
    pub fn runs_non_preemptible(&self) -> bool {
        (self.tasks.iter()).any(|task| task.occupies_capacity() && task.is_non_preemptible())
    }

    /// Whether a start of non-preemptible work is planned on it.
    pub fn awaits_non_preemptible_start(&self) -> bool {
        (self.tasks.iter()).any(|task| task.phase == Phase::Planned && task.is_non_preemptible())
    }

    /// The capacity that is free. Nothing that may still be there is counted as free, and nothing at all while there
    /// may be a task of which it is not known what it takes.
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

    /// The entry of a task's attempt.
    pub fn task_mut(&mut self, task: &TaskId, attempt: Attempt) -> Option<&mut PlacedTask> {
        (self.tasks.iter_mut()).find(|placed| placed.is(task, attempt))
    }

    /// Has it emptied and returned to the cloud. An earlier reason stays.
    pub fn retire(&mut self, reason: RetireReason) {
        self.retire_reason.get_or_insert(reason);
    }

    /// Whether it is up and its contents are known under this epoch.
    pub fn is_reconciled(&self, epoch: Epoch) -> bool {
        self.last_heard_at.is_some() && self.acknowledged_epoch == epoch
    }

    /// Whether its agent was heard within a time.
    pub fn is_heard_within(&self, span: Span, now: Time) -> bool {
        self.last_heard_at.is_some_and(|heard| now - heard < span)
    }

    /// Applies a status report and returns what it changed. One that is not newer than the last changes nothing.
    pub fn apply_report(
        &mut self,
        report: &StatusReport,
        epoch: Epoch,
        now: Time,
    ) -> Vec<TaskChange> {
        if MessageOrder::of(report) <= self.last_message {
            log::debug!("old report ignored machine={}", self.id);
            return Vec::new();
        }
        self.update_reachability(report, now);
        self.last_message = MessageOrder::of(report);
        self.acknowledged_epoch = report.token;
        self.addr = Some(report.addr.clone());
        self.last_heard_at = Some(now);
        self.reclaim_at = report.reclaim_in_s.map(|s| now + Span::secs(s));
        let mut changes = Vec::new();
        self.tasks.retain_mut(|placed| {
            let status = (report.tasks.iter()).find(|t| placed.is(&t.task, t.attempt));
            match status {
                Some(status) => {
                    placed.apply_status(status, now, &mut changes);
                    true
                }
                None => placed.apply_omission(report, epoch, now, &mut changes),
            }
        });
        for status in &report.tasks {
            if !(self.tasks.iter()).any(|placed| placed.is(&status.task, status.attempt)) {
                changes.push(TaskChange::Unknown(status.clone()));
            }
        }
        changes
    }

    /// What a newer report shows of whether calls and answers reach the agent.
    fn update_reachability(&mut self, report: &StatusReport, now: Time) {
        let is_first = self.last_message.incarnation == Incarnation(0);
        let new_incarnation = report.incarnation > self.last_message.incarnation && !is_first;
        if report.token > self.acknowledged_epoch {
            self.call_answered();
        } else if new_incarnation && self.last_answered_at.is_some() {
            // Its lease ran out although it was answered: perhaps nothing reaches it. Until it
            // has answered a call it gets nothing new.
            self.call_unanswered(now);
        }
    }

    /// Its agent has acknowledged an epoch: starts that were sent under older ones are refused from now on.
    pub fn epoch_acknowledged(&mut self, epoch: Epoch) {
        for task in &mut self.tasks {
            task.epoch_acknowledged(epoch);
        }
    }

    /// Its agent has answered a call, or shown that it got an answer.
    pub fn call_answered(&mut self) {
        self.unanswered_calls = 0;
        self.unreachable_since = None;
    }

    /// Its agent has left a call unanswered.
    pub fn call_unanswered(&mut self, now: Time) {
        self.unanswered_calls += 1;
        self.unreachable_since.get_or_insert(now);
    }

    /// Whether nobody can have answered its agent for so long that everything on it is gone.
    ///
    /// `old_leaders_fenced_at`: since when no older leader can have answered; none while that is not known.
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

    /// Takes away all tasks, since everything on it is surely gone. Returns those that took up capacity.
    pub fn take_tasks(&mut self) -> Vec<(TaskId, Attempt)> {
        let gone = self.tasks.drain(..).filter(PlacedTask::occupies_capacity);
        gone.map(|e| (e.task, e.attempt)).collect()
    }
}

#[cfg(test)]
mod tests;

//! What may be on which machine. Nothing else decides whether a task is surely gone.
//!
//! A (task, attempt) may be on a machine from the moment its record is committed until
//! 1. a report of that machine, the newest by session and sequence number, shows it as exited; or
//!    omits it although no start for it can still be under way: the report belongs to a later
//!    session than the start, or acknowledges a later epoch than the start was sent under, so a
//!    delayed start would be refused;
//! 2. the cloud has answered that the machine is returned;
//! 3. the machine's lease has surely run out: nobody has answered its worker for `lease_s`, drift
//!    and a margin, nor has it been heard in that time. (A session's lease also runs from its
//!    begin, and a worker is heard by answers to direct calls too, which renew nothing: a task
//!    started in a session that has just begun lives on although no report was answered lately.)

use crate::store::records::SegmentId;
use crate::units::{Resources, Span, Time, Wall};
use rudderreel_wire::ids::{
    Attempt, Epoch, Image, Incarnation, JobId, MachineId, Seq, TaskId, TypeName, Zone,
};
use rudderreel_wire::job::JobSpec;
use rudderreel_wire::worker::{Cause, StatusReport, TaskState, TaskStatus};
use std::collections::BTreeSet;
use std::sync::Arc;

/// How far a task has come on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Decided, but no start has been sent: surely not there.
    Planned,
    /// A start has been sent.
    Sent,
    /// Reported as on the machine.
    On(TaskState),
    /// Reported as ended: surely gone.
    Exited(Cause),
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
    /// The committed page that names it.
    pub segment: SegmentId,
    /// A page whose commit is open and that names it.
    pub pending_segment: SegmentId,
    /// The epoch and session that a start was last sent under.
    pub start_sent: (Epoch, Incarnation),
    /// Direct starts whose outcome is open.
    pub open_direct_starts: u32,
    /// A direct start ended without an answer and may still be carried out.
    pub start_may_arrive_late: bool,
    /// It is to be stopped, with so much time to save.
    pub stop: Option<Stop>,
    /// The outcome was taken in, and the worker may forget it.
    pub outcome_recorded: bool,
    /// When it was placed.
    pub placed_at: Time,
    /// Since when it has been running.
    pub running_since: Option<Time>,
    /// Since when newest reports omit it although it should be there.
    pub missing_since: Option<Time>,
}

/// Why and how a task is stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stop {
    /// Time to save.
    pub grace_s: f64,
    /// When it was decided.
    pub since: Time,
    /// Why, for people.
    pub why: &'static str,
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
            start_sent: (Epoch(0), Incarnation(0)),
            open_direct_starts: 0,
            start_may_arrive_late: false,
            stop: None,
            outcome_recorded: false,
            placed_at: now,
            running_since: None,
            missing_since: None,
        }
    }

    /// Whether a committed page names it.
    pub fn is_recorded(&self) -> bool {
        self.segment != SegmentId::NONE
    }

    /// Whether it has to be recorded and no open commit names it.
    pub fn awaits_recording(&self) -> bool {
        self.occupies_capacity() && !self.is_recorded() && self.pending_segment == SegmentId::NONE
    }

    /// Whether it takes room: everything that has not surely ended.
    pub fn occupies_capacity(&self) -> bool {
        !matches!(self.phase, Phase::Exited(_))
    }

    /// Whether it is running, as far as is known.
    pub fn is_running(&self) -> bool {
        matches!(
            self.phase,
            Phase::On(TaskState::Running | TaskState::Saving)
        )
    }

    /// Whether its worker has yet to be told to stop it, or to end what it still saves.
    pub fn awaits_stop(&self) -> bool {
        let saves = self.phase == Phase::On(TaskState::Saving);
        (self.stop).is_some_and(|stop| self.occupies_capacity() && !(saves && stop.grace_s > 0.0))
    }

    /// Whether the worker may forget it: no start for it may be under way, for after that a
    /// repeated start would run it again.
    pub fn may_forget(&self) -> bool {
        matches!(self.phase, Phase::Exited(_))
            && self.outcome_recorded
            && self.open_direct_starts == 0
            && !self.start_may_arrive_late
    }
}

/// A machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Its type.
    pub machine_type: TypeName,
    /// Its zone.
    pub zone: Zone,
    /// Spot or ordinary.
    pub is_spot: bool,
    /// What it offers; nothing while its type is unknown.
    pub capacity: Resources,
    /// Where its worker takes commands, once it has reported.
    pub addr: Option<String>,
    /// Newest message taken in.
    pub last_message: (Incarnation, Seq),
    /// Highest epoch that its worker has acknowledged.
    pub acknowledged_epoch: Epoch,
    /// What may be on it.
    pub tasks: Vec<PlacedTask>,
    /// The committed page that names it, and one whose commit is open.
    pub segment: SegmentId,
    /// A page whose commit is open and that names it.
    pub pending_segment: SegmentId,
    /// The last full list of tasks that was taken in, and the message that it came with.
    pub last_task_list: ((Incarnation, Seq), Arc<[TaskStatus]>),
    /// When a node last answered a report of its worker.
    pub last_answered_at: Option<Time>,
    /// When its worker was last heard.
    pub last_heard_at: Option<Time>,
    /// When the cloud will take it away.
    pub reclaim_at: Option<Time>,
    /// Images that it should have.
    pub cached_images: BTreeSet<Image>,
    /// A direct call to its worker is open.
    pub direct_call_open: bool,
    /// Direct calls wait until then, after one without an answer.
    pub next_direct_call_at: Time,
    /// Direct calls in a row that its worker has not answered. Reports alone don't show that it
    /// can be commanded: they may arrive while nothing reaches it.
    pub unanswered_calls: u32,
    /// When the first of them was sent.
    pub unreachable_since: Option<Time>,
    /// It is to be emptied and returned, and why.
    pub retire_reason: Option<&'static str>,
    /// A return was asked for.
    pub return_requested_at: Option<Time>,
    /// When it was rented or first seen.
    pub known_since: Wall,
    /// Since when nothing has been on it.
    pub idle_since: Option<Time>,
    /// Jobs that failed on it with nothing else speaking against them, and when.
    pub failed_jobs: Vec<(JobId, Time)>,
    /// Whether a task was ever completed on it.
    pub has_completed_task: bool,
    /// No starts before this moment, after errors.
    pub quarantined_until: Time,
    /// Nothing new before this moment: it is being emptied.
    pub cordoned_until: Time,
    /// It was in the cloud's list.
    pub in_cloud_list: bool,
}

/// What a report changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A task has its image and runs.
    Started(TaskId, Attempt),
    /// A task ended.
    Exited(TaskId, Attempt, Cause, Option<Span>),
    /// A task is gone without a word.
    Gone(TaskId, Attempt),
    /// A task is there that is not in the placement log.
    Foreign(TaskStatus),
}

impl Machine {
    /// A machine that nothing is known of but what it is.
    pub fn new(
        id: MachineId,
        machine_type: TypeName,
        zone: Zone,
        spot: bool,
        room: Resources,
        since: Wall,
    ) -> Self {
        Self {
            id,
            machine_type,
            zone,
            is_spot: spot,
            capacity: room,
            addr: None,
            last_message: (Incarnation(0), Seq(0)),
            acknowledged_epoch: Epoch(0),
            tasks: Vec::new(),
            segment: SegmentId::NONE,
            pending_segment: SegmentId::NONE,
            last_task_list: ((Incarnation(0), Seq(0)), Arc::new([])),
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
            known_since: since,
            idle_since: None,
            failed_jobs: Vec::new(),
            has_completed_task: false,
            quarantined_until: Time(0),
            cordoned_until: Time(0),
            in_cloud_list: false,
        }
    }

    /// Whether it may hold work that can't wait.
    pub fn runs_non_preemptible(&self) -> bool {
        let firm = |e: &PlacedTask| {
            e.spec
                .as_ref()
                .is_some_and(|s| crate::jobs::job::is_non_preemptible(s))
        };
        self.tasks.iter().any(|e| e.occupies_capacity() && firm(e))
    }

    /// What is free: nothing that may still be there is counted as free, and nothing at all while there
    /// may be something of which it is not known what it takes.
    pub fn free(&self) -> Resources {
        if (self.tasks.iter()).any(|e| e.occupies_capacity() && e.spec.is_none()) {
            return Resources::default();
        }
        let mut free = self.capacity;
        for entry in self.tasks.iter().filter(|e| e.occupies_capacity()) {
            free -= entry.need;
        }
        free
    }

    /// The entry of a task's attempt.
    pub fn task_mut(&mut self, task: &TaskId, attempt: Attempt) -> Option<&mut PlacedTask> {
        self.tasks
            .iter_mut()
            .find(|e| e.attempt == attempt && e.task == *task)
    }

    /// Whether it is up and its contents are known under this epoch.
    pub fn is_reconciled(&self, epoch: Epoch) -> bool {
        self.last_heard_at.is_some() && self.acknowledged_epoch == epoch
    }

    /// Takes in a report. Old ones change nothing.
    pub fn apply_report(&mut self, report: &StatusReport, epoch: Epoch, now: Time) -> Vec<Change> {
        if (report.incarnation, report.seq) <= self.last_message {
            log::debug!("an old report of {} changes nothing", self.id);
            return Vec::new();
        }
        let renewed =
            report.incarnation > self.last_message.0 && self.last_message.0 != Incarnation(0);
        if report.token > self.acknowledged_epoch {
            self.call_answered();
        } else if renewed && self.last_answered_at.is_some() {
            // Its lease ran out although it was answered: perhaps nothing reaches it. Until it
            // has answered a call it gets nothing new.
            self.call_unanswered(now);
        }
        self.last_message = (report.incarnation, report.seq);
        self.acknowledged_epoch = report.token;
        self.addr = Some(report.addr.clone());
        self.last_heard_at = Some(now);
        self.reclaim_at = report.notice_s.map(|s| now + Span::secs(s));
        let mut changes = Vec::new();
        self.tasks.retain_mut(|entry| {
            let told =
                (report.tasks.iter()).find(|t| t.attempt == entry.attempt && t.task == entry.task);
            match told {
                Some(told) => {
                    entry.reconcile_report(told, now, &mut changes);
                    true
                }
                None => entry.apply_omission(report, epoch, now, &mut changes),
            }
        });
        for told in &report.tasks {
            if !(self.tasks.iter()).any(|e| e.attempt == told.attempt && e.task == told.task) {
                changes.push(Change::Foreign(told.clone()));
            }
        }
        changes
    }

    /// Its worker has answered a call, or shown that it got an answer.
    pub fn call_answered(&mut self) {
        self.unanswered_calls = 0;
        self.unreachable_since = None;
    }

    /// Its worker has left a call unanswered.
    pub fn call_unanswered(&mut self, now: Time) {
        self.unanswered_calls += 1;
        self.unreachable_since.get_or_insert(now);
    }

    /// Whether nobody can have answered its worker for so long that everything on it is gone.
    /// `old_leaders_fenced_at`: since when no older leader can have answered; none while that is not known.
    pub fn is_lease_expired(
        &self,
        now: Time,
        lease: Span,
        old_leaders_fenced_at: Option<Time>,
    ) -> bool {
        let margin = Span(500);
        old_leaders_fenced_at.is_some_and(|old_leaders_fenced_at| {
            let heard = self.last_heard_at.unwrap_or(old_leaders_fenced_at);
            let last = self
                .last_answered_at
                .unwrap_or(old_leaders_fenced_at)
                .max(heard)
                .max(old_leaders_fenced_at);
            now > last + lease.with_drift() + margin
        })
    }

    /// Whether a segment names it, committed or not.
    pub fn is_named_in_log(&self) -> bool {
        self.segment != SegmentId::NONE || self.pending_segment != SegmentId::NONE
    }

    /// A segment of the placement log is committed. Returns whether it records any task for the first time.
    pub fn segment_committed(&mut self, segment: SegmentId) -> bool {
        if self.pending_segment == segment {
            (self.segment, self.pending_segment) = (segment, SegmentId::NONE);
        }
        let mut first_recorded = false;
        for task in (self.tasks.iter_mut()).filter(|t| t.pending_segment == segment) {
            first_recorded |= !task.is_recorded();
            (task.segment, task.pending_segment) = (segment, SegmentId::NONE);
        }
        first_recorded
    }

    /// A segment of the placement log will never be written: what it names waits for another one.
    pub fn segment_rejected(&mut self, segment: SegmentId) {
        if self.pending_segment == segment {
            self.pending_segment = SegmentId::NONE;
        }
        for task in (self.tasks.iter_mut()).filter(|t| t.pending_segment == segment) {
            task.pending_segment = SegmentId::NONE;
        }
    }

    /// Lets the agent forget completed tasks, of those that `is_recorded` says are recorded as done: only now
    /// nobody needs its reports of them any more.
    pub fn mark_recorded_outcomes(&mut self, is_recorded: impl Fn(&TaskId) -> bool) {
        for task in self.tasks.iter_mut().filter(|t| !t.outcome_recorded) {
            if task.phase == Phase::Exited(Cause::Done) {
                task.outcome_recorded = is_recorded(&task.task);
            }
        }
    }

    /// Everything on it is surely gone. Returns what was there.
    pub fn take_tasks(&mut self) -> Vec<(TaskId, Attempt)> {
        let gone = self.tasks.drain(..).filter(PlacedTask::occupies_capacity);
        gone.map(|e| (e.task, e.attempt)).collect()
    }
}

impl PlacedTask {
    fn reconcile_report(&mut self, told: &TaskStatus, now: Time, changes: &mut Vec<Change>) {
        self.missing_since = None;
        if matches!(self.phase, Phase::Exited(_)) {
            return;
        }
        if told.state == TaskState::Exited {
            let why = told.why.unwrap_or(Cause::Error);
            let ran = self.running_since.map(|since| now - since);
            self.phase = Phase::Exited(why);
            changes.push(Change::Exited(self.task.clone(), self.attempt, why, ran));
            return;
        }
        if told.state == TaskState::Running && self.running_since.is_none() {
            self.running_since = Some(now);
            changes.push(Change::Started(self.task.clone(), self.attempt));
        }
        self.phase = Phase::On(told.state);
    }

    /// The newest report omits it. Returns whether it may still be there, or come.
    fn apply_omission(
        &mut self,
        report: &StatusReport,
        epoch: Epoch,
        now: Time,
        changes: &mut Vec<Change>,
    ) -> bool {
        if self.phase == Phase::Planned {
            return true;
        }
        let later_session = report.incarnation > self.start_sent.1;
        let later_epoch = report.token == epoch && report.token > self.start_sent.0;
        if later_session || later_epoch {
            if self.occupies_capacity() {
                changes.push(Change::Gone(self.task.clone(), self.attempt));
            }
            return false;
        }
        if matches!(self.phase, Phase::Exited(_)) {
            // It was forgotten as told. Nothing is under way, or it would not have been told to.
            return !self.may_forget();
        }
        self.missing_since.get_or_insert(now);
        true
    }
}

#[cfg(test)]
mod tests;

//! What a leader concludes from workers' reports, and from what is gone.

use crate::cache::job_cache::JobCache;
use crate::fleet::machine::{Change, Machine, Phase, PlacedTask, Stop};
use crate::fleet::DIRECT_CALLS_PER_S;
use crate::jobs::job::is_non_preemptible;
use crate::leader::Leader;
use crate::store::records::SegmentId;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{Attempt, Incarnation, JobId, MachineId, TaskId};
use rudderreel_wire::job::Kind;
use rudderreel_wire::worker::{Cause, Command, StatusReport, TaskState, TaskStatus};

/// And one more for so many machines: a zone that comes back has hundreds of starts waiting, and
/// workers of a large fleet report less often.
const DIRECT_PER: f64 = 10.0;
/// So many calls in a row without an answer, over so long, show that no worker can be reached.
const UNREACHED_CALLS: u32 = 3;
const UNREACHED: Span = Span(3_000);

impl Leader {
    /// Takes a worker's report in and decides its answer: commands, or none if it must not be
    /// answered.
    pub fn answer_report(
        &mut self,
        report: &StatusReport,
        job_cache: &JobCache,
        now: Now,
    ) -> Option<Vec<Command>> {
        if report.token > self.term.epoch() || self.fleet.returned.contains_key(&report.machine) {
            // A higher token: another node leads. A machine that was returned is gone, so this is
            // a late copy; to answer it would help nobody.
            log::debug!("a report of {} is refused", report.machine);
            return None;
        }
        self.reconcile_report(report, now);
        let newest = (report.incarnation, report.seq);
        let machine = match self.fleet.machines.get_mut(&report.machine) {
            Some(machine) if self.recovery.is_complete => machine,
            _ => return Some(job_cache.stops_for_cancelled_tasks(report)),
        };
        machine.last_answered_at = Some(now.time);
        if machine.last_message != newest {
            // It renews the worker's lease all the same, so it carries what must not go on.
            return Some(job_cache.stops_for_cancelled_tasks(report));
        }
        let id = machine.id.clone();
        Some(self.commands(&id, now.time, false))
    }

    /// A worker has answered a direct call.
    pub fn direct_call_answered(&mut self, report: &StatusReport, now: Now) {
        self.fleet.last_direct_answer_at = now.time;
        self.fleet.unanswered_calls = 0;
        self.reconcile_report(report, now);
        if let Some(machine) = self.fleet.machines.get_mut(&report.machine) {
            machine.call_answered();
        }
    }

    /// Whether another direct call may be made now.
    pub fn may_call_directly(&mut self, now: Time) -> bool {
        let rate = DIRECT_CALLS_PER_S + self.fleet.machines.len() as f64 / DIRECT_PER;
        let rate = self.processor_share.slowed(rate);
        let more = (now - self.fleet.direct_calls_counted_at).as_secs() * rate;
        self.fleet.direct_calls_left = (self.fleet.direct_calls_left + more).min(rate);
        self.fleet.direct_calls_counted_at = now;
        self.fleet.direct_calls_left >= 1.0
    }

    /// Whether no worker has answered a direct call for a while, although several were called.
    pub fn reaches_no_agent(&self, now: Time) -> bool {
        self.fleet.unanswered_calls >= UNREACHED_CALLS
            && now - self.fleet.last_direct_answer_at > UNREACHED
    }

    /// Whether a machine waits for the start of work that can't wait.
    pub fn is_urgent(&self, machine: &Machine) -> bool {
        let firm = |e: &&PlacedTask| e.spec.as_ref().is_some_and(|s| is_non_preemptible(s));
        (machine.tasks.iter().filter(|e| e.phase == Phase::Planned)).any(|e| firm(&e))
    }

    /// Takes in a worker's report.
    pub fn reconcile_report(&mut self, report: &StatusReport, now: Now) {
        if self.fleet.returned.contains_key(&report.machine) {
            return;
        }
        if !self.recovery.is_complete {
            let newer = (self.recovery.early_reports.get(&report.machine))
                .is_none_or(|e| (e.incarnation, e.seq) < (report.incarnation, report.seq));
            if newer {
                self.recovery
                    .early_reports
                    .insert(report.machine.clone(), report.clone());
            }
            return;
        }
        if !self.fleet.machines.contains_key(&report.machine) {
            let known = self.policy.machine_type(&report.machine_type).is_some();
            let of = if known {
                ""
            } else {
                " of a type that the catalog lacks"
            };
            log::info!("{} reports, unexpected{of}", report.machine);
        }
        let room = self.policy.capacity_of(&report.machine_type);
        let epoch = self.term.epoch();
        let machine = (self.fleet.machines.entry(report.machine.clone())).or_insert_with(|| {
            let (t, z) = (report.machine_type.clone(), report.zone.clone());
            Machine::new(report.machine.clone(), t, z, report.spot, room, now.wall)
        });
        let was_known = machine.is_reconciled(epoch);
        let changes = machine.apply_report(report, epoch, now.time);
        let newest = machine.last_message == (report.incarnation, report.seq);
        let same = machine.last_task_list.0 .0 == report.incarnation
            && *machine.last_task_list.1 == *report.tasks;
        if newest && !same {
            machine.last_task_list = (machine.last_message, report.tasks.as_slice().into());
        }
        if machine.segment == SegmentId::NONE {
            self.placement_log.mark_unrecorded();
        }
        let became_known = !was_known && machine.is_reconciled(epoch);
        let release = report.token;
        for entry in machine.tasks.iter_mut().filter(|e| e.start_may_arrive_late) {
            // A start sent under an older epoch is refused from now on.
            if release > entry.start_sent.0 {
                entry.start_may_arrive_late = false;
            }
        }
        stop_unknown(machine, now.time);
        for change in changes {
            self.apply_task_change(&report.machine, change, now);
        }
        if became_known {
            self.request_cycle(now.time);
        }
    }

    pub(crate) fn apply_task_change(&mut self, machine: &MachineId, change: Change, now: Now) {
        match change {
            Change::Started(task, _) => {
                let image = self.jobs.get(&task.job).map(|j| j.spec.image.clone());
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.has_started = true;
                    let waited = Span(now.wall.0.saturating_sub(job.waiting_since().0));
                    let class = job.spec.class.clone();
                    let s = waited.as_secs();
                    log::debug!("{task} of {class} runs on {machine}, {s} s after it was ready");
                    self.metrics.record_start_wait(class, waited);
                }
                self.metrics.count("started");
                if let (Some(image), Some(m)) = (image, self.fleet.machines.get_mut(machine)) {
                    m.cached_images.insert(image);
                }
            }
            Change::Exited(task, attempt, why, ran) => {
                self.task_exited(machine, &task, attempt, why, ran, now)
            }
            Change::Gone(task, attempt) => {
                log::info!("{task} attempt {attempt} is gone from {machine}");
                self.task_lost(machine, &task, attempt, now);
            }
            Change::Foreign(told) => self.adopt_unknown_task(machine, told, now),
        }
    }

    pub(crate) fn task_exited(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        why: Cause,
        ran: Option<Span>,
        now: Now,
    ) {
        log::debug!("{task} attempt {attempt} exited on {machine}: {why:?}");
        let stop = (self.fleet.machines.get_mut(machine))
            .and_then(|m| m.task_mut(task, attempt))
            .and_then(|e| e.stop);
        match stop {
            Some(stop) => self.metrics.record_stop(now.wall, task, machine, stop.why),
            None => self
                .metrics
                .count(if why == Cause::Done { "done" } else { "failed" }),
        }
        self.request_cycle(now.time);
        if let Some(m) = self.fleet.machines.get_mut(machine) {
            if why == Cause::NoRoom {
                m.quarantined_until = m.quarantined_until.max(now.time + Span(1_000));
            }
            if why != Cause::Done {
                if let Some(entry) = m.task_mut(task, attempt) {
                    entry.outcome_recorded = true;
                }
            }
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            self.mark_outcome_recorded(machine, task, attempt);
            return;
        };
        job.unplace(task.index, machine, attempt);
        let over = !job.is_active();
        match why {
            Cause::Done => {
                job.has_started = true;
                job.has_unrecorded_progress = true;
                job.longest_run_s = job.longest_run_s.max(ran.unwrap_or_default().as_secs());
                if job.spec.kind == Kind::Gang {
                    (0..job.spec.tasks).for_each(|i| job.finish(i));
                } else {
                    job.finish(task.index);
                }
                if over {
                    // Its end is committed already.
                    self.mark_outcome_recorded(machine, task, attempt);
                }
                self.task_succeeded(machine, &task.job, now.time);
            }
            Cause::Error => {
                self.task_failed(machine, task, attempt, ran, now);
                self.stop_broken_gang(task, attempt, now.time);
            }
            Cause::Unknown => job.retry_at = now.time + Span(2_000),
            _ => self.stop_broken_gang(task, attempt, now.time),
        }
    }

    pub(crate) fn mark_outcome_recorded(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        attempt: Attempt,
    ) {
        let machine = self.fleet.machines.get_mut(machine);
        if let Some(entry) = machine.and_then(|m| m.task_mut(task, attempt)) {
            entry.outcome_recorded = true;
        }
    }

    pub(crate) fn task_lost(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        now: Now,
    ) {
        self.metrics
            .record_stop(now.wall, task, machine, "lost with its machine");
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.unplace(task.index, machine, attempt);
        }
        self.stop_broken_gang(task, attempt, now.time);
        self.request_cycle(now.time);
    }

    /// A gang that lost a task goes on only as a whole, with a new attempt.
    pub(crate) fn stop_broken_gang(&mut self, task: &TaskId, attempt: Attempt, now: Time) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        if job.spec.kind != Kind::Gang || job.is_complete() {
            return;
        }
        let grace_s = job.spec.save_s;
        for (id, a) in job
            .placements
            .values()
            .flatten()
            .cloned()
            .collect::<Vec<_>>()
        {
            if a == attempt {
                self.stop_attempt_on(&id, &task.job, a, grace_s, "gang is broken", now);
            }
        }
    }

    pub(crate) fn stop_attempt_on(
        &mut self,
        machine: &MachineId,
        job: &JobId,
        attempt: Attempt,
        grace_s: f64,
        why: &'static str,
        now: Time,
    ) {
        let Some(machine) = self.fleet.machines.get_mut(machine) else {
            return;
        };
        let mut dropped = Vec::new();
        machine.tasks.retain_mut(|e| {
            if e.task.job != *job || e.attempt != attempt || !e.occupies_capacity() {
                return true;
            }
            if e.phase == Phase::Planned {
                dropped.push(e.task.index);
                return false;
            }
            let stop = e.stop.get_or_insert(Stop {
                grace_s,
                since: now,
                why,
            });
            // One that saves is ended by a second stop without grace.
            stop.grace_s = stop.grace_s.min(grace_s);
            true
        });
        if let Some(job) = self.jobs.get_mut(job) {
            for index in dropped {
                job.unplace(index, &machine.id, attempt);
            }
        }
    }

    /// A task that is not in the placement log: a late start, or one whose record was dropped.
    pub(crate) fn adopt_unknown_task(&mut self, machine: &MachineId, told: TaskStatus, now: Now) {
        let spec = (self.jobs.get(&told.task.job)).map(|j| j.spec.clone());
        let mut entry = PlacedTask::planned(told.task.clone(), told.attempt, spec, now.time);
        let incarnation =
            (self.fleet.machines.get(machine)).map_or(Incarnation(0), |m| m.last_message.0);
        entry.start_sent = (self.term.epoch(), incarnation);
        if told.state == TaskState::Exited {
            entry.phase = Phase::Exited(told.why.unwrap_or(Cause::Error));
        } else {
            log::warn!(
                "{} attempt {} is on {machine} unasked",
                told.task,
                told.attempt
            );
            entry.phase = Phase::On(told.state);
            entry.stop = Some(Stop {
                grace_s: 0.0,
                since: now.time,
                why: "not in the placement log",
            });
            if let Some(job) = self.jobs.get_mut(&told.task.job) {
                job.place(told.task.index, machine, told.attempt);
            }
        }
        let exited = entry.phase;
        self.placement_log.mark_unrecorded();
        if let Some(m) = self.fleet.machines.get_mut(machine) {
            m.tasks.push(entry);
        }
        if let Phase::Exited(why) = exited {
            self.task_exited(machine, &told.task, told.attempt, why, None, now);
        }
    }
}

/// Stops what a report shows to be there of jobs that are not known: nothing else would end it.
fn stop_unknown(machine: &mut Machine, now: Time) {
    let there = |e: &&mut PlacedTask| matches!(e.phase, Phase::On(_)) && e.spec.is_none();
    for entry in machine.tasks.iter_mut().filter(there) {
        entry.stop.get_or_insert(Stop {
            grace_s: 0.0,
            since: now,
            why: "its job is not known",
        });
    }
}

#[cfg(test)]
mod tests;

//! Reconciles an agent's status report with the placements, and answers it.
//!
//! **In:** status reports, from agents directly, forwarded by other nodes, or as answers to direct calls.
//! **Out:** the answer, or none. An answer renews the agent's lease, so only a leader whose term allows it answers,
//! and each answer carries the stops of tasks that must not keep running.
//!
//! Until a new leader has recovered its state it holds the reports and reconciles them afterwards: before that, a task
//! that it has not read back yet would be taken for an unknown one and stopped.

use crate::cache::job_cache::JobCache;
use crate::fleet::{
    Machine, MachineDescription, MessageOrder, Phase, Stop, StopReason, TaskChange,
};
use crate::leader::Leader;
use crate::store::records::SegmentId;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{FencingToken, MachineId, TaskId};
use rudderreel_wire::worker::{Command, StatusReport, StatusReportReply};

/// Counter of tasks that were seen running for the first time.
const STARTED_COUNTER: &str = "started";

impl Leader {
    /// Reconciles an agent's report and returns its answer, or none if it must not be answered.
    pub fn answer_report(
        &mut self,
        report: &StatusReport,
        job_cache: &JobCache,
        now: Now,
    ) -> Option<StatusReportReply> {
        if report.token > self.term.tokens().last || self.fleet.is_returned(&report.machine) {
            // With a token of a later epoch another node leads. A machine that was returned is gone, so this is a late
            // copy, and an answer to it would have no use.
            log::debug!(
                "report refused machine={} token={}",
                report.machine,
                report.token
            );
            return None;
        }
        self.reconcile_report(report, now);
        let commands = self.commands_for_report(report, job_cache, now);
        let token = self.token_of_answer(report);
        Some(StatusReportReply { token, commands })
    }

    /// Returns the commands of the answer to a report.
    fn commands_for_report(
        &mut self,
        report: &StatusReport,
        job_cache: &JobCache,
        now: Now,
    ) -> Vec<Command> {
        let machine = match self.fleet.machines.get_mut(&report.machine) {
            Some(machine) if self.recovery.is_complete() => machine,
            _ => return job_cache.stops_for_cancelled_tasks(report),
        };
        machine.last_answered_at = Some(now.time);
        if machine.last_message != MessageOrder::of(report) {
            // The answer renews the agent's lease all the same, so it carries the stops of tasks that must not keep
            // running.
            return job_cache.stops_for_cancelled_tasks(report);
        }
        let mut commands = self.answer_commands(&report.machine, now.time);
        job_cache.add_stops_for_cancelled_tasks(report, &mut commands);
        commands
    }

    /// Returns the fencing token of the answer to a report. The agent may have seen a higher one than the leader has
    /// given it, from a node that stood in for the leader.
    fn token_of_answer(&self, report: &StatusReport) -> FencingToken {
        let tokens = self.term.tokens();
        let machine = self.fleet.machines.get(&report.machine);
        let token = machine.map_or(tokens.first, |machine| machine.command_token(tokens));
        token.max(report.token)
    }

    /// Records that an agent has answered a direct call, and reconciles the report in its answer.
    pub fn direct_call_answered(&mut self, report: &StatusReport, now: Now) {
        self.fleet.reachability.call_answered(now.time);
        self.reconcile_report(report, now);
        if let Some(machine) = self.fleet.machines.get_mut(&report.machine) {
            machine.call_answered();
        }
    }

    /// Reconciles a report with the placements, according to the tasks that it shows to be gone, to have exited, to
    /// run, or to be on the machine without having been placed there.
    pub fn reconcile_report(&mut self, report: &StatusReport, now: Now) {
        if self.fleet.is_returned(&report.machine) {
            return;
        }
        if !self.recovery.is_complete() {
            return self.recovery.hold_report(report);
        }
        let tokens = self.term.tokens();
        let machine = self.machine_of_report(report, now);
        let was_reconciled = machine.is_reconciled(tokens);
        let changes = machine.apply_report(report, tokens, now.time);
        machine.remember_reported_tasks(report);
        stop_tasks_of_unknown_jobs(machine, now.time);
        let became_reconciled = !was_reconciled && machine.is_reconciled(tokens);
        if machine.segment == SegmentId::NONE {
            self.placement_log.mark_unrecorded();
        }
        for change in changes {
            self.apply_task_change(&report.machine, change, now);
        }
        if became_reconciled {
            self.request_cycle(now.time);
        }
    }

    /// Returns the machine that a report is from. A machine that was not known is added.
    fn machine_of_report(&mut self, report: &StatusReport, now: Now) -> &mut Machine {
        if !self.fleet.machines.contains_key(&report.machine) {
            let type_is_known = self.policy.machine_type(&report.machine_type).is_some();
            log::info!(
                "unexpected machine reports machine={} type={} type_is_known={type_is_known}",
                report.machine,
                report.machine_type
            );
        }
        let capacity = self.policy.capacity_of(&report.machine_type);
        (self.fleet.machines.entry(report.machine.clone())).or_insert_with(|| {
            Machine::new(MachineDescription {
                id: report.machine.clone(),
                machine_type: report.machine_type.clone(),
                zone: report.zone.clone(),
                is_spot: report.spot,
                capacity,
                known_since: now.wall,
            })
        })
    }

    fn apply_task_change(&mut self, machine: &MachineId, change: TaskChange, now: Now) {
        match change {
            TaskChange::Started(task) => self.task_started(machine, &task, now),
            TaskChange::Exited(exit) => self.task_exited(machine, &exit, now),
            TaskChange::Lost(task, attempt) => {
                log::info!(
                    "task lost job={} task={task} attempt={attempt} machine={machine}",
                    task.job
                );
                self.task_lost(machine, &task, attempt, now);
            }
            TaskChange::Unknown(status) => self.adopt_unknown_task(machine, status, now),
            TaskChange::Reappeared(status) => self.task_reappeared(machine, &status),
        }
    }

    /// Records that a task was seen running for the first time: its image is in the machine's cache from now on.
    fn task_started(&mut self, machine: &MachineId, task: &TaskId, now: Now) {
        self.metrics.count(STARTED_COUNTER);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.has_started = true;
        let waited = Span(now.wall.0.saturating_sub(job.waiting_since().0));
        let class = job.spec.class.clone();
        log::debug!(
            "task runs job={} task={task} machine={machine} class={class} waited_s={}",
            task.job,
            waited.as_secs()
        );
        self.metrics.record_start_wait(class, waited);
        if let Some(machine) = self.fleet.machines.get_mut(machine) {
            machine.cached_images.insert(job.spec.image.clone());
        }
    }
}

/// Stops the tasks that a report shows on the machine and whose jobs are not known: nothing else would end them.
fn stop_tasks_of_unknown_jobs(machine: &mut Machine, now: Time) {
    for task in &mut machine.tasks {
        if matches!(task.phase, Phase::On(_)) && task.spec.is_none() {
            (task.stop).get_or_insert(Stop::without_grace(StopReason::JobUnknown, now));
        }
    }
}

#[cfg(test)]
mod tests;

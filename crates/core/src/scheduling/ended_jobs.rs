//! Stops the remaining tasks of cancelled and finished jobs within the time that the platform allows (`cancel_s` in
//! the settings).
//!
//! A stop command is sent to each machine that may hold such a task. Where the command cannot succeed in time, the
//! machine is returned to the cloud, which ends everything on it; [`CancelledTaskDeadline`] decides when.

use crate::fleet::{Machine, RetireReason, Stop, StopReason};
use crate::jobs::job::{Job, JobStage};
use crate::leader::Leader;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{Attempt, JobId, MachineId};

/// Time by which a machine that still holds a task of a cancelled job is returned before the task must be gone.
const RETURN_LEAD_TIME: Span = Span(8_000);
/// Lead time that applies to a leader that has not yet led for long enough to receive reports from all machines.
const NEW_LEADER_RETURN_LEAD_TIME: Span = Span(RETURN_LEAD_TIME.0 / 2);
/// Number of report intervals after which a new leader may return machines from which it has received no report.
const NEW_LEADER_REPORT_INTERVALS: u64 = 2;
/// Number of consecutive unanswered calls above which stop commands may not reach a machine.
const MAX_UNANSWERED_CALLS: u32 = 1;

/// The inputs that decide when a machine that may hold a task of a cancelled job must be returned.
#[derive(Clone, Copy, Debug)]
struct CancelledTaskDeadline {
    /// Time since the job was cancelled.
    cancelled_for: Span,
    /// Time since this leader was elected.
    led_for: Span,
    /// Time after the cancellation by which the job's tasks must be gone.
    cancel_deadline: Span,
    /// Interval between status reports.
    report_interval: Span,
    /// Time without a status report after which a machine counts as silent.
    heartbeat_timeout: Span,
}

impl CancelledTaskDeadline {
    /// Returns whether the machine must be returned now.
    ///
    /// A machine that cannot be reached is returned early, because calls to the cloud may also fail for a while. The
    /// state that a new leader has recovered may be long out of date, and the machine may hold many other tasks, so a
    /// new leader waits for status reports first.
    fn requires_return(&self, machine: &Machine, now: Time) -> bool {
        let is_past_heartbeat_timeout = self.led_for > self.heartbeat_timeout;
        let is_past_half = self.cancelled_for > Span(self.cancel_deadline.0 / 2);
        let must_return_unreachable =
            is_past_heartbeat_timeout && is_past_half && self.is_unreachable(machine, now);
        let must_return_before_deadline =
            is_past_heartbeat_timeout && self.is_due_within(RETURN_LEAD_TIME);
        let is_past_report_intervals =
            self.led_for > Span(self.report_interval.0 * NEW_LEADER_REPORT_INTERVALS);
        // A task that had to be gone before this leader was elected was handled by the previous leader; the placement
        // log may still name it. Agents whose node has ended take a while to find another node.
        let is_stale = self.cancelled_for > self.cancel_deadline + self.led_for;
        let must_return_as_new_leader = is_past_report_intervals
            && !is_stale
            && self.is_due_within(NEW_LEADER_RETURN_LEAD_TIME);
        must_return_unreachable || must_return_before_deadline || must_return_as_new_leader
    }

    /// Returns whether less than `lead_time` is left until the task must be gone.
    fn is_due_within(&self, lead_time: Span) -> bool {
        self.cancelled_for + lead_time > self.cancel_deadline
    }

    /// Returns whether a stop command may not arrive. A machine that sends reports but leaves calls unanswered may
    /// never receive the command either.
    fn is_unreachable(&self, machine: &Machine, now: Time) -> bool {
        let is_silent = (machine.last_heard_at).is_none_or(|at| now - at > self.heartbeat_timeout);
        is_silent || machine.unanswered_calls > MAX_UNANSWERED_CALLS
    }

    /// Returns the time until the machine would have to be returned.
    fn time_left(&self) -> Span {
        let used = self.cancelled_for + RETURN_LEAD_TIME;
        Span(self.cancel_deadline.0.saturating_sub(used.0))
    }
}

impl Leader {
    /// Stops the remaining tasks of cancelled and finished jobs, and removes jobs that have none left.
    pub fn stop_ended_jobs(&mut self, now: Now) {
        let ended: Vec<JobId> = (self.jobs.iter())
            .filter(|(_, job)| !job.is_active())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.placements.is_empty() && !job.completion_in_flight {
                self.jobs.remove(&id);
                continue;
            }
            let deadline = self.cancelled_task_deadline(job, now);
            for machine in self.stop_ended_job(&id, now.time) {
                self.return_if_required(&machine, deadline, now.time);
            }
        }
    }

    /// Stops every task that may remain of a cancelled or finished job. Returns the machines that may hold one.
    pub fn stop_ended_job(&mut self, id: &JobId, now: Time) -> Vec<MachineId> {
        let Some(job) = self.jobs.get(id).filter(|job| !job.is_active()) else {
            return Vec::new();
        };
        let placements: Vec<(MachineId, Attempt)> =
            job.placements.values().flatten().cloned().collect();
        let stop = Stop::without_grace(StopReason::JobCancelled, now);
        for (machine, attempt) in &placements {
            self.stop_attempt_on(machine, id, *attempt, stop);
        }
        placements.into_iter().map(|(machine, _)| machine).collect()
    }

    /// Returns the deadline for the tasks of an ended job. A finished job counts as cancelled just now, because its
    /// tasks end by themselves.
    fn cancelled_task_deadline(&self, job: &Job, now: Now) -> CancelledTaskDeadline {
        CancelledTaskDeadline {
            cancelled_for: match job.stage {
                JobStage::Cancelled(at) => at.until(now.wall),
                JobStage::Active | JobStage::Finished => Span(0),
            },
            led_for: now.time - self.term.elected_at(),
            cancel_deadline: self.agent_timings.cancel_deadline,
            report_interval: self.agent_timings.report_interval,
            heartbeat_timeout: self.silence_timeout(),
        }
    }

    /// Marks a machine to be returned if it may hold a cancelled task for too long. In a partitioned zone the expiry
    /// of the machine's lease ends the task; if the lease expires soon enough, the machine is kept for the other
    /// tasks that it holds.
    fn return_if_required(&mut self, id: &MachineId, deadline: CancelledTaskDeadline, now: Time) {
        let Some(machine) = self.fleet.machines.get_mut(id) else {
            return;
        };
        let lease_ends_task = self.fleet.partitioned_zones.contains(&machine.zone)
            && machine.is_lease_expired(
                now + deadline.time_left(),
                self.agent_timings.lease,
                self.term.old_leaders_fenced_at(),
            );
        if !lease_ends_task && deadline.requires_return(machine, now) {
            machine.retire(RetireReason::HoldsCancelledJob);
        }
    }
}

#[cfg(test)]
mod tests;

//! Stopping what is left of cancelled and finished jobs, within the time that the platform allows
//! (`cancel_s` of the settings).
//!
//! A stop command is sent to each machine that may hold a task. Where that can't succeed in time the machine is
//! returned to the cloud, which ends everything on it: [`CancelledTaskDeadline`] decides when.

use crate::fleet::{Machine, RetireReason, Stop, StopReason};
use crate::jobs::job::{Job, JobStage};
use crate::leader::Leader;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{Attempt, JobId, MachineId};

/// A machine that still holds a cancelled job's task is returned so long before that task must be gone.
const RETURN_LEAD_TIME: Span = Span(8_000);
/// The lead time of a leader that has not yet had time to hear all machines.
const NEW_LEADER_RETURN_LEAD_TIME: Span = Span(RETURN_LEAD_TIME.0 / 2);
/// After so many report intervals a new leader may act on machines that it has not heard.
const NEW_LEADER_REPORT_INTERVALS: u64 = 2;
/// Stop commands may be lost on a machine that has left more calls than this unanswered in a row.
const MAX_UNANSWERED_CALLS: u32 = 1;

/// When a machine that may hold a task of a cancelled job must be returned.
#[derive(Clone, Copy, Debug)]
struct CancelledTaskDeadline {
    /// How long ago the job was cancelled.
    cancelled_for: Span,
    /// For how long this leader has led.
    led_for: Span,
    /// How long a cancelled job's tasks may remain.
    cancel_deadline: Span,
    /// Interval of status reports.
    report_interval: Span,
    /// After so long without a status report a machine counts as silent.
    heartbeat_timeout: Span,
}

impl CancelledTaskDeadline {
    /// Whether the machine must be returned now.
    ///
    /// One that can't be reached is returned in good time, for calls to the cloud may fail for a while
    /// themselves. What a new leader has recovered may be long out of date, so it waits for status reports first:
    /// the machine may hold much else.
    fn requires_return(&self, machine: &Machine, now: Time) -> bool {
        let has_heard_fleet = self.led_for > self.heartbeat_timeout;
        let is_half_over = self.cancelled_for > Span(self.cancel_deadline.0 / 2);
        let early = has_heard_fleet && is_half_over && self.is_unreachable(machine, now);
        let last_moment = has_heard_fleet && self.is_within(RETURN_LEAD_TIME);
        let has_had_reports =
            self.led_for > Span(self.report_interval.0 * NEW_LEADER_REPORT_INTERVALS);
        // What had to be gone before this leader was elected was dealt with by the one before; the log may still
        // name it. An agent whose node has ended takes a while to find another.
        let is_stale = self.cancelled_for > self.cancel_deadline + self.led_for;
        let new_leaders_last_moment =
            has_had_reports && !is_stale && self.is_within(NEW_LEADER_RETURN_LEAD_TIME);
        early || last_moment || new_leaders_last_moment
    }

    /// Whether less than a lead time is left until the task must be gone.
    fn is_within(&self, lead_time: Span) -> bool {
        self.cancelled_for + lead_time > self.cancel_deadline
    }

    /// Whether a stop command may not arrive. A machine that is heard but leaves calls unanswered may never get
    /// it either.
    fn is_unreachable(&self, machine: &Machine, now: Time) -> bool {
        let is_silent = (machine.last_heard_at).is_none_or(|at| now - at > self.heartbeat_timeout);
        is_silent || machine.unanswered_calls > MAX_UNANSWERED_CALLS
    }

    /// Time until the machine would have to be returned.
    fn time_left(&self) -> Span {
        let used = self.cancelled_for + RETURN_LEAD_TIME;
        Span(self.cancel_deadline.0.saturating_sub(used.0))
    }
}

impl Leader {
    /// Stops what is left of cancelled and finished jobs, and forgets those of which nothing is left.
    pub fn stop_ended_jobs(&mut self, now: Now) {
        let ended: Vec<JobId> = (self.jobs.iter())
            .filter(|(_, job)| !job.is_active())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.placements.is_empty() && !job.completion_open {
                self.jobs.remove(&id);
                continue;
            }
            let deadline = self.cancelled_task_deadline(job, now);
            for machine in self.stop_ended_job(&id, now.time) {
                self.return_if_required(&machine, deadline, now.time);
            }
        }
    }

    /// Stops everything that may be left of a cancelled or finished job; returns the machines that may hold it.
    pub fn stop_ended_job(&mut self, id: &JobId, now: Time) -> Vec<MachineId> {
        let Some(job) = self.jobs.get(id).filter(|job| !job.is_active()) else {
            return Vec::new();
        };
        let places: Vec<(MachineId, Attempt)> =
            job.placements.values().flatten().cloned().collect();
        let stop = Stop::without_grace(StopReason::JobCancelled, now);
        for (machine, attempt) in &places {
            self.stop_attempt_on(machine, id, *attempt, stop);
        }
        places.into_iter().map(|(machine, _)| machine).collect()
    }

    /// A finished job counts as cancelled just now: its tasks end by themselves.
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

    /// Has a machine returned if it may hold a cancelled task for too long. In a partitioned zone the expiry of
    /// the machine's lease ends the task; if that is soon enough, the machine is kept for what else it holds.
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

//! Cancelled jobs: their replication between nodes, and the stop commands for their tasks.

use super::job_cache::JobCache;
use crate::io::json;
use crate::store::records::JobRecord;
use crate::units::Wall;
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::job::JobState;
use rudderreel_wire::peer::CancelledJob;
use rudderreel_wire::worker::{Command, StatusReport, StatusReportReply, TaskState, TaskStatus};
use std::collections::{BTreeMap, BTreeSet};

/// Cancelled jobs by the revision of their cancellation. One transaction may cancel several.
#[derive(Debug, Default)]
pub(super) struct CancellationIndex {
    by_version: BTreeMap<Version, BTreeSet<JobId>>,
}

impl CancellationIndex {
    pub(super) fn insert(&mut self, version: Version, id: JobId) {
        self.by_version.entry(version).or_default().insert(id);
    }
}

/// Cancellations after a revision, possibly not all of them.
#[derive(Default)]
pub struct LaterCancellations {
    /// The cancelled jobs, in the order of their revisions.
    pub jobs: Vec<CancelledJob>,
    /// The last revision that is included, if there are cancellations at later ones.
    pub cut_after: Option<Version>,
}

impl JobCache {
    /// Updates a job with a cancellation that another node reports. Such a report comes without the submission.
    pub fn update_cancelled(&mut self, cancelled: &CancelledJob) {
        let Ok(id) = cancelled.job.parse::<JobId>() else {
            return log::warn!(
                "invalid job id in a cancellation from a peer job={:.40}",
                cancelled.job
            );
        };
        let record = JobRecord {
            state: JobState::Cancelled,
            submitted: Wall(cancelled.submitted_ms),
            cancelled: Some(Wall(cancelled.cancelled_ms)),
            cancelled_by: None,
            finished: None,
            tasks: cancelled.tasks,
            names_dependencies: false,
            spec: self.job(&id).and_then(|known| known.record.spec.clone()),
        };
        self.update_job(id, cancelled.version, record);
    }

    /// Returns cancellations after a revision, at most `max_jobs` of them unless the first revision alone has more.
    /// Those of one revision are never split, since the node that receives them counts everything up to a revision as
    /// known.
    pub fn cancelled_after(&self, after: Version, max_jobs: usize) -> LaterCancellations {
        let mut later = LaterCancellations::default();
        let mut last_included = after;
        let following = Version(after.0 + 1)..;
        for (version, ids) in self.cancellations.by_version.range(following) {
            if !later.jobs.is_empty() && later.jobs.len() + ids.len() > max_jobs {
                later.cut_after = Some(last_included);
                break;
            }
            last_included = *version;
            let cancelled = ids.iter().filter_map(|id| self.cancellation(id, *version));
            later.jobs.extend(cancelled);
        }
        later
    }

    /// Returns a job's cancellation in the form in which it is sent to other nodes.
    pub fn cancellation(&self, id: &JobId, version: Version) -> Option<CancelledJob> {
        let record = &self.job(id)?.record;
        Some(CancelledJob {
            job: id.to_string(),
            version,
            cancelled_ms: record.cancelled.unwrap_or(record.submitted).0,
            submitted_ms: record.submitted.0,
            tasks: record.tasks,
        })
    }

    /// Returns stop commands for the tasks of cancelled jobs that a status report lists and that have not exited. Any
    /// node may give them, since a cancelled job remains cancelled. A node that answers agents in an outage, or that
    /// has not recovered the state, gives no other commands; without these it would keep such tasks alive for too
    /// long.
    pub fn stops_for_cancelled_tasks(&self, report: &StatusReport) -> Vec<Command> {
        let is_to_stop = |status: &&TaskStatus| {
            status.state != TaskState::Exited && self.is_cancelled(&status.task.job)
        };
        (report.tasks.iter())
            .filter(is_to_stop)
            .map(|status| Command::Stop {
                task: status.task.clone(),
                attempt: status.attempt,
                grace_s: 0.0,
            })
            .collect()
    }

    /// Adds to the commands of an answer the stops of all tasks of cancelled jobs that the report lists, in place of what
    /// the commands have for these tasks.
    pub fn add_stops_for_cancelled_tasks(
        &self,
        report: &StatusReport,
        commands: &mut Vec<Command>,
    ) {
        let mut stops = self.stops_for_cancelled_tasks(report);
        if stops.is_empty() {
            return;
        }
        commands.retain(|command| !stops.iter().any(|stop| stop.subject() == command.subject()));
        stops.append(commands);
        *commands = stops;
    }

    /// Returns the leader's answer to a status report, as JSON, as this node passes it on: without the starts of jobs
    /// that this node knows to be cancelled, and with the stops of their tasks. It may have told their users so since
    /// the leader answered.
    pub fn answer_to_pass_on(&self, report: &StatusReport, answer: String) -> String {
        let Ok(mut reply) = serde_json::from_str::<StatusReportReply>(&answer) else {
            return answer;
        };
        let is_cancelled_start = |command: &Command| match command {
            Command::Start { task, .. } => self.is_cancelled(&task.job),
            Command::Stop { .. } | Command::Forget { .. } => false,
        };
        let commands_of_leader = reply.commands.clone();
        (reply.commands).retain(|command| !is_cancelled_start(command));
        self.add_stops_for_cancelled_tasks(report, &mut reply.commands);
        if reply.commands == commands_of_leader {
            return answer;
        }
        json(&reply)
    }
}

#[cfg(test)]
mod tests;

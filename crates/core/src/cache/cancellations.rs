//! Cancelled jobs, as nodes make them known to one another and as agents have to stop them.

use super::job_cache::JobCache;
use crate::store::records::JobRecord;
use crate::units::Wall;
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::job::JobState;
use rudderreel_wire::peer::CancelledJob;
use rudderreel_wire::worker::{Command, StatusReport, TaskState, TaskStatus};
use std::collections::{BTreeMap, BTreeSet};

/// Cancelled jobs by the revisions that cancelled them. One transaction may cancel several.
#[derive(Debug, Default)]
pub(super) struct CancellationIndex {
    by_version: BTreeMap<Version, BTreeSet<JobId>>,
}

impl CancellationIndex {
    pub(super) fn insert(&mut self, version: Version, id: JobId) {
        self.by_version.entry(version).or_default().insert(id);
    }
}

/// Cancellations after some revision.
#[derive(Default)]
pub struct LaterCancellations {
    /// The jobs, by revision.
    pub jobs: Vec<CancelledJob>,
    /// The last revision that is included, if there are later ones.
    pub cut_after: Option<Version>,
}

impl JobCache {
    /// Takes over a cancellation that another node knows of. It comes without the submission.
    pub fn update_cancelled(&mut self, cancelled: &CancelledJob) {
        let Ok(id) = cancelled.job.parse::<JobId>() else {
            return log::warn!(
                "a peer names a cancelled job by an impossible id job={:.40}",
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

    /// Cancellations after a revision, about so many. Those of one revision are never parted: the node that gets them
    /// counts everything up to a revision as known.
    pub fn cancelled_after(&self, after: Version, most: usize) -> LaterCancellations {
        let mut later = LaterCancellations::default();
        let mut last_included = after;
        let following = Version(after.0 + 1)..;
        for (version, ids) in self.cancellations.by_version.range(following) {
            if !later.jobs.is_empty() && later.jobs.len() + ids.len() > most {
                later.cut_after = Some(last_included);
                break;
            }
            last_included = *version;
            let cancelled = ids.iter().filter_map(|id| self.cancellation(id, *version));
            later.jobs.extend(cancelled);
        }
        later
    }

    /// A cancellation, as it is made known to other nodes.
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

    /// Stop commands for what a status report lists of cancelled jobs. They hold whoever gives them, since a job that is
    /// cancelled remains so: a node that answers agents in an outage, or that has not recovered the state, gives no
    /// other commands, and would keep those tasks alive for too long.
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
}

#[cfg(test)]
mod tests;

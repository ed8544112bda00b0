//! This node's cache of jobs and of the leader's key, fed by one watch.
//!
//! What the cache says of a final state may be told at once. Anything else may be out of date
//! and is confirmed with the state service first (see `reads`).

use crate::dependencies::DependencyGraph;
use crate::io::Value;
use crate::records::{JobRecord, KnownRecord, LeaderRecord, ADMIN, CATALOG, JOBS, KNOWN, LEADER};
use crate::units::Wall;
use rudderreel_wire::admin::AdminSettings;
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::{JobId, NodeName, Version};
use rudderreel_wire::job::JobState;
use rudderreel_wire::peer::CancelledJob;
use rudderreel_wire::state::Event;
use rudderreel_wire::worker::{Command, Report, TaskState};
use std::collections::BTreeMap;

/// A cached job.
#[derive(Clone, Debug)]
pub struct KnownJob {
    /// The version of its key.
    pub version: Version,
    /// The record.
    pub record: JobRecord,
}

impl KnownJob {
    /// Jobs that this one names as its dependencies, as far as the submission is kept.
    pub fn dependencies(&self) -> &[JobId] {
        let spec = self.record.spec.as_ref();
        spec.map_or(&[], |spec| &spec.dependencies)
    }
}

/// The cache.
#[derive(Default)]
pub struct JobCache {
    /// Jobs by id.
    pub jobs: BTreeMap<JobId, KnownJob>,
    /// The leader's key, with its version.
    pub leader: Option<(Version, LeaderRecord)>,
    /// The newest revision at which the leader's key is known.
    pub leader_seen: Version,
    /// Machine types as a leader has kept them.
    pub catalog: Option<Catalog>,
    /// Operators' settings that have yet to be taken up.
    pub admin: Option<(Version, AdminSettings)>,
    /// Whether the first read is complete.
    pub complete: bool,
    /// Jobs that changed since the leader last looked.
    pub changed: Vec<JobId>,
    /// Which unfinished jobs need which others.
    pub graph: DependencyGraph,
    /// Cancelled jobs by the revisions that cancelled them.
    cancelled: BTreeMap<Version, JobId>,
    /// What other nodes have written about the cancellations that they know.
    pub known: BTreeMap<NodeName, KnownRecord>,
}

impl JobCache {
    /// Takes in a job's record if it is newer. A record never leaves a final state.
    pub fn learn_job(&mut self, id: JobId, version: Version, record: JobRecord) {
        if let Some(known) = self.jobs.get_mut(&id) {
            if known.version >= version {
                // A cancellation that a peer told of came without the submission.
                let lacks =
                    known.record.state == JobState::Cancelled && known.record.spec.is_none();
                if lacks && record.spec.is_some() {
                    known.record.spec = record.spec;
                    known.record.cancelled_by = record.cancelled_by;
                    self.changed.push(id);
                }
                return;
            }
        }
        let before = (self.jobs.get(&id)).and_then(|known| known.record.spec.clone());
        if record.state == JobState::Cancelled {
            self.cancelled.insert(version, id.clone());
        }
        self.changed.push(id.clone());
        self.jobs.insert(id.clone(), KnownJob { version, record });
        self.update_graph(&id, before);
    }

    /// Takes in a cancellation that another node knows of.
    pub fn learn_cancelled(&mut self, told: &CancelledJob) {
        let Ok(id) = told.job.parse::<JobId>() else {
            return log::warn!("a peer tells of a job that can't be: {:.40}", told.job);
        };
        let record = JobRecord {
            state: JobState::Cancelled,
            submitted: Wall(told.submitted_ms),
            cancelled: Some(Wall(told.cancelled_ms)),
            cancelled_by: None,
            finished: None,
            tasks: told.tasks,
            spec: (self.jobs.get(&id)).and_then(|known| known.record.spec.clone()),
        };
        self.learn_job(id, told.version, record);
    }

    /// Cancellations after a revision, at most so many.
    pub fn cancelled_after(&self, after: Version, most: usize) -> Vec<CancelledJob> {
        let later = self.cancelled.range(Version(after.0 + 1)..);
        (later.take(most))
            .filter_map(|(version, id)| self.cancellation(id, *version))
            .collect()
    }

    /// A cancellation, as it is told to other nodes.
    pub fn cancellation(&self, id: &JobId, version: Version) -> Option<CancelledJob> {
        let record = &self.jobs.get(id)?.record;
        Some(CancelledJob {
            job: id.to_string(),
            version,
            cancelled_ms: record.cancelled.unwrap_or(record.submitted).0,
            submitted_ms: record.submitted.0,
            tasks: record.tasks,
        })
    }

    /// Stops for what a report lists of cancelled jobs. They hold whoever gives them, since a job that
    /// is cancelled remains so: a node that answers workers in an outage, or that has not read back
    /// what runs where, gives no other commands, and would keep those tasks alive for too long.
    pub fn stops_of_cancelled(&self, report: &Report) -> Vec<Command> {
        let cancelled = |id: &JobId| {
            let known = self.jobs.get(id);
            known.is_some_and(|k| k.record.state == JobState::Cancelled)
        };
        (report.tasks.iter())
            .filter(|t| t.state != TaskState::Exited && cancelled(&t.task.job))
            .map(|t| Command::Stop {
                task: t.task.clone(),
                attempt: t.attempt,
                grace_s: 0.0,
            })
            .collect()
    }

    /// Takes in the leader's key as read at a revision.
    pub fn learn_leader(&mut self, revision: Version, record: Option<(Version, LeaderRecord)>) {
        if revision >= self.leader_seen {
            self.leader_seen = revision;
            self.leader = record;
        }
    }

    /// Takes in a key of the shared prefix.
    pub fn learn(&mut self, key: &str, version: Version, value: &Value) {
        if key == LEADER {
            match LeaderRecord::deserialize_from(value) {
                Some(record) => self.learn_leader(version, Some((version, record))),
                None => log::error!("unreadable leader record"),
            }
        } else if key == ADMIN {
            match serde_json::from_value(value.clone()) {
                Ok(settings) => self.admin = Some((version, settings)),
                Err(e) => log::error!("unreadable record {key}: {e}"),
            }
        } else if key == CATALOG {
            self.catalog = serde_json::from_value(value.clone()).ok();
        } else if let Some(node) = key.strip_prefix(KNOWN) {
            match serde_json::from_value(value.clone()) {
                Ok(record) => drop(self.known.insert(node.into(), record)),
                Err(e) => log::error!("unreadable record {key}: {e}"),
            }
        } else if let Some(id) = key.strip_prefix(JOBS).and_then(|id| id.parse().ok()) {
            match serde_json::from_value(value.clone()) {
                Ok(record) => self.learn_job(id, version, record),
                Err(e) => log::error!("unreadable record {key}: {e}"),
            }
        }
    }

    /// Takes in an event of the watch.
    pub fn learn_event(&mut self, event: &Event<Value>) {
        match event {
            Event::Put {
                key,
                value,
                version,
            } => self.learn(key, *version, value),
            Event::Delete { key, version } if key == LEADER => self.learn_leader(*version, None),
            Event::Delete { key, .. } => log::debug!("{key} was deleted"),
        }
    }
}

impl LeaderRecord {
    /// UserRequests a record, if it is one.
    pub fn deserialize_from(value: &Value) -> Option<Self> {
        serde_json::from_value(value.clone()).ok()
    }
}

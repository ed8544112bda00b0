//! This node's cache of jobs and of the leader's key, fed by one watch.
//!
//! What the cache says of a final state may be told at once. Anything else may be out of date
//! and is confirmed with the state service first (see `reads`).

use crate::cache::dependencies::DependencyGraph;
use crate::io::Value;
use crate::store::records::{
    JobRecord, LeaderKey, LeaderRecord, StoredLeader, WatermarkRecord, ADMIN_SETTINGS_KEY,
    CATALOG_KEY, GATED_CATALOG_KEY, JOB_PREFIX, WATERMARK_PREFIX,
};
use crate::units::Wall;
use rudderreel_wire::admin::AdminSettings;
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::{JobId, LeaseId, NodeName, Version};
use rudderreel_wire::job::JobState;
use rudderreel_wire::peer::CancelledJob;
use rudderreel_wire::state::Event;
use rudderreel_wire::worker::{Command, StatusReport, TaskState};
use std::collections::{BTreeMap, BTreeSet};

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

/// Cancellations after some revision.
#[derive(Default)]
pub struct LaterCancellations {
    /// The jobs, by revision.
    pub jobs: Vec<CancelledJob>,
    /// The last revision told of, if there are later ones.
    pub cut_after: Option<Version>,
}

/// A leader's key as it is known.
#[derive(Default)]
struct HeldKey {
    /// What it holds.
    leader: Option<StoredLeader>,
    /// The newest revision at which it is known.
    seen: Version,
}

/// The cache.
#[derive(Default)]
pub struct JobCache {
    /// Jobs by id.
    pub jobs: BTreeMap<JobId, KnownJob>,
    /// The leader's key that every version reads.
    common_leader: HeldKey,
    /// The leader's key behind the version gate.
    gated_leader: HeldKey,
    /// Machine types as a leader has kept them.
    pub catalog: Option<Catalog>,
    /// Whether they are where versions that know no dependencies read them.
    pub catalog_in_common_key: bool,
    /// Whether they are where only later versions read them (see `version_gate`).
    pub catalog_in_gated_key: bool,
    /// Whether a job was seen whose user named dependencies.
    pub dependencies_seen: bool,
    /// Operators' settings that have yet to be taken up.
    pub admin: Option<(Version, AdminSettings)>,
    /// Whether the first read is complete.
    pub is_complete: bool,
    /// Jobs that changed since the leader last looked.
    pub changed: Vec<JobId>,
    /// Which unfinished jobs need which others.
    pub graph: DependencyGraph,
    /// Cancelled jobs by the revisions that cancelled them. One transaction may cancel several.
    cancelled: BTreeMap<Version, BTreeSet<JobId>>,
    /// How often a record could not be read.
    pub unreadable: u64,
    /// What other nodes have written about the cancellations that they know.
    pub peer_watermarks: BTreeMap<NodeName, WatermarkRecord>,
}

impl JobCache {
    /// Takes in a job's record if it is newer. A record never leaves a final state.
    pub fn update_job(&mut self, id: JobId, version: Version, record: JobRecord) {
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
            self.cancelled
                .entry(version)
                .or_default()
                .insert(id.clone());
        }
        self.dependencies_seen |= record.names_dependencies;
        self.changed.push(id.clone());
        self.jobs.insert(id.clone(), KnownJob { version, record });
        self.update_graph(&id, before);
    }

    /// Takes in a cancellation that another node knows of.
    pub fn update_cancelled(&mut self, told: &CancelledJob) {
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
            names_dependencies: false,
            spec: (self.jobs.get(&id)).and_then(|known| known.record.spec.clone()),
        };
        self.update_job(id, told.version, record);
    }

    /// Cancellations after a revision, about so many: those of one revision are never parted, since who is
    /// told of them takes everything up to a revision for known.
    pub fn cancelled_after(&self, after: Version, most: usize) -> LaterCancellations {
        let mut later = LaterCancellations::default();
        let mut last = after;
        for (version, ids) in self.cancelled.range(Version(after.0 + 1)..) {
            if !later.jobs.is_empty() && later.jobs.len() + ids.len() > most {
                later.cut_after = Some(last);
                break;
            }
            last = *version;
            let told = ids.iter().filter_map(|id| self.cancellation(id, *version));
            later.jobs.extend(told);
        }
        later
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
    pub fn stops_for_cancelled_tasks(&self, report: &StatusReport) -> Vec<Command> {
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

    /// Which key leaders hold.
    pub fn leader_key(&self) -> LeaderKey {
        match self.superseded_leader() {
            Some(_) => LeaderKey::Gated,
            None => LeaderKey::Common,
        }
    }

    /// Who leads.
    pub fn leader(&self) -> Option<&LeaderRecord> {
        self.stored_leader().map(|leader| &leader.record)
    }

    /// Who leads, with the version of the key that it holds.
    pub fn stored_leader(&self) -> Option<&StoredLeader> {
        self.held_key(self.leader_key()).leader.as_ref()
    }

    /// What the common key holds, once leaders hold the gated one.
    pub fn superseded_leader(&self) -> Option<&StoredLeader> {
        let leader = self.common_leader.leader.as_ref();
        leader.filter(|leader| leader.record.superseded)
    }

    fn held_key(&self, key: LeaderKey) -> &HeldKey {
        match key {
            LeaderKey::Common => &self.common_leader,
            LeaderKey::Gated => &self.gated_leader,
        }
    }

    /// Takes over what a leader's key holds, as read at a revision.
    pub fn update_leader(
        &mut self,
        key: LeaderKey,
        revision: Version,
        leader: Option<StoredLeader>,
    ) {
        let held = match key {
            LeaderKey::Common => &mut self.common_leader,
            LeaderKey::Gated => &mut self.gated_leader,
        };
        if revision >= held.seen {
            held.seen = revision;
            held.leader = leader;
        }
    }

    /// Takes over what a leader's key holds, as it was read by itself, at a revision that is not known.
    pub fn update_leader_read(&mut self, key: LeaderKey, leader: Option<StoredLeader>) {
        let seen = self.held_key(key).seen;
        let revision = leader.as_ref().map_or(seen, |leader| leader.version);
        self.update_leader(key, revision, leader);
    }

    /// This node has moved its leader's key to the gated one, by a commit at a version.
    pub fn leader_key_moved(&mut self, version: Version, record: LeaderRecord) {
        let superseded = StoredLeader {
            version,
            record: record.tombstone(None),
        };
        let leader = StoredLeader { version, record };
        self.update_leader(LeaderKey::Common, version, Some(superseded));
        self.update_leader(LeaderKey::Gated, version, Some(leader));
    }

    /// A term of this node has ended: the leader's key is gone, or will be.
    pub fn forget_leader(&mut self, lease: LeaseId) {
        for held in [&mut self.common_leader, &mut self.gated_leader] {
            held.leader.take_if(|leader| leader.record.lease == lease);
        }
    }

    /// Whether the machine types are where only versions that know dependencies read them.
    pub fn is_catalog_moved(&self) -> bool {
        self.catalog_in_gated_key && !self.catalog_in_common_key
    }

    /// This node has moved the machine types there.
    pub fn catalog_moved(&mut self) {
        self.catalog_in_gated_key = true;
        self.catalog_in_common_key = false;
    }

    /// A record can't be read: perhaps a later version wrote it. What it says is not known here, and a
    /// task or a cancellation may hang on it.
    pub fn record_unreadable(&mut self, key: &str, why: &dyn std::fmt::Display) {
        self.unreadable += 1;
        log::error!("unreadable record {key}: {why}");
    }

    /// Takes in a key of the shared prefix.
    pub fn apply_item(&mut self, key: &str, version: Version, value: &Value) {
        if let Some(leader_key) = LeaderKey::of_name(key) {
            match LeaderRecord::deserialize_from(value) {
                Some(record) => {
                    let leader = StoredLeader { version, record };
                    self.update_leader(leader_key, version, Some(leader));
                }
                None => self.record_unreadable(key, &"no leader's record"),
            }
        } else if key == ADMIN_SETTINGS_KEY {
            match serde_json::from_value(value.clone()) {
                Ok(settings) => self.admin = Some((version, settings)),
                Err(e) => self.record_unreadable(key, &e),
            }
        } else if key == CATALOG_KEY {
            self.catalog = serde_json::from_value(value.clone()).ok();
            self.catalog_in_common_key = true;
        } else if key == GATED_CATALOG_KEY {
            // Null if they are too large to be stored.
            self.catalog = serde_json::from_value(value.clone()).ok();
            self.catalog_in_gated_key = true;
        } else if let Some(node) = key.strip_prefix(WATERMARK_PREFIX) {
            match serde_json::from_value(value.clone()) {
                Ok(record) => drop(self.peer_watermarks.insert(node.into(), record)),
                Err(e) => self.record_unreadable(key, &e),
            }
        } else if let Some(id) = key.strip_prefix(JOB_PREFIX).and_then(|id| id.parse().ok()) {
            match serde_json::from_value(value.clone()) {
                Ok(record) => self.update_job(id, version, record),
                Err(e) => self.record_unreadable(key, &e),
            }
        }
    }

    /// Takes in an event of the watch.
    pub fn apply_event(&mut self, event: &Event<Value>) {
        match event {
            Event::Put {
                key,
                value,
                version,
            } => self.apply_item(key, *version, value),
            Event::Delete { key, .. } if key == CATALOG_KEY => self.catalog_in_common_key = false,
            Event::Delete { key, version } => match LeaderKey::of_name(key) {
                Some(leader_key) => self.update_leader(leader_key, *version, None),
                None => log::debug!("{key} was deleted"),
            },
        }
    }
}

#[cfg(test)]
mod tests;

//! The jobs that this node knows, by id, with what else the watch brings.
//!
//! Records come from listings, from the watch, from reads of single keys and from peers, in any order: the newer version
//! wins. A record never leaves a final state.

use super::cancellations::CancellationIndex;
use super::dependencies::DependencyGraph;
use super::leader_keys::LeaderKeys;
use crate::store::confirmation::CacheConfirmation;
use crate::store::records::{JobRecord, WatermarkRecord};
use crate::units::Time;
use rudderreel_wire::admin::AdminSettings;
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::{JobId, NodeName, Version};
use rudderreel_wire::job::JobState;
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

    /// Whether it is a cancellation that a peer named, which came without the submission.
    fn is_cancelled_without_spec(&self) -> bool {
        self.record.state == JobState::Cancelled && self.record.spec.is_none()
    }
}

/// The cache.
#[derive(Default)]
pub struct JobCache {
    pub(super) jobs: BTreeMap<JobId, KnownJob>,
    /// Jobs that changed since they were last taken.
    changed: Vec<JobId>,
    pub(super) graph: DependencyGraph,
    pub(super) cancellations: CancellationIndex,
    pub(super) leader_keys: LeaderKeys,
    /// Whether all watched keys have been listed, and the watch has not lost its place since.
    is_complete: bool,
    confirmation: CacheConfirmation,
    /// Whether a job was seen whose user named dependencies.
    dependencies_seen: bool,
    /// Machine types as a leader has stored them, until they are taken.
    pub(super) catalog: Option<Catalog>,
    /// Whether they are where versions that know no dependencies read them.
    pub(super) catalog_in_common_key: bool,
    /// Whether they are where only later versions read them (see `leadership::version_gate`).
    pub(super) catalog_in_gated_key: bool,
    /// Operators' settings, until they are taken.
    pub(super) admin_settings: Option<(Version, AdminSettings)>,
    /// Cancellation watermarks that nodes have written, until they are taken.
    pub(super) written_watermarks: BTreeMap<NodeName, WatermarkRecord>,
    unreadable_records: u64,
}

impl JobCache {
    /// A job.
    pub fn job(&self, id: &JobId) -> Option<&KnownJob> {
        self.jobs.get(id)
    }

    /// Whether a job is known.
    pub fn contains_job(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// How many jobs are known.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Whether a job is known to be cancelled.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        let known = self.jobs.get(id);
        known.is_some_and(|known| known.record.state == JobState::Cancelled)
    }

    /// Whether a job is known to be done or cancelled.
    pub fn is_final(&self, id: &JobId) -> bool {
        (self.jobs.get(id)).is_some_and(|known| known.record.is_final())
    }

    /// Which unfinished jobs need which others.
    pub fn graph(&self) -> &DependencyGraph {
        &self.graph
    }

    /// Whether all watched keys have been listed, and the watch has not lost its place since.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// A listing of all watched keys has ended, or the watch has lost its place.
    pub fn set_complete(&mut self, is_complete: bool) {
        self.is_complete = is_complete;
        if !is_complete {
            self.confirmation.invalidate();
        }
    }

    /// Up to which revision the cache is complete, and when that was surely still the newest one.
    pub fn confirmation(&self) -> CacheConfirmation {
        self.confirmation
    }

    /// Every change up to a revision has been applied, as the answer to a call showed that was sent at a moment.
    pub fn confirm(&mut self, revision: Version, sent_at: Time) {
        if self.is_complete {
            self.confirmation.confirm(revision, sent_at);
        }
    }

    /// Jobs that changed since this was last called.
    pub fn take_changed_jobs(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// Machine types that a leader has stored, if they came since this was last called.
    pub fn take_catalog(&mut self) -> Option<Catalog> {
        self.catalog.take()
    }

    /// Operators' settings, with their version, if they came since this was last called.
    pub fn take_admin_settings(&mut self) -> Option<(Version, AdminSettings)> {
        self.admin_settings.take()
    }

    /// Cancellation watermarks that nodes have written since this was last called.
    pub fn take_written_watermarks(&mut self) -> BTreeMap<NodeName, WatermarkRecord> {
        std::mem::take(&mut self.written_watermarks)
    }

    /// How often a record could not be read.
    pub fn unreadable_records(&self) -> u64 {
        self.unreadable_records
    }

    /// A record can't be read: perhaps a later version wrote it. What it says is not known here, and a task or a
    /// cancellation may depend on it.
    pub fn count_unreadable_record(&mut self, key: &str, reason: &dyn std::fmt::Display) {
        self.unreadable_records += 1;
        log::error!("unreadable record key={key} reason={reason}");
    }

    /// Takes over a job's record if it is newer.
    pub fn update_job(&mut self, id: JobId, version: Version, record: JobRecord) {
        if let Some(known) = self.jobs.get_mut(&id) {
            if known.version >= version {
                if known.is_cancelled_without_spec() && record.spec.is_some() {
                    known.record.spec = record.spec;
                    known.record.cancelled_by = record.cancelled_by;
                    self.changed.push(id);
                }
                return;
            }
        }
        if record.state == JobState::Cancelled {
            self.cancellations.insert(version, id.clone());
        }
        self.dependencies_seen |= record.names_dependencies;
        self.changed.push(id.clone());
        let known = KnownJob { version, record };
        let previous = self.jobs.insert(id.clone(), known);
        self.update_graph(&id, previous.as_ref());
    }

    /// Whether jobs depend on others, now or earlier, as far as this node knows.
    pub fn dependencies_in_use(&self) -> bool {
        self.dependencies_seen || self.catalog_in_gated_key || self.superseded_leader().is_some()
    }

    /// Has the cache know that jobs depend on others.
    #[cfg(test)]
    pub fn set_dependencies_seen(&mut self) {
        self.dependencies_seen = true;
    }

    /// Whether the machine types are where only versions that know dependencies read them.
    pub fn is_catalog_moved(&self) -> bool {
        self.catalog_in_gated_key && !self.catalog_in_common_key
    }

    /// This node has moved the machine types there.
    pub fn record_catalog_move(&mut self) {
        self.catalog_in_gated_key = true;
        self.catalog_in_common_key = false;
    }
}

#[cfg(test)]
mod tests;

//! The jobs that this node knows, by id, and the values of the other watched keys.
//!
//! Records come from listings, from the watch, from reads of single keys and from peers, in any order: the newer
//! version wins. A job never leaves a final state.

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
    /// The version of the job's key.
    pub version: Version,
    /// The job's record.
    pub record: JobRecord,
}

impl KnownJob {
    /// Returns the jobs that this one names as its dependencies; none if its submission is not kept.
    pub fn dependencies(&self) -> &[JobId] {
        let spec = self.record.spec.as_ref();
        spec.map_or(&[], |spec| &spec.dependencies)
    }

    /// Returns whether this is a cancellation without the submission, as peers report it.
    fn is_cancelled_without_spec(&self) -> bool {
        self.record.state == JobState::Cancelled && self.record.spec.is_none()
    }
}

/// The cache of jobs and of the other watched keys.
#[derive(Default)]
pub struct JobCache {
    pub(super) jobs: BTreeMap<JobId, KnownJob>,
    /// Jobs that changed since the last call of `take_changed_jobs`.
    changed: Vec<JobId>,
    pub(super) graph: DependencyGraph,
    pub(super) cancellations: CancellationIndex,
    pub(super) leader_keys: LeaderKeys,
    /// Whether all watched keys have been listed and the watch has not been lost since.
    is_complete: bool,
    confirmation: CacheConfirmation,
    /// Whether the record of a job was seen whose user named dependencies.
    dependencies_seen: bool,
    /// Machine types that a leader has stored, until `take_catalog` takes them.
    pub(super) catalog: Option<Catalog>,
    /// Whether the machine types are stored in the key that every version reads.
    pub(super) catalog_in_common_key: bool,
    /// Whether the machine types are stored in the key that only versions with support for dependencies read (see
    /// `leadership::version_gate`).
    pub(super) catalog_in_gated_key: bool,
    /// Operators' settings with their version, until `take_admin_settings` takes them.
    pub(super) admin_settings: Option<(Version, AdminSettings)>,
    /// Cancellation watermarks that nodes have written, until `take_written_watermarks` takes them.
    pub(super) written_watermarks: BTreeMap<NodeName, WatermarkRecord>,
    unreadable_records: u64,
}

impl JobCache {
    /// Returns a job, if it is known.
    pub fn job(&self, id: &JobId) -> Option<&KnownJob> {
        self.jobs.get(id)
    }

    /// Returns whether a job is known.
    pub fn contains_job(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Returns the number of jobs that are known.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether a job is known to be cancelled.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        let known = self.jobs.get(id);
        known.is_some_and(|known| known.record.state == JobState::Cancelled)
    }

    /// Returns whether a job is known to be done or cancelled.
    pub fn is_final(&self, id: &JobId) -> bool {
        (self.jobs.get(id)).is_some_and(|known| known.record.is_final())
    }

    /// Returns the dependencies between unfinished jobs and others.
    pub fn graph(&self) -> &DependencyGraph {
        &self.graph
    }

    /// Returns whether all watched keys have been listed and the watch has not been lost since.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Records that a listing of all watched keys has ended, or that the watch has been lost, so that changes may have
    /// been missed.
    pub fn set_complete(&mut self, is_complete: bool) {
        self.is_complete = is_complete;
        if !is_complete {
            self.confirmation.invalidate();
        }
    }

    /// Returns the revision up to which the cache is complete, and a moment at which that was surely still the newest
    /// revision.
    pub fn confirmation(&self) -> CacheConfirmation {
        self.confirmation
    }

    /// Records that every change up to a revision has been applied, as shown by the answer to a call that was sent at
    /// `sent_at`. Has no effect while the cache is not complete.
    pub fn confirm(&mut self, revision: Version, sent_at: Time) {
        if self.is_complete {
            self.confirmation.confirm(revision, sent_at);
        }
    }

    /// Returns the jobs that changed since the last call.
    pub fn take_changed_jobs(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// Returns the machine types that a leader has stored, if they were received since the last call.
    pub fn take_catalog(&mut self) -> Option<Catalog> {
        self.catalog.take()
    }

    /// Returns the operators' settings with their version, if they were received since the last call.
    pub fn take_admin_settings(&mut self) -> Option<(Version, AdminSettings)> {
        self.admin_settings.take()
    }

    /// Returns the cancellation watermarks that nodes have written, of those received since the last call.
    pub fn take_written_watermarks(&mut self) -> BTreeMap<NodeName, WatermarkRecord> {
        std::mem::take(&mut self.written_watermarks)
    }

    /// Returns how often a record could not be read.
    pub fn unreadable_records(&self) -> u64 {
        self.unreadable_records
    }

    /// Counts and logs a record that can't be read, perhaps since a later version wrote it. Its contents are not known
    /// to this node, and a task or a cancellation may depend on them.
    pub fn count_unreadable_record(&mut self, key: &str, reason: &dyn std::fmt::Display) {
        self.unreadable_records += 1;
        log::error!("unreadable record key={key} reason={reason}");
    }

    /// Updates a job with a record if the record is newer. Any other record only completes a cancellation that came
    /// without the submission.
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

    /// Returns whether jobs depend on others, or did earlier, as far as this node knows.
    pub fn dependencies_in_use(&self) -> bool {
        self.dependencies_seen || self.catalog_in_gated_key || self.superseded_leader().is_some()
    }

    /// Marks dependencies as seen.
    #[cfg(test)]
    pub fn set_dependencies_seen(&mut self) {
        self.dependencies_seen = true;
    }

    /// Returns whether the machine types are stored only in the key that versions without support for dependencies
    /// don't read.
    pub fn is_catalog_moved(&self) -> bool {
        self.catalog_in_gated_key && !self.catalog_in_common_key
    }

    /// Records that this node has moved the machine types to the key that versions without support for dependencies
    /// don't read.
    pub fn record_catalog_move(&mut self) {
        self.catalog_in_gated_key = true;
        self.catalog_in_common_key = false;
    }
}

#[cfg(test)]
mod tests;

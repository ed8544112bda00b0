//! Linearizable reads of unfinished jobs: the cached state of a job is confirmed with the store before a user is
//! answered.
//!
//! Reads that arrive within a short time are confirmed together, by a commit that only compares versions and changes
//! nothing. If all versions are as cached, the cache was fresh at the moment of the commit. That moment lies after
//! the receipt of each read, since a batch holds only reads that were received before the batch was sent.
//!
//! All dependencies of a job that are not done, direct and transitive, are confirmed together with the job: if any of
//! them is cancelled, so is the job. A set that is too large for one transaction is confirmed in several. This is
//! sound because done and cancelled are final states: a job that was not cancelled at a later transaction was not
//! cancelled at an earlier one either.
//!
//! [`ConfirmationQueue`] owns the waiting reads and decides when batches may be sent; its budget is a fraction of the
//! node's calls to the store. The cost of reads therefore grows with the number of jobs that users ask about and with
//! time, but not with the number of requests. [`ConfirmationBatch`] is one set that is being confirmed.

use crate::api::user_requests::{PendingRequest, REQUEST_TIMEOUT};
use crate::cache::job_cache::JobCache;
use crate::store::records::{job_key, JOB_PREFIX};
use crate::store::transactions::condition;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::state::Condition;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Minimum time for which reads are collected before they are confirmed together.
const COLLECTION_TIME: Span = Span(15);
/// Fraction of a node's calls to the store that confirmations may use.
const CONFIRMATION_CALLS_FRACTION: f64 = 0.3;
/// Lower bound of the rate of confirmations, in calls per second.
const MIN_CALLS_PER_S: f64 = 0.1;
/// Maximum number of batches that are sent in one round. Reads that don't fit wait for the next round.
pub(crate) const MAX_BATCHES_PER_ROUND: usize = 2;
/// Lower bound of the limit on waiting reads, however few reads the limits of the store permit to confirm before they
/// are overdue.
const MIN_QUEUE_LIMIT: usize = 2_000;

/// The limits of the store that bound the confirmations of a node.
#[derive(Clone, Copy, Debug)]
pub struct ConfirmationBudget {
    /// Calls per second that this node may make for all purposes together.
    pub calls_per_s: f64,
    /// Maximum number of conditions of one transaction.
    pub max_conditions: usize,
}

/// The reads that wait to be confirmed, and the time from which the next batches may be sent.
#[derive(Default)]
pub struct ConfirmationQueue {
    reads: VecDeque<PendingRequest>,
    /// Start of the collection of the waiting reads; none if no read waits.
    collecting_since: Option<Time>,
    next_round_at: Time,
}

/// The error of a full queue. It returns the read, which was not queued.
#[derive(Debug)]
pub struct QueueFull(pub PendingRequest);

/// The reads that were taken from the queue for one batch.
#[derive(Default)]
pub struct NextBatch {
    /// The reads that no longer need a confirmation, in the order of the queue.
    pub settled: Vec<SettledRead>,
    /// The reads to be confirmed, if there are any.
    pub batch: Option<ConfirmationBatch>,
}

/// A read that no longer needs a confirmation.
#[derive(Debug)]
pub enum SettledRead {
    /// The read's job is final by now.
    Final(PendingRequest),
    /// The read has waited too long.
    Overdue(PendingRequest),
    /// This dependency of the read's job, direct or transitive, is cancelled.
    CancelledBy(PendingRequest, JobId),
}

/// A set of reads that are being confirmed together.
#[derive(Clone, Debug, Default)]
pub struct ConfirmationBatch {
    reads: Vec<PendingRequest>,
    /// The cached versions that must be fresh: those of the reads' jobs and of their unfinished dependencies.
    versions: BTreeMap<JobId, Version>,
    /// Number of versions, in the order of the map, that earlier transactions have compared.
    compared: usize,
    /// Number of versions that the transaction in flight compares.
    comparing: usize,
}

/// The progress of a batch after one of its transactions.
pub enum BatchProgress {
    /// Another transaction of the batch has to be sent.
    Unfinished(ConfirmationBatch),
    /// The batch is finished.
    Finished {
        /// The reads of the batch.
        reads: Vec<PendingRequest>,
        /// The versions that were confirmed as fresh.
        fresh: FreshVersions,
    },
}

/// The versions of jobs that a batch has confirmed as fresh.
#[derive(Debug)]
pub struct FreshVersions(BTreeMap<JobId, Version>);

/// The state of a job after the confirmation of its batch.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The job is not final, and none of its dependencies, direct or transitive, is cancelled.
    Fresh,
    /// The job does not exist.
    Missing,
    /// The job is final by now.
    Final,
    /// This dependency of the job, direct or transitive, is cancelled.
    CancelledBy(JobId),
    /// This job, which the answer depends on, has to be read again first.
    Stale(JobId),
}

impl ConfirmationBudget {
    /// Returns the number of confirmation rounds per second.
    fn rounds_per_s(self) -> f64 {
        (self.calls_per_s * CONFIRMATION_CALLS_FRACTION).max(MIN_CALLS_PER_S)
    }

    /// Returns how many reads may wait: as many as can be confirmed before they are overdue, but no fewer than
    /// [`MIN_QUEUE_LIMIT`].
    fn queue_limit(self) -> usize {
        let batches_per_s =
            self.calls_per_s * CONFIRMATION_CALLS_FRACTION * MAX_BATCHES_PER_ROUND as f64;
        let jobs = batches_per_s * self.max_conditions as f64 * REQUEST_TIMEOUT.as_secs();
        MIN_QUEUE_LIMIT.max(jobs as usize)
    }
}

impl ConfirmationQueue {
    /// Queues a read, to be confirmed soon together with others.
    pub fn push(
        &mut self,
        read: PendingRequest,
        budget: ConfirmationBudget,
        now: Time,
    ) -> Result<(), QueueFull> {
        if self.reads.len() >= budget.queue_limit() {
            return Err(QueueFull(read));
        }
        self.collecting_since.get_or_insert(now);
        self.reads.push_back(read);
        Ok(())
    }

    /// Returns whether a round of batches is due. If so, sets the earliest time of the next round.
    pub fn begin_round(&mut self, budget: ConfirmationBudget, now: Time) -> bool {
        let is_due = |since: Time| now >= self.next_round_at.max(since + COLLECTION_TIME);
        if !self.collecting_since.is_some_and(is_due) {
            return false;
        }
        self.next_round_at = now + Span::secs(1.0 / budget.rounds_per_s());
        true
    }

    /// Records that all batches of a round were taken. The collection of the reads that are left starts now.
    pub fn end_round(&mut self, now: Time) {
        self.collecting_since = (!self.reads.is_empty()).then_some(now);
    }

    /// Takes the reads that fit into one transaction from the queue, those that have waited longest first.
    pub fn next_batch(&mut self, jobs: &JobCache, max_conditions: usize, now: Time) -> NextBatch {
        let mut settled = Vec::new();
        let mut batch = ConfirmationBatch::default();
        while let Some(read) = self.reads.pop_front() {
            if jobs.is_final(read.job()) {
                settled.push(SettledRead::Final(read));
                continue;
            }
            if read.is_overdue(now) {
                settled.push(SettledRead::Overdue(read));
                continue;
            }
            let ancestry = jobs.ancestry_of(read.job());
            if let Some(dependency) = ancestry.cancelled {
                settled.push(SettledRead::CancelledBy(read, dependency));
                continue;
            }
            let mut versions = ancestry.unfinished;
            let known = jobs.job(read.job());
            let version = known.map_or(Version(0), |known| known.version);
            versions.insert(read.job().clone(), version);
            if !batch.has_room(&versions, max_conditions) {
                self.reads.push_front(read);
                break;
            }
            batch.add(read, versions);
        }
        let batch = (!batch.reads.is_empty()).then_some(batch);
        NextBatch { settled, batch }
    }
}

impl ConfirmationBatch {
    /// Returns whether a read's versions fit into the batch. The first read always fits: a set that is too large for
    /// one transaction is compared in several.
    fn has_room(&self, versions: &BTreeMap<JobId, Version>, max_conditions: usize) -> bool {
        let is_new = |id: &&JobId| !self.versions.contains_key(*id);
        let added = versions.keys().filter(is_new).count();
        self.reads.is_empty() || self.versions.len() + added <= max_conditions
    }

    fn add(&mut self, read: PendingRequest, versions: BTreeMap<JobId, Version>) {
        self.versions.extend(versions);
        self.reads.push(read);
    }

    /// Returns the conditions of the next transaction.
    pub fn next_conditions(&mut self, max_conditions: usize) -> Vec<Condition> {
        let left = self.versions.len() - self.compared;
        self.comparing = left.min(max_conditions);
        (self.versions.iter())
            .skip(self.compared)
            .take(self.comparing)
            .map(|(id, &version)| condition(job_key(id), version))
            .collect()
    }

    /// Returns the reads of a batch that was not compared.
    pub fn into_reads(self) -> Vec<PendingRequest> {
        self.reads
    }

    /// Records that a transaction of the batch was carried out, and which keys' conditions failed in it. Returns the
    /// progress of the batch.
    pub fn transaction_ended(mut self, failed_keys: &[String]) -> BatchProgress {
        self.compared += self.comparing;
        if failed_keys.is_empty() && self.compared < self.versions.len() {
            return BatchProgress::Unfinished(self);
        }
        let failed: BTreeSet<&str> = (failed_keys.iter())
            .filter_map(|key| key.strip_prefix(JOB_PREFIX))
            .collect();
        let fresh = (self.versions.into_iter())
            .take(self.compared)
            .filter(|(id, _)| !failed.contains(id.as_str()))
            .collect();
        BatchProgress::Finished {
            reads: self.reads,
            fresh: FreshVersions(fresh),
        }
    }
}

impl FreshVersions {
    /// Returns the state of a job. The cache may have received changes since the batch was taken; the result is the
    /// newest state that is known.
    pub fn read(&self, id: &JobId, jobs: &JobCache) -> ReadResult {
        if jobs.is_final(id) {
            return ReadResult::Final;
        }
        let ancestry = jobs.ancestry_of(id);
        if let Some(dependency) = ancestry.cancelled {
            return ReadResult::CancelledBy(dependency);
        }
        match self.0.get(id) {
            None => return ReadResult::Stale(id.clone()),
            Some(Version(0)) => return ReadResult::Missing,
            Some(_) => {}
        }
        let mut unfinished = ancestry.unfinished.into_iter();
        match unfinished.find(|(id, version)| self.0.get(id) != Some(version)) {
            Some((id, _)) => ReadResult::Stale(id),
            None => ReadResult::Fresh,
        }
    }
}

#[cfg(test)]
mod tests;

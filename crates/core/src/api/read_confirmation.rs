//! Linearizable reads of unfinished jobs: what the cache says is confirmed with the state service before users are
//! told.
//!
//! Reads that came within a short while are confirmed together, by a commit that only compares versions and changes
//! nothing. If all versions are as cached, the cache was fresh at the moment of the commit. That moment lies after
//! the receipt of each read, since a batch holds only reads that came before it was sent.
//!
//! What a job depends on and is not done is confirmed with it: if any of that is cancelled, so is the job. A set
//! that is too large for one transaction is confirmed in several. That is sound since done and cancelled are final:
//! what was not cancelled at a later transaction was not at an earlier one either.
//!
//! [`ConfirmationQueue`] owns the waiting reads and when batches may be sent; its budget is a part of the node's
//! calls to the state service. So reads cost more with the jobs asked about and with time, but not with how often
//! users ask. [`ConfirmationBatch`] is one set that is being confirmed.

use crate::api::user_requests::{PendingRequest, REQUEST_TIMEOUT};
use crate::cache::job_cache::JobCache;
use crate::store::records::{job_key, JOB_PREFIX};
use crate::store::transactions::condition;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::state::Condition;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// For how long reads are collected before they are confirmed together, at least.
const COLLECTION_TIME: Span = Span(15);
/// The part of a node's calls to the state service that confirmations may use.
const CALLS_PART: f64 = 0.3;
/// The rate of confirmations is never taken for lower, in calls a second.
const MIN_CALLS_PER_S: f64 = 0.1;
/// Batches that are sent at one time; what does not fit waits for the next.
pub(crate) const BATCHES_PER_ROUND: usize = 2;
/// Reads that may wait at least, however few the state service lets be confirmed before they are overdue.
const MIN_QUEUE_LIMIT: usize = 2_000;

/// What the state service lets a node confirm.
#[derive(Clone, Copy, Debug)]
pub struct ConfirmationBudget {
    /// Calls a second that this node may make for anything.
    pub calls_per_s: f64,
    /// Conditions that one transaction holds.
    pub max_conditions: usize,
}

/// Reads that wait to be confirmed, and when the next batches may be sent.
#[derive(Default)]
pub struct ConfirmationQueue {
    reads: VecDeque<PendingRequest>,
    collecting_since: Option<Time>,
    next_round_at: Time,
}

/// The queue is full; the read was not taken.
#[derive(Debug)]
pub struct QueueFull(pub PendingRequest);

/// What was taken from the queue for one transaction.
#[derive(Default)]
pub struct NextBatch {
    /// Reads that need no confirmation any more, in their order.
    pub settled: Vec<SettledRead>,
    /// What is to be confirmed, if anything.
    pub batch: Option<ConfirmationBatch>,
}

/// A read that needs no confirmation any more.
#[derive(Debug)]
pub enum SettledRead {
    /// Its job is final by now.
    Final(PendingRequest),
    /// It has waited too long.
    Overdue(PendingRequest),
    /// Something that its job depends on is cancelled.
    CancelledBy(PendingRequest, JobId),
}

/// Reads that are being confirmed together.
#[derive(Clone, Debug, Default)]
pub struct ConfirmationBatch {
    reads: Vec<PendingRequest>,
    /// The cached versions that must be fresh.
    versions: BTreeMap<JobId, Version>,
    /// How many of these, in their order, earlier transactions have compared.
    compared: usize,
    /// How many the transaction that is under way compares.
    comparing: usize,
}

/// What is left of a batch after one of its transactions.
pub enum BatchProgress {
    /// Another transaction has to be sent.
    Unfinished(ConfirmationBatch),
    /// It is finished.
    Finished {
        /// Its reads.
        reads: Vec<PendingRequest>,
        /// The versions that were confirmed as fresh.
        fresh: FreshVersions,
    },
}

/// Versions of jobs that a batch has confirmed.
#[derive(Debug)]
pub struct FreshVersions(BTreeMap<JobId, Version>);

/// What is known of a job after its confirmation.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// It is not final, and nothing that it depends on is cancelled.
    Fresh,
    /// It does not exist.
    Missing,
    /// It is final by now.
    Final,
    /// What it depends on is cancelled.
    CancelledBy(JobId),
    /// A job has to be read again first.
    Stale(JobId),
}

impl ConfirmationBudget {
    /// Confirmations a second.
    fn rounds_per_s(self) -> f64 {
        (self.calls_per_s * CALLS_PART).max(MIN_CALLS_PER_S)
    }

    /// How many reads may wait: as many as can be confirmed before they are overdue.
    fn queue_limit(self) -> usize {
        let batches_per_s = self.calls_per_s * CALLS_PART * BATCHES_PER_ROUND as f64;
        let jobs = batches_per_s * self.max_conditions as f64 * REQUEST_TIMEOUT.as_secs();
        MIN_QUEUE_LIMIT.max(jobs as usize)
    }
}

impl ConfirmationQueue {
    /// Has a read confirmed soon, with others.
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

    /// Whether batches are due. If so, the time of the next ones is set.
    pub fn begin_round(&mut self, budget: ConfirmationBudget, now: Time) -> bool {
        let is_due = |since: Time| now >= self.next_round_at.max(since + COLLECTION_TIME);
        if !self.collecting_since.is_some_and(is_due) {
            return false;
        }
        self.next_round_at = now + Span::secs(1.0 / budget.rounds_per_s());
        true
    }

    /// All batches of a round were taken: what is left is collected from now on.
    pub fn end_round(&mut self, now: Time) {
        self.collecting_since = (!self.reads.is_empty()).then_some(now);
    }

    /// Takes what fits into a transaction, the longest waiting first.
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
    /// A first read always has room: what is too large for one transaction is compared in several.
    fn has_room(&self, versions: &BTreeMap<JobId, Version>, max_conditions: usize) -> bool {
        let is_new = |id: &&JobId| !self.versions.contains_key(*id);
        let added = versions.keys().filter(is_new).count();
        self.reads.is_empty() || self.versions.len() + added <= max_conditions
    }

    fn add(&mut self, read: PendingRequest, versions: BTreeMap<JobId, Version>) {
        self.versions.extend(versions);
        self.reads.push(read);
    }

    /// The conditions of the next transaction.
    pub fn next_conditions(&mut self, max_conditions: usize) -> Vec<Condition> {
        let left = self.versions.len() - self.compared;
        self.comparing = left.min(max_conditions);
        (self.versions.iter())
            .skip(self.compared)
            .take(self.comparing)
            .map(|(id, &version)| condition(job_key(id), version))
            .collect()
    }

    /// The reads of a batch that was not compared.
    pub fn into_reads(self) -> Vec<PendingRequest> {
        self.reads
    }

    /// A transaction was carried out in which the conditions of some keys failed.
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
    /// What is known of a job by now. The cache may have learned more meanwhile; what is told is the newest that is
    /// known.
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

//! Carries out the confirmation of reads: sends the transactions of their batches, and handles the answers.

use crate::api::read_confirmation::{
    BatchProgress, ConfirmationBatch, ConfirmationBudget, FreshVersions, QueueFull, ReadResult,
    SettledRead, MAX_BATCHES_PER_ROUND,
};
use crate::api::refusal::Refusal;
use crate::api::user_requests::{PendingRequest, UserCall};
use crate::io::{StoreAnswer, StoreCall};
use crate::node::Node;
use crate::store::records::{job_key, JobRecord};
use crate::units::Now;
use rudderreel_wire::ids::JobId;
use rudderreel_wire::state::Transaction;
use std::collections::BTreeMap;

impl Node {
    fn confirmation_budget(&self) -> ConfirmationBudget {
        ConfirmationBudget {
            calls_per_s: self.store_calls.rate(),
            max_conditions: self.store_limits.max_conditions(),
        }
    }

    /// Queues a read to be confirmed together with others; refuses it if the queue is full.
    pub(crate) fn queue_confirmation(&mut self, read: PendingRequest, now: Now) {
        let budget = self.confirmation_budget();
        let queue = &mut self.user_requests.confirmation_queue;
        if let Err(QueueFull(read)) = queue.push(read, budget, now.time) {
            self.refuse(read.id(), Refusal::TooManyUnconfirmedReads);
        }
    }

    /// Sends the batches of reads that are due for confirmation.
    pub(crate) fn send_due_confirmations(&mut self, now: Now) {
        let budget = self.confirmation_budget();
        let queue = &mut self.user_requests.confirmation_queue;
        if !queue.begin_round(budget, now.time) {
            return;
        }
        for _ in 0..MAX_BATCHES_PER_ROUND {
            self.send_next_batch(now);
        }
        self.user_requests.confirmation_queue.end_round(now.time);
    }

    fn send_next_batch(&mut self, now: Now) {
        let max_conditions = self.store_limits.max_conditions();
        let queue = &mut self.user_requests.confirmation_queue;
        let next = queue.next_batch(&self.job_cache, max_conditions, now.time);
        for settled in next.settled {
            match settled {
                SettledRead::Final(read) => self.respond(read, now),
                SettledRead::Overdue(read) => {
                    self.refuse(read.id(), Refusal::TooManyUnconfirmedReads);
                }
                SettledRead::CancelledBy(read, dependency) => {
                    self.cancel_with_dependency(read, &dependency, now);
                }
            }
        }
        if let Some(batch) = next.batch {
            self.send_confirmation(batch);
        }
    }

    /// Sends the next transaction of a batch.
    fn send_confirmation(&mut self, mut batch: ConfirmationBatch) {
        let call = StoreCall::Commit(Transaction {
            conditions: batch.next_conditions(self.store_limits.max_conditions()),
            changes: Vec::new(),
        });
        self.user_call(call, UserCall::ConfirmReads(batch));
    }

    /// Handles the answer to a transaction of a batch.
    pub(crate) fn confirmation_answered(
        &mut self,
        batch: ConfirmationBatch,
        answer: StoreAnswer,
        now: Now,
    ) {
        let progress = match answer {
            StoreAnswer::Committed(_) => batch.transaction_ended(&[]),
            StoreAnswer::Conflict(failed) if !failed.is_empty() => batch.transaction_ended(&failed),
            _ => {
                for read in batch.into_reads() {
                    self.forward_or_refuse(read, now);
                }
                return;
            }
        };
        match progress {
            BatchProgress::Unfinished(batch) => self.send_confirmation(batch),
            BatchProgress::Finished { reads, fresh } => {
                self.respond_to_confirmed(reads, &fresh, now);
            }
        }
    }

    fn respond_to_confirmed(
        &mut self,
        reads: Vec<PendingRequest>,
        fresh: &FreshVersions,
        now: Now,
    ) {
        let mut stale: BTreeMap<JobId, Vec<PendingRequest>> = BTreeMap::new();
        for read in reads {
            match fresh.read(read.job(), &self.job_cache) {
                ReadResult::Fresh | ReadResult::Final => self.respond(read, now),
                ReadResult::Missing => self.no_such_job(read, now),
                ReadResult::CancelledBy(dependency) => {
                    self.cancel_with_dependency(read, &dependency, now);
                }
                ReadResult::Stale(id) => stale.entry(id).or_default().push(read),
            }
        }
        for (id, reads) in stale {
            let call = StoreCall::Get(job_key(&id));
            self.user_call(call, UserCall::RereadStaleJob(id, reads));
        }
    }

    /// Handles the answer to a read of a job whose cached version was out of date, for all reads whose answers depend
    /// on it.
    pub(crate) fn stale_job_read(
        &mut self,
        id: JobId,
        reads: Vec<PendingRequest>,
        answer: StoreAnswer,
        now: Now,
    ) {
        match answer {
            StoreAnswer::Found(item) => {
                if let Ok(record) = serde_json::from_value::<JobRecord>(item.value) {
                    self.job_cache.update_job(id, item.version, record);
                    return (reads.into_iter()).for_each(|read| self.respond_to_read(read, now));
                }
            }
            StoreAnswer::Missing => return self.stale_job_missing(&id, reads, now),
            _ => {}
        }
        for read in reads {
            self.forward_or_refuse(read, now);
        }
    }

    fn stale_job_missing(&mut self, id: &JobId, reads: Vec<PendingRequest>, now: Now) {
        for read in reads {
            if read.job() == id {
                self.no_such_job(read, now);
            } else {
                self.forward_or_refuse(read, now);
            }
        }
    }
}

#[cfg(test)]
mod tests;

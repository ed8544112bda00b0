//! Confirmations of reads.

use crate::api::read_confirmation::{Confirmation, ReadResult};
use crate::api::user_requests::{UserCall, Waiting, PATIENCE};
use crate::io::{StoreAnswer, StoreCall};
use crate::node::Node;
use crate::store::records::{job_key, JobRecord, JOB_PREFIX};
use crate::units::{Now, Span};
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::state::{Condition, Transaction};
use std::collections::{BTreeMap, BTreeSet};

/// How long requests are collected before they are confirmed together, at least.
const COLLECT: Span = Span(15);
/// Confirmations may use this part of a node's calls to the state service. So they cost more with
/// the jobs asked about and with time, but not with how often users ask.
const CONFIRM_PART: f64 = 0.3;
/// Commits that confirm at one time; what does not fit waits for the next.
const BATCHES: usize = 2;
/// Requests that may wait to be confirmed at least, however few the state service lets be confirmed
/// before they are given up. One more is refused.
const LEAST_UNCONFIRMED: usize = 2_000;

impl Node {
    /// Confirms a request soon, with others.
    pub(crate) fn queue_confirmation(&mut self, waiting: Waiting, now: Now) {
        let most = self.most_unconfirmed();
        let unconfirmed = &mut self.user_requests.unconfirmed;
        if unconfirmed.queue.len() >= most {
            return self.refuse(waiting.req, "too many questions wait");
        }
        unconfirmed.collecting_since.get_or_insert(now.time);
        unconfirmed.queue.push_back(waiting);
    }

    /// How many requests may wait: as many as can be confirmed before they have waited too long.
    fn most_unconfirmed(&self) -> usize {
        let commits_per_s = self.store_calls.rate() * CONFIRM_PART * BATCHES as f64;
        let jobs = commits_per_s * self.limits.conditions() as f64 * PATIENCE.as_secs();
        LEAST_UNCONFIRMED.max(jobs as usize)
    }

    /// Sends confirmations that are due.
    pub(crate) fn send_due_confirmations(&mut self, now: Now) {
        let unconfirmed = &self.user_requests.unconfirmed;
        let due = (unconfirmed.collecting_since)
            .is_some_and(|t| now.time >= unconfirmed.next.max(t + COLLECT));
        if !due {
            return;
        }
        let pause = 1.0 / (self.store_calls.rate() * CONFIRM_PART).max(0.1);
        self.user_requests.unconfirmed.next = now.time + Span::secs(pause);
        for _ in 0..BATCHES {
            self.send_confirmation_batch(now);
        }
        let unconfirmed = &mut self.user_requests.unconfirmed;
        let left = !unconfirmed.queue.is_empty();
        unconfirmed.collecting_since = left.then_some(now.time);
    }

    /// Confirms what fits into a commit, the longest waiting first.
    fn send_confirmation_batch(&mut self, now: Now) {
        let most = self.limits.conditions();
        let mut batch = Confirmation::default();
        let waiting_now = self.user_requests.unconfirmed.queue.len();
        for _ in 0..waiting_now {
            let Some(waiting) = self.user_requests.unconfirmed.queue.pop_front() else {
                break;
            };
            if self.is_final(waiting.job()) {
                self.respond(waiting, now);
                continue;
            }
            if now.time > waiting.since + PATIENCE {
                self.refuse(waiting.req, "too many questions wait");
                continue;
            }
            let ancestry = self.job_cache.ancestry_of(waiting.job());
            if let Some(by) = ancestry.cancelled {
                self.cancel_with(waiting, &by, now);
                continue;
            }
            let mut versions = ancestry.unfinished;
            let known = self.job_cache.jobs.get(waiting.job());
            let version = known.map_or(Version(0), |k| k.version);
            versions.insert(waiting.job().clone(), version);
            let is_new = |id: &&JobId| !batch.versions.contains_key(*id);
            let more = versions.keys().filter(is_new).count();
            if !batch.members.is_empty() && batch.versions.len() + more > most {
                self.user_requests.unconfirmed.queue.push_front(waiting);
                break;
            }
            batch.versions.extend(versions);
            batch.members.push(waiting);
        }
        if !batch.members.is_empty() {
            self.send_confirmation(batch);
        }
    }

    /// Sends the next transaction of a confirmation.
    fn send_confirmation(&mut self, mut confirmation: Confirmation) {
        let most = self.limits.conditions();
        let left = confirmation.versions.len() - confirmation.confirmed;
        confirmation.comparing = left.min(most);
        let conditions = (confirmation.versions.iter())
            .skip(confirmation.confirmed)
            .take(confirmation.comparing)
            .map(|(id, &version)| Condition {
                key: job_key(id),
                version,
            })
            .collect();
        let call = StoreCall::Commit(Transaction {
            conditions,
            changes: Vec::new(),
        });
        self.user_call(call, UserCall::Confirm(confirmation));
    }

    /// The answer to a transaction of a confirmation.
    pub(crate) fn was_confirmed(
        &mut self,
        mut confirmation: Confirmation,
        answer: StoreAnswer,
        now: Now,
    ) {
        let failed = match answer {
            StoreAnswer::Committed(_) => Vec::new(),
            StoreAnswer::Conflict(failed) if !failed.is_empty() => failed,
            _ => {
                for waiting in confirmation.members {
                    self.forward_or_refuse(waiting, now);
                }
                return;
            }
        };
        confirmation.confirmed += confirmation.comparing;
        if failed.is_empty() && confirmation.confirmed < confirmation.versions.len() {
            return self.send_confirmation(confirmation);
        }
        let failed: BTreeSet<&str> = failed
            .iter()
            .filter_map(|k| k.strip_prefix(JOB_PREFIX))
            .collect();
        let fresh: BTreeMap<JobId, Version> = (confirmation.versions.into_iter())
            .take(confirmation.confirmed)
            .filter(|(id, _)| !failed.contains(id.as_str()))
            .collect();
        self.respond_to_confirmed(confirmation.members, &fresh, now);
    }

    fn respond_to_confirmed(
        &mut self,
        members: Vec<Waiting>,
        fresh: &BTreeMap<JobId, Version>,
        now: Now,
    ) {
        let mut stale: BTreeMap<JobId, Vec<Waiting>> = BTreeMap::new();
        for waiting in members {
            match self.standing(waiting.job(), fresh) {
                ReadResult::Fresh | ReadResult::Final => self.respond(waiting, now),
                ReadResult::Missing => self.no_such_job(waiting, now),
                ReadResult::CancelledBy(by) => self.cancel_with(waiting, &by, now),
                ReadResult::Stale(id) => stale.entry(id).or_default().push(waiting),
            }
        }
        for (id, members) in stale {
            let call = StoreCall::Get(job_key(&id));
            self.user_call(call, UserCall::ReadFor(id, members));
        }
    }

    /// What is known of a job by now, given which versions were confirmed. The cache may have learned
    /// more meanwhile; what is told is the newest that is known.
    fn standing(&self, id: &JobId, fresh: &BTreeMap<JobId, Version>) -> ReadResult {
        if self.is_final(id) {
            return ReadResult::Final;
        }
        let ancestry = self.job_cache.ancestry_of(id);
        if let Some(by) = ancestry.cancelled {
            return ReadResult::CancelledBy(by);
        }
        match fresh.get(id) {
            None => return ReadResult::Stale(id.clone()),
            Some(Version(0)) => return ReadResult::Missing,
            Some(_) => {}
        }
        let mut unfinished = ancestry.unfinished.into_iter();
        match unfinished.find(|(id, version)| fresh.get(id) != Some(version)) {
            Some((id, _)) => ReadResult::Stale(id),
            None => ReadResult::Fresh,
        }
    }

    /// The answer to a read of a job for all whose answers depend on it.
    pub(crate) fn was_read_for(
        &mut self,
        id: JobId,
        members: Vec<Waiting>,
        answer: StoreAnswer,
        now: Now,
    ) {
        let read = match answer {
            StoreAnswer::Found(item) => match serde_json::from_value::<JobRecord>(item.value) {
                Ok(record) => {
                    self.job_cache.update_job(id, item.version, record);
                    true
                }
                Err(_) => false,
            },
            StoreAnswer::Missing => {
                for waiting in members {
                    if *waiting.job() == id {
                        self.no_such_job(waiting, now);
                    } else {
                        self.forward_or_refuse(waiting, now);
                    }
                }
                return;
            }
            _ => false,
        };
        for waiting in members {
            if read {
                self.respond_to_read(waiting, now);
            } else {
                self.forward_or_refuse(waiting, now);
            }
        }
    }
}

#[cfg(test)]
mod tests;

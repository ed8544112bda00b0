//! Reading the state back after a take-over, and the leader's commits.

use crate::core::{Core, Purpose};
use crate::election::epoch_change;
use crate::io::{StateAnswer, StateCall, Value};
use crate::job::Job;
use crate::lead::Lead;
use crate::placement_tracking::{Entry, Machine, Phase};
use crate::records::{job_key, JobRecord, LeaderRecord, PageId, PageRecord, JOBS, PLACEMENTS};
use crate::state_calls::Urgency;
use crate::store_limits::StoreLimits;
use crate::units::{Now, Span};
use rudderreel_wire::ids::{Epoch, JobId, Session, Version};
use rudderreel_wire::state::{Change, Condition, Page, Transaction};
use rudderreel_wire::worker::Cause;
use std::collections::BTreeSet;

/// What a call of the leader is for.
#[derive(Clone, Debug)]
pub enum LeadStep {
    /// Read back a page of the keys with a prefix, beginning after one; the rest of the prefixes
    /// follow.
    ReadBack(&'static str, Option<String>),
    /// Record a page of the placement log.
    Page(PageId),
    /// Record that jobs are done.
    Complete(Vec<JobId>),
    /// See what a job's key holds after a commit that failed.
    JobAgain(JobId),
    /// Raise the epoch.
    Raise(Epoch),
    /// See whether the epoch was raised.
    RaiseAgain(Epoch),
    /// Keep the catalog.
    Catalog,
    /// Close the version gate.
    Gate,
    /// Cancel jobs with what they depend on.
    Cascade(Vec<(JobId, JobRecord)>),
}

/// A page that could not be read is asked for again after so long.
const AGAIN: Span = Span(150);

/// Jobs whose completion one commit records, at most.
const COMPLETIONS: usize = 16;

/// In the order in which they are read back: jobs come before what refers to them.
const PREFIXES: [&str; 2] = [JOBS, PLACEMENTS];

impl Core {
    /// Begins to read the state back.
    pub(crate) fn read_back(&mut self) {
        self.list(PREFIXES[0], None);
    }

    fn list(&mut self, prefix: &'static str, after: Option<String>) {
        let call = StateCall::List(prefix.into(), after.clone());
        self.lead_call(call, LeadStep::ReadBack(prefix, after));
    }

    pub(crate) fn lead_call(&mut self, call: StateCall, step: LeadStep) {
        let Some(lead) = &self.lead else {
            return;
        };
        let purpose = Purpose::Lead(lead.epoch_id(), step);
        self.calls.call(Urgency::Placements, call, purpose);
    }

    /// The answer to a leader's call.
    pub(crate) fn lead_answer(&mut self, step: LeadStep, answer: StateAnswer, now: Now) {
        match step {
            LeadStep::ReadBack(prefix, after) => self.page_back(prefix, after, answer, now),
            LeadStep::Page(page) => self.page_answered(page, answer, now),
            LeadStep::Complete(ids) => self.completed(ids, answer, now),
            LeadStep::JobAgain(id) => self.job_again(id, answer),
            LeadStep::Raise(epoch) => self.raised(epoch, answer, now),
            LeadStep::RaiseAgain(epoch) => self.raise_seen(epoch, answer, now),
            LeadStep::Catalog => {}
            LeadStep::Gate => self.gate_answered(answer, now),
            LeadStep::Cascade(jobs) => self.cascaded(jobs, answer, now),
        }
    }

    /// Asks again for a page that was not read: for the same one, and not at once, or an outage
    /// would be filled with such calls.
    pub(crate) fn read_on(&mut self, now: Now) {
        let due =
            (self.lead.as_mut()).and_then(|l| l.read_again.take_if(|(at, ..)| now.time >= *at));
        if let Some((_, prefix, after)) = due {
            self.list(prefix, after);
        }
    }

    fn page_back(
        &mut self,
        prefix: &'static str,
        after: Option<String>,
        answer: StateAnswer,
        now: Now,
    ) {
        let StateAnswer::Page(page) = answer else {
            if let Some(lead) = self.lead.as_mut() {
                lead.read_again = Some((now.time + AGAIN, prefix, after));
            }
            return;
        };
        let last = page.items.last().map(|i| i.key.clone());
        let more = page.more;
        self.take_back(prefix, page, now);
        if more && last.is_some() {
            return self.list(prefix, last);
        }
        let next = PREFIXES
            .iter()
            .position(|p| *p == prefix)
            .map_or(0, |i| i + 1);
        match PREFIXES.get(next) {
            Some(next) => self.list(next, None),
            None => self.became_ready(now),
        }
    }

    fn take_back(&mut self, prefix: &str, page: Page<Value>, now: Now) {
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        for item in page.items {
            let Some(name) = item.key.strip_prefix(prefix) else {
                continue;
            };
            let known = match prefix {
                JOBS => name.parse().ok().and_then(|id: JobId| {
                    let record: JobRecord = serde_json::from_value(item.value).ok()?;
                    // Another node may have told of something newer.
                    self.job_cache.learn_job(id.clone(), item.version, record);
                    let known = self.job_cache.jobs.get(&id)?;
                    lead.learn_job(&id, known.version, &known.record);
                    Some(())
                }),
                _ => PageId::of_name(name).and_then(|page| {
                    let record: PageRecord = serde_json::from_value(item.value).ok()?;
                    lead.page_back(page, record, now);
                    Some(())
                }),
            };
            if known.is_none() {
                self.job_cache.note_unreadable(&item.key, &"read back");
            }
        }
    }

    fn became_ready(&mut self, now: Now) {
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        lead.ready = true;
        log::info!(
            "read back {} jobs and {} machines",
            lead.jobs.len(),
            lead.machines.len()
        );
        let early: Vec<_> = std::mem::take(&mut lead.early).into_values().collect();
        for report in early {
            lead.hear(&report, now);
        }
        lead.wake(now.time);
        self.refresh_all_dependencies(now);
    }

    /// Commits what has changed in the placement log.
    pub(crate) fn flush(&mut self, now: Now) {
        let Some(lead) = &self.lead else {
            return;
        };
        if !lead.ready || !lead.lease_valid(now.time) || lead.raised.1 {
            return;
        }
        self.close_version_gate(now);
        if (self.lead.as_ref()).is_none_or(|lead| lead.gate.is_changing_key()) {
            return;
        }
        self.flush_placement_log(now);
        self.flush_completions(now);
        self.flush_cancellations(now);
    }

    /// Raises the epoch if only that shows that a start will not arrive any more.
    pub(crate) fn rule_out_late_starts(&mut self, now: Now) {
        let wanted = self.lead.as_ref().is_some_and(|lead| {
            let may = lead.ready && lead.lease_valid(now.time) && !lead.raised.1;
            may && !lead.gate.is_changing_key() && lead.wants_fence(now.time)
        });
        if wanted {
            self.raise_epoch(now);
        }
    }

    /// Commits that jobs are done.
    fn flush_completions(&mut self, now: Now) {
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        let leading = lead.leading();
        let due = |j: &&mut Job| !j.committing && j.is_active() && j.is_complete();
        let mut done: Vec<&mut Job> = lead.jobs.values_mut().filter(due).collect();
        let mut calls = Vec::new();
        // Many small jobs end at a time: one commit for several.
        for jobs in done.chunks_mut(lead.limits.operations.min(COMPLETIONS)) {
            let mut conditions = vec![leading.clone()];
            let mut changes = Vec::new();
            for job in jobs.iter_mut() {
                job.committing = true;
                let key = job_key(&job.spec.id);
                conditions.push(condition(key.clone(), job.version));
                changes.push(put(key, &done_record(job, &lead.limits, now)));
            }
            let ids = jobs.iter().map(|j| j.spec.id.clone()).collect();
            let call = StateCall::Commit(Transaction {
                conditions,
                changes,
            });
            calls.push((call, LeadStep::Complete(ids)));
        }
        for (call, step) in calls {
            self.lead_call(call, step);
        }
    }

    fn completed(&mut self, ids: Vec<JobId>, answer: StateAnswer, now: Now) {
        if self.lost_by(&answer) {
            return;
        }
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        let unsure: Vec<JobId> = match answer {
            StateAnswer::Committed(version) => {
                let ended: BTreeSet<&JobId> = ids.iter().collect();
                for entry in lead.machines.values_mut().flat_map(|m| &mut m.entries) {
                    let done = entry.phase == Phase::Exited(Cause::Done);
                    entry.settled |= done && ended.contains(&entry.task.job);
                }
                for id in ids {
                    if let Some(job) = lead.jobs.get_mut(&id) {
                        log::info!("{id} is done");
                        job.committing = false;
                        let record = done_record(job, &lead.limits, now);
                        lead.finish(&id);
                        self.job_cache.learn_job(id, version, record);
                    }
                }
                lead.wake(now.time);
                Vec::new()
            }
            StateAnswer::Refused | StateAnswer::Rejected => {
                lead.commit_again(&ids);
                Vec::new()
            }
            StateAnswer::Conflict(keys) if !keys.is_empty() => {
                // The others were not at fault, and are tried again without these.
                let (named, others): (Vec<_>, Vec<_>) =
                    ids.into_iter().partition(|id| keys.contains(&job_key(id)));
                lead.commit_again(&others);
                named
            }
            _ => ids,
        };
        for id in unsure {
            let call = StateCall::Get(job_key(&id));
            self.lead_call(call, LeadStep::JobAgain(id));
        }
    }

    fn job_again(&mut self, id: JobId, answer: StateAnswer) {
        match answer {
            StateAnswer::Found(item) => {
                if let Ok(record) = serde_json::from_value::<JobRecord>(item.value) {
                    self.job_cache.learn_job(id.clone(), item.version, record);
                    let known = self.job_cache.jobs.get(&id);
                    if let (Some(lead), Some(known)) = (self.lead.as_mut(), known) {
                        lead.learn_job(&id, known.version, &known.record);
                    }
                }
                if let Some(job) = self.lead.as_mut().and_then(|l| l.jobs.get_mut(&id)) {
                    job.committing = false;
                }
            }
            // The commit is tried again with the version that is known: if the first try was carried out
            // it fails by that, and the key is read again. (Asking on at once filled an outage with calls.)
            _ => {
                if let Some(lead) = self.lead.as_mut() {
                    lead.commit_again(&[id]);
                }
            }
        }
    }

    /// Whether an answer shows that this node no longer leads; if so, it stops.
    pub(crate) fn lost_by(&mut self, answer: &StateAnswer) -> bool {
        let lost = matches!(answer, StateAnswer::Conflict(keys) if self.names_leader_key(keys));
        let changing = |lead: &Lead| lead.raised.1 || lead.gate.is_changing_key();
        if lost && !self.lead.as_ref().is_some_and(changing) {
            self.step_down("its key has changed");
            return true;
        }
        false
    }

    /// Whether the key that this leader holds is among some.
    pub(crate) fn names_leader_key(&self, keys: &[String]) -> bool {
        let held = self.lead.as_ref().map(|lead| lead.key.name());
        keys.iter().any(|key| Some(key.as_str()) == held)
    }

    /// Raises the epoch: whatever was sent under the old one and has not arrived never will.
    fn raise_epoch(&mut self, now: Now) {
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        lead.raised = (now.time, true);
        let epoch = Epoch(lead.epoch.0 + 1);
        let record = LeaderRecord::new(self.settings.node.clone(), epoch, lead.lease_id);
        let call = StateCall::Commit(epoch_change(
            lead.key,
            &record,
            lead.version,
            lead.epoch_version,
        ));
        self.lead_call(call, LeadStep::Raise(epoch));
    }

    fn raised(&mut self, epoch: Epoch, answer: StateAnswer, now: Now) {
        match answer {
            StateAnswer::Committed(version) => self.new_epoch(epoch, version, now),
            StateAnswer::Refused => self.raise_over(),
            StateAnswer::Conflict(_) => self.step_down("its key has changed"),
            StateAnswer::NoSuchLease => self.step_down("its lease has ended"),
            _ => self.read_raised(epoch),
        }
    }

    fn read_raised(&mut self, epoch: Epoch) {
        let key = self.lead.as_ref().map(|lead| lead.key).unwrap_or_default();
        let call = StateCall::Get(key.name().into());
        self.lead_call(call, LeadStep::RaiseAgain(epoch));
    }

    fn raise_over(&mut self) {
        if let Some(lead) = self.lead.as_mut() {
            lead.raised.1 = false;
        }
    }

    fn raise_seen(&mut self, epoch: Epoch, answer: StateAnswer, now: Now) {
        match answer {
            StateAnswer::Found(item) => {
                let record = LeaderRecord::deserialize_from(&item.value);
                if record.is_some_and(|r| r.epoch == epoch && r.node == self.settings.node) {
                    self.new_epoch(epoch, item.version, now);
                } else {
                    // It may yet be carried out, and would make every later commit fail: nothing
                    // else is certain but a new lead.
                    self.step_down("the outcome of raising its epoch is unknown");
                }
            }
            StateAnswer::Missing => self.step_down("its key is gone"),
            _ => self.read_raised(epoch),
        }
    }

    fn new_epoch(&mut self, epoch: Epoch, version: Version, now: Now) {
        self.election.hear_epoch(epoch, now.time);
        if let Some(lead) = self.lead.as_mut() {
            log::info!("raised the epoch to {epoch}");
            lead.epoch = epoch;
            lead.version = version;
            lead.epoch_version = version;
            lead.raised = (now.time, false);
        }
    }
}

impl Lead {
    /// Jobs whose completion was not committed: it is tried again.
    fn commit_again(&mut self, ids: &[JobId]) {
        for id in ids {
            if let Some(job) = self.jobs.get_mut(id) {
                job.committing = false;
            }
        }
    }

    /// Tells this lead from others of the same node: answers to calls of an earlier one are
    /// dropped.
    pub fn epoch_id(&self) -> u64 {
        self.lease_id.0
    }

    /// The condition that every write of a leader depends on.
    pub fn leading(&self) -> Condition {
        condition(self.key.name().into(), self.version)
    }

    /// Takes in a page after a take-over.
    fn page_back(&mut self, page: PageId, record: PageRecord, now: Now) {
        self.placement_log.learn(page);
        for (id, ranges) in record.done {
            if let Some(job) = self.jobs.get_mut(&id) {
                if page >= job.page {
                    let tries = record.suspected.iter().find(|(of, _)| *of == id);
                    job.failures.recall(tries.map_or(0, |t| t.1));
                }
                job.learn_progress(page, &ranges);
            }
        }
        for line in record.machines {
            let room = self.room_of(&line.machine_type);
            let machine = (self.machines.entry(line.id.clone())).or_insert_with(|| {
                let (t, z) = (line.machine_type, line.zone);
                let mut new = Machine::new(line.id.clone(), t, z, line.spot, room, line.since);
                new.listed = true;
                new
            });
            machine.page = machine.page.max(page);
            for (id, attempt, indexes) in line.tasks {
                let mut job = self.jobs.get_mut(&id);
                for index in indexes {
                    let task = id.task(index);
                    if machine.entry_mut(&task, attempt).is_some() {
                        continue;
                    }
                    // Of a job that is not known here, since it is done or its record can't be read, the
                    // task may be there all the same. It is stopped as soon as it is heard of.
                    let spec = job.as_ref().map(|job| job.spec.clone());
                    let mut entry = Entry::planned(task, attempt, spec, now.time);
                    entry.page = page;
                    entry.phase = Phase::Sent;
                    // Sent in an unknown session: only a report that acknowledges this epoch shows
                    // that it is gone.
                    entry.sent = (Epoch(self.epoch.0.saturating_sub(1)), Session(u64::MAX));
                    if let Some(job) = job.as_mut() {
                        job.place(index, &line.id, attempt);
                    }
                    machine.entries.push(entry);
                }
            }
        }
    }
}

/// The record of a job whose tasks are all done.
fn done_record(job: &Job, limits: &StoreLimits, now: Now) -> JobRecord {
    let record = JobRecord::done(job.spec.tasks, job.submitted, now.wall);
    if job.places.is_empty() {
        record
    } else {
        record.with_submission(&job.spec, limits)
    }
}

/// That a key has a version.
pub(crate) fn condition(key: String, version: Version) -> Condition {
    Condition { key, version }
}

/// Sets a key.
pub(crate) fn put<T: serde::Serialize>(key: String, value: &T) -> Change<Value> {
    Change::Put {
        key,
        value: serde_json::to_value(value).unwrap_or_default(),
        lease: None,
    }
}

#[cfg(test)]
mod tests;

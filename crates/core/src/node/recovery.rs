//! Reading the state back after a take-over, and the leader's commits.

use crate::fleet::machine::{Machine, Phase, PlacedTask};
use crate::io::{StoreAnswer, StoreCall, Value};
use crate::jobs::job::Job;
use crate::leader::recovery_progress::RecoveryRetry;
use crate::leader::Leader;
use crate::leadership::election::epoch_change;
use crate::leadership::term::EpochBump;
use crate::node::{Node, PendingCall};
use crate::store::calls::Urgency;
use crate::store::limits::StoreLimits;
use crate::store::records::{
    job_key, JobRecord, LeaderRecord, SegmentId, SegmentRecord, JOBS, PLACEMENTS,
};
use crate::store::transactions::{condition, put};
use crate::units::{Now, Span};
use rudderreel_wire::ids::{Epoch, Incarnation, JobId, Version};
use rudderreel_wire::state::{Page, Transaction};
use rudderreel_wire::worker::Cause;
use std::collections::BTreeSet;

/// What a call of the leader is for.
#[derive(Clone, Debug)]
pub enum LeaderCall {
    /// Read back a page of the keys with a prefix, beginning after one; the rest of the prefixes
    /// follow.
    ReadBack(&'static str, Option<String>),
    /// Record a page of the placement log.
    Page(SegmentId),
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

impl Node {
    /// Begins to read the state back.
    pub(crate) fn start_recovery(&mut self) {
        self.list(PREFIXES[0], None);
    }

    fn list(&mut self, prefix: &'static str, after: Option<String>) {
        let call = StoreCall::List(prefix.into(), after.clone());
        self.call_store_as_leader(call, LeaderCall::ReadBack(prefix, after));
    }

    pub(crate) fn call_store_as_leader(&mut self, call: StoreCall, step: LeaderCall) {
        let Some(leader) = &self.leader else {
            return;
        };
        let purpose = PendingCall::Leader(leader.term.id(), step);
        self.calls.call(Urgency::Placements, call, purpose);
    }

    /// The answer to a leader's call.
    pub(crate) fn leader_call_answered(&mut self, step: LeaderCall, answer: StoreAnswer, now: Now) {
        match step {
            LeaderCall::ReadBack(prefix, after) => {
                self.recovery_page_answered(prefix, after, answer, now)
            }
            LeaderCall::Page(page) => self.segment_commit_answered(page, answer, now),
            LeaderCall::Complete(ids) => self.completions_answered(ids, answer, now),
            LeaderCall::JobAgain(id) => self.job_reread(id, answer),
            LeaderCall::Raise(epoch) => self.epoch_bump_answered(epoch, answer, now),
            LeaderCall::RaiseAgain(epoch) => self.leader_key_read_after_bump(epoch, answer, now),
            LeaderCall::Catalog => {}
            LeaderCall::Gate => self.gate_answered(answer, now),
            LeaderCall::Cascade(jobs) => self.cascaded(jobs, answer, now),
        }
    }

    /// Asks again for a page that was not read: for the same one, and not at once, or an outage
    /// would be filled with such calls.
    pub(crate) fn retry_recovery_read(&mut self, now: Now) {
        let due = (self.leader.as_mut())
            .and_then(|l| l.recovery.retry.take_if(|retry| now.time >= retry.at));
        if let Some(RecoveryRetry { prefix, after, .. }) = due {
            self.list(prefix, after);
        }
    }

    fn recovery_page_answered(
        &mut self,
        prefix: &'static str,
        after: Option<String>,
        answer: StoreAnswer,
        now: Now,
    ) {
        let StoreAnswer::Page(page) = answer else {
            if let Some(leader) = self.leader.as_mut() {
                leader.recovery.retry = Some(RecoveryRetry {
                    at: now.time + AGAIN,
                    prefix,
                    after,
                });
            }
            return;
        };
        let last = page.items.last().map(|i| i.key.clone());
        let more = page.more;
        self.recover_items(prefix, page, now);
        if more && last.is_some() {
            return self.list(prefix, last);
        }
        let next = PREFIXES
            .iter()
            .position(|p| *p == prefix)
            .map_or(0, |i| i + 1);
        match PREFIXES.get(next) {
            Some(next) => self.list(next, None),
            None => self.finish_recovery(now),
        }
    }

    fn recover_items(&mut self, prefix: &str, page: Page<Value>, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
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
                    self.job_cache.update_job(id.clone(), item.version, record);
                    let known = self.job_cache.jobs.get(&id)?;
                    leader.update_job(&id, known.version, &known.record);
                    Some(())
                }),
                _ => SegmentId::of_name(name).and_then(|page| {
                    let record: SegmentRecord = serde_json::from_value(item.value).ok()?;
                    leader.recover_segment(page, record, now);
                    Some(())
                }),
            };
            if known.is_none() {
                self.job_cache.record_unreadable(&item.key, &"read back");
            }
        }
    }

    fn finish_recovery(&mut self, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        leader.recovery.is_complete = true;
        log::info!(
            "read back {} jobs and {} machines",
            leader.jobs.len(),
            leader.fleet.machines.len()
        );
        let early: Vec<_> = std::mem::take(&mut leader.recovery.early_reports)
            .into_values()
            .collect();
        for report in early {
            leader.reconcile_report(&report, now);
        }
        leader.request_cycle(now.time);
        self.refresh_all_dependencies(now);
    }

    /// Commits what has changed in the placement log.
    pub(crate) fn flush_leader_commits(&mut self, now: Now) {
        let Some(leader) = &self.leader else {
            return;
        };
        if !leader.recovery.is_complete
            || !leader.term.is_lease_valid(now.time)
            || leader.term.epoch_bump.in_progress
        {
            return;
        }
        self.close_version_gate(now);
        if (self.leader.as_ref()).is_none_or(|leader| leader.term.version_gate.is_changing_key()) {
            return;
        }
        self.flush_placement_log(now);
        self.flush_completions(now);
        self.flush_cancellations(now);
    }

    /// Raises the epoch if only that shows that a start will not arrive any more.
    pub(crate) fn bump_epoch_if_needed(&mut self, now: Now) {
        let wanted = self.leader.as_ref().is_some_and(|leader| {
            let may = leader.recovery.is_complete
                && leader.term.is_lease_valid(now.time)
                && !leader.term.epoch_bump.in_progress;
            may && !leader.term.version_gate.is_changing_key() && leader.needs_epoch_bump(now.time)
        });
        if wanted {
            self.bump_epoch(now);
        }
    }

    /// Commits that jobs are done.
    fn flush_completions(&mut self, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let leadership_condition = leader.term.key_condition();
        let due = |j: &&mut Job| !j.completion_open && j.is_active() && j.is_complete();
        let mut done: Vec<&mut Job> = leader.jobs.values_mut().filter(due).collect();
        let mut calls = Vec::new();
        // Many small jobs end at a time: one commit for several.
        for jobs in done.chunks_mut(leader.store_limits.operations.min(COMPLETIONS)) {
            let mut conditions = vec![leadership_condition.clone()];
            let mut changes = Vec::new();
            for job in jobs.iter_mut() {
                job.completion_open = true;
                let key = job_key(&job.spec.id);
                conditions.push(condition(key.clone(), job.version));
                changes.push(put(key, &done_record(job, &leader.store_limits, now)));
            }
            let ids = jobs.iter().map(|j| j.spec.id.clone()).collect();
            let call = StoreCall::Commit(Transaction {
                conditions,
                changes,
            });
            calls.push((call, LeaderCall::Complete(ids)));
        }
        for (call, step) in calls {
            self.call_store_as_leader(call, step);
        }
    }

    fn completions_answered(&mut self, ids: Vec<JobId>, answer: StoreAnswer, now: Now) {
        if self.step_down_if_superseded(&answer) {
            return;
        }
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let unsure: Vec<JobId> = match answer {
            StoreAnswer::Committed(version) => {
                let ended: BTreeSet<&JobId> = ids.iter().collect();
                for entry in leader
                    .fleet
                    .machines
                    .values_mut()
                    .flat_map(|m| &mut m.tasks)
                {
                    let done = entry.phase == Phase::Exited(Cause::Done);
                    entry.outcome_recorded |= done && ended.contains(&entry.task.job);
                }
                for id in ids {
                    if let Some(job) = leader.jobs.get_mut(&id) {
                        log::info!("{id} is done");
                        job.completion_open = false;
                        let record = done_record(job, &leader.store_limits, now);
                        leader.finish(&id);
                        self.job_cache.update_job(id, version, record);
                    }
                }
                leader.request_cycle(now.time);
                Vec::new()
            }
            StoreAnswer::Refused | StoreAnswer::Rejected => {
                leader.commit_again(&ids);
                Vec::new()
            }
            StoreAnswer::Conflict(keys) if !keys.is_empty() => {
                // The others were not at fault, and are tried again without these.
                let (named, others): (Vec<_>, Vec<_>) =
                    ids.into_iter().partition(|id| keys.contains(&job_key(id)));
                leader.commit_again(&others);
                named
            }
            _ => ids,
        };
        for id in unsure {
            let call = StoreCall::Get(job_key(&id));
            self.call_store_as_leader(call, LeaderCall::JobAgain(id));
        }
    }

    fn job_reread(&mut self, id: JobId, answer: StoreAnswer) {
        match answer {
            StoreAnswer::Found(item) => {
                if let Ok(record) = serde_json::from_value::<JobRecord>(item.value) {
                    self.job_cache.update_job(id.clone(), item.version, record);
                    let known = self.job_cache.jobs.get(&id);
                    if let (Some(leader), Some(known)) = (self.leader.as_mut(), known) {
                        leader.update_job(&id, known.version, &known.record);
                    }
                }
                if let Some(job) = self.leader.as_mut().and_then(|l| l.jobs.get_mut(&id)) {
                    job.completion_open = false;
                }
            }
            // The commit is tried again with the version that is known: if the first try was carried out
            // it fails by that, and the key is read again. (Asking on at once filled an outage with calls.)
            _ => {
                if let Some(leader) = self.leader.as_mut() {
                    leader.commit_again(&[id]);
                }
            }
        }
    }

    /// Whether an answer shows that this node no longer leads; if so, it stops.
    pub(crate) fn step_down_if_superseded(&mut self, answer: &StoreAnswer) -> bool {
        let lost = matches!(answer, StoreAnswer::Conflict(keys) if self.names_leader_key(keys));
        let changing = |leader: &Leader| leader.term.is_key_changing();
        if lost && !self.leader.as_ref().is_some_and(changing) {
            self.step_down("its key has changed");
            return true;
        }
        false
    }

    /// Whether the key that this leader holds is among some.
    pub(crate) fn names_leader_key(&self, keys: &[String]) -> bool {
        let held = self.leader.as_ref().map(|leader| leader.term.key.name());
        keys.iter().any(|key| Some(key.as_str()) == held)
    }

    /// Raises the epoch: whatever was sent under the old one and has not arrived never will.
    fn bump_epoch(&mut self, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        leader.term.epoch_bump = EpochBump {
            last_at: now.time,
            in_progress: true,
        };
        let epoch = Epoch(leader.term.epoch.0 + 1);
        let record = LeaderRecord::new(self.settings.node.clone(), epoch, leader.term.lease_id);
        let call = StoreCall::Commit(epoch_change(
            leader.term.key,
            &record,
            leader.term.key_version,
            leader.term.epoch_version,
        ));
        self.call_store_as_leader(call, LeaderCall::Raise(epoch));
    }

    fn epoch_bump_answered(&mut self, epoch: Epoch, answer: StoreAnswer, now: Now) {
        match answer {
            StoreAnswer::Committed(version) => self.epoch_bumped(epoch, version, now),
            StoreAnswer::Refused => self.epoch_bump_failed(),
            StoreAnswer::Conflict(_) => self.step_down("its key has changed"),
            StoreAnswer::NoSuchLease => self.step_down("its lease has ended"),
            _ => self.read_leader_key_after_bump(epoch),
        }
    }

    fn read_leader_key_after_bump(&mut self, epoch: Epoch) {
        let key = self
            .leader
            .as_ref()
            .map(|leader| leader.term.key)
            .unwrap_or_default();
        let call = StoreCall::Get(key.name().into());
        self.call_store_as_leader(call, LeaderCall::RaiseAgain(epoch));
    }

    fn epoch_bump_failed(&mut self) {
        if let Some(leader) = self.leader.as_mut() {
            leader.term.epoch_bump.in_progress = false;
        }
    }

    fn leader_key_read_after_bump(&mut self, epoch: Epoch, answer: StoreAnswer, now: Now) {
        match answer {
            StoreAnswer::Found(item) => {
                let record = LeaderRecord::deserialize_from(&item.value);
                if record.is_some_and(|r| r.epoch == epoch && r.node == self.settings.node) {
                    self.epoch_bumped(epoch, item.version, now);
                } else {
                    // It may yet be carried out, and would make every later commit fail: nothing
                    // else is certain but a new lead.
                    self.step_down("the outcome of raising its epoch is unknown");
                }
            }
            StoreAnswer::Missing => self.step_down("its key is gone"),
            _ => self.read_leader_key_after_bump(epoch),
        }
    }

    fn epoch_bumped(&mut self, epoch: Epoch, version: Version, now: Now) {
        self.election.observe_epoch(epoch, now.time);
        if let Some(leader) = self.leader.as_mut() {
            log::info!("raised the epoch to {epoch}");
            leader.term.epoch = epoch;
            leader.term.key_version = version;
            leader.term.epoch_version = version;
            leader.term.epoch_bump = EpochBump {
                last_at: now.time,
                in_progress: false,
            };
        }
    }
}

impl Leader {
    /// Jobs whose completion was not committed: it is tried again.
    fn commit_again(&mut self, ids: &[JobId]) {
        for id in ids {
            if let Some(job) = self.jobs.get_mut(id) {
                job.completion_open = false;
            }
        }
    }

    /// Tells this lead from others of the same node: answers to calls of an earlier one are
    /// dropped.
    /// The condition that every write of a leader depends on.
    /// Takes in a page after a take-over.
    fn recover_segment(&mut self, page: SegmentId, record: SegmentRecord, now: Now) {
        self.placement_log.register_segment(page);
        for (id, ranges) in record.done {
            if let Some(job) = self.jobs.get_mut(&id) {
                if page >= job.segment {
                    let tries = record.suspected.iter().find(|(of, _)| *of == id);
                    job.failures.restore(tries.map_or(0, |t| t.1));
                }
                job.restore_progress(page, &ranges);
            }
        }
        for line in record.machines {
            let room = self.policy.capacity_of(&line.machine_type);
            let machine = (self.fleet.machines.entry(line.id.clone())).or_insert_with(|| {
                let (t, z) = (line.machine_type, line.zone);
                let mut new = Machine::new(line.id.clone(), t, z, line.spot, room, line.since);
                new.in_cloud_list = true;
                new
            });
            machine.segment = machine.segment.max(page);
            for (id, attempt, indexes) in line.tasks {
                let mut job = self.jobs.get_mut(&id);
                for index in indexes {
                    let task = id.task(index);
                    if machine.task_mut(&task, attempt).is_some() {
                        continue;
                    }
                    // Of a job that is not known here, since it is done or its record can't be read, the
                    // task may be there all the same. It is stopped as soon as it is heard of.
                    let spec = job.as_ref().map(|job| job.spec.clone());
                    let mut entry = PlacedTask::planned(task, attempt, spec, now.time);
                    entry.segment = page;
                    entry.phase = Phase::Sent;
                    // Sent in an unknown session: only a report that acknowledges this epoch shows
                    // that it is gone.
                    entry.start_sent = (
                        Epoch(self.term.epoch.0.saturating_sub(1)),
                        Incarnation(u64::MAX),
                    );
                    if let Some(job) = job.as_mut() {
                        job.place(index, &line.id, attempt);
                    }
                    machine.tasks.push(entry);
                }
            }
        }
    }
}

/// The record of a job whose tasks are all done.
fn done_record(job: &Job, limits: &StoreLimits, now: Now) -> JobRecord {
    let record = JobRecord::done(job.spec.tasks, job.submitted, now.wall);
    if job.placements.is_empty() {
        record
    } else {
        record.with_submission(&job.spec, limits)
    }
}

#[cfg(test)]
mod tests;

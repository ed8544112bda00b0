//! Reading the state back after a take-over, and the leader's commits.

use crate::core::{Core, Purpose};
use crate::election::epoch_change;
use crate::io::{StateAnswer, StateCall, Value};
use crate::job::Stage;
use crate::lead::Lead;
use crate::possession::{Entry, Machine, Phase};
use crate::records::{
    job_key, machine_key, progress_key, JobRecord, LeaderRecord, MachineRecord, ProgressRecord,
    CATALOG, JOBS, LEADER, MACHINES, PROGRESS,
};
use crate::state_calls::Urgency;
use crate::units::{Now, Span, Time};
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::{Attempt, Epoch, JobId, MachineId, Session, TaskId, Version};
use rudderreel_wire::state::{Change, Condition, Page, Transaction};
use rudderreel_wire::worker::Cause;
use std::collections::BTreeSet;

/// What a call of the leader is for.
#[derive(Clone, Debug)]
pub enum LeadStep {
    /// Read back all keys with a prefix; the rest of the prefixes follow.
    ReadBack(&'static str),
    /// Record machines, with the tasks that each record names.
    Machines(Vec<(MachineId, Vec<(TaskId, Attempt)>)>),
    /// See what version a machine's record has after a commit that failed.
    MachineAgain(MachineId),
    /// Record a job's progress, or that it is done.
    Progress(JobId, BTreeSet<u32>, bool),
    /// See what a job's keys hold after a commit that failed.
    JobAgain(JobId),
    /// The same for its progress.
    ProgressAgain(JobId),
    /// Delete a key; nothing hangs on the outcome.
    Clean,
    /// Raise the epoch.
    Raise(Epoch),
    /// See whether the epoch was raised.
    RaiseAgain(Epoch),
    /// Keep the catalog.
    Catalog,
}

/// In the order in which they are read back: jobs come before what refers to them.
const PREFIXES: [&str; 3] = [JOBS, PROGRESS, MACHINES];

impl Core {
    /// Begins to read the state back.
    pub(crate) fn read_back(&mut self) {
        self.list(PREFIXES[0], None);
    }

    fn list(&mut self, prefix: &'static str, after: Option<String>) {
        let call = StateCall::List(prefix.into(), after);
        self.lead_call(call, LeadStep::ReadBack(prefix));
    }

    pub(crate) fn lead_call(&mut self, call: StateCall, step: LeadStep) {
        let Some(lead) = &self.lead else {
            return;
        };
        let purpose = Purpose::Lead(lead.epoch_id(), step);
        self.calls.call(Urgency::Books, call, purpose);
    }

    /// The answer to a leader's call.
    pub(crate) fn lead_answer(&mut self, step: LeadStep, answer: StateAnswer, now: Now) {
        match step {
            LeadStep::ReadBack(prefix) => self.page_back(prefix, answer, now),
            LeadStep::Machines(records) => self.machines_recorded(records, answer, now),
            LeadStep::MachineAgain(id) => self.machine_again(id, answer),
            LeadStep::Progress(id, done, complete) => {
                self.progress_recorded(id, done, complete, answer, now)
            }
            LeadStep::JobAgain(id) => self.job_again(id, answer),
            LeadStep::ProgressAgain(id) => self.progress_again(id, answer),
            LeadStep::Raise(epoch) => self.raised(epoch, answer, now),
            LeadStep::RaiseAgain(epoch) => self.raise_seen(epoch, answer, now),
            LeadStep::Clean | LeadStep::Catalog => {}
        }
    }

    fn page_back(&mut self, prefix: &'static str, answer: StateAnswer, now: Now) {
        let StateAnswer::Page(page) = answer else {
            return self.list(prefix, None);
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
                    lead.learn_job(&id, item.version, &record);
                    self.directory.learn_job(id, item.version, record);
                    Some(())
                }),
                PROGRESS => name.parse().ok().and_then(|id: JobId| {
                    let record: ProgressRecord = serde_json::from_value(item.value).ok()?;
                    match lead.jobs.get_mut(&id) {
                        Some(job) => job.learn_progress(item.version, &record),
                        None => lead.stale_progress.push((id, item.version)),
                    }
                    Some(())
                }),
                _ => serde_json::from_value(item.value).ok().map(|record| {
                    lead.machine_back(MachineId::from(name), item.version, record, now);
                }),
            };
            if known.is_none() {
                log::error!("unreadable record {}", item.key);
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
        let stale = std::mem::take(&mut lead.stale_progress);
        for (id, version) in stale {
            self.clean(progress_key(&id), version);
        }
    }

    /// Deletes a key of the leader's, if it still has this version.
    pub(crate) fn clean(&mut self, key: String, version: Version) {
        let Some(lead) = &self.lead else {
            return;
        };
        let conditions = vec![lead.leading(), condition(key.clone(), version)];
        let changes = vec![Change::Delete { key }];
        let call = StateCall::Commit(Transaction {
            conditions,
            changes,
        });
        self.lead_call(call, LeadStep::Clean);
    }

    /// Commits what has changed in the books.
    pub(crate) fn flush(&mut self, now: Now) {
        let Some(lead) = &self.lead else {
            return;
        };
        if !lead.ready || !lead.lease_valid(now.time) || lead.raised.1 {
            return;
        }
        self.flush_machines(now.time);
        self.flush_progress(now);
        if self.lead.as_ref().is_some_and(|l| l.wants_fence(now.time)) {
            self.raise_epoch(now);
        }
    }

    fn flush_machines(&mut self, now: Time) {
        loop {
            let ops = self.settings.params.state.txn_ops;
            let Some(lead) = self.lead.as_mut() else {
                return;
            };
            let mut conditions = vec![lead.leading()];
            let mut changes = Vec::new();
            let mut records = Vec::new();
            let mut size = 0;
            for machine in lead.machines.values_mut() {
                machine.note_stale(now);
                if !machine.dirty || machine.committing || changes.len() >= ops || size > 40_000 {
                    continue;
                }
                machine.dirty = false;
                machine.committing = true;
                let record = Lead::machine_record(machine);
                size += 300 + 60 * record.tasks.len();
                let key = machine_key(&machine.id);
                conditions.push(condition(key.clone(), machine.record.unwrap_or_default()));
                changes.push(put(key, &record));
                records.push((machine.id.clone(), record.tasks));
            }
            if records.is_empty() {
                return;
            }
            let call = StateCall::Commit(Transaction {
                conditions,
                changes,
            });
            self.lead_call(call, LeadStep::Machines(records));
        }
    }

    fn machines_recorded(
        &mut self,
        records: Vec<(MachineId, Vec<(TaskId, Attempt)>)>,
        answer: StateAnswer,
        now: Now,
    ) {
        if self.lost_by(&answer) {
            return;
        }
        for (id, tasks) in records {
            let machine = self.lead.as_mut().and_then(|l| l.machines.get_mut(&id));
            let Some(machine) = machine else {
                continue;
            };
            match &answer {
                StateAnswer::Committed(version) => {
                    machine.committing = false;
                    machine.record = Some(*version);
                    machine.recorded = tasks.len();
                    machine.stale = None;
                    for entry in &mut machine.entries {
                        entry.recorded |= (tasks.iter()).any(|(task, attempt)| {
                            entry.attempt == *attempt && entry.task == *task
                        });
                    }
                    self.push_direct(&id, now);
                }
                StateAnswer::Refused => {
                    machine.committing = false;
                    machine.dirty = true;
                }
                // A commit of unknown outcome may still be carried out. The next one depends on
                // the version that is there then, so only one of the two takes effect.
                _ => {
                    let call = StateCall::Get(machine_key(&id));
                    self.lead_call(call, LeadStep::MachineAgain(id));
                }
            }
        }
    }

    fn machine_again(&mut self, id: MachineId, answer: StateAnswer) {
        let Some(machine) = self.lead.as_mut().and_then(|l| l.machines.get_mut(&id)) else {
            return;
        };
        match answer {
            StateAnswer::Found(item) => machine.record = Some(item.version),
            StateAnswer::Missing => machine.record = None,
            _ => {
                let call = StateCall::Get(machine_key(&id));
                return self.lead_call(call, LeadStep::MachineAgain(id));
            }
        }
        machine.committing = false;
        machine.dirty = true;
    }

    fn flush_progress(&mut self, now: Now) {
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        let complete = |j: &crate::job::Job| j.is_active() && j.is_complete();
        let flush_rest = now.time >= lead.next_progress;
        if flush_rest {
            lead.next_progress = now.time + Span(1_000);
        }
        let due: Vec<JobId> = (lead.jobs.iter())
            .filter(|(_, j)| !j.committing && j.progress_dirty)
            .filter(|(_, j)| complete(j) || flush_rest)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let Some(lead) = self.lead.as_mut() else {
                return;
            };
            let leading = lead.leading();
            let Some(job) = lead.jobs.get_mut(&id) else {
                continue;
            };
            job.committing = true;
            job.progress_dirty = false;
            let finished = job.is_active() && job.is_complete();
            let key = progress_key(&id);
            let mut conditions = vec![leading];
            let mut changes = Vec::new();
            conditions.push(condition(key.clone(), job.progress.unwrap_or_default()));
            if finished {
                conditions.push(condition(job_key(&id), job.version));
                let record = JobRecord::done(job.spec.tasks, job.submitted);
                changes.push(put(job_key(&id), &record));
                if job.progress.is_some() {
                    changes.push(Change::Delete { key });
                }
            } else if job.stage != Stage::Active {
                if job.progress.is_some() {
                    changes.push(Change::Delete { key });
                }
            } else {
                changes.push(put(key, &job.progress_record()));
            }
            let done = job.done.clone();
            let call = StateCall::Commit(Transaction {
                conditions,
                changes,
            });
            self.lead_call(call, LeadStep::Progress(id, done, finished));
        }
    }

    fn progress_recorded(
        &mut self,
        id: JobId,
        done: BTreeSet<u32>,
        complete: bool,
        answer: StateAnswer,
        now: Now,
    ) {
        if self.lost_by(&answer) {
            return;
        }
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        match answer {
            StateAnswer::Committed(version) => {
                for entry in lead.machines.values_mut().flat_map(|m| &mut m.entries) {
                    let ours = entry.task.job == id && done.contains(&entry.task.index);
                    entry.settled |= ours && entry.phase == Phase::Exited(Cause::Done);
                }
                if complete {
                    if let Some(job) = lead.jobs.get_mut(&id) {
                        log::info!("{id} is done");
                        job.committing = false;
                        let record = JobRecord::done(job.spec.tasks, job.submitted);
                        lead.finish(&id);
                        self.directory.learn_job(id, version, record);
                    }
                } else if let Some(job) = lead.jobs.get_mut(&id) {
                    job.committing = false;
                    job.progress = job.is_active().then_some(version);
                }
                lead.wake(now.time);
            }
            StateAnswer::Refused => {
                if let Some(job) = lead.jobs.get_mut(&id) {
                    job.committing = false;
                    job.progress_dirty = true;
                }
            }
            _ => {
                let call = StateCall::Get(job_key(&id));
                self.lead_call(call, LeadStep::JobAgain(id));
            }
        }
    }

    fn job_again(&mut self, id: JobId, answer: StateAnswer) {
        match answer {
            StateAnswer::Found(item) => {
                if let Ok(record) = serde_json::from_value::<JobRecord>(item.value) {
                    if let Some(lead) = self.lead.as_mut() {
                        lead.learn_job(&id, item.version, &record);
                    }
                    self.directory.learn_job(id.clone(), item.version, record);
                }
                let call = StateCall::Get(progress_key(&id));
                self.lead_call(call, LeadStep::ProgressAgain(id));
            }
            _ => {
                let call = StateCall::Get(job_key(&id));
                self.lead_call(call, LeadStep::JobAgain(id));
            }
        }
    }

    fn progress_again(&mut self, id: JobId, answer: StateAnswer) {
        let Some(job) = self.lead.as_mut().and_then(|l| l.jobs.get_mut(&id)) else {
            return;
        };
        match answer {
            StateAnswer::Found(item) => job.progress = Some(item.version),
            StateAnswer::Missing => job.progress = None,
            _ => {
                let call = StateCall::Get(progress_key(&id));
                return self.lead_call(call, LeadStep::ProgressAgain(id));
            }
        }
        job.committing = false;
        job.progress_dirty = true;
    }

    /// Whether an answer shows that this node no longer leads; if so, it stops.
    fn lost_by(&mut self, answer: &StateAnswer) -> bool {
        let lost =
            matches!(answer, StateAnswer::Conflict(keys) if keys.iter().any(|k| k == LEADER));
        let raising = self.lead.as_ref().is_some_and(|l| l.raised.1);
        if lost && !raising {
            self.step_down("its key has changed");
            return true;
        }
        false
    }

    /// Raises the epoch: whatever was sent under the old one and has not arrived never will.
    fn raise_epoch(&mut self, now: Now) {
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        lead.raised = (now.time, true);
        let epoch = Epoch(lead.epoch.0 + 1);
        let record = LeaderRecord {
            node: self.settings.node.clone(),
            epoch,
            lease: lead.lease_id,
        };
        // The epoch's key was last set in the same commit as the leader's.
        let call = StateCall::Commit(epoch_change(&record, lead.version, lead.version));
        self.lead_call(call, LeadStep::Raise(epoch));
    }

    fn raised(&mut self, epoch: Epoch, answer: StateAnswer, now: Now) {
        match answer {
            StateAnswer::Committed(version) => self.new_epoch(epoch, version, now),
            StateAnswer::Refused => self.raise_over(),
            StateAnswer::Conflict(_) => self.step_down("its key has changed"),
            StateAnswer::NoSuchLease => self.step_down("its lease has ended"),
            _ => {
                let call = StateCall::Get(LEADER.into());
                self.lead_call(call, LeadStep::RaiseAgain(epoch));
            }
        }
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
            _ => {
                let call = StateCall::Get(LEADER.into());
                self.lead_call(call, LeadStep::RaiseAgain(epoch));
            }
        }
    }

    fn new_epoch(&mut self, epoch: Epoch, version: Version, now: Now) {
        self.election.hear_epoch(epoch, now.time);
        if let Some(lead) = self.lead.as_mut() {
            log::info!("raised the epoch to {epoch}");
            lead.epoch = epoch;
            lead.version = version;
            lead.raised = (now.time, false);
        }
    }

    /// Keeps the catalog for the other nodes.
    pub(crate) fn keep_catalog(&mut self, catalog: &Catalog) {
        let Some(lead) = &self.lead else {
            return;
        };
        let call = StateCall::Commit(Transaction {
            conditions: vec![lead.leading()],
            changes: vec![put(CATALOG.into(), catalog)],
        });
        self.lead_call(call, LeadStep::Catalog);
    }
}

impl Lead {
    /// Tells this lead from others of the same node: answers to calls of an earlier one are
    /// dropped.
    pub fn epoch_id(&self) -> u64 {
        self.lease_id.0
    }

    /// The condition that every write of a leader depends on.
    pub fn leading(&self) -> Condition {
        condition(LEADER.into(), self.version)
    }

    /// Takes in a machine's record after a take-over.
    fn machine_back(&mut self, id: MachineId, version: Version, record: MachineRecord, now: Now) {
        let room = self.room_of(&record.machine_type);
        let mut machine = Machine::new(
            id.clone(),
            record.machine_type,
            record.zone,
            record.spot,
            room,
            record.since,
        );
        machine.record = Some(version);
        machine.recorded = record.tasks.len();
        machine.listed = true;
        for (task, attempt) in record.tasks {
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let mut entry = Entry::planned(task.clone(), attempt, job.need, now.time);
            entry.recorded = true;
            entry.phase = Phase::Sent;
            // Sent in an unknown session: only a report that acknowledges this epoch shows that
            // it is gone.
            entry.sent = (Epoch(self.epoch.0.saturating_sub(1)), Session(u64::MAX));
            job.place(task.index, &id, attempt);
            machine.entries.push(entry);
        }
        self.machines.insert(id, machine);
    }
}

fn condition(key: String, version: Version) -> Condition {
    Condition { key, version }
}

fn put<T: serde::Serialize>(key: String, value: &T) -> Change<Value> {
    Change::Put {
        key,
        value: serde_json::to_value(value).unwrap_or_default(),
        lease: None,
    }
}

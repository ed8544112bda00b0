//! Users' requests: accepted, answered and cancelled on every node.
//!
//! Answers never go back. A final state in the cache is told at once; anything else is confirmed
//! with the state service first. Requests that came in within a short while are confirmed as a
//! class, with one commit that only compares, and a batch confirms only requests that arrived
//! before it was sent.

use crate::admin::Latency;
use crate::core::{Core, Purpose};
use crate::io::{error_body, json, Output, ReqId, StateAnswer, StateCall, UserRequest};
use crate::records::{job_key, JobRecord, JOBS};
use crate::state_calls::Urgency;
use crate::units::{Now, Resources, Span, Time};
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::job::{JobAnswer, JobSpec, JobState, JobStatus, Kind};
use rudderreel_wire::peer::Forward;
use rudderreel_wire::state::{Change, Condition, Transaction};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A user's request that is being served.
#[derive(Clone, Debug)]
pub struct Waiting {
    req: ReqId,
    request: UserRequest,
    since: Time,
    /// It came from a peer, so it is not forwarded again.
    from_peer: bool,
    tries: u32,
}

/// What a call for users is for.
#[derive(Clone, Debug)]
pub enum UserStep {
    /// Read the job, then serve the request by what it says.
    Read(Waiting),
    /// Create the job.
    Create(Waiting),
    /// Cancel the job.
    Cancel(Waiting, Box<JobRecord>),
    /// Confirm cached versions.
    Confirm(BTreeMap<JobId, Version>, Vec<Waiting>),
    /// Read a job whose cached version was out of date, for all that ask about it.
    ReadFor(JobId, Vec<Waiting>),
}

/// How long requests are collected before they are confirmed together, at least.
const GATHER: Span = Span(15);
/// Confirmations may use this part of a node's calls to the state service. So they cost more with
/// the jobs asked about and with time, but not with how often users ask.
const CONFIRM_PART: f64 = 0.3;
/// Commits that confirm at one time; what does not fit waits for the next.
const BATCHES: usize = 2;
/// Questions that may wait to be confirmed; one more is refused.
const MAX_GATHERED: usize = 2_000;
/// A request that took longer is answered 503 rather than tried again.
const PATIENCE: Span = Span(1_500);
/// When to come back after a 503.
const RETRY_S: u32 = 1;
/// Requests that may be open at once.
const MAX_OPEN: usize = 400;

/// Users' requests that wait for a confirmation.
#[derive(Default)]
pub struct Reads {
    gather: VecDeque<Waiting>,
    gather_since: Option<Time>,
    /// When the next confirmation may go out.
    next_confirm: Time,
    /// Requests that a peer was asked to serve.
    pub forwarded: BTreeMap<ReqId, Waiting>,
    /// Administrators' requests that the leader was asked to serve.
    pub admin_forwarded: BTreeMap<ReqId, Time>,
    /// How long answers took.
    pub latency: Latency,
    /// Requests that wait for the state service.
    open: usize,
}

impl Waiting {
    /// The request.
    pub(crate) fn req(&self) -> ReqId {
        self.req
    }

    /// The job that it is about.
    pub(crate) fn job(&self) -> &JobId {
        match &self.request {
            UserRequest::Submit(spec) => &spec.id,
            UserRequest::Status(id) | UserRequest::Withdraw(id) => id,
        }
    }
}

impl Core {
    /// A user's request, from the user or from a peer.
    pub(crate) fn user(&mut self, req: ReqId, request: UserRequest, from_peer: bool, now: Now) {
        let waiting = Waiting {
            req,
            request,
            since: now.time,
            from_peer,
            tries: 0,
        };
        if self.reads.open >= MAX_OPEN || self.calls.is_behind() {
            return self.refuse(waiting.req, "too many requests are open");
        }
        if self.is_final(waiting.job()) {
            return self.tell(waiting, now);
        }
        if !self.election.state_ok(now.time) {
            return self.forward_or_refuse(waiting, now);
        }
        self.serve(waiting, now);
    }

    fn is_final(&self, id: &JobId) -> bool {
        (self.directory.jobs.get(id)).is_some_and(|known| known.record.is_final())
    }

    fn serve(&mut self, waiting: Waiting, now: Now) {
        if self.is_final(waiting.job()) {
            return self.tell(waiting, now);
        }
        let known = self.directory.jobs.get(waiting.job()).cloned();
        match (&waiting.request, known) {
            (UserRequest::Withdraw(_), Some(known)) => {
                self.cancel(waiting, known.version, known.record, now)
            }
            (_, Some(_)) => self.gather(waiting, now),
            // That there is no such job is confirmed like anything else.
            (UserRequest::Status(_), None) if self.directory.complete => self.gather(waiting, now),
            (UserRequest::Submit(spec), None) => match self.never_runs(spec) {
                Some(Ok(())) => self.create(waiting, now),
                Some(Err(_)) => self.read(waiting),
                None => self.refuse(waiting.req, "the machine types are not known yet"),
            },
            _ => self.read(waiting),
        }
    }

    fn gather(&mut self, waiting: Waiting, now: Now) {
        if self.reads.gather.len() >= MAX_GATHERED {
            return self.refuse(waiting.req, "too many questions wait");
        }
        self.reads.gather_since.get_or_insert(now.time);
        self.reads.gather.push_back(waiting);
    }

    fn user_call(&mut self, call: StateCall, step: UserStep) {
        self.reads.open += 1;
        self.calls.call(Urgency::User, call, Purpose::User(step));
    }

    fn read(&mut self, waiting: Waiting) {
        let key = job_key(waiting.job());
        self.user_call(StateCall::Get(key), UserStep::Read(waiting));
    }

    fn create(&mut self, waiting: Waiting, now: Now) {
        let UserRequest::Submit(spec) = &waiting.request else {
            return;
        };
        let record = JobRecord::queued(spec, now.wall);
        let call = put_job(&spec.id, Version(0), &record);
        self.user_call(call, UserStep::Create(waiting));
    }

    fn cancel(&mut self, waiting: Waiting, version: Version, mut record: JobRecord, now: Now) {
        record.state = JobState::Cancelled;
        record.cancelled = Some(now.wall);
        let call = put_job(waiting.job(), version, &record);
        self.user_call(call, UserStep::Cancel(waiting, Box::new(record)));
    }

    /// Why a job can never run; none if that can't be decided yet.
    fn never_runs(&self, spec: &JobSpec) -> Option<Result<(), &'static str>> {
        let catalog = self.catalog.as_ref()?;
        let Some(leaf) = self.tree.find(&spec.team) else {
            return Some(Err("unknown team"));
        };
        let need = Resources::of_task(spec);
        let fits = catalog.types.iter().any(|t| {
            spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
                && (spec.zone.as_ref()).is_none_or(|z| t.zones.is_empty() || t.zones.contains(z))
                && Resources::of_machine(t).holds(&need)
        });
        if !fits {
            return Some(Err("a task fits no allowed machine type"));
        }
        let whole = if spec.kind == Kind::Array {
            1
        } else {
            spec.tasks
        };
        let need = crate::tree::amounts(&need.times(whole));
        let allowed = self.tree.chain(leaf).all(|n| {
            let limit = &self.tree.nodes[n].limit;
            need.iter().zip(limit).all(|(n, l)| *n <= *l + 1e-9)
        });
        Some(if allowed {
            Ok(())
        } else {
            Err("the job needs more than its team's limit")
        })
    }

    /// Sends confirmations that are due.
    pub(crate) fn confirm(&mut self, now: Now) {
        let due = (self.reads.gather_since)
            .is_some_and(|t| now.time >= self.reads.next_confirm.max(t + GATHER));
        if !due {
            return;
        }
        let pause = 1.0 / (self.calls.rate() * CONFIRM_PART).max(0.1);
        self.reads.next_confirm = now.time + Span::secs(pause);
        for _ in 0..BATCHES {
            self.confirm_some(now);
        }
        let left = !self.reads.gather.is_empty();
        self.reads.gather_since = left.then_some(now.time);
    }

    /// Confirms what fits into a commit, the longest waiting first.
    fn confirm_some(&mut self, now: Now) {
        let most = 4 * self.settings.params.state.txn_ops;
        let mut batch: BTreeMap<JobId, Version> = BTreeMap::new();
        let mut members = Vec::new();
        while let Some(waiting) = self.reads.gather.pop_front() {
            if self.is_final(waiting.job()) {
                self.tell(waiting, now);
                continue;
            }
            if now.time > waiting.since + PATIENCE {
                self.refuse(waiting.req, "too many questions wait");
                continue;
            }
            if batch.len() >= most && !batch.contains_key(waiting.job()) {
                self.reads.gather.push_front(waiting);
                break;
            }
            let known = self.directory.jobs.get(waiting.job());
            let version = known.map_or(Version(0), |k| k.version);
            batch.insert(waiting.job().clone(), version);
            members.push(waiting);
        }
        if !members.is_empty() {
            self.send_batch(batch, members);
        }
    }

    fn send_batch(&mut self, batch: BTreeMap<JobId, Version>, members: Vec<Waiting>) {
        let conditions = (batch.iter())
            .map(|(id, &version)| Condition {
                key: job_key(id),
                version,
            })
            .collect();
        let call = StateCall::Commit(Transaction {
            conditions,
            changes: Vec::new(),
        });
        let step = UserStep::Confirm(batch, members);
        self.user_call(call, step);
    }

    /// The answer to a call for users.
    pub(crate) fn user_answer(&mut self, step: UserStep, answer: StateAnswer, now: Now) {
        self.reads.open = self.reads.open.saturating_sub(1);
        match step {
            UserStep::Read(waiting) => self.was_read(waiting, answer, now),
            UserStep::Create(waiting) => self.was_created(waiting, answer, now),
            UserStep::Cancel(waiting, record) => self.was_cancelled(waiting, *record, answer, now),
            UserStep::Confirm(versions, members) => {
                self.was_confirmed(versions, members, answer, now)
            }
            UserStep::ReadFor(id, members) => self.was_read_for(id, members, answer, now),
        }
    }

    fn was_read(&mut self, waiting: Waiting, answer: StateAnswer, now: Now) {
        match answer {
            StateAnswer::Found(item) => {
                let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else {
                    return self.refuse(waiting.req, "unreadable record");
                };
                let id = waiting.job().clone();
                self.directory.learn_job(id, item.version, record);
                // What the cache has learned since is newer still.
                let newest = self.directory.jobs.get(waiting.job()).cloned();
                match (&waiting.request, newest) {
                    (UserRequest::Withdraw(_), Some(known)) if !known.record.is_final() => {
                        self.cancel(waiting, known.version, known.record, now)
                    }
                    _ => self.tell(waiting, now),
                }
            }
            // It was read before what the cache has learned since.
            StateAnswer::Missing if self.directory.jobs.contains_key(waiting.job()) => {
                self.again(waiting, now)
            }
            StateAnswer::Missing => match &waiting.request {
                UserRequest::Submit(spec) => match self.never_runs(spec) {
                    Some(Ok(())) => self.create(waiting, now),
                    Some(Err(why)) => self.answer(waiting.req, 422, error_body(why)),
                    None => self.refuse(waiting.req, "the machine types are not known yet"),
                },
                _ => self.no_such_job(waiting, now),
            },
            _ => self.forward_or_refuse(waiting, now),
        }
    }

    fn was_created(&mut self, waiting: Waiting, answer: StateAnswer, now: Now) {
        match answer {
            StateAnswer::Committed(version) => {
                let UserRequest::Submit(spec) = &waiting.request else {
                    return;
                };
                let record = JobRecord::queued(spec, now.wall);
                let id = spec.id.clone();
                self.directory.learn_job(id.clone(), version, record);
                if self.is_final(&id) {
                    // Another node has read it and cancelled it meanwhile.
                    return self.tell(waiting, now);
                }
                let state = JobState::Queued;
                self.answer(waiting.req, 201, json(&JobAnswer { id, state }));
            }
            StateAnswer::Conflict(_) => self.again(waiting, now),
            // It may have been created, or may yet be: reading or creating it again is safe.
            StateAnswer::Unknown => self.again(waiting, now),
            _ => self.forward_or_refuse(waiting, now),
        }
    }

    fn again(&mut self, mut waiting: Waiting, now: Now) {
        waiting.tries += 1;
        if waiting.tries > 4 || now.time > waiting.since + PATIENCE {
            return self.refuse(waiting.req, "the state service did not answer in time");
        }
        self.read(waiting);
    }

    fn was_cancelled(
        &mut self,
        waiting: Waiting,
        record: JobRecord,
        answer: StateAnswer,
        now: Now,
    ) {
        match answer {
            StateAnswer::Committed(version) => {
                let id = waiting.job().clone();
                self.directory.learn_job(id, version, record);
                self.tell(waiting, now);
            }
            StateAnswer::Conflict(_) | StateAnswer::Unknown => self.again(waiting, now),
            _ => self.forward_or_refuse(waiting, now),
        }
    }

    fn was_confirmed(
        &mut self,
        versions: BTreeMap<JobId, Version>,
        members: Vec<Waiting>,
        answer: StateAnswer,
        now: Now,
    ) {
        let stale = match answer {
            StateAnswer::Committed(_) => Vec::new(),
            StateAnswer::Conflict(failed) if !failed.is_empty() => failed,
            _ => {
                for waiting in members {
                    self.forward_or_refuse(waiting, now);
                }
                return;
            }
        };
        let stale: BTreeSet<&str> = stale.iter().filter_map(|k| k.strip_prefix(JOBS)).collect();
        let mut again: BTreeMap<JobId, Vec<Waiting>> = BTreeMap::new();
        for waiting in members {
            let id = waiting.job();
            let fresh = !stale.contains(id.as_str());
            match versions.get(id) {
                Some(Version(0)) if fresh => self.no_such_job(waiting, now),
                Some(_) if fresh => self.tell(waiting, now),
                _ => again.entry(id.clone()).or_default().push(waiting),
            }
        }
        for (id, members) in again {
            let call = StateCall::Get(job_key(&id));
            self.user_call(call, UserStep::ReadFor(id, members));
        }
    }

    /// There was no such job when that was asked. If one was accepted since, an answer that says so may
    /// have been given by now.
    fn no_such_job(&mut self, waiting: Waiting, now: Now) {
        if self.directory.jobs.contains_key(waiting.job()) {
            return self.again(waiting, now);
        }
        self.answer(waiting.req, 404, error_body("no such job"));
    }

    /// The answer to a read for all that ask about a job.
    fn was_read_for(&mut self, id: JobId, members: Vec<Waiting>, answer: StateAnswer, now: Now) {
        let read = match answer {
            StateAnswer::Found(item) => match serde_json::from_value::<JobRecord>(item.value) {
                Ok(record) => {
                    self.directory.learn_job(id, item.version, record);
                    true
                }
                Err(_) => false,
            },
            StateAnswer::Missing => {
                return (members.into_iter()).for_each(|w| self.no_such_job(w, now));
            }
            _ => false,
        };
        for waiting in members {
            if read {
                self.tell(waiting, now);
            } else {
                self.forward_or_refuse(waiting, now);
            }
        }
    }

    /// Answers by what is known of a job, which is fresh, or final. That a job is cancelled is told only
    /// once enough nodes know it.
    fn tell(&mut self, waiting: Waiting, now: Now) {
        let cancelled = (self.directory.jobs.get(waiting.job()))
            .filter(|known| known.record.state == JobState::Cancelled)
            .map(|known| known.version);
        if cancelled.is_some_and(|version| self.waits_for_others(&waiting, version, now)) {
            return;
        }
        self.tell_now(&waiting, now);
    }

    /// The one place where a job's state is told: by the newest that is known at this moment.
    pub(crate) fn tell_now(&mut self, waiting: &Waiting, now: Now) {
        let id = waiting.job().clone();
        let Some(record) = self
            .directory
            .jobs
            .get(&id)
            .map(|known| known.record.clone())
        else {
            return self.refuse(waiting.req, "the job is not known here");
        };
        self.reads.latency.note(now.time - waiting.since);
        let tasks = record.tasks;
        let (done, running) = self.counts(&id);
        let state = match record.state {
            JobState::Queued if running > 0 => JobState::Running,
            state => state,
        };
        let body = match waiting.request {
            UserRequest::Status(_) => {
                let (done, running) = match state {
                    JobState::Done => (tasks.max(done), 0),
                    JobState::Cancelled => (done, 0),
                    _ => (done, running),
                };
                json(&JobStatus {
                    id,
                    state,
                    done,
                    running,
                })
            }
            _ => json(&JobAnswer { id, state }),
        };
        self.answer(waiting.req, 200, body);
    }

    /// The state service does not serve this node: a peer may be luckier. If not, the user is
    /// told at once when to come back.
    fn forward_or_refuse(&mut self, waiting: Waiting, now: Now) {
        let peer = (self.peers.iter())
            .find(|(_, p)| p.state_ok && now.time < p.heard + Span(1_500))
            .map(|(name, _)| name.clone());
        let early = now.time < waiting.since + Span(1_000);
        match peer {
            Some(peer) if !waiting.from_peer && early => {
                let forward = match &waiting.request {
                    UserRequest::Submit(spec) => Forward::Submit(json(spec)),
                    UserRequest::Status(id) => Forward::Status(id.to_string()),
                    UserRequest::Withdraw(id) => Forward::Withdraw(id.to_string()),
                };
                self.out.push(Output::Forward(peer, waiting.req, forward));
                self.reads.forwarded.insert(waiting.req, waiting);
            }
            _ => self.refuse(waiting.req, "the state service does not answer"),
        }
    }

    /// A peer's answer to a forwarded request.
    pub(crate) fn forward_answer(&mut self, req: ReqId, answer: Option<(u16, String)>) {
        let admin = self.reads.admin_forwarded.remove(&req).is_some();
        if self.reads.forwarded.remove(&req).is_none() && !admin {
            return;
        }
        match answer {
            Some((status, body)) if status != 503 => self.answer(req, status, body),
            _ => self.refuse(req, "the state service does not answer"),
        }
    }

    /// Refuses at once and says when to come back.
    pub(crate) fn refuse(&mut self, req: ReqId, why: &str) {
        log::debug!("refused: {why}");
        self.out.push(Output::Answer {
            req,
            status: 503,
            body: error_body(why),
            retry_after: Some(RETRY_S),
        });
    }

    /// Answers a request.
    pub(crate) fn answer(&mut self, req: ReqId, status: u16, body: String) {
        self.out.push(Output::Answer {
            req,
            status,
            body,
            retry_after: None,
        });
    }
}

fn put_job(id: &JobId, version: Version, record: &JobRecord) -> StateCall {
    let key = job_key(id);
    StateCall::Commit(Transaction {
        conditions: vec![Condition {
            key: key.clone(),
            version,
        }],
        changes: vec![Change::Put {
            key,
            value: serde_json::to_value(record).unwrap_or_default(),
            lease: None,
        }],
    })
}

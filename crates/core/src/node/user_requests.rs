//! Users' requests.

use crate::api::admission::put_job;
use crate::api::user_requests::{UserCall, Waiting, PATIENCE};
use crate::cache::job_cache::KnownJob;
use crate::io::{error_body, json, Output, ReqId, StoreAnswer, StoreCall, UserRequest};
use crate::node::pending_call::PendingCall;
use crate::node::Node;
use crate::store::calls::CallPriority;
use crate::store::records::{job_key, JobRecord};
use crate::units::{Now, Span};
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::{JobAnswer, JobState, JobStatus};
use rudderreel_wire::peer::{Forward, ForwardedSubmission};
use std::collections::BTreeMap;

/// A job's key is read so often for one request at most.
const MAX_TRIES: u32 = 4;
/// When to come back after a 503.
const RETRY_S: u32 = 1;
/// Requests that may be open at once at least: more if the state service takes more in their time.
const LEAST_OPEN: usize = 400;

impl Node {
    /// A user's request, from the user or from a peer.
    pub(crate) fn user(&mut self, req: ReqId, request: UserRequest, from_peer: bool, now: Now) {
        let waiting = Waiting {
            from_peer,
            ..Waiting::new(req, request, now.time)
        };
        let most = LEAST_OPEN.max((self.store_calls.rate() * PATIENCE.as_secs()) as usize);
        if self.user_requests.open >= most || self.store_calls.is_behind() {
            return self.refuse(waiting.req, "too many requests are open");
        }
        if self.is_final(waiting.job()) {
            return self.respond(waiting, now);
        }
        if !self.election.store_reachable(now.time) {
            return self.forward_or_refuse(waiting, now);
        }
        self.serve(waiting, now);
    }

    pub(crate) fn is_final(&self, id: &JobId) -> bool {
        (self.job_cache.jobs.get(id)).is_some_and(|known| known.record.is_final())
    }

    pub(crate) fn serve(&mut self, waiting: Waiting, now: Now) {
        if self.is_final(waiting.job()) {
            return self.respond(waiting, now);
        }
        let known = self.job_cache.jobs.get(waiting.job()).cloned();
        match (&waiting.request, known) {
            (UserRequest::Cancel(_), Some(known)) => self.cancel(waiting, known, None, now),
            (_, Some(_)) => self.queue_confirmation(waiting, now),
            // That there is no such job is confirmed like anything else.
            (UserRequest::Status(_), None) if self.job_cache.is_complete => {
                self.queue_confirmation(waiting, now)
            }
            (UserRequest::Submit(spec), None) => match self.check_runnable(spec) {
                Some(Ok(())) => self.create(waiting, now),
                Some(Err(_)) => self.read(waiting),
                None => self.refuse(waiting.req, "the machine types are not known yet"),
            },
            _ => self.read(waiting),
        }
    }

    pub(crate) fn user_call(&mut self, call: StoreCall, step: UserCall) {
        self.user_requests.open += 1;
        self.store_calls
            .enqueue(CallPriority::User, call, PendingCall::User(step));
    }

    /// Cancels a job for its user, or with a dependency.
    pub(crate) fn cancel(
        &mut self,
        waiting: Waiting,
        known: KnownJob,
        by: Option<&JobId>,
        now: Now,
    ) {
        let record = known.record.cancelled(now.wall, by, &self.limits);
        let call = put_job(waiting.job(), known.version, &record, &BTreeMap::new());
        self.user_call(call, UserCall::Cancel(waiting, Box::new(record)));
    }

    /// Answers a request about a job that can't become ready any more: its record is written first.
    pub(crate) fn cancel_with(&mut self, waiting: Waiting, by: &JobId, now: Now) {
        let id = waiting.job().clone();
        let Some(known) = self.job_cache.jobs.get(&id).cloned() else {
            return self.refuse(waiting.req, "the job is not known here");
        };
        if !self.user_requests.cancelling.insert(id) {
            // Another request has it written at this moment.
            return self.queue_confirmation(waiting, now);
        }
        self.cancel(waiting, known, Some(by), now);
    }

    fn read(&mut self, waiting: Waiting) {
        let key = job_key(waiting.job());
        self.user_call(StoreCall::Get(key), UserCall::Read(waiting));
    }

    /// The answer to a call for users.
    pub(crate) fn user_answer(&mut self, step: UserCall, answer: StoreAnswer, now: Now) {
        self.user_requests.open = self.user_requests.open.saturating_sub(1);
        match step {
            UserCall::Read(waiting) => self.job_was_read(waiting, answer, now),
            UserCall::Create(waiting, job) => self.was_created(waiting, *job, answer, now),
            UserCall::ReadDependency(waiting, id) => {
                self.dependency_was_read(waiting, id, answer, now)
            }
            UserCall::Cancel(waiting, record) => self.was_cancelled(waiting, *record, answer, now),
            UserCall::Confirm(confirmation) => self.was_confirmed(confirmation, answer, now),
            UserCall::ReadFor(id, members) => self.was_read_for(id, members, answer, now),
        }
    }

    fn job_was_read(&mut self, waiting: Waiting, answer: StoreAnswer, now: Now) {
        match answer {
            StoreAnswer::Found(item) => {
                let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else {
                    return self.refuse(waiting.req, "unreadable record");
                };
                let id = waiting.job().clone();
                self.job_cache.update_job(id, item.version, record);
                // What the cache has learned since is newer still.
                let newest = self.job_cache.jobs.get(waiting.job()).cloned();
                match (&waiting.request, newest) {
                    (UserRequest::Cancel(_), Some(known)) if !known.record.is_final() => {
                        self.cancel(waiting, known, None, now)
                    }
                    _ => self.respond_to_read(waiting, now),
                }
            }
            // It was read before what the cache has learned since.
            StoreAnswer::Missing if self.job_cache.jobs.contains_key(waiting.job()) => {
                self.retry(waiting, now)
            }
            StoreAnswer::Missing => match &waiting.request {
                UserRequest::Submit(spec) => match self.check_runnable(spec) {
                    Some(Ok(())) => self.create(waiting, now),
                    Some(Err(why)) => self.answer(waiting.req, 422, error_body(&why.to_string())),
                    None => self.refuse(waiting.req, "the machine types are not known yet"),
                },
                _ => self.no_such_job(waiting, now),
            },
            _ => self.forward_or_refuse(waiting, now),
        }
    }

    pub(crate) fn retry(&mut self, mut waiting: Waiting, now: Now) {
        waiting.tries += 1;
        if waiting.tries > MAX_TRIES || now.time > waiting.since + PATIENCE {
            return self.refuse(waiting.req, "the state service did not answer in time");
        }
        self.read(waiting);
    }

    fn was_cancelled(
        &mut self,
        waiting: Waiting,
        record: JobRecord,
        answer: StoreAnswer,
        now: Now,
    ) {
        self.user_requests.cancelling.remove(waiting.job());
        match answer {
            StoreAnswer::Committed(version) => {
                let id = waiting.job().clone();
                self.job_cache.update_job(id, version, record);
                self.respond(waiting, now);
            }
            StoreAnswer::Conflict(_) | StoreAnswer::Unknown => self.retry(waiting, now),
            _ => self.forward_or_refuse(waiting, now),
        }
    }

    /// There was no such job when that was asked. If one was accepted since, an answer that says so may
    /// have been given by now.
    pub(crate) fn no_such_job(&mut self, waiting: Waiting, now: Now) {
        if self.job_cache.jobs.contains_key(waiting.job()) {
            return self.retry(waiting, now);
        }
        self.answer(waiting.req, 404, error_body("no such job"));
    }

    /// Answers by a job's record that was just read. What it depends on has yet to be confirmed.
    pub(crate) fn respond_to_read(&mut self, mut waiting: Waiting, now: Now) {
        let unfinished = |known: &KnownJob| !known.record.is_final();
        let known = self.job_cache.jobs.get(waiting.job());
        if !known.is_some_and(|k| unfinished(k) && !k.dependencies().is_empty()) {
            return self.respond(waiting, now);
        }
        waiting.tries += 1;
        if waiting.tries > MAX_TRIES {
            return self.refuse(waiting.req, "the state service did not answer in time");
        }
        self.queue_confirmation(waiting, now);
    }

    /// Answers by what is known of a job, which is fresh, or final. That a job is cancelled is told only
    /// once enough nodes know it.
    pub(crate) fn respond(&mut self, waiting: Waiting, now: Now) {
        let cancelled = (self.job_cache.jobs.get(waiting.job()))
            .filter(|known| known.record.state == JobState::Cancelled)
            .map(|known| known.version);
        if cancelled.is_some_and(|version| self.waits_for_replication(&waiting, version, now)) {
            return;
        }
        self.respond_now(&waiting, now);
    }

    /// The one place where a job's state is told: by the newest that is known at this moment.
    pub(crate) fn respond_now(&mut self, waiting: &Waiting, now: Now) {
        let id = waiting.job().clone();
        let Some(record) = self
            .job_cache
            .jobs
            .get(&id)
            .map(|known| known.record.clone())
        else {
            return self.refuse(waiting.req, "the job is not known here");
        };
        self.user_requests.latency.record(now.time - waiting.since);
        let tasks = record.tasks;
        let (done, running) = self.task_counts(&id);
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
    pub(crate) fn forward_or_refuse(&mut self, waiting: Waiting, now: Now) {
        let peer = (self.peers.iter())
            .find(|(_, p)| p.store_reachable && now.time < p.last_heartbeat_at + Span(1_500))
            .map(|(name, _)| name.clone());
        let early = now.time < waiting.since + Span(1_000);
        match peer {
            Some(peer) if !waiting.from_peer && early => {
                let forward = match &waiting.request {
                    UserRequest::Submit(spec) => Forward::Submit(ForwardedSubmission::text(spec)),
                    UserRequest::Status(id) => Forward::Status(id.to_string()),
                    UserRequest::Cancel(id) => Forward::Cancel(id.to_string()),
                };
                self.out.push(Output::Forward(peer, waiting.req, forward));
                self.user_requests.forwarded.insert(waiting.req, waiting);
            }
            _ => self.refuse(waiting.req, "the state service does not answer"),
        }
    }

    /// A peer's answer to a forwarded request.
    pub(crate) fn forward_answer(&mut self, req: ReqId, answer: Option<(u16, String)>) {
        let admin = self.user_requests.admin_forwarded.remove(&req).is_some();
        if self.user_requests.forwarded.remove(&req).is_none() && !admin {
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

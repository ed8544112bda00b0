//! Carries out users' requests: receives them, calls the store for them, forwards, answers and refuses them.

use crate::api::admission::{put_job, Feasibility};
use crate::api::refusal::Refusal;
use crate::api::user_requests::{PendingRequest, UserCall};
use crate::cache::job_cache::KnownJob;
use crate::io::{Output, ReqId, RequestOrigin, StoreAnswer, StoreCall, UserRequest};
use crate::node::pending_call::PendingCall;
use crate::node::Node;
use crate::store::calls::CallPriority;
use crate::store::records::{job_key, JobRecord};
use crate::units::Now;
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::JobState;
use std::collections::BTreeMap;

/// HTTP status of a request that succeeded.
const OK: u16 = 200;
const UNAVAILABLE: u16 = 503;

impl Node {
    /// Handles a user's request that was received from the user or from a peer.
    pub(crate) fn user_request_received(
        &mut self,
        req: ReqId,
        request: UserRequest,
        origin: RequestOrigin,
        now: Now,
    ) {
        let request = PendingRequest::new(req, request, origin, now.time);
        if !self.user_requests.has_room(self.store_calls.rate()) || self.store_calls.is_behind() {
            return self.refuse(request.id(), Refusal::TooManyOpenRequests);
        }
        if self.job_cache.is_final(request.job()) {
            return self.respond(request, now);
        }
        if !self.election.store_reachable(now.time) {
            return self.forward_or_refuse(request, now);
        }
        self.serve(request, now);
    }

    /// Serves a request according to the cached state of its job.
    pub(crate) fn serve(&mut self, request: PendingRequest, now: Now) {
        if self.job_cache.is_final(request.job()) {
            return self.respond(request, now);
        }
        let known = self.job_cache.job(request.job()).cloned();
        match (request.request(), known) {
            (UserRequest::Cancel(_), Some(known)) => self.cancel_job(request, known, None, now),
            (_, Some(_)) => self.queue_confirmation(request, now),
            // The absence of a job is confirmed like any other read.
            (UserRequest::Status(_), None) if self.job_cache.is_complete() => {
                self.queue_confirmation(request, now)
            }
            (UserRequest::Submit(spec), None) => match self.feasibility(spec) {
                Feasibility::Runnable => self.create_job(request, now),
                // The job may have been accepted at a time when it could run.
                Feasibility::Never(_) => self.read_job(request),
                Feasibility::Undecided => self.refuse(request.id(), Refusal::MachineTypesUnknown),
            },
            _ => self.read_job(request),
        }
    }

    pub(crate) fn user_call(&mut self, call: StoreCall, purpose: UserCall) {
        self.user_requests.call_begun();
        self.store_calls
            .enqueue(CallPriority::User, call, PendingCall::User(purpose));
    }

    /// Commits the cancellation of a job, for its user or because of a cancelled dependency.
    fn cancel_job(
        &mut self,
        request: PendingRequest,
        known: KnownJob,
        dependency: Option<&JobId>,
        now: Now,
    ) {
        let record = known
            .record
            .cancelled(now.wall, dependency, &self.store_limits);
        let call = put_job(request.job(), known.version, &record, &BTreeMap::new());
        self.user_call(call, UserCall::CancelJob(request, Box::new(record)));
    }

    /// Answers a request about a job that can't become ready any more, since a dependency was cancelled: the job's own
    /// cancelled record is written first.
    pub(crate) fn cancel_with_dependency(
        &mut self,
        request: PendingRequest,
        dependency: &JobId,
        now: Now,
    ) {
        let Some(known) = self.job_cache.job(request.job()).cloned() else {
            return self.refuse(request.id(), Refusal::JobNotCached);
        };
        if !self.user_requests.begin_cancelling(request.job()) {
            // Another request is writing that record at this moment.
            return self.queue_confirmation(request, now);
        }
        self.cancel_job(request, known, Some(dependency), now);
    }

    fn read_job(&mut self, request: PendingRequest) {
        let key = job_key(request.job());
        self.user_call(StoreCall::Get(key), UserCall::ReadJob(request));
    }

    /// Handles the answer to a store call made for users.
    pub(crate) fn user_call_answered(&mut self, purpose: UserCall, answer: StoreAnswer, now: Now) {
        self.user_requests.call_ended();
        match purpose {
            UserCall::ReadJob(request) => self.job_read(request, answer, now),
            UserCall::CreateJob(request, job) => self.job_created(request, *job, answer, now),
            UserCall::ReadDependency(request, id) => self.dependency_read(request, id, answer, now),
            UserCall::CancelJob(request, record) => {
                self.job_cancelled(request, *record, answer, now)
            }
            UserCall::ConfirmReads(batch) => self.confirmation_answered(batch, answer, now),
            UserCall::RereadStaleJob(id, reads) => self.stale_job_read(id, reads, answer, now),
        }
    }

    fn job_read(&mut self, request: PendingRequest, answer: StoreAnswer, now: Now) {
        match answer {
            StoreAnswer::Found(item) => {
                let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else {
                    return self.refuse(request.id(), Refusal::UnreadableRecord);
                };
                let id = request.job().clone();
                self.job_cache.update_job(id, item.version, record);
                // What the cache has learned since the read is newer still.
                let newest = self.job_cache.job(request.job()).cloned();
                match (request.request(), newest) {
                    (UserRequest::Cancel(_), Some(known)) if !known.record.is_final() => {
                        self.cancel_job(request, known, None, now)
                    }
                    _ => self.respond_to_read(request, now),
                }
            }
            // The read is older than what the cache has learned since.
            StoreAnswer::Missing if self.job_cache.contains_job(request.job()) => {
                self.retry(request, now)
            }
            StoreAnswer::Missing => self.job_missing(request, now),
            _ => self.forward_or_refuse(request, now),
        }
    }

    /// Handles a read that found no job of this id: a submission creates the job.
    fn job_missing(&mut self, request: PendingRequest, now: Now) {
        let UserRequest::Submit(spec) = request.request() else {
            return self.no_such_job(request, now);
        };
        match self.feasibility(spec) {
            Feasibility::Runnable => self.create_job(request, now),
            Feasibility::Never(reason) => self.refuse(request.id(), reason),
            Feasibility::Undecided => self.refuse(request.id(), Refusal::MachineTypesUnknown),
        }
    }

    /// Reads the job again, if the request has attempts left and is not overdue; refuses it otherwise.
    pub(crate) fn retry(&mut self, mut request: PendingRequest, now: Now) {
        if !request.begin_attempt() || request.is_overdue(now.time) {
            return self.refuse(request.id(), Refusal::StoreTimeout);
        }
        self.read_job(request);
    }

    fn job_cancelled(
        &mut self,
        request: PendingRequest,
        record: JobRecord,
        answer: StoreAnswer,
        now: Now,
    ) {
        self.user_requests.cancelling_ended(request.job());
        match answer {
            StoreAnswer::Committed(version) => {
                let id = request.job().clone();
                self.job_cache.update_job(id, version, record);
                self.respond(request, now);
            }
            StoreAnswer::Conflict(_) | StoreAnswer::Unknown => self.retry(request, now),
            _ => self.forward_or_refuse(request, now),
        }
    }

    /// Answers that there was no such job when the store was asked. If the job was accepted since, an answer that says
    /// so may have been given by now, so the job is read again.
    pub(crate) fn no_such_job(&mut self, request: PendingRequest, now: Now) {
        if self.job_cache.contains_job(request.job()) {
            return self.retry(request, now);
        }
        self.refuse(request.id(), Refusal::NoSuchJob);
    }

    /// Answers with a job's record that was just read. The dependencies of a job that is not final have yet to be
    /// confirmed.
    pub(crate) fn respond_to_read(&mut self, mut request: PendingRequest, now: Now) {
        let needs_confirmation =
            |known: &KnownJob| !known.record.is_final() && !known.dependencies().is_empty();
        let known = self.job_cache.job(request.job());
        if !known.is_some_and(needs_confirmation) {
            return self.respond(request, now);
        }
        if !request.begin_attempt() {
            return self.refuse(request.id(), Refusal::StoreTimeout);
        }
        self.queue_confirmation(request, now);
    }

    /// Answers with the cached state of a job, which is fresh, or final. A cancellation is acknowledged only once
    /// enough nodes know of it.
    pub(crate) fn respond(&mut self, request: PendingRequest, now: Now) {
        match self.job_cache.job(request.job()) {
            Some(known) if known.record.state == JobState::Cancelled => {
                let version = known.version;
                self.respond_cancelled(request, version, now);
            }
            _ => self.respond_now(&request, now),
        }
    }

    /// Answers with the newest state of a job that is known at this moment. This is the only place where a cached state
    /// is sent to a user.
    pub(crate) fn respond_now(&mut self, request: &PendingRequest, now: Now) {
        let Some(known) = self.job_cache.job(request.job()) else {
            return self.refuse(request.id(), Refusal::JobNotCached);
        };
        let body = request.answer_body(&known.record, self.task_progress(request.job()));
        self.user_requests.record_latency(request.age(now.time));
        self.answer(request.id(), OK, body);
    }

    /// Forwards a request to a peer that the store serves, since the store does not serve this node. If there is no
    /// such peer or the request may not be forwarded, refuses it at once, with the time after which to retry.
    pub(crate) fn forward_or_refuse(&mut self, request: PendingRequest, now: Now) {
        match self.peers.first_served_by_store(now.time).cloned() {
            Some(peer) if request.may_be_forwarded(now.time) => {
                let id = request.id();
                self.out.push(Output::Forward {
                    peer,
                    req: id,
                    request: request.to_forward(),
                });
                self.user_requests.forward_begun(id);
            }
            _ => self.refuse(request.id(), Refusal::StoreUnreachable),
        }
    }

    /// Handles a peer's answer to a forwarded request.
    pub(crate) fn forward_answered(&mut self, req: ReqId, answer: Option<(u16, String)>) {
        if !self.user_requests.forward_ended(req) {
            return;
        }
        match answer {
            Some((status, body)) if status != UNAVAILABLE => self.answer(req, status, body),
            _ => self.refuse(req, Refusal::StoreUnreachable),
        }
    }

    /// Refuses a request.
    pub(crate) fn refuse(&mut self, req: ReqId, refusal: impl Into<Refusal>) {
        let refusal = refusal.into();
        log::debug!("request refused reason={refusal:?}");
        self.out.push(Output::Answer {
            req,
            status: refusal.status(),
            body: refusal.body(),
            retry_after: refusal.retry_after_s(),
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

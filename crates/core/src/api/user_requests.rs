//! The users' requests that a node is serving: submissions, status queries and cancellations.
//!
//! A [`PendingRequest`] exists from the receipt of a request until its answer, and is answered exactly once. Until then
//! it has one owner: a call to the store ([`UserCall`] names each kind), the queue of reads to be confirmed, the peer
//! that the request was forwarded to, or the list of requests that wait for the acknowledgements of a cancellation.
//! [`UserRequests`] counts the open calls and holds the ids of the forwarded requests.
//!
//! Answers about a job never go back to an older state. A final state in the cache is answered at once; anything else
//! is confirmed with the store first (see [`read_confirmation`](crate::api::read_confirmation)).

use crate::api::admission::NewJob;
use crate::api::read_confirmation::{ConfirmationBatch, ConfirmationQueue};
use crate::io::{ReqId, RequestOrigin, UserRequest};
use crate::metrics::LatencyHistogram;
use crate::store::records::JobRecord;
use crate::units::{Span, Time};
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::{JobAnswer, JobState, JobStatus};
use rudderreel_wire::peer::{Forward, ForwardedSubmission};
use std::collections::BTreeSet;

/// Age beyond which a request is refused rather than tried again.
pub(crate) const REQUEST_TIMEOUT: Span = Span(1_500);
/// Age from which a request is no longer forwarded, because the peer needs time to serve it.
const MAX_FORWARD_AGE: Span = Span(1_000);
/// Time for which users wait for the answer to a submission or a cancellation, less the way of the answer.
const USER_ANSWER_TIMEOUT: Span = Span(4_700);
/// Time for which users wait for the answer to a status query, less the way of the answer.
const STATUS_ANSWER_TIMEOUT: Span = Span(1_700);
/// Time after which a forwarded request is answered in any case, since it holds one of the peer's few connections.
const FORWARDED_ANSWER_TIMEOUT: Span = Span(300);
/// Maximum number of further attempts at one request, in which its job is read or confirmed again.
const MAX_ATTEMPTS: u32 = 4;
/// Lower bound of the limit on open calls for users. The limit is higher if the store admits more calls within
/// [`REQUEST_TIMEOUT`].
const MIN_CALL_LIMIT: usize = 400;

/// A user's request that has not been answered yet.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    id: ReqId,
    request: UserRequest,
    origin: RequestOrigin,
    received_at: Time,
    attempts: u32,
}

/// A call to the store for users.
#[derive(Clone, Debug)]
pub enum UserCall {
    /// Reads the job, in order to serve the request according to its record.
    ReadJob(PendingRequest),
    /// Creates the job.
    CreateJob(PendingRequest, Box<NewJob>),
    /// Reads a job that a submission depends on.
    ReadDependency(PendingRequest, JobId),
    /// Writes the job's cancelled record.
    CancelJob(PendingRequest, Box<JobRecord>),
    /// Compares cached versions with those in the store.
    ConfirmReads(ConfirmationBatch),
    /// Reads a job whose cached version was out of date, for all requests whose answers depend on the job.
    RereadStaleJob(JobId, Vec<PendingRequest>),
}

/// The requests that a node is serving.
#[derive(Default)]
pub struct UserRequests {
    /// The reads that wait to be confirmed.
    pub(crate) confirmation_queue: ConfirmationQueue,
    /// Jobs that are being cancelled because a dependency of theirs is cancelled.
    cancelling: BTreeSet<JobId>,
    /// Requests of users and administrators that were forwarded to a peer and are not answered yet.
    forwarded: BTreeSet<ReqId>,
    /// Times from the receipt of a request to its answer.
    latency: LatencyHistogram,
    /// Number of open calls to the store for users.
    open_calls: usize,
}

impl PendingRequest {
    /// Creates a request that has just been received.
    pub fn new(id: ReqId, request: UserRequest, origin: RequestOrigin, received_at: Time) -> Self {
        Self {
            id,
            request,
            origin,
            received_at,
            attempts: 0,
        }
    }

    /// Returns the id by which the answer is matched to the request.
    pub fn id(&self) -> ReqId {
        self.id
    }

    /// Returns the content of the request.
    pub fn request(&self) -> &UserRequest {
        &self.request
    }

    /// Returns the job that the request is about.
    pub fn job(&self) -> &JobId {
        match &self.request {
            UserRequest::Submit(spec) => &spec.id,
            UserRequest::Status(id) | UserRequest::Cancel(id) => id,
        }
    }

    /// Returns the time since the receipt of the request.
    pub fn age(&self, now: Time) -> Span {
        now - self.received_at
    }

    /// Returns whether the request is older than [`REQUEST_TIMEOUT`].
    pub fn is_overdue(&self, now: Time) -> bool {
        now > self.received_at + REQUEST_TIMEOUT
    }

    /// Returns whether an answer may still be delayed: the requester waits for it.
    pub fn is_awaited(&self, now: Time) -> bool {
        let timeout = match (self.origin, &self.request) {
            (RequestOrigin::Peer, _) => FORWARDED_ANSWER_TIMEOUT,
            (RequestOrigin::Direct, UserRequest::Status(_)) => STATUS_ANSWER_TIMEOUT,
            (RequestOrigin::Direct, _) => USER_ANSWER_TIMEOUT,
        };
        now < self.received_at + timeout
    }

    /// Counts another attempt at the request. Returns whether this attempt is still allowed.
    pub fn begin_attempt(&mut self) -> bool {
        self.attempts += 1;
        self.attempts <= MAX_ATTEMPTS
    }

    /// Returns whether the request may be forwarded to a peer.
    pub fn may_be_forwarded(&self, now: Time) -> bool {
        self.origin == RequestOrigin::Direct && now < self.received_at + MAX_FORWARD_AGE
    }

    /// Returns the message that forwards the request to a peer.
    pub fn to_forward(&self) -> Forward {
        match &self.request {
            UserRequest::Submit(spec) => Forward::Submit(ForwardedSubmission::text(spec)),
            UserRequest::Status(id) => Forward::Status(id.to_string()),
            UserRequest::Cancel(id) => Forward::Cancel(id.to_string()),
        }
    }

    /// Returns the answer that a job's record gives, as JSON.
    pub fn answer_body(&self, record: &JobRecord, progress: TaskProgress) -> String {
        let id = self.job().clone();
        let state = match record.state {
            JobState::Queued if progress.running > 0 => JobState::Running,
            state => state,
        };
        if !matches!(self.request, UserRequest::Status(_)) {
            return crate::io::json(&JobAnswer { id, state });
        }
        let TaskProgress { done, running } = match state {
            JobState::Done => TaskProgress {
                done: record.tasks.max(progress.done),
                running: 0,
            },
            JobState::Cancelled => TaskProgress {
                running: 0,
                ..progress
            },
            _ => progress,
        };
        crate::io::json(&JobStatus {
            id,
            state,
            done,
            running,
        })
    }
}

/// The numbers of done and running tasks of a job, for display only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskProgress {
    /// Number of done tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

impl UserRequests {
    /// Returns whether the calls for one more request may be made, given the number of calls per second that this node
    /// may make to the store.
    pub fn has_room(&self, calls_per_s: f64) -> bool {
        let admitted_in_time = calls_per_s * REQUEST_TIMEOUT.as_secs();
        self.open_calls < MIN_CALL_LIMIT.max(admitted_in_time as usize)
    }

    /// Records that a call for users was queued.
    pub fn call_begun(&mut self) {
        self.open_calls += 1;
    }

    /// Records that a call for users was answered.
    pub fn call_ended(&mut self) {
        self.open_calls = self.open_calls.saturating_sub(1);
    }

    /// Records that a job's cancelled record is about to be written because a dependency was cancelled. Returns false
    /// if that record is already being written for another request.
    pub fn begin_cancelling(&mut self, id: &JobId) -> bool {
        self.cancelling.insert(id.clone())
    }

    /// Records that the write of a job's cancelled record has ended.
    pub fn cancelling_ended(&mut self, id: &JobId) {
        self.cancelling.remove(id);
    }

    /// Records that a request was forwarded to a peer.
    pub fn forward_begun(&mut self, id: ReqId) {
        self.forwarded.insert(id);
    }

    /// Records that a forwarded request was answered. Returns false if no request of this id is forwarded.
    pub fn forward_ended(&mut self, id: ReqId) -> bool {
        self.forwarded.remove(&id)
    }

    /// Records the time from the receipt of a request to its answer.
    pub fn record_latency(&mut self, span: Span) {
        self.latency.record(span);
    }

    /// Returns the times from the receipt of a request to its answer.
    pub fn latency(&self) -> &LatencyHistogram {
        &self.latency
    }
}

#[cfg(test)]
mod tests;

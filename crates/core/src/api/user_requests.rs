//! Users' requests that a node is serving: a submission, a question for a status, a cancellation.
//!
//! A [`PendingRequest`] goes from its receipt to exactly one answer. On the way it is held by one owner: a call to
//! the state service ([`UserCall`] names each kind), the queue of reads to be confirmed, the peer that it was
//! forwarded to, or the requests that wait for a cancellation's acknowledgements. [`UserRequests`] counts the calls
//! under way and holds what was forwarded.
//!
//! Answers never go back. A final state in the cache is told at once; anything else is confirmed with the state
//! service first (see [`read_confirmation`](crate::api::read_confirmation)).

use crate::api::admission::NewJob;
use crate::api::read_confirmation::{ConfirmationBatch, ConfirmationQueue};
use crate::io::{ReqId, RequestOrigin, UserRequest};
use crate::metrics::Latency;
use crate::store::records::JobRecord;
use crate::units::{Span, Time};
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::{JobAnswer, JobState, JobStatus};
use rudderreel_wire::peer::{Forward, ForwardedSubmission};
use std::collections::BTreeSet;

/// A request that took longer is refused rather than tried again.
pub(crate) const REQUEST_TIMEOUT: Span = Span(1_500);
/// A request that has been here for longer is not forwarded any more: the peer needs time, too.
const FORWARD_WITHIN: Span = Span(1_000);
/// A job's key is read so often for one request at most.
const MAX_ATTEMPTS: u32 = 4;
/// Calls for users that may be under way at once at least: more if the state service admits more in their time.
const MIN_CALL_LIMIT: usize = 400;

/// A user's request that has yet to be answered.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    id: ReqId,
    request: UserRequest,
    origin: RequestOrigin,
    received_at: Time,
    attempts: u32,
}

/// A call to the state service for users.
#[derive(Clone, Debug)]
pub enum UserCall {
    /// Read the job, then serve the request by what it says.
    ReadJob(PendingRequest),
    /// Create the job.
    CreateJob(PendingRequest, Box<NewJob>),
    /// Read a job that a submission depends on.
    ReadDependency(PendingRequest, JobId),
    /// Write the job's cancelled record.
    CancelJob(PendingRequest, Box<JobRecord>),
    /// Compare cached versions.
    ConfirmReads(ConfirmationBatch),
    /// Read a job whose cached version was out of date, for all whose answers depend on it.
    RereadStaleJob(JobId, Vec<PendingRequest>),
}

/// Requests that are being served.
#[derive(Default)]
pub struct UserRequests {
    /// Reads that wait to be confirmed.
    pub(crate) confirmation_queue: ConfirmationQueue,
    /// Jobs that are being cancelled since a dependency of theirs is.
    cancelling: BTreeSet<JobId>,
    /// Requests that a peer was asked to serve, users' and administrators'.
    forwarded: BTreeSet<ReqId>,
    /// How long answers took.
    latency: Latency,
    /// Calls to the state service that are under way for users.
    open_calls: usize,
}

impl PendingRequest {
    /// A request that has just come.
    pub fn new(id: ReqId, request: UserRequest, origin: RequestOrigin, received_at: Time) -> Self {
        Self {
            id,
            request,
            origin,
            received_at,
            attempts: 0,
        }
    }

    /// By what its answer is matched to it.
    pub fn id(&self) -> ReqId {
        self.id
    }

    /// What is asked.
    pub fn request(&self) -> &UserRequest {
        &self.request
    }

    /// The job that it is about.
    pub fn job(&self) -> &JobId {
        match &self.request {
            UserRequest::Submit(spec) => &spec.id,
            UserRequest::Status(id) | UserRequest::Cancel(id) => id,
        }
    }

    /// For how long it has been served.
    pub fn age(&self, now: Time) -> Span {
        now - self.received_at
    }

    /// Whether it has taken too long to go on.
    pub fn is_overdue(&self, now: Time) -> bool {
        now > self.received_at + REQUEST_TIMEOUT
    }

    /// Counts another attempt. Returns whether that is still allowed.
    pub fn begin_attempt(&mut self) -> bool {
        self.attempts += 1;
        self.attempts <= MAX_ATTEMPTS
    }

    /// Whether a peer may be asked to serve it.
    pub fn may_be_forwarded(&self, now: Time) -> bool {
        self.origin == RequestOrigin::Direct && now < self.received_at + FORWARD_WITHIN
    }

    /// The message that asks a peer to serve it.
    pub fn to_forward(&self) -> Forward {
        match &self.request {
            UserRequest::Submit(spec) => Forward::Submit(ForwardedSubmission::text(spec)),
            UserRequest::Status(id) => Forward::Status(id.to_string()),
            UserRequest::Cancel(id) => Forward::Cancel(id.to_string()),
        }
    }

    /// The answer by a job's record, as JSON.
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

/// How many tasks of a job are done, and how many run. For display.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskProgress {
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

impl UserRequests {
    /// Whether calls for one more request may be made, with so many calls a second to the state service.
    pub fn has_room(&self, calls_per_s: f64) -> bool {
        let admitted_in_time = calls_per_s * REQUEST_TIMEOUT.as_secs();
        self.open_calls < MIN_CALL_LIMIT.max(admitted_in_time as usize)
    }

    /// A call for users was queued.
    pub fn call_begun(&mut self) {
        self.open_calls += 1;
    }

    /// A call for users was answered.
    pub fn call_ended(&mut self) {
        self.open_calls = self.open_calls.saturating_sub(1);
    }

    /// A job's cancelled record is to be written since a dependency was cancelled. Returns false if another request
    /// has it written at this moment.
    pub fn begin_cancelling(&mut self, id: &JobId) -> bool {
        self.cancelling.insert(id.clone())
    }

    /// The write of a job's cancelled record has ended.
    pub fn cancelling_ended(&mut self, id: &JobId) {
        self.cancelling.remove(id);
    }

    /// A request was forwarded to a peer.
    pub fn forward_begun(&mut self, id: ReqId) {
        self.forwarded.insert(id);
    }

    /// A forwarded request was answered. Returns false if none of this id was forwarded.
    pub fn forward_ended(&mut self, id: ReqId) -> bool {
        self.forwarded.remove(&id)
    }

    /// Records how long an answer took.
    pub fn record_latency(&mut self, span: Span) {
        self.latency.record(span);
    }

    /// How long answers took.
    pub fn latency(&self) -> &Latency {
        &self.latency
    }
}

#[cfg(test)]
mod tests;

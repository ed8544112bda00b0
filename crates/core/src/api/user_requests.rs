//! Users' requests: answered, forwarded, cancelled or refused, on every node.
//!
//! Answers never go back. A final state in the cache is told at once; anything else is confirmed with
//! the state service first (see `confirmation`). Submissions are accepted in `acceptance`.

use crate::api::admission::NewJob;
use crate::api::read_confirmation::{Confirmation, Unconfirmed};
use crate::io::{ReqId, UserRequest};
use crate::metrics::Latency;
use crate::store::records::JobRecord;
use crate::units::{Span, Time};
use rudderreel_wire::ids::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// A user's request that is being served.
#[derive(Clone, Debug)]
pub struct Waiting {
    pub(crate) req: ReqId,
    pub(crate) request: UserRequest,
    pub(crate) since: Time,
    /// It came from a peer, so it is not forwarded again.
    pub(crate) from_peer: bool,
    pub(crate) tries: u32,
}

/// What a call for users is for.
#[derive(Clone, Debug)]
pub enum UserCall {
    /// Read the job, then serve the request by what it says.
    Read(Waiting),
    /// Create the job.
    Create(Waiting, Box<NewJob>),
    /// Read a job that a submission depends on.
    ReadDependency(Waiting, JobId),
    /// Cancel the job.
    Cancel(Waiting, Box<JobRecord>),
    /// Confirm cached versions.
    Confirm(Confirmation),
    /// Read a job whose cached version was out of date, for all whose answers depend on it.
    ReadFor(JobId, Vec<Waiting>),
}

/// A request that took longer is answered 503 rather than tried again.
pub(crate) const PATIENCE: Span = Span(1_500);

/// Users' requests that are being served.
#[derive(Default)]
pub struct UserRequests {
    /// Requests that wait for a confirmation.
    pub(crate) unconfirmed: Unconfirmed,
    /// Jobs that are being cancelled since a dependency of theirs is.
    pub(crate) cancelling: BTreeSet<JobId>,
    /// Requests that a peer was asked to serve.
    pub forwarded: BTreeMap<ReqId, Waiting>,
    /// Administrators' requests that the leader was asked to serve.
    pub admin_forwarded: BTreeMap<ReqId, Time>,
    /// How long answers took.
    pub latency: Latency,
    /// Requests that wait for the state service.
    pub(crate) open: usize,
}

impl Waiting {
    /// A user's own request that has just come.
    pub(crate) fn new(req: ReqId, request: UserRequest, since: Time) -> Self {
        Self {
            req,
            request,
            since,
            from_peer: false,
            tries: 0,
        }
    }

    /// The request.
    pub(crate) fn req(&self) -> ReqId {
        self.req
    }

    /// The job that it is about.
    pub(crate) fn job(&self) -> &JobId {
        match &self.request {
            UserRequest::Submit(spec) => &spec.id,
            UserRequest::Status(id) | UserRequest::Cancel(id) => id,
        }
    }
}

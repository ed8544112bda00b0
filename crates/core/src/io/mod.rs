//! What goes into the core and what comes out of it.

mod admin_request;

pub use admin_request::AdminRequest;

use rudderreel_wire::cloud::{Catalog, MachineNames, MachinePage, Rent};
use rudderreel_wire::ids::{JobId, LeaseId, MachineId, NodeName, Version};
use rudderreel_wire::job::JobSpec;
use rudderreel_wire::peer::{
    Forward, ForwardedReports, ForwardedReportsReply, Heartbeat, HeartbeatReply,
    ReplicateCancellations, ReplicateCancellationsReply, SenderVersion,
};
use rudderreel_wire::state::{Event, Item, Page, Transaction};
use rudderreel_wire::worker::{DirectCommands, StatusReport};

/// A JSON value of the state service.
pub type Value = serde_json::Value;

/// Identifies a request that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReqId(pub u64);

/// Identifies a call of this node to a service outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a user asks for.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// Accept this job.
    Submit(Box<JobSpec>),
    /// Tell a job's state.
    Status(JobId),
    /// Cancel a job.
    Cancel(JobId),
}

/// A call to the state service.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Read a key.
    Get(String),
    /// Read a page of keys with a prefix, beginning after a key.
    List(String, Option<String>),
    /// Commit a transaction.
    Commit(Transaction<Value>),
    /// Take a lease of so many milliseconds.
    NewLease(u64),
    /// Renew a lease.
    Renew(LeaseId),
    /// End a lease.
    EndLease(LeaseId),
}

/// How a call to the state service ended.
#[derive(Clone, Debug)]
pub enum StoreAnswer {
    /// The key read.
    Found(Item<Value>),
    /// There is no such key (or lease).
    Missing,
    /// A page of keys.
    Page(Page<Value>),
    /// The transaction was carried out at this revision.
    Committed(Version),
    /// These keys' conditions failed.
    Conflict(Vec<String>),
    /// The lease taken.
    Lease(LeaseId),
    /// Done (renewals and ends of leases).
    Done,
    /// The `set` named a lease that has ended.
    NoSuchLease,
    /// Not executed, and never will be as it is: too large for the service's limits.
    Rejected,
    /// Not executed: refused for now.
    Refused,
    /// No usable answer: it may have been executed, or may yet be.
    Unknown,
}

/// A call to the cloud.
#[derive(Clone, Debug)]
pub enum CloudCall {
    /// Read the machine types.
    Catalog,
    /// Rent machines.
    Rent(Rent),
    /// Return machines.
    Return(MachineNames),
    /// List machines after a name.
    List(Option<MachineId>),
}

/// How a call to the cloud ended.
#[derive(Clone, Debug)]
pub enum CloudAnswer {
    /// The machine types.
    Catalog(Catalog),
    /// The machines rented.
    Rented(MachineNames),
    /// None available.
    NoCapacity,
    /// The machines are gone.
    Returned,
    /// A page of the list.
    Page(MachinePage),
    /// The request was malformed.
    Rejected,
    /// Not executed: refused for now.
    Refused,
    /// No usable answer.
    Unknown,
}

/// How direct commands to a worker ended.
#[derive(Clone, Debug)]
pub enum DirectOutcome {
    /// Executed; the report after them.
    Executed(Box<StatusReport>),
    /// Nothing executed; the report if it was readable.
    Rejected(Option<Box<StatusReport>>),
    /// No connection was made, so nothing was sent.
    NotSent,
    /// It was not tried: too many calls wait.
    NotCalled,
    /// No usable answer: they may have been executed, or may yet be.
    Unknown,
}

/// An input of the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A user's request.
    User(ReqId, UserRequest),
    /// A user's request that a peer forwarded, and which version the peer has.
    ForwardedRequest(ReqId, UserRequest, SenderVersion),
    /// A worker's report.
    StatusReport(ReqId, Box<StatusReport>),
    /// A health check.
    Health(ReqId),
    /// An administrator's request; not local if a peer forwarded it.
    Admin(ReqId, AdminRequest, bool),
    /// A peer's heartbeat.
    Heartbeat(ReqId, Heartbeat),
    /// A peer's answer to a heartbeat sent at the given moment.
    HeartbeatReply(crate::units::Time, HeartbeatReply),
    /// Reports that a peer passes on.
    ForwardedReports(ReqId, ForwardedReports),
    /// The leader's answer to reports that were passed on; none if it gave none.
    ForwardedReportsReply(CallId, Option<ForwardedReportsReply>),
    /// Cancellations that a peer makes known.
    ReplicateCancellations(ReqId, ReplicateCancellations),
    /// A peer's answer to cancellations made known to it; none if it gave none.
    ReplicateCancellationsReply(NodeName, Option<ReplicateCancellationsReply>),
    /// A peer's answer to a forwarded request; none if it gave none.
    ForwardReply(ReqId, Option<(u16, String)>),
    /// The state service's answer to a call sent at the given moment.
    State(CallId, crate::units::Time, StoreAnswer),
    /// Changes seen by the watch; the next watch starts after the revision.
    Watched(Version, Vec<Event<Value>>),
    /// The watch has lost its place; everything must be read again.
    WatchLost,
    /// The cloud's answer.
    Cloud(CallId, CloudAnswer),
    /// A worker's answer to direct commands.
    Direct(MachineId, DirectCommands, DirectOutcome),
}

/// An output of the core.
#[derive(Clone, Debug)]
pub enum Output {
    /// Answer a request with JSON.
    Answer {
        /// Which request.
        req: ReqId,
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: String,
        /// When to come back, in seconds.
        retry_after: Option<u32>,
    },
    /// Answer a heartbeat.
    AnswerHeartbeat(ReqId, HeartbeatReply),
    /// Answer a peer that passed reports on.
    AnswerForwardedReports(ReqId, ForwardedReportsReply),
    /// Answer a peer that made cancellations known.
    AnswerReplicateCancellations(ReqId, ReplicateCancellationsReply),
    /// Make cancellations known to a peer.
    ReplicateCancellations(NodeName, ReplicateCancellations),
    /// Pass reports on to the leader.
    ForwardReports(NodeName, CallId, ForwardedReports),
    /// Call the state service.
    State(CallId, StoreCall),
    /// Watch the shared prefix from a revision on.
    Watch(Version),
    /// Call the cloud.
    Cloud(CallId, CloudCall),
    /// Send commands to a worker.
    Direct {
        /// The machine.
        machine: MachineId,
        /// Its address.
        addr: String,
        /// The commands.
        body: DirectCommands,
    },
    /// Send a heartbeat to every peer.
    Heartbeat(Heartbeat),
    /// Forward a user's request to a peer.
    Forward(NodeName, ReqId, Forward),
}

/// A response to a worker: a token and commands, kept here so that tests can read it back.
pub(crate) fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_else(|_| "{}".into())
}

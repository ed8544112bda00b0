//! What goes into a node and what comes out of it.
//!
//! The core does no input or output itself: [`Node::step`](crate::Node::step) takes one [`Input`] and returns
//! the [`Output`]s that it causes, in order. The shell around it owns sockets, threads and clocks.
//!
//! - Requests of users, administrators, agents and peers come in with a [`ReqId`], and exactly one answer goes
//!   out with the same id.
//! - Calls to the state service and the cloud go out with a [`CallId`], and their answers come back with it. A call
//!   without a usable answer comes back, too, as `Unknown`: it may have been executed, or may yet be. `Refused`
//!   and `Rejected` say that it was not.
//! - Messages to peers and direct commands to agents come back with what was sent, or with the peer's name.

mod admin_request;

pub use admin_request::AdminRequest;

use crate::units::Time;
use rudderreel_wire::cloud::{Catalog, MachineNames, MachinePage, Rent};
use rudderreel_wire::ids::{JobId, LeaseId, MachineId, NodeName, Version};
use rudderreel_wire::job::JobSpec;
use rudderreel_wire::peer::{
    Forward, ForwardedReports, ForwardedReportsReply, Heartbeat, HeartbeatReply,
    ReplicateCancellations, ReplicateCancellationsReply, SenderVersion,
};
use rudderreel_wire::state::{Event, Events, Item, Page, Transaction};
use rudderreel_wire::worker::{DirectCommands, StatusReport};

/// A JSON value of the state service.
pub type Value = serde_json::Value;

/// Identifies a request that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReqId(pub u64);

/// Identifies a call of this node to a service outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Where a request has come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    /// From its sender.
    Direct,
    /// From a peer that could not serve it. It is not forwarded again.
    Peer,
}

/// What a user asks for.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// Accept this job.
    Submit(Box<JobSpec>),
    /// Ask for a job's state.
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
    /// Read the changes of keys with a prefix after a revision.
    Changes(String, Version),
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
    /// The changes read, up to the store's present revision.
    Changes(Events<Value>),
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

/// How direct commands to an agent ended.
#[derive(Clone, Debug)]
pub enum DirectOutcome {
    /// Executed; the status report after them.
    Executed(Box<StatusReport>),
    /// Nothing executed; the status report if it was readable.
    Rejected(Option<Box<StatusReport>>),
    /// No connection was made, so nothing was sent.
    NotSent,
    /// It was not tried: too many calls wait, or it would have been sent too late.
    NotCalled,
    /// No usable answer: they may have been executed, or may yet be.
    Unknown,
}

/// An input of a node.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A user's request.
    User(ReqId, UserRequest),
    /// A user's request that a peer forwarded.
    ForwardedRequest {
        /// Which request.
        req: ReqId,
        /// What is asked.
        request: UserRequest,
        /// Which version the peer has.
        sender: SenderVersion,
    },
    /// An agent's status report.
    StatusReport(ReqId, Box<StatusReport>),
    /// A health check.
    Health(ReqId),
    /// An administrator's request.
    Admin {
        /// Which request.
        req: ReqId,
        /// What is asked.
        request: AdminRequest,
        /// Whether a peer forwarded it.
        origin: RequestOrigin,
    },
    /// A peer's heartbeat.
    Heartbeat(ReqId, Heartbeat),
    /// A peer's answer to a heartbeat sent at the given moment.
    HeartbeatReply(Time, HeartbeatReply),
    /// Status reports that a peer forwards.
    ForwardedReports(ReqId, ForwardedReports),
    /// The leader's answer to forwarded status reports; none if it gave none.
    ForwardedReportsReply(CallId, Option<ForwardedReportsReply>),
    /// Cancellations that a peer replicates to this node.
    ReplicateCancellations(ReqId, ReplicateCancellations),
    /// A peer's answer to cancellations that were replicated to it; none if it gave none.
    ReplicateCancellationsReply(NodeName, Option<ReplicateCancellationsReply>),
    /// A peer's answer to a forwarded request; none if it gave none.
    ForwardReply(ReqId, Option<(u16, String)>),
    /// The state service's answer to a call.
    Store {
        /// Which call.
        call: CallId,
        /// When it was sent.
        sent_at: Time,
        /// The answer.
        answer: StoreAnswer,
    },
    /// Changes seen by the watch.
    Watched {
        /// When the call was sent that brought them.
        sent_at: Time,
        /// The revision up to which there are no others.
        revision: Version,
        /// The changes.
        events: Vec<Event<Value>>,
    },
    /// The watch has lost its place; everything must be read again.
    WatchLost,
    /// The cloud's answer.
    Cloud(CallId, CloudAnswer),
    /// How direct commands to an agent ended.
    Direct {
        /// Its machine.
        machine: MachineId,
        /// The commands.
        commands: DirectCommands,
        /// How they ended.
        outcome: DirectOutcome,
    },
}

/// An output of a node.
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
    /// Answer a peer that forwarded status reports.
    AnswerForwardedReports(ReqId, ForwardedReportsReply),
    /// Answer a peer that replicated cancellations.
    AnswerReplicateCancellations(ReqId, ReplicateCancellationsReply),
    /// Replicate cancellations to a peer.
    ReplicateCancellations(NodeName, ReplicateCancellations),
    /// Forward status reports to the leader.
    ForwardReports {
        /// The leader.
        peer: NodeName,
        /// By what the answer is matched.
        call: CallId,
        /// The reports.
        reports: ForwardedReports,
    },
    /// Call the state service.
    Store(CallId, StoreCall),
    /// Watch the shared prefix from a revision on.
    Watch(Version),
    /// Call the cloud.
    Cloud(CallId, CloudCall),
    /// Send commands to an agent.
    Direct {
        /// The machine.
        machine: MachineId,
        /// Its address.
        addr: String,
        /// The commands.
        body: DirectCommands,
        /// They may be sent until this moment, if there is a bound; then they are answered as not called.
        send_until: Option<Time>,
    },
    /// Send a heartbeat to every peer.
    Heartbeat(Heartbeat),
    /// Forward a user's or administrator's request to a peer.
    Forward {
        /// The peer.
        peer: NodeName,
        /// By what the answer is matched.
        req: ReqId,
        /// What is asked.
        request: Forward,
    },
}

/// A body as JSON, with its fields in the order of their declaration.
pub(crate) fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_else(|_| "{}".into())
}

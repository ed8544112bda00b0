//! The inputs and outputs of a node.
//!
//! The core does no I/O itself: [`Node::step`](crate::Node::step) takes one [`Input`] and returns the [`Output`]s that
//! it causes, in order. The program around it owns the sockets, threads and clocks.
//!
//! - A request of a user, an administrator, an agent or a peer arrives with a [`ReqId`], and exactly one answer with
//!   the same id is returned.
//! - A call to the store or the cloud is returned with a [`CallId`], and its answer arrives with the same id. A call
//!   without a usable answer is answered as well, with `Unknown`: it may have been executed, or may yet be. `Refused`
//!   and `Rejected` say that it was not.
//! - The outcome of a message to a peer or of direct commands to an agent arrives with what was sent, or with the
//!   peer's name.

mod admin_request;

pub use admin_request::AdminRequest;

use crate::units::Time;
use rudderreel_wire::cloud::{Catalog, MachineNames, MachinePage, ScaleOutRequest};
use rudderreel_wire::ids::{JobId, LeaseId, MachineId, NodeName, Version};
use rudderreel_wire::job::JobSpec;
use rudderreel_wire::peer::{
    Forward, ForwardedReports, ForwardedReportsReply, Heartbeat, HeartbeatReply,
    ReplicateCancellations, ReplicateCancellationsReply, SenderVersion,
};
use rudderreel_wire::state::{Event, Events, Item, Page, Transaction};
use rudderreel_wire::worker::{DirectCommands, StatusReport};

/// A JSON value in the store.
pub type Value = serde_json::Value;

/// Identifies a request that waits for this node's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReqId(pub u64);

/// Identifies a call that this node makes and whose answer it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// How a request reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    /// Sent by the requester itself.
    Direct,
    /// Forwarded by a peer that could not serve it. It is not forwarded again.
    Peer,
}

/// A user's request.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// Submit a job.
    Submit(Box<JobSpec>),
    /// Get a job's state.
    Status(JobId),
    /// Cancel a job.
    Cancel(JobId),
}

/// A call to the store.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Read a key.
    Get(String),
    /// Read a page of the keys with a prefix, beginning after a key if one is given.
    List(String, Option<String>),
    /// Read the changes of keys with a prefix after a revision.
    Changes(String, Version),
    /// Commit a transaction.
    Commit(Transaction<Value>),
    /// Acquire a lease with a time to live in milliseconds.
    AcquireLease(u64),
    /// Renew a lease.
    RenewLease(LeaseId),
    /// End a lease.
    EndLease(LeaseId),
}

/// The outcome of a call to the store.
#[derive(Clone, Debug)]
pub enum StoreAnswer {
    /// The key that was read, with its value.
    Found(Item<Value>),
    /// The key or lease does not exist.
    Missing,
    /// A page of keys.
    Page(Page<Value>),
    /// The changes that were read, up to the store's current revision.
    Changes(Events<Value>),
    /// The transaction was committed at this revision.
    Committed(Version),
    /// The transaction's conditions on these keys failed.
    Conflict(Vec<String>),
    /// The lease that was acquired.
    Lease(LeaseId),
    /// The lease was renewed or ended.
    Done,
    /// A `set` of the transaction named a lease that has ended.
    NoSuchLease,
    /// The call was not executed, and never will be in this form: it is too large for the store's limits.
    Rejected,
    /// The call was not executed: it was refused for now.
    Refused,
    /// No usable answer: the call may have been executed, or may yet be.
    Unknown,
}

/// A call to the cloud.
#[derive(Clone, Debug)]
pub enum CloudCall {
    /// Read the machine types.
    Catalog,
    /// Rent machines.
    ScaleOut(ScaleOutRequest),
    /// Return machines.
    ScaleIn(MachineNames),
    /// List the machines after a name if one is given, else from the first.
    List(Option<MachineId>),
}

/// The outcome of a call to the cloud.
#[derive(Clone, Debug)]
pub enum CloudAnswer {
    /// The machine types.
    Catalog(Catalog),
    /// The machines that were rented.
    Rented(MachineNames),
    /// No machine of the requested kind is available.
    NoCapacity,
    /// The machines were returned and are gone.
    Returned,
    /// A page of the list of machines.
    Page(MachinePage),
    /// The request was malformed.
    Rejected,
    /// The call was not executed: it was refused for now.
    Refused,
    /// No usable answer: the call may have been executed, or may yet be.
    Unknown,
}

/// The outcome of direct commands to an agent.
#[derive(Clone, Debug)]
pub enum DirectOutcome {
    /// The commands were executed; contains the agent's status report after them.
    Executed(Box<StatusReport>),
    /// None of the commands was executed; contains the agent's status report if it was readable.
    Rejected(Option<Box<StatusReport>>),
    /// No connection was made, so nothing was sent.
    NotSent,
    /// No call was attempted: too many calls were waiting, or the commands would have been sent too late.
    NotCalled,
    /// No usable answer: the commands may have been executed, or may yet be.
    Unknown,
}

/// An input of a node.
#[derive(Clone, Debug)]
pub enum Input {
    /// A tick of the main loop, on which periodic work that is due is done.
    Tick,
    /// A user's request.
    User(ReqId, UserRequest),
    /// A user's request that a peer forwarded.
    ForwardedRequest {
        /// The id to answer with.
        req: ReqId,
        /// The user's request.
        request: UserRequest,
        /// The version of the peer that forwarded it.
        sender: SenderVersion,
    },
    /// An agent's status report.
    StatusReport(ReqId, Box<StatusReport>),
    /// A health check.
    Health(ReqId),
    /// An administrator's request.
    Admin {
        /// The id to answer with.
        req: ReqId,
        /// The administrator's request.
        request: AdminRequest,
        /// Whether the requester sent it or a peer forwarded it.
        origin: RequestOrigin,
    },
    /// A peer's heartbeat.
    Heartbeat(ReqId, Heartbeat),
    /// A peer's answer to a heartbeat that was sent at the given time.
    HeartbeatReply(Time, HeartbeatReply),
    /// Status reports that a peer forwarded.
    ForwardedReports(ReqId, ForwardedReports),
    /// The leader's answer to forwarded status reports; `None` if there was none.
    ForwardedReportsReply(CallId, Option<ForwardedReportsReply>),
    /// Cancellations that a peer replicated to this node.
    ReplicateCancellations(ReqId, ReplicateCancellations),
    /// A peer's answer to cancellations that were replicated to it; `None` if there was none.
    ReplicateCancellationsReply(NodeName, Option<ReplicateCancellationsReply>),
    /// A peer's answer to a forwarded request, as HTTP status and JSON body; `None` if there was none.
    ForwardReply(ReqId, Option<(u16, String)>),
    /// The outcome of a call to the store.
    Store {
        /// The call.
        call: CallId,
        /// Time at which the call was sent.
        sent_at: Time,
        /// The outcome.
        answer: StoreAnswer,
    },
    /// Changes that the watch received.
    Watched {
        /// Time at which the call was sent that returned the changes.
        sent_at: Time,
        /// Revision up to which there are no other changes.
        revision: Version,
        /// The changes.
        events: Vec<Event<Value>>,
    },
    /// The watch can't continue from its revision; everything must be read again.
    WatchLost,
    /// The outcome of a call to the cloud.
    Cloud(CallId, CloudAnswer),
    /// The outcome of direct commands to an agent.
    Direct {
        /// The agent's machine.
        machine: MachineId,
        /// The commands.
        commands: DirectCommands,
        /// The outcome.
        outcome: DirectOutcome,
    },
}

/// Start commands that must not be sent any more, although calls with them wait in the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartRevocation {
    /// Those of a job, which is cancelled.
    OfJob(JobId),
    /// All, since this node does not lead any more.
    All,
}

/// An output of a node.
#[derive(Clone, Debug)]
pub enum Output {
    /// Answer a request with JSON.
    Answer {
        /// The request.
        req: ReqId,
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: String,
        /// Seconds after which the requester should retry.
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
        /// The id with which the leader's answer arrives.
        call: CallId,
        /// The reports.
        reports: ForwardedReports,
    },
    /// Call the store.
    Store(CallId, StoreCall),
    /// Watch the keys with the shared prefix from a revision on.
    Watch(Version),
    /// Call the cloud.
    Cloud(CallId, CloudCall),
    /// Send commands to an agent.
    Direct {
        /// The agent's machine.
        machine: MachineId,
        /// The agent's address.
        addr: String,
        /// The commands.
        body: DirectCommands,
        /// Time until which the commands may be sent, if there is a bound. Later they are answered with
        /// [`DirectOutcome::NotCalled`].
        send_until: Option<Time>,
    },
    /// Do not send direct calls any more that contain certain start commands, but answer them with
    /// [`DirectOutcome::NotCalled`]. Precedes the other outputs of its step, so that the calls are revoked before anybody
    /// can learn from this node that a job is cancelled.
    RevokeStarts(StartRevocation),
    /// Send a heartbeat to every peer.
    Heartbeat(Heartbeat),
    /// Forward a user's or administrator's request to a peer.
    Forward {
        /// The peer.
        peer: NodeName,
        /// The id with which the peer's answer arrives.
        req: ReqId,
        /// The request.
        request: Forward,
    },
}

/// Serializes a body as JSON, with its fields in the order of their declaration.
pub(crate) fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_else(|_| "{}".into())
}

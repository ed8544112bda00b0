//! Messages between nodes, in `bitcode`.
//!
//! `bitcode` writes no field names: the order and the types of the fields are the format. During a rolling upgrade,
//! nodes of this version exchange messages with nodes of the previous version. So fields must never be moved or
//! removed.

use crate::ids::{Epoch, FencingToken, Version};
use crate::job::{JobSpec, DEPENDENCIES};
use bitcode::{Decode, Encode};
use serde_json::{json, Value};

/// Maximum size of a message between nodes, in bytes. Senders keep well below it: status reports and cancellations are
/// sent in batches, and the list of task counts is truncated.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Path of [`Heartbeat`] on a node's peer listener.
pub const HEARTBEAT_PATH: &str = "/peer/heartbeat";
/// Path of [`ReplicateCancellations`].
pub const REPLICATE_CANCELLATIONS_PATH: &str = "/peer/announce";
/// Path of [`ForwardedReports`].
pub const FORWARDED_REPORTS_PATH: &str = "/peer/reports";
/// Path of [`Forward`].
pub const FORWARD_PATH: &str = "/peer/forward";

/// A heartbeat. Each node sends one to every other node a few times a second.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Heartbeat {
    /// Name of the sender.
    pub from: String,
    /// Highest epoch that the sender knows.
    pub epoch: Epoch,
    /// Whether the sender leads that epoch.
    pub leads: bool,
    /// Whether the state service answers the sender.
    pub store_reachable: bool,
    /// Whether the sender requests a lease vote.
    pub requests_lease_vote: bool,
    /// Number of machines in the fleet if the sender leads, else 0.
    pub machines: u32,
    /// Number of agents that report to the sender; a higher number if the sender can't keep up with its agents.
    pub agents: u32,
    /// Whether the sender leads, or reaches the leader and so can forward agents' status reports.
    pub forwards_reports: bool,
    /// Milliseconds since the sender last received an agent's status report, whatever it answered; `u64::MAX` if it
    /// received none since its start.
    pub agent_silence_ms: u64,
    /// Partitioned zones, each with the number of milliseconds for which the leader has received nothing from machines
    /// there. The next leader could not know this otherwise.
    pub partitioned_zones: Vec<(String, u64)>,
    /// The leader's task counts, for display only. Not every heartbeat carries them.
    pub counts: Option<Vec<Count>>,
    /// The sender's cancellation watermark: the sender knows every cancellation committed up to this revision. 0 if it
    /// has not read the jobs since it started.
    pub cancellation_watermark: Version,
}

/// A cancelled job, as its cancellation is replicated to another node.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct CancelledJob {
    /// The job's id.
    pub job: String,
    /// The revision of the commit that cancelled it.
    pub version: Version,
    /// Time of day of the cancellation, in milliseconds since the Unix epoch.
    pub cancelled_ms: u64,
    /// Time of day of the job's submission, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Number of the job's tasks.
    pub tasks: u32,
}

/// A message that replicates cancellations to a peer, before any user receives an answer that confirms them.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ReplicateCancellations {
    /// Name of the sender.
    pub from: String,
    /// The sender's cancellation watermark, as in a heartbeat.
    pub cancellation_watermark: Version,
    /// The cancelled jobs.
    pub cancelled: Vec<CancelledJob>,
}

/// The acknowledgement of a [`ReplicateCancellations`]: the answering node knows everything in it from now on.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ReplicateCancellationsReply {
    /// The answering node's cancellation watermark, as in a heartbeat.
    pub cancellation_watermark: Version,
}

/// The cancellations that a candidate must know before a lease vote counts for it.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Catchup {
    /// Revision up to which the candidate knows every cancellation once it has applied those in `cancelled`.
    pub cancellation_watermark: Version,
    /// The cancellations that the candidate lacks.
    pub cancelled: Vec<CancelledJob>,
}

/// Task counts of one job, for display.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Count {
    /// The job's id.
    pub job: String,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that are running.
    pub running: u32,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, Encode, Decode)]
pub struct HeartbeatReply {
    /// Name of the answering node.
    pub from: String,
    /// Highest epoch that the answering node knows, the heartbeat's included.
    pub epoch: Epoch,
    /// Whether the state service answers the answering node.
    pub store_reachable: bool,
    /// Whether the answering node grants a lease vote. With the lease votes of a majority, a leader continues through
    /// an outage of the state service. A node that grants one receives no answers from the state service, knows no
    /// higher epoch, and does not campaign while the vote is valid.
    pub grants_lease_vote: bool,
    /// Milliseconds since the answering node last received an agent's status report, whatever it answered; `u64::MAX`
    /// if it received none since its start.
    pub agent_silence_ms: u64,
    /// The answering node's cancellation watermark.
    pub cancellation_watermark: Version,
    /// In an outage of the state service, the cancellations that the candidate lacks. If they don't fit into one
    /// message, the vote is granted only with a later reply.
    pub catchup: Option<Catchup>,
}

/// A user's request, forwarded by a node that the state service does not answer.
#[derive(Clone, Debug, Encode, Decode)]
pub enum Forward {
    /// A submission, as JSON that the forwarding node has checked (see [`ForwardedSubmission`]).
    Submit(String),
    /// A status request, with the job's id.
    Status(String),
    /// A cancellation, with the job's id.
    Cancel(String),
    /// A request to the administration API that only the leader can answer, with its path.
    Admin(String),
}

/// The version of a node that forwards a submission, as far as the submission shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderVersion {
    /// The submission has the field for dependencies, even if there are none.
    KnowsDependencies,
    /// The submission lacks that field: the node does not know dependencies, and may have dropped some.
    BeforeDependencies,
}

/// A submission as one node forwards it to another.
#[derive(Clone, Debug)]
pub struct ForwardedSubmission {
    /// The submitted job.
    pub spec: JobSpec,
    /// Version of the node that forwarded the submission.
    pub sender: SenderVersion,
}

impl ForwardedSubmission {
    /// Returns the JSON text that forwards a submission. A version that does not know dependencies can read it, too.
    pub fn text(spec: &JobSpec) -> String {
        let mut value = serde_json::to_value(spec).unwrap_or_default();
        if let Some(fields) = value.as_object_mut() {
            fields.entry(DEPENDENCIES).or_insert_with(|| json!([]));
        }
        value.to_string()
    }

    /// Parses the JSON text of a forwarded submission; returns `None` if the text is not a submission.
    pub fn parse(text: &str) -> Option<Self> {
        let value: Value = serde_json::from_str(text).ok()?;
        let sender = match value.get(DEPENDENCIES) {
            Some(_) => SenderVersion::KnowsDependencies,
            None => SenderVersion::BeforeDependencies,
        };
        let spec = serde_json::from_value(value).ok()?;
        Some(Self { spec, sender })
    }
}

/// The reply to a forwarded request.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ForwardReply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: String,
}

/// Status reports that agents sent to a node that does not lead, forwarded to the leader.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ForwardedReports {
    /// The forwarded status reports.
    pub reports: Vec<ForwardedReport>,
}

/// A forwarded status report.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ForwardedReport {
    /// The agent's machine.
    pub machine: String,
    /// The agent's incarnation.
    pub incarnation: u64,
    /// Sequence number of the status report within the incarnation.
    pub seq: u64,
    /// Highest fencing token that the agent has seen.
    pub token: u64,
    /// Seconds until the cloud reclaims the machine; `None` if the cloud has announced no reclaim.
    pub reclaim_in_s: Option<f64>,
    /// The tasks that the status report lists.
    pub tasks: ForwardedTasks,
}

/// The tasks of a forwarded status report.
#[derive(Clone, Debug, Encode, Decode)]
pub enum ForwardedTasks {
    /// The same tasks as in the message with this sequence number of the same incarnation, which the leader has
    /// reconciled.
    SameAs(u64),
    /// The whole status report, as JSON.
    Whole(String),
}

/// The leader's reply to forwarded status reports.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ForwardedReportsReply {
    /// The fencing token of the answers without commands, if the answering node leads and may answer agents.
    pub token: Option<FencingToken>,
    /// The answers, in the order of the reports.
    pub answers: Vec<ForwardedAnswer>,
}

/// The leader's answer to one forwarded status report.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ForwardedAnswer {
    /// The agent is answered, with this [`StatusReportReply`](crate::worker::StatusReportReply) as JSON; `None` if
    /// there are no commands.
    Answered(Option<String>),
    /// The leader needs the whole status report before it can answer.
    Whole,
    /// The agent must not be answered.
    Refused,
}

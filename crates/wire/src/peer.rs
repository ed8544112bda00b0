//! Messages between nodes, in `bitcode`.
//!
//! `bitcode` writes no field names: the order and the types of the fields are the format, also for nodes of the
//! version before, which run beside this one during a rolling upgrade. Fields are never moved or removed.

use crate::ids::{Epoch, Version};
use crate::job::{JobSpec, DEPENDENCIES};
use bitcode::{Decode, Encode};
use serde_json::{json, Value};

/// The largest message between nodes, in bytes. Senders keep well below it: status reports and
/// cancellations are sent in batches, and task counts are cut.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Path of [`Heartbeat`] on a node's server for peers.
pub const HEARTBEAT_PATH: &str = "/peer/heartbeat";
/// Path of [`ReplicateCancellations`].
pub const REPLICATE_CANCELLATIONS_PATH: &str = "/peer/announce";
/// Path of [`ForwardedReports`].
pub const FORWARDED_REPORTS_PATH: &str = "/peer/reports";
/// Path of [`Forward`].
pub const FORWARD_PATH: &str = "/peer/forward";

/// A heartbeat. It is sent to every other node a few times a second.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Heartbeat {
    /// Who sends it.
    pub from: String,
    /// The highest epoch that the sender knows.
    pub epoch: Epoch,
    /// Whether the sender leads that epoch.
    pub leads: bool,
    /// Whether the state service answers the sender.
    pub store_reachable: bool,
    /// Whether the sender asks for a lease vote.
    pub requests_lease_vote: bool,
    /// Machines that the leader knows.
    pub machines: u32,
    /// Agents that report to the sender.
    pub agents: u32,
    /// Whether the sender reaches the leader, so that it can forward agents' status reports.
    pub forwards_reports: bool,
    /// Milliseconds since an agent last reported to the sender, whatever it was answered.
    pub agent_silence_ms: u64,
    /// Partitioned zones, and for how many milliseconds the leader has heard nothing of them. A leader that follows it
    /// could not know that.
    pub partitioned_zones: Vec<(String, u64)>,
    /// The leader's task counts, for display. Not in every heartbeat.
    pub counts: Option<Vec<Count>>,
    /// The sender's cancellation watermark: every cancellation committed up to this revision is known to it. 0 if it
    /// has not read the jobs since it started.
    pub cancellation_watermark: Version,
}

/// A cancellation as it is replicated to another node.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct CancelledJob {
    /// The job.
    pub job: String,
    /// The revision of the commit that cancelled it.
    pub version: Version,
    /// When that was, by the time of day in milliseconds.
    pub cancelled_ms: u64,
    /// When it was submitted.
    pub submitted_ms: u64,
    /// How many tasks it has.
    pub tasks: u32,
}

/// Replicates cancellations to a peer before any user is told of them.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ReplicateCancellations {
    /// Who sends it.
    pub from: String,
    /// As in a heartbeat.
    pub cancellation_watermark: Version,
    /// The jobs.
    pub cancelled: Vec<CancelledJob>,
}

/// Acknowledges a [`ReplicateCancellations`]: everything in it is known to the answering node from now on.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ReplicateCancellationsReply {
    /// As in a heartbeat.
    pub cancellation_watermark: Version,
}

/// The cancellations that a candidate has to know before a lease vote counts for it.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Catchup {
    /// With these, every cancellation up to this revision is known to the candidate.
    pub cancellation_watermark: Version,
    /// The cancellations that it lacked.
    pub cancelled: Vec<CancelledJob>,
}

/// Tasks of one job, for display.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Count {
    /// The job.
    pub job: String,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, Encode, Decode)]
pub struct HeartbeatReply {
    /// Who answers.
    pub from: String,
    /// The highest epoch that the answering node knows, the heartbeat's included.
    pub epoch: Epoch,
    /// Whether the state service answers this node.
    pub store_reachable: bool,
    /// Whether this node grants a lease vote, by a majority of which a leader goes on through an outage of the state
    /// service. The node that grants it gets no answer from the state service, knows no higher epoch, and does not
    /// campaign while the vote is valid.
    pub grants_lease_vote: bool,
    /// Milliseconds since an agent last reported to the answering node, whatever it was answered.
    pub agent_silence_ms: u64,
    /// The answering node's cancellation watermark.
    pub cancellation_watermark: Version,
    /// In an outage of the state service: the cancellations that the candidate lacks. If they don't fit into one message,
    /// the vote is granted with a later one.
    pub catchup: Option<Catchup>,
}

/// A user's request, forwarded by a node that the state service does not answer.
#[derive(Clone, Debug, Encode, Decode)]
pub enum Forward {
    /// A submission, as JSON that was checked (see [`ForwardedSubmission`]).
    Submit(String),
    /// A status request.
    Status(String),
    /// A cancellation.
    Cancel(String),
    /// A path of the administration API that only the leader can answer.
    Admin(String),
}

/// Which version a node that forwards a submission has, as the submission shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderVersion {
    /// It names the dependencies, even if there are none.
    KnowsDependencies,
    /// It says nothing of them: it does not know them, and may have dropped some.
    BeforeDependencies,
}

/// A submission as one node forwards it to another.
#[derive(Clone, Debug)]
pub struct ForwardedSubmission {
    /// What was submitted.
    pub spec: JobSpec,
    /// Which version forwarded it.
    pub sender: SenderVersion,
}

impl ForwardedSubmission {
    /// The text by which a submission is forwarded. A version that knows no dependencies reads it, too.
    pub fn text(spec: &JobSpec) -> String {
        let mut value = serde_json::to_value(spec).unwrap_or_default();
        if let Some(fields) = value.as_object_mut() {
            fields.entry(DEPENDENCIES).or_insert_with(|| json!([]));
        }
        value.to_string()
    }

    /// The submission that a text forwards; none if it is not one.
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

/// Answer to a forwarded request.
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
    /// The reports.
    pub reports: Vec<ForwardedReport>,
}

/// A status report that is forwarded.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ForwardedReport {
    /// The machine.
    pub machine: String,
    /// The agent's incarnation.
    pub incarnation: u64,
    /// Orders messages within the incarnation.
    pub seq: u64,
    /// Highest fencing token that the agent has seen.
    pub token: u64,
    /// Seconds until the cloud reclaims the machine.
    pub reclaim_in_s: Option<f64>,
    /// The tasks that it lists.
    pub tasks: ForwardedTasks,
}

/// The tasks of a status report that is forwarded.
#[derive(Clone, Debug, Encode, Decode)]
pub enum ForwardedTasks {
    /// The same as in the message of this number of the same incarnation, which the leader has reconciled.
    SameAs(u64),
    /// The whole status report, as JSON.
    Whole(String),
}

/// The leader's answer to forwarded status reports.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ForwardedReportsReply {
    /// The fencing token, if the node leads and may answer agents.
    pub token: Option<Epoch>,
    /// The answers, in the order of the reports.
    pub answers: Vec<ForwardedAnswer>,
}

/// The leader's answer to one status report.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ForwardedAnswer {
    /// The agent is answered, with these commands as JSON if there are any.
    Answered(Option<String>),
    /// The leader needs the whole status report.
    Whole,
    /// The agent must not be answered.
    Refused,
}

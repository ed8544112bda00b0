//! What the nodes tell one another, in bitcode.

use crate::ids::{Epoch, Version};
use crate::job::{JobSpec, DEPENDENCIES};
use bitcode::{Decode, Encode};
use serde_json::{json, Value};

/// The largest message between nodes, in bytes. Whoever sends one keeps well below it: reports and
/// cancellations go in batches, and counts are cut.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Sent to every other node a few times a second.
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
    /// Whether the sender asks for a word.
    pub requests_lease_vote: bool,
    /// Machines that the leader knows.
    pub machines: u32,
    /// Workers that report to the sender.
    pub workers: u32,
    /// Whether the sender hears the leader, so that it can pass workers' reports on.
    pub forwards_reports: bool,
    /// Milliseconds since a worker last reported to the sender, whatever it was answered.
    pub worker_silence_ms: u64,
    /// Zones that the leader takes for cut off, and for how many milliseconds it has heard nothing of
    /// them: one that follows it could not tell.
    pub partitioned_zones: Vec<(String, u64)>,
    /// The leader's counts of tasks, for display, now and then.
    pub counts: Option<Vec<Count>>,
    /// Every cancellation committed up to this revision is known to the sender; 0 if it has not read
    /// the jobs since it started.
    pub cancellation_watermark: Version,
}

/// A cancelled job, as one node tells another of it.
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

/// Cancellations that a node makes known to the others before any user is told of them.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ReplicateCancellations {
    /// Who sends it.
    pub from: String,
    /// As in a heartbeat.
    pub cancellation_watermark: Version,
    /// The jobs.
    pub cancelled: Vec<CancelledJob>,
}

/// Answer to an announcement: everything in it is known to this node from now on.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ReplicateCancellationsReply {
    /// As in a heartbeat.
    pub cancellation_watermark: Version,
}

/// What a node must know before a word counts for it.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Catchup {
    /// With these, every cancellation up to here is known to the node that asked for the word.
    pub cancellation_watermark: Version,
    /// What it lacked.
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
    /// The word that lets a leader go on through an outage of the state service: this node gets
    /// no answer from it, knows of no higher epoch, and will not campaign for a while.
    pub grants_lease_vote: bool,
    /// Milliseconds since a worker last reported here, whatever it was answered.
    pub worker_silence_ms: u64,
    /// Every cancellation committed up to this revision is known to this node.
    pub cancellation_watermark: Version,
    /// With a word, and on the way to one: the cancellations that the asking node lacks.
    pub catchup: Option<Catchup>,
}

/// A user's request, forwarded by a node that the state service does not answer.
#[derive(Clone, Debug, Encode, Decode)]
pub enum Forward {
    /// A submission, as JSON that was checked (see [`ForwardedSubmission`]).
    Submit(String),
    /// A status request.
    Status(String),
    /// A withdrawal.
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

/// A submission as one node passes it to another.
#[derive(Clone, Debug)]
pub struct ForwardedSubmission {
    /// What was submitted.
    pub spec: JobSpec,
    /// Who passes it on.
    pub sender: SenderVersion,
}

impl ForwardedSubmission {
    /// The text that passes a submission on. A version that knows no dependencies reads it, too.
    pub fn text(spec: &JobSpec) -> String {
        let mut value = serde_json::to_value(spec).unwrap_or_default();
        if let Some(fields) = value.as_object_mut() {
            fields.entry(DEPENDENCIES).or_insert_with(|| json!([]));
        }
        value.to_string()
    }

    /// The submission that a text passes on; none if it is not one.
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

/// Reports that workers sent to a node that does not lead, passed on to the leader.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ForwardedReports {
    /// The reports.
    pub reports: Vec<ForwardedReport>,
}

/// A report that is passed on.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ForwardedReport {
    /// The machine.
    pub machine: String,
    /// The worker's session.
    pub incarnation: u64,
    /// Orders messages within the session.
    pub seq: u64,
    /// Highest token the worker has seen.
    pub token: u64,
    /// Seconds until the cloud takes the machine away.
    pub notice_s: Option<f64>,
    /// What it lists.
    pub tasks: ForwardedTasks,
}

/// The tasks of a report that is passed on.
#[derive(Clone, Debug, Encode, Decode)]
pub enum ForwardedTasks {
    /// The same as in the message of this number of the same session, which the leader took in.
    SameAs(u64),
    /// The whole report, as JSON.
    Whole(String),
}

/// What the leader says to reports that were passed on.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ForwardedReportsReply {
    /// The token, if the node leads and may answer workers.
    pub token: Option<Epoch>,
    /// By report.
    pub answers: Vec<ForwardedAnswer>,
}

/// What the leader says to one report.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ForwardedAnswer {
    /// It is answered; the commands, as JSON, if there are any.
    Answered(Option<String>),
    /// The whole report is wanted.
    Whole,
    /// It must not be answered.
    Refused,
}

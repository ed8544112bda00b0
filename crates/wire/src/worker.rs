//! Status reports of agents, and commands for them.
//!
//! An agent is the process on a machine that runs its tasks. It sends status reports, whose answers carry commands,
//! and takes commands directly at its own address. Each command carries the leader's fencing token; the agent refuses
//! those of a token lower than the highest that it has seen.

use crate::ids::{Attempt, Epoch, Incarnation, MachineId, NodeName, Seq, TaskId, TypeName, Zone};
use serde::{Deserialize, Serialize};

/// The state of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Its image is fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// Waits for the rest of its gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// It has a command to stop and takes its last checkpoint.
    #[serde(rename = "saving")]
    Saving,
    /// Ended.
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of the gang is gone.
    #[serde(rename = "peers")]
    Peers,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    Alone,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: not enough room.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Refused: the task is here with another attempt.
    #[serde(rename = "in_use")]
    Busy,
    /// Refused: no such job or task.
    #[serde(rename = "unknown")]
    Unknown,
}

/// A task in a status report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "take")]
    pub task: TaskId,
    /// Its attempt.
    #[serde(rename = "launch")]
    pub attempt: Attempt,
    /// Its state.
    #[serde(rename = "bearing")]
    pub state: TaskState,
    /// Why it ended, when it has.
    #[serde(rename = "cause", default)]
    pub cause: Option<Cause>,
    /// Whether its progress was saved.
    #[serde(rename = "stored", default)]
    pub saved: Option<bool>,
}

/// An agent's status report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// The machine.
    #[serde(rename = "deck")]
    pub machine: MachineId,
    /// Where its agent takes commands.
    pub addr: String,
    /// Its type.
    #[serde(rename = "hull")]
    pub machine_type: TypeName,
    /// Its zone.
    #[serde(rename = "berth")]
    pub zone: Zone,
    /// Whether it is a spot instance.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The agent's incarnation.
    #[serde(rename = "watch")]
    pub incarnation: Incarnation,
    /// Orders messages within the incarnation.
    #[serde(rename = "tally")]
    pub seq: Seq,
    /// Highest fencing token that the agent has seen.
    #[serde(rename = "helm", default)]
    pub token: Epoch,
    /// Seconds until the cloud reclaims the machine.
    #[serde(rename = "recallS", default)]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "takes", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command for an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Start a task.
    #[serde(rename = "run")]
    Start {
        /// The task.
        #[serde(rename = "take")]
        task: TaskId,
        /// Its attempt.
        #[serde(rename = "launch")]
        attempt: Attempt,
    },
    /// Stop a task.
    #[serde(rename = "stop")]
    Stop {
        /// The task.
        #[serde(rename = "take")]
        task: TaskId,
        /// Its attempt.
        #[serde(rename = "launch")]
        attempt: Attempt,
        /// Time for the last checkpoint.
        #[serde(rename = "slackS")]
        grace_s: f64,
    },
    /// Remove an exited task from the status reports.
    #[serde(rename = "reap")]
    Forget {
        /// The task.
        #[serde(rename = "take")]
        task: TaskId,
        /// Its attempt.
        #[serde(rename = "launch")]
        attempt: Attempt,
    },
}

/// The answer to a status report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReportReply {
    /// The leader's fencing token.
    #[serde(rename = "helm")]
    pub token: Epoch,
    /// What to do.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The answer of a node that sends the agent to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportRedirect {
    /// Where to report instead.
    #[serde(rename = "harbour", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<NodeName>,
}

/// Commands sent to an agent's own address.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The leader's fencing token.
    #[serde(rename = "helm")]
    pub token: Epoch,
    /// The incarnation that they are meant for.
    #[serde(rename = "watch")]
    pub incarnation: Incarnation,
    /// What to do.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

//! Status reports of agents, and commands for them.
//!
//! An agent is the process that runs tasks on a machine. It sends status reports, whose answers carry commands, and
//! accepts direct commands at its own address. All commands carry a fencing token of the leader; an agent refuses those
//! whose token is lower than the highest that it has seen.

use crate::ids::{
    Attempt, FencingToken, Incarnation, MachineId, NodeName, Seq, TaskId, TypeName, Zone,
};
use serde::{Deserialize, Serialize};

/// The state of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// The machine is fetching the task's image.
    #[serde(rename = "pulling")]
    Fetching,
    /// The task is waiting for the other tasks of its gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// The task is running.
    #[serde(rename = "running")]
    Running,
    /// The task was commanded to stop and is taking its last checkpoint.
    #[serde(rename = "saving")]
    Saving,
    /// The task has ended.
    #[serde(rename = "exited")]
    Exited,
}

/// The reason why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The task is complete.
    #[serde(rename = "done")]
    Done,
    /// The task was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of the gang is gone.
    #[serde(rename = "peers")]
    Peers,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    Alone,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// The start was refused: the machine has too few free resources.
    #[serde(rename = "no_room")]
    NoRoom,
    /// The start was refused: another attempt of the task is on the machine.
    #[serde(rename = "in_use")]
    Busy,
    /// The start was refused: there is no such job or task.
    #[serde(rename = "unknown")]
    Unknown,
}

/// The status of one task in a status report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task's id.
    #[serde(rename = "take")]
    pub task: TaskId,
    /// The attempt to run the task.
    #[serde(rename = "launch")]
    pub attempt: Attempt,
    /// The task's state on the machine.
    #[serde(rename = "bearing")]
    pub state: TaskState,
    /// The reason why the task ended, if it has.
    #[serde(rename = "cause", default)]
    pub cause: Option<Cause>,
    /// Whether the task's progress was saved.
    #[serde(rename = "stored", default)]
    pub saved: Option<bool>,
}

/// An agent's status report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// The agent's machine.
    #[serde(rename = "deck")]
    pub machine: MachineId,
    /// Address at which the agent accepts direct commands, as IP:PORT.
    pub addr: String,
    /// The machine's type.
    #[serde(rename = "hull")]
    pub machine_type: TypeName,
    /// The machine's zone.
    #[serde(rename = "berth")]
    pub zone: Zone,
    /// Whether the machine is a spot instance.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The agent's incarnation.
    #[serde(rename = "watch")]
    pub incarnation: Incarnation,
    /// Sequence number of this message within the incarnation.
    #[serde(rename = "tally")]
    pub seq: Seq,
    /// Highest fencing token that the agent has seen.
    #[serde(rename = "helm", default)]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the machine; `None` if the cloud has announced no reclaim.
    #[serde(rename = "recallS", default)]
    pub reclaim_in_s: Option<f64>,
    /// The status of every task on the machine.
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
        /// The task's id.
        #[serde(rename = "take")]
        task: TaskId,
        /// The attempt to start.
        #[serde(rename = "launch")]
        attempt: Attempt,
    },
    /// Stop a task.
    #[serde(rename = "stop")]
    Stop {
        /// The task's id.
        #[serde(rename = "take")]
        task: TaskId,
        /// The attempt to stop.
        #[serde(rename = "launch")]
        attempt: Attempt,
        /// Time that the task has for its last checkpoint, in seconds.
        #[serde(rename = "slackS")]
        grace_s: f64,
    },
    /// Remove an exited task from the status reports.
    #[serde(rename = "reap")]
    Forget {
        /// The task's id.
        #[serde(rename = "take")]
        task: TaskId,
        /// The attempt that exited.
        #[serde(rename = "launch")]
        attempt: Attempt,
    },
}

impl Command {
    /// Returns the task and the attempt that the command is for.
    pub fn subject(&self) -> (&TaskId, Attempt) {
        match self {
            Self::Start { task, attempt }
            | Self::Stop { task, attempt, .. }
            | Self::Forget { task, attempt } => (task, *attempt),
        }
    }
}

/// The answer to a status report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReportReply {
    /// The leader's fencing token.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// Commands for the agent.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

impl StatusReportReply {
    /// Returns the answer without commands.
    pub fn without_commands(token: FencingToken) -> Self {
        Self {
            token,
            commands: Vec::new(),
        }
    }
}

/// The answer to a status report by a node that redirects the agent to another node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportRedirect {
    /// The node to report to instead; `None` for any other node.
    #[serde(rename = "harbour", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<NodeName>,
}

/// Commands that are sent to an agent's own address.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The leader's fencing token.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// The incarnation of the agent that the commands are for.
    #[serde(rename = "watch")]
    pub incarnation: Incarnation,
    /// Commands for the agent.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

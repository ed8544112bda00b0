//! What the nodes tell one another, in bitcode.

use crate::ids::Epoch;
use bitcode::{Decode, Encode};

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
    pub state_ok: bool,
    /// Whether the sender asks for a word.
    pub asks_word: bool,
    /// The leader's counts of tasks, for display.
    pub counts: Vec<Count>,
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
    pub state_ok: bool,
    /// The word that lets a leader go on through an outage of the state service: this node gets
    /// no answer from it, knows of no higher epoch, and will not campaign for a while.
    pub word: bool,
    /// Milliseconds since a worker last reported here, whatever it was answered.
    pub worker_silence_ms: u64,
}

/// A user's request, forwarded by a node that the state service does not answer.
#[derive(Clone, Debug, Encode, Decode)]
pub enum Forward {
    /// A submission, as JSON that was checked.
    Submit(String),
    /// A status request.
    Status(String),
    /// A withdrawal.
    Withdraw(String),
    /// A path of the administration API that only the leader can answer.
    Admin(String),
}

/// Answer to a forwarded request.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Forwarded {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: String,
}

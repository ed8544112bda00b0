//! Why a leader gives up its term.

use thiserror::Error;

/// Why a leader gives up its term. The text is the value of `reason` in the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StepDownReason {
    /// The lease that the leader key is attached to has ended.
    #[error("the leader's lease has ended")]
    LeaseEnded,
    /// A write failed because the leader key belongs to another leader, or is not at the version that this leader
    /// wrote.
    #[error("the leader's key has changed")]
    KeyChanged,
    /// The leader key does not exist any more.
    #[error("the leader's key does not exist any more")]
    KeyGone,
    /// A node answered with a higher epoch, so another node leads or has led since.
    #[error("a higher epoch is known")]
    HigherEpoch,
    /// The commit that bumps the epoch may be carried out later, and would make every later write fail.
    #[error("the outcome of the epoch bump is unknown")]
    EpochBumpUnknown,
    /// Leadership transfer: agents reach other nodes, but not this one.
    #[error("agents reach other nodes but not this one")]
    AgentsUnreachable,
    /// Leadership transfer: this node has been far behind with its inputs for too long.
    #[error("this node has been far behind with its inputs for too long")]
    Overloaded,
}

//! Why a leader gives up its term.

use thiserror::Error;

/// Why a leader gives up its term. The text is what the log says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StepDownReason {
    /// The lease that the leader's key hangs on has ended.
    #[error("its lease has ended")]
    LeaseEnded,
    /// A write failed because the leader's key is another's, or not at the version that this leader wrote.
    #[error("its key has changed")]
    KeyChanged,
    /// The leader's key does not exist any more.
    #[error("its key is gone")]
    KeyGone,
    /// A node answered with a higher epoch, so another node leads or has led since.
    #[error("a higher epoch is known")]
    HigherEpoch,
    /// The commit that bumps the epoch may be carried out later, and would make every later write fail.
    #[error("the outcome of raising its epoch is unknown")]
    EpochBumpUnknown,
    /// Leadership transfer: agents reach other nodes, but not this one.
    #[error("workers do not reach this node")]
    AgentsUnreachable,
    /// Leadership transfer: this node has been far behind for long.
    #[error("it can't keep up")]
    Overloaded,
}

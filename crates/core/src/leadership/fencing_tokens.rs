//! The fencing tokens of a term.
//!
//! An agent refuses commands and answers with a lower token than the highest that it has seen. A term reserves a range
//! of tokens in the store when it begins: the epoch that its claim sets is the highest of them, and no earlier or later
//! term has any token of the range. Within the range the leader raises the token of each agent on its own, without the
//! store, so that what it sent to the agent before can't be carried out any more.

use rudderreel_wire::ids::{Epoch, FencingToken};

/// Number of fencing tokens that a claim or an epoch bump reserves. It bounds how often the token of one agent can be
/// raised before the next bump. Epochs grow by as much with each term, and the number of an attempt has room for 2^40
/// epochs.
pub const TOKENS_PER_EPOCH: u64 = 1 << 16;

/// The fencing tokens that are reserved for a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenRange {
    /// Lowest token of the term. All tokens of earlier terms are lower.
    pub first: FencingToken,
    /// Highest token of the term.
    pub last: FencingToken,
}

impl TokenRange {
    /// Returns the tokens that a term reserves which follows an epoch.
    pub fn after(epoch: Epoch) -> Self {
        Self {
            first: epoch.highest_token().next(),
            last: FencingToken(epoch.0 + TOKENS_PER_EPOCH),
        }
    }

    /// Returns the epoch that stands for the whole range.
    pub fn epoch(self) -> Epoch {
        Epoch(self.last.0)
    }

    /// Returns the range after a bump to a higher epoch. No other term can have reserved tokens in between.
    pub fn extended_to(self, epoch: Epoch) -> Self {
        Self {
            last: epoch.highest_token(),
            ..self
        }
    }

    /// Returns the token of the range that is nearest to a token.
    pub fn clamp(self, token: FencingToken) -> FencingToken {
        token.clamp(self.first, self.last)
    }
}

#[cfg(test)]
mod tests;

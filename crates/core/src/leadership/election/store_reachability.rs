//! Whether the store answers this node.

use crate::io::StoreAnswer;
use crate::units::{Span, Time};

/// Time since the last answer of the store after which a node whose calls fail counts the store as unreachable.
pub(super) const STORE_SILENCE_TIMEOUT: Span = Span(1_200);

/// The recent outcomes of this node's calls to the store.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreReachability {
    last_answer_at: Option<Time>,
    failing_since: Option<Time>,
}

impl StoreReachability {
    /// Records how a call to the store ended.
    pub(super) fn observe(&mut self, now: Time, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Refused | StoreAnswer::Unknown => {
                self.failing_since.get_or_insert(now);
            }
            _ => {
                self.last_answer_at = Some(now);
                self.failing_since = None;
            }
        }
    }

    /// Returns whether the store answers this node, as far as it knows: not before the first answer since this process
    /// started, nor while calls fail and the last answer is at least [`STORE_SILENCE_TIMEOUT`] old.
    pub(super) fn is_reachable(&self, now: Time) -> bool {
        match (self.last_answer_at, self.failing_since) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(last), Some(_)) => now - last < STORE_SILENCE_TIMEOUT,
        }
    }
}

#[cfg(test)]
mod tests;

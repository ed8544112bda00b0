//! When surely no node starts tasks any more on a cache that lacks a cancellation.
//!
//! A node starts tasks by a leader's lease only, and only while its cache is as fresh as that lease
//! ([`Term::may_act_until`](crate::leadership::term::Term::may_act_until)). So every node that may still start tasks
//! [`LeaseBarrier::span`] after a commit knows the commit. [`LeaseBarrier::has_passed`] tells of a revision that this
//! node's cache had reached that long ago.
//!
//! Sooner than that, only the leader itself can tell. [`LeaseBarrier::sole_leader`] returns the node whose knowledge
//! suffices, if there is one:
//!
//! - The leader key names it in a cache that holds the cancellation. A node that is elected later reads all jobs
//!   afterwards, and so knows the cancellation.
//! - The key has named the same term for [`LeaseBarrier::span`]. So all earlier leaders have stopped by their own
//!   clocks, however their leases ended at the store.

use crate::cache::job_cache::JobCache;
use crate::leadership::election::LEADER_LEASE_TTL;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{LeaseId, NodeName, Version};
use std::collections::VecDeque;

/// Minimum time between two recorded revisions.
const SAMPLE_INTERVAL: Span = Span(100);

/// The term of a leader, as the leader key names it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct NamedTerm {
    node: NodeName,
    lease: LeaseId,
}

/// A revision that the cache had reached at a time.
#[derive(Clone, Copy, Debug)]
struct RevisionSample {
    at: Time,
    revision: Version,
}

/// What this node has observed of the leader key and of the revisions of its cache.
#[derive(Debug, Default)]
pub(super) struct LeaseBarrier {
    /// The term that the leader key names; none if it names none.
    term: Option<NamedTerm>,
    /// The time at which that term was first observed.
    term_since: Time,
    /// The revision of the cache when the leader key was last observed.
    revision: Version,
    /// Revisions that the cache has reached within the last [`LeaseBarrier::span`], oldest first.
    samples: VecDeque<RevisionSample>,
    /// The highest sampled revision that the cache reached at least [`LeaseBarrier::span`] ago.
    passed: Version,
}

impl LeaseBarrier {
    /// Returns the time after a commit from which on every node that may start tasks knows the commit.
    pub(super) fn span() -> Span {
        LEADER_LEASE_TTL.with_drift()
    }

    /// Records the leader key and the revision of this node's cache.
    pub(super) fn observe(&mut self, jobs: &JobCache, now: Time) {
        let term = jobs.leader().map(|record| NamedTerm {
            node: record.node.clone(),
            lease: record.lease,
        });
        if term != self.term {
            self.term = term;
            self.term_since = now;
        }
        self.revision = jobs.confirmation().revision();
        self.take_sample(now);
        self.drop_passed_samples(now);
    }

    fn take_sample(&mut self, now: Time) {
        let is_due = match self.samples.back() {
            Some(last) => self.revision > last.revision && now >= last.at + SAMPLE_INTERVAL,
            None => self.revision > self.passed,
        };
        if is_due {
            self.samples.push_back(RevisionSample {
                at: now,
                revision: self.revision,
            });
        }
    }

    fn drop_passed_samples(&mut self, now: Time) {
        let has_passed = |sample: &&RevisionSample| now >= sample.at + Self::span();
        while let Some(sample) = self.samples.front().filter(has_passed) {
            self.passed = sample.revision;
            self.samples.pop_front();
        }
    }

    /// Returns whether every node that may still start tasks surely knows a cancellation.
    pub(super) fn has_passed(&self, cancellation: Version) -> bool {
        cancellation <= self.passed
    }

    /// Returns the only node that may start tasks without knowing a cancellation; none if there may be several, or if
    /// this node does not know which.
    pub(super) fn sole_leader(&self, cancellation: Version, now: Time) -> Option<&NodeName> {
        let is_key_current = self.revision >= cancellation;
        let earlier_leaders_stopped = now >= self.term_since + Self::span();
        (self.term.as_ref())
            .filter(|_| is_key_current && earlier_leaders_stopped)
            .map(|term| &term.node)
    }
}

#[cfg(test)]
mod tests;

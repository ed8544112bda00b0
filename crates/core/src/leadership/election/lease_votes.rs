//! Lease votes, by which agents keep their leases in an outage of the store ([`super`] explains why this is safe).

use super::{Election, LEADER_SILENCE_TIMEOUT, LEASE_VOTE_TTL};
use crate::units::Time;
use rudderreel_wire::ids::{Epoch, NodeName};

/// The role in which a node requests a lease vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteRequester {
    /// The leader of an epoch, which requests the vote for itself.
    Leader,
    /// A node that would stand in for a leader whose process ended in the outage.
    StandIn,
}

impl Election {
    /// Decides on a lease vote for the leader of an epoch, or for a node that stands in for it, and returns whether the
    /// vote is granted. If it is, this node does not campaign until the vote has expired.
    pub fn grant_lease_vote(&mut self, now: Time, epoch: Epoch, requester: VoteRequester) -> bool {
        let is_granted = epoch >= self.epoch
            && self.can_grant_lease_vote(now)
            && (requester == VoteRequester::Leader || self.is_leader_silent(now));
        if is_granted {
            self.bind_by_vote(now);
        }
        is_granted
    }

    /// Returns whether this node would stand in for the leader, given the lease votes of a majority.
    pub fn could_stand_in(&self, now: Time) -> bool {
        self.can_grant_lease_vote(now) && self.is_leader_silent(now) && self.epoch > Epoch(0)
    }

    /// Returns whether this node stands in for a leader whose process ended in an outage: it answers agents with the
    /// leader's token, without commands. If so, the node is bound as by a vote of its own.
    pub fn stands_in_for_leader(&mut self, now: Time) -> bool {
        let stands_in =
            self.could_stand_in(now) && self.lease_votes.is_reached(now, self.majority());
        if stands_in {
            self.bind_by_vote(now);
        }
        stands_in
    }

    /// Records that a peer granted its lease vote, in answer to a heartbeat sent at `sent`. A vote that was requested
    /// under an earlier epoch does not count for this one.
    pub fn record_lease_vote(&mut self, from: NodeName, sent: Time) {
        if sent >= self.epoch_since {
            self.lease_votes.record(from, sent);
        }
    }

    /// Returns whether the conditions for a lease vote on this node's side hold. It grants none before it has read the
    /// epoch and the jobs since its process started, so that what it promised before a restart still binds it; none
    /// while a campaign of its own may have succeeded; and only in an outage.
    fn can_grant_lease_vote(&self, now: Time) -> bool {
        self.epoch_read
            && self.jobs_read
            && !self.campaign.is_in_progress()
            && !self.store_reachable(now)
    }

    fn is_leader_silent(&self, now: Time) -> bool {
        self.leader_heard_at
            .is_none_or(|at| now - at >= LEADER_SILENCE_TIMEOUT)
    }

    fn bind_by_vote(&mut self, now: Time) {
        let vote_ends_at = now + LEASE_VOTE_TTL.with_drift();
        self.bound_by_vote_until = self.bound_by_vote_until.max(vote_ends_at);
    }
}

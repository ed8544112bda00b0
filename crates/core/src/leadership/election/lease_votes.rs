//! Lease votes: how agents keep their leases in an outage of the store (the argument is in [`super`]).

use super::{Election, LEADER_SILENCE_TIMEOUT, LEASE_VOTE_TTL};
use crate::units::Time;
use rudderreel_wire::ids::{Epoch, NodeName};

/// Who asks for a lease vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteRequester {
    /// The leader of an epoch, for itself.
    Leader,
    /// A node that would stand in for a leader which ended in the outage.
    StandIn,
}

impl Election {
    /// Decides on a lease vote for the leader of an epoch, or for a node that stands in for it. If it is granted, this
    /// node does not campaign until the vote has run out.
    pub fn grant_lease_vote(&mut self, now: Time, epoch: Epoch, requester: VoteRequester) -> bool {
        let is_granted = epoch >= self.epoch
            && self.can_grant_lease_vote(now)
            && (requester == VoteRequester::Leader || self.is_leader_silent(now));
        if is_granted {
            self.bind_by_vote(now);
        }
        is_granted
    }

    /// Whether this node would stand in for the leader, given the lease votes of a majority.
    pub fn could_stand_in(&self, now: Time) -> bool {
        self.can_grant_lease_vote(now) && self.is_leader_silent(now) && self.epoch > Epoch(0)
    }

    /// Whether this node stands in for a leader that ended in an outage: it answers agents by the leader's token,
    /// without commands. It binds itself as by a vote.
    pub fn stands_in_for_leader(&mut self, now: Time) -> bool {
        let stands_in =
            self.could_stand_in(now) && self.lease_votes.is_reached(now, self.majority());
        if stands_in {
            self.bind_by_vote(now);
        }
        stands_in
    }

    /// A peer granted its lease vote, in answer to a heartbeat sent at a moment. A vote that was asked for under an
    /// earlier epoch is none for this one.
    pub fn record_lease_vote(&mut self, from: NodeName, sent: Time) {
        if sent >= self.epoch_since {
            self.lease_votes.record(from, sent);
        }
    }

    /// Not before the epoch and the jobs have been read in this life of the process, so that what it promised in an
    /// earlier one still binds it; not while a campaign of its own may have succeeded; and only in an outage.
    fn can_grant_lease_vote(&self, now: Time) -> bool {
        self.epoch_read
            && self.jobs_read
            && !self.campaign.is_under_way()
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

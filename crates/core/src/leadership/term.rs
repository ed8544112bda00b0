//! A leader's term: its lease, its fencing tokens, and the acknowledgements and lease votes of the other nodes.
//!
//! Every write of a leader depends on the version of the leader key ([`Term::key_condition`]), so a leader that was
//! replaced, or whose epoch was bumped by another node, can't write any more. Each epoch stands for a range of fencing
//! tokens ([`Term::tokens`]): agents drop commands with a token lower than the highest that they have seen.
//!
//! A leader acts by its lease only while its cache of the store is as fresh as the lease ([`Term::may_act_until`]): the
//! right to act must not outlast the knowledge that it is used with.
//!
//! The leader counts its lease from the sending of the renewals, and shorter than the store does by more than clocks
//! may drift apart, so it relies on the lease only while the lease is surely alive.

use super::election::{
    epoch_change, ElectionWin, ACKNOWLEDGEMENT_TTL, LEADER_LEASE_TTL, LEASE_VOTE_TTL,
};
use super::fencing_tokens::TokenRange;
use super::quorum::QuorumTracker;
use super::version_gate::VersionGateStep;
use crate::io::Value;
use crate::store::confirmation::CacheConfirmation;
use crate::store::records::{LeaderKey, LeaderRecord, SegmentId};
use crate::store::transactions::condition;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{Attempt, Epoch, LeaseId, NodeName, Version};
use rudderreel_wire::state::{Condition, Transaction};

/// Bits of the number of an attempt or a segment within its epoch; the bits above them hold the epoch.
const SEQUENCE_NUMBER_BITS: u32 = 24;
/// A lease is counted shorter by one part in this many: twice as much as two clocks may drift apart
/// ([`Span::with_drift`]).
const LEASE_MARGIN_DIVISOR: u64 = 500;

/// The state of epoch bumps, which reserve more fencing tokens for the term.
#[derive(Clone, Copy, Debug)]
struct EpochBump {
    /// Time of the last epoch bump or attempt to bump the epoch.
    last_at: Time,
    /// Whether a commit that bumps the epoch is in flight or its outcome is unknown.
    in_progress: bool,
}

/// A leader's term.
pub struct Term {
    /// The fencing tokens that only this term has. The highest of them is its epoch.
    tokens: TokenRange,
    lease_id: LeaseId,
    /// Time until which the lease is surely alive.
    lease_until: Time,
    /// How old the node's cache of the store may be.
    cache: CacheConfirmation,
    /// The leader key, on whose version every write depends.
    key: LeaderKey,
    key_version: Version,
    /// The version of the epoch's key.
    epoch_version: Version,
    elected_at: Time,
    /// Acknowledgements of the epoch by other nodes.
    acknowledgements: QuorumTracker,
    /// Time from which on no older leader answers agents; none while that is not known.
    old_leaders_fenced_at: Option<Time>,
    /// Lease votes granted by other nodes.
    lease_votes: QuorumTracker,
    epoch_bump: EpochBump,
    version_gate: VersionGateStep,
    attempts: u64,
    segments: u64,
}

impl Term {
    /// Returns the term of a node that has just won an election.
    pub fn new(win: ElectionWin, now: Time) -> Self {
        Self {
            tokens: win.tokens,
            lease_id: win.lease,
            lease_until: lease_alive_until(win.lease_sent),
            cache: CacheConfirmation::default(),
            key: win.key,
            key_version: win.version,
            epoch_version: win.version,
            elected_at: now,
            acknowledgements: QuorumTracker::new(ACKNOWLEDGEMENT_TTL),
            old_leaders_fenced_at: None,
            lease_votes: QuorumTracker::new(LEASE_VOTE_TTL),
            epoch_bump: EpochBump {
                last_at: now,
                in_progress: false,
            },
            version_gate: VersionGateStep::Idle,
            attempts: 0,
            segments: 0,
        }
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> Epoch {
        self.tokens.epoch()
    }

    /// Returns the fencing tokens that only this term has.
    pub fn tokens(&self) -> TokenRange {
        self.tokens
    }

    /// Returns the lease that the leader key is attached to. It distinguishes this term from others of the same node:
    /// answers to calls of an earlier term are dropped.
    pub fn lease_id(&self) -> LeaseId {
        self.lease_id
    }

    /// Returns the leader key that this leader holds.
    pub fn key(&self) -> LeaderKey {
        self.key
    }

    /// Returns the time at which the node was elected.
    pub fn elected_at(&self) -> Time {
        self.elected_at
    }

    /// Returns the condition that every write of this leader depends on.
    pub fn key_condition(&self) -> Condition {
        condition(self.key.name().into(), self.key_version)
    }

    /// Returns the leader's record, as its key holds it.
    pub fn record(&self, node: &NodeName) -> LeaderRecord {
        LeaderRecord::new(node.clone(), self.epoch(), self.lease_id)
    }

    /// Returns whether a commit that changes the key on which every write depends may be in flight, so that writes may
    /// fail although this node still leads.
    pub fn is_key_changing(&self) -> bool {
        self.epoch_bump.in_progress || self.version_gate.is_key_changing()
    }

    /// Records that the lease was renewed by a call sent at `sent`.
    pub fn lease_renewed(&mut self, sent: Time) {
        self.lease_until = self.lease_until.max(lease_alive_until(sent));
    }

    /// Records that the node's cache has been confirmed.
    pub fn cache_confirmed(&mut self, cache: CacheConfirmation) {
        self.cache = cache;
    }

    /// Returns the fields of log lines that show whether this leader may act at a given time.
    pub fn log_fields(&self, now: Time) -> String {
        let lease_left = self.lease_until - now;
        let cache = self.cache.log_fields(now);
        format!(
            "epoch={} lease_left_ms={} {cache}",
            self.epoch(),
            lease_left.0
        )
    }

    /// Returns the time until which the node's cache is as fresh as a lease must be.
    fn cache_fresh_until(&self) -> Time {
        self.cache.confirmed_at().map_or(Time(0), lease_alive_until)
    }

    /// Returns the time until which this node may act as the leader: start tasks, scale out, commit, and answer agents
    /// by its lease. The lease alone is not enough, since its renewal does not show what was committed meanwhile. A
    /// process that was paused renews its lease in an outage of the store that ends no lease, and may not have read yet
    /// which jobs were cancelled.
    pub fn may_act_until(&self) -> Time {
        self.lease_until.min(self.cache_fresh_until())
    }

    /// Returns whether this node may act as the leader at a given time.
    pub fn may_act(&self, now: Time) -> bool {
        now < self.may_act_until()
    }

    /// Returns whether this node may answer agents: as the leader, or in an outage of the store by the fresh lease
    /// votes of a majority, which come with the cancellations that this node lacks.
    pub fn may_answer_agents(&self, now: Time, store_reachable: bool, majority: usize) -> bool {
        let has_votes = !store_reachable && self.lease_votes.is_reached(now, majority);
        self.may_act(now) || has_votes
    }

    /// Records that a node granted its lease vote, in answer to a heartbeat sent at `sent`.
    pub fn record_lease_vote(&mut self, node: NodeName, sent: Time) {
        self.lease_votes.record(node, sent);
    }

    /// Records that a node acknowledged the epoch, in answer to a heartbeat sent at `sent`.
    pub fn record_acknowledgement(&mut self, node: NodeName, sent: Time) {
        self.acknowledgements.record(node, sent);
    }

    /// Returns the time from which on no older leader answers agents and no node stands in for this leader; none while
    /// that is not known.
    pub fn old_leaders_fenced_at(&self) -> Option<Time> {
        self.old_leaders_fenced_at
    }

    /// Updates the time from which on older leaders are fenced. Once a majority has acknowledged the epoch, no older
    /// leader continues, and no node stands in for this leader, for longer than a lease vote is valid. This holds as
    /// long as the majority keeps acknowledging. A leader that was superseded continues by its own clock for a whole
    /// lease.
    pub fn update_old_leaders_fenced_at(
        &mut self,
        now: Time,
        majority: usize,
        may_have_superseded: bool,
    ) {
        if !self.acknowledgements.is_reached(now, majority) {
            self.old_leaders_fenced_at = None;
        } else if self.old_leaders_fenced_at.is_none() {
            let votes_end = now + LEASE_VOTE_TTL.with_drift();
            let superseded_until = self.elected_at + LEADER_LEASE_TTL.with_drift();
            self.old_leaders_fenced_at = Some(if may_have_superseded {
                votes_end.max(superseded_until)
            } else {
                votes_end
            });
        }
    }

    /// Returns whether the commit that bumps the epoch is in flight or its outcome is unknown.
    pub fn is_bumping_epoch(&self) -> bool {
        self.epoch_bump.in_progress
    }

    /// Returns the time of the last epoch bump or attempt to bump the epoch; the election counts as one.
    pub fn last_epoch_bump_at(&self) -> Time {
        self.epoch_bump.last_at
    }

    /// Begins to bump the epoch, and returns the epoch that the commit sets.
    pub fn begin_epoch_bump(&mut self, now: Time) -> Epoch {
        self.epoch_bump = EpochBump {
            last_at: now,
            in_progress: true,
        };
        TokenRange::after(self.epoch()).epoch()
    }

    /// Returns the commit that bumps the epoch.
    pub fn epoch_bump_commit(&self, node: &NodeName, epoch: Epoch) -> Transaction<Value> {
        let record = LeaderRecord::new(node.clone(), epoch, self.lease_id);
        epoch_change(self.key, &record, self.key_version, self.epoch_version)
    }

    /// Records that the commit that bumps the epoch was carried out.
    pub fn epoch_bumped(&mut self, epoch: Epoch, version: Version, now: Time) {
        self.tokens = self.tokens.extended_to(epoch);
        self.key_version = version;
        self.epoch_version = version;
        self.epoch_bump = EpochBump {
            last_at: now,
            in_progress: false,
        };
    }

    /// Records that the commit that bumps the epoch was not carried out, and will not be.
    pub fn epoch_bump_refused(&mut self) {
        self.epoch_bump.in_progress = false;
    }

    /// Returns the step that this leader has reached in closing the version gate.
    pub fn version_gate(&self) -> VersionGateStep {
        self.version_gate
    }

    /// Sets the step that this leader has reached in closing the version gate.
    pub fn set_version_gate(&mut self, step: VersionGateStep) {
        self.version_gate = step;
    }

    /// Records that this leader now holds the gated key, at the given version, instead of the common key.
    pub fn switch_to_gated_key(&mut self, version: Version) {
        self.version_gate = VersionGateStep::Idle;
        self.key = LeaderKey::Gated;
        self.key_version = version;
    }

    /// Returns the number of the next attempt to run a task. An epoch is never assigned twice, so neither is an
    /// attempt.
    pub fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt((self.epoch().0 << SEQUENCE_NUMBER_BITS) + self.attempts)
    }

    /// Returns the id of the next segment of the placement log, which is never assigned twice either.
    pub fn next_segment(&mut self) -> SegmentId {
        self.segments += 1;
        SegmentId((self.epoch().0 << SEQUENCE_NUMBER_BITS) + self.segments)
    }

    /// Sets the time at which the node was elected.
    #[cfg(test)]
    pub fn set_elected_at(&mut self, at: Time) {
        self.elected_at = at;
    }
}

/// Returns the time until which a lease is surely alive that was acquired or last renewed by a call sent at `sent`.
fn lease_alive_until(sent: Time) -> Time {
    sent + Span(LEADER_LEASE_TTL.0 - LEADER_LEASE_TTL.0.div_ceil(LEASE_MARGIN_DIVISOR))
}

#[cfg(test)]
mod tests;

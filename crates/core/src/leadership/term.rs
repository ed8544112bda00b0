//! A leader's term: its lease, its fencing token, and what the other nodes have acknowledged or voted.
//!
//! Every write of a leader depends on the version of the leader's key ([`Term::key_condition`]), so a leader that was
//! replaced, or whose epoch was bumped by somebody else, can't write any more. The epoch is the fencing token that
//! agents see: they drop commands with a lower one than the highest that they have seen.
//!
//! A leader acts by its lease only while its cache of the store is as fresh ([`Term::may_act_until`]): a right must not
//! outlive the knowledge that it is used with.
//!
//! The lease is counted from the sending of its renewals and shorter than the store counts it, by what clocks may
//! drift, so the leader believes in it only while it is surely alive.

use super::election::{
    epoch_change, ElectionWin, ACKNOWLEDGEMENT_TTL, LEADER_LEASE_TTL, LEASE_VOTE_TTL,
};
use super::quorum::QuorumTracker;
use super::version_gate::VersionGateStep;
use crate::io::Value;
use crate::store::confirmation::CacheConfirmation;
use crate::store::records::{LeaderKey, LeaderRecord, SegmentId};
use crate::store::transactions::condition;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{Attempt, Epoch, LeaseId, NodeName, Version};
use rudderreel_wire::state::{Condition, Transaction};

/// Attempts and segments are numbered within an epoch: so many bits are left for the number.
const NUMBER_BITS: u32 = 24;
/// Clocks drift by one part in so many at most, so a lease is counted shorter by that.
const DRIFT_PARTS: u64 = 500;

/// The commits that bump the epoch, which proves that nothing sent under the old one will be carried out any more.
#[derive(Clone, Copy, Debug)]
struct EpochBump {
    /// When the epoch was last bumped, or that was last tried.
    last_at: Time,
    /// Whether such a commit is open.
    in_progress: bool,
}

/// A leader's term.
pub struct Term {
    epoch: Epoch,
    lease_id: LeaseId,
    /// Until when the lease is surely alive.
    lease_until: Time,
    /// How old the node's cache may be.
    cache: CacheConfirmation,
    /// The leader's key, on whose version every write depends.
    key: LeaderKey,
    key_version: Version,
    /// The version of the epoch's key.
    epoch_version: Version,
    elected_at: Time,
    /// Nodes that have acknowledged the epoch.
    acknowledgements: QuorumTracker,
    /// From when on no older leader answers agents; none while that is not known.
    old_leaders_fenced_at: Option<Time>,
    /// Nodes that have granted their lease vote.
    lease_votes: QuorumTracker,
    epoch_bump: EpochBump,
    version_gate: VersionGateStep,
    attempts: u64,
    segments: u64,
}

impl Term {
    /// The term of a node that has just won an election.
    pub fn new(win: ElectionWin, now: Time) -> Self {
        Self {
            epoch: win.epoch,
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

    /// The epoch, which is the fencing token.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The lease that the leader's key hangs on. It tells this term from others of the same node: answers to calls of an
    /// earlier one are dropped.
    pub fn lease_id(&self) -> LeaseId {
        self.lease_id
    }

    /// The leader's key.
    pub fn key(&self) -> LeaderKey {
        self.key
    }

    /// When the node was elected.
    pub fn elected_at(&self) -> Time {
        self.elected_at
    }

    /// The condition that every write of a leader depends on.
    pub fn key_condition(&self) -> Condition {
        condition(self.key.name().into(), self.key_version)
    }

    /// The leader's record, as its key holds it.
    pub fn record(&self, node: &NodeName) -> LeaderRecord {
        LeaderRecord::new(node.clone(), self.epoch, self.lease_id)
    }

    /// Whether a commit is open that changes the key which every write depends on, so that writes may fail
    /// although this node still leads.
    pub fn is_key_changing(&self) -> bool {
        self.epoch_bump.in_progress || self.version_gate.is_key_changing()
    }

    /// The lease was renewed by a call sent at a moment.
    pub fn lease_renewed(&mut self, sent: Time) {
        self.lease_until = self.lease_until.max(lease_alive_until(sent));
    }

    /// The node's cache has been confirmed.
    pub fn cache_confirmed(&mut self, cache: CacheConfirmation) {
        self.cache = cache;
    }

    /// What log lines say of the right to act at a moment.
    pub fn log_fields(&self, now: Time) -> String {
        let lease_left = self.lease_until - now;
        let cache = self.cache.log_fields(now);
        format!(
            "epoch={} lease_left_ms={} {cache}",
            self.epoch, lease_left.0
        )
    }

    /// Until when the node's cache is as fresh as a lease.
    fn cache_fresh_until(&self) -> Time {
        self.cache.confirmed_at().map_or(Time(0), lease_alive_until)
    }

    /// Until when it may act as the leader: start tasks, scale out, commit, and answer agents by its lease. The lease
    /// alone is not enough, since its renewal says nothing of what was committed meanwhile. A process that stood still
    /// renews it in an outage of the store that ends no lease, and may not have read yet which jobs were cancelled.
    pub fn may_act_until(&self) -> Time {
        self.lease_until.min(self.cache_fresh_until())
    }

    /// Whether it may act as the leader at a moment.
    pub fn may_act(&self, now: Time) -> bool {
        now < self.may_act_until()
    }

    /// Whether it may answer agents: as the leader, or in an outage of the store by the fresh lease votes of a
    /// majority, which bring what it lacks.
    pub fn may_answer_agents(&self, now: Time, store_reachable: bool, majority: usize) -> bool {
        let has_votes = !store_reachable && self.lease_votes.is_reached(now, majority);
        self.may_act(now) || has_votes
    }

    /// A node granted its lease vote, in answer to a heartbeat sent at a moment.
    pub fn record_lease_vote(&mut self, node: NodeName, sent: Time) {
        self.lease_votes.record(node, sent);
    }

    /// A node acknowledged the epoch, in answer to a heartbeat sent at a moment.
    pub fn record_acknowledgement(&mut self, node: NodeName, sent: Time) {
        self.acknowledgements.record(node, sent);
    }

    /// From when on no older leader answers agents and no node stands in for this one; none while that is not known.
    pub fn old_leaders_fenced_at(&self) -> Option<Time> {
        self.old_leaders_fenced_at
    }

    /// Once a majority has acknowledged the epoch, no older leader goes on, and nobody stands in for this one,
    /// for longer than a lease vote is good for: as long as the majority goes on acknowledging. A leader that
    /// was superseded goes on by its own clock for a whole lease.
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

    /// Whether the commit that bumps the epoch is open.
    pub fn is_bumping_epoch(&self) -> bool {
        self.epoch_bump.in_progress
    }

    /// When the epoch was last bumped, or that was last tried; the election counts.
    pub fn last_epoch_bump_at(&self) -> Time {
        self.epoch_bump.last_at
    }

    /// Begins to bump the epoch; returns the epoch that the commit sets.
    pub fn begin_epoch_bump(&mut self, now: Time) -> Epoch {
        self.epoch_bump = EpochBump {
            last_at: now,
            in_progress: true,
        };
        Epoch(self.epoch.0 + 1)
    }

    /// The commit that bumps the epoch.
    pub fn epoch_bump_commit(&self, node: &NodeName, epoch: Epoch) -> Transaction<Value> {
        let record = LeaderRecord::new(node.clone(), epoch, self.lease_id);
        epoch_change(self.key, &record, self.key_version, self.epoch_version)
    }

    /// The commit that bumps the epoch was carried out.
    pub fn epoch_bumped(&mut self, epoch: Epoch, version: Version, now: Time) {
        self.epoch = epoch;
        self.key_version = version;
        self.epoch_version = version;
        self.epoch_bump = EpochBump {
            last_at: now,
            in_progress: false,
        };
    }

    /// The commit that bumps the epoch was not carried out, and will not be.
    pub fn epoch_bump_refused(&mut self) {
        self.epoch_bump.in_progress = false;
    }

    /// What is under way to close the version gate.
    pub fn version_gate(&self) -> VersionGateStep {
        self.version_gate
    }

    /// Goes on to a step of closing the version gate.
    pub fn set_version_gate(&mut self, step: VersionGateStep) {
        self.version_gate = step;
    }

    /// This leader holds the gated key from now on, at a version.
    pub fn switch_to_gated_key(&mut self, version: Version) {
        self.version_gate = VersionGateStep::Idle;
        self.key = LeaderKey::Gated;
        self.key_version = version;
    }

    /// The number of the next attempt to run a task. The epoch is never given out twice, so neither is an
    /// attempt.
    pub fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt((self.epoch.0 << NUMBER_BITS) + self.attempts)
    }

    /// The id of the next segment of the placement log, which is never given out twice either.
    pub fn next_segment(&mut self) -> SegmentId {
        self.segments += 1;
        SegmentId((self.epoch.0 << NUMBER_BITS) + self.segments)
    }

    /// Sets when the node was elected.
    #[cfg(test)]
    pub fn set_elected_at(&mut self, at: Time) {
        self.elected_at = at;
    }
}

/// Until when a lease is surely alive whose renewal was sent at a moment.
fn lease_alive_until(sent: Time) -> Time {
    sent + Span(LEADER_LEASE_TTL.0 - LEADER_LEASE_TTL.0.div_ceil(DRIFT_PARTS))
}

#[cfg(test)]
mod tests;

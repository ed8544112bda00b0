//! The leader election, and how agents keep their leases while the store does not answer.
//!
//! # The leader's lease and the fencing tokens
//!
//! The leader key is attached to a lease of the store. The commit that sets the key bumps the epoch, which reserves the
//! fencing tokens that agents see ([`super::fencing_tokens`]). A leader acts only while its lease is surely alive by its
//! own clock, counted from the *sending* of the renewal.
//!
//! # Lease votes, in an outage of the store
//!
//! In an outage no node can renew its lease, yet agents must not lose theirs. So a leader may continue to answer agents
//! (but starts nothing) while a majority of the nodes, itself included, grants it fresh lease votes. With its vote a
//! node states that the store does not answer it either, and that it knows of no higher epoch. A vote is valid for
//! [`LEASE_VOTE_TTL`], counted from the sending of the heartbeat that requested it.
//!
//! - A node grants no vote before it has read the epoch since its process started, so the votes that it granted before
//!   a restart still bind it; nor before it has read the jobs, so that it knows every cancellation that it
//!   acknowledged.
//! - It grants none while a campaign of its own is in progress or has an unknown outcome: it may be leading itself.
//! - It does not campaign until its last vote has expired.
//!
//! If the process of the leader ends in an outage, no node can be elected. Then any node may stand in for the leader:
//! it answers agents with the highest token of the epoch, without commands, so that their leases are renewed. It needs
//! the same votes, and nodes grant them only if they have received no heartbeat of the leader for
//! [`LEADER_SILENCE_TIMEOUT`]. A leader whose heartbeats are acknowledged by a majority all the time, with gaps shorter than that timeout, knows that no
//! node stands in for it; otherwise it does not conclude from its own answers alone that an agent's lease has expired.
//!
//! # When older leaders are fenced
//!
//! A new leader knows that no older one answers agents any more once a majority has acknowledged its epoch and
//! [`LEASE_VOTE_TTL`] has passed since: any two majorities share a node, and that node granted its last vote before it
//! acknowledged. From that time on older leaders are *fenced* ([`Term::update_old_leaders_fenced_at`]). This also holds
//! for votes that a node granted before a restart and has forgotten: it acknowledges after the restart. So a node that
//! has just started need not wait before it campaigns, and after a crash of all nodes agents are answered again sooner
//! by that wait.
//!
//! # Leaders of an older version
//!
//! A leader of a version that must not lead any more (see [`super::version_gate`]) is superseded before its lease
//! expires. Its key is detached from its lease and stays in the store, so that no process of that version finds the
//! key absent; that alone makes all writes of the superseded leader fail. From then on leaders hold another key. A node
//! that campaigns for that other key first ends the lease of the superseded leader, so whichever node wins, the leases
//! of all earlier leaders have ended before. By its own clock a superseded leader may continue for
//! [`LEADER_LEASE_TTL`] after that; older leaders count as fenced later still.
//!
//! [`Term::update_old_leaders_fenced_at`]: super::term::Term::update_old_leaders_fenced_at

mod campaign;
mod commits;
mod lease_votes;
mod messages;
mod store_reachability;

pub use commits::epoch_change;
pub use lease_votes::VoteRequester;
pub use messages::{
    Claim, ElectionCall, ElectionEvent, ElectionProgress, ElectionRequest, ElectionWin,
    LeaderKeyState,
};

use super::quorum::{majority_of, QuorumTracker};
use crate::io::{StoreAnswer, StoreCall};
use crate::store::periodic_call::PeriodicCall;
use crate::store::records::{LeaderKey, LeaderRecord, StoredLeader};
use crate::units::{Span, Time};
use campaign::Campaign;
use rudderreel_wire::ids::{Epoch, LeaseId, NodeName};
use store_reachability::{StoreReachability, STORE_SILENCE_TIMEOUT};

/// Time after which a leader's lease expires without a renewal.
pub const LEADER_LEASE_TTL: Span = Span(3_000);
/// Time for which a lease vote is valid.
pub const LEASE_VOTE_TTL: Span = Span(1_500);
/// Time for which a node must have received no heartbeat of the leader before it stands in for the leader or votes for
/// a stand-in. A node that restarts may have forgotten when it received the last heartbeat of the leader, but it counts
/// the store as unreachable only after as long a time, so it can't grant its vote sooner.
pub const LEADER_SILENCE_TIMEOUT: Span = STORE_SILENCE_TIMEOUT;
/// Time for which a leader counts an acknowledgement, from the sending of the heartbeat: less than
/// [`LEADER_SILENCE_TIMEOUT`].
pub const ACKNOWLEDGEMENT_TTL: Span = Span(1_100);
/// Interval between renewals of the leader's lease.
const LEASE_RENEWAL_INTERVAL: Span = Span(750);
/// Delay before a renewal that failed is repeated.
const LEASE_RENEWAL_RETRY_INTERVAL: Span = Span(250);
/// Interval at which a node that does not lead reads the leader key.
const LEADER_KEY_POLL_INTERVAL: Span = Span(1_000);

/// The state of this node in the election.
pub struct Election {
    node: NodeName,
    node_count: usize,
    /// Index of the node in the order of all nodes' names. Campaigns are delayed a little in proportion to it, so that
    /// the nodes do not all campaign at once.
    rank: u64,
    store: StoreReachability,
    /// Highest epoch known.
    epoch: Epoch,
    /// Time since when `epoch` is known.
    epoch_since: Time,
    /// Whether the epoch was read since this process started.
    epoch_read: bool,
    /// Whether the jobs were read since this process started. Before that the node may lack cancellations that it
    /// acknowledged before a restart.
    jobs_read: bool,
    /// Time at which the last heartbeat of the leader was received.
    leader_heard_at: Option<Time>,
    /// Lease votes that the peers granted to this node.
    lease_votes: QuorumTracker,
    /// Time at which the last vote that this node granted expires. The node does not campaign before that.
    bound_by_vote_until: Time,
    campaign: Campaign,
    /// Time before which this node does not campaign, because of a failed campaign or a leadership transfer.
    campaigns_paused_until: Time,
    /// Time since when no leader is known to hold the leader key; one that must not lead any more does not count.
    vacant_since: Option<Time>,
    next_supersede_at: Time,
    next_key_poll_at: Time,
    renewal: PeriodicCall,
}

impl Election {
    /// Returns the initial state of a node. `rank` is its index in the order of all nodes' names; its campaigns are
    /// delayed a little in proportion to it.
    pub fn new(node: NodeName, node_count: usize, rank: u64) -> Self {
        Self {
            node,
            node_count,
            rank,
            store: StoreReachability::default(),
            epoch: Epoch(0),
            epoch_since: Time(0),
            epoch_read: false,
            jobs_read: false,
            leader_heard_at: None,
            lease_votes: QuorumTracker::new(LEASE_VOTE_TTL),
            bound_by_vote_until: Time(0),
            campaign: Campaign::default(),
            campaigns_paused_until: Time(0),
            vacant_since: None,
            next_supersede_at: Time(0),
            next_key_poll_at: Time(0),
            renewal: lease_renewal(),
        }
    }

    /// Returns the highest epoch known.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns how many nodes make a majority.
    pub fn majority(&self) -> usize {
        majority_of(self.node_count)
    }

    /// Returns whether the store answers this node, as far as it knows.
    pub fn store_reachable(&self, now: Time) -> bool {
        self.store.is_reachable(now)
    }

    /// Records how a call to the store ended, whatever its purpose.
    pub fn observe_store_answer(&mut self, now: Time, answer: &StoreAnswer) {
        self.store.observe(now, answer);
    }

    /// Records an epoch that a peer or a leader key named. Votes for an earlier epoch do not count for a later one.
    pub fn observe_epoch(&mut self, epoch: Epoch, now: Time) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.epoch_since = now;
            self.lease_votes.clear();
        }
    }

    /// Records that a heartbeat of the leader was received.
    pub fn observe_leader(&mut self, now: Time) {
        self.leader_heard_at = Some(now);
    }

    /// Records that all jobs have been read since this process started.
    pub fn observe_jobs_read(&mut self) {
        self.jobs_read = true;
    }

    /// Keeps this node from campaigning before a given time.
    pub fn pause_campaigns_until(&mut self, at: Time) {
        self.campaigns_paused_until = at;
    }

    /// Returns the time before which this node does not campaign.
    #[cfg(test)]
    pub fn campaigns_paused_until(&self) -> Time {
        self.campaigns_paused_until
    }

    /// Returns the calls that are due. `held_lease` is the lease of this node's term, if it leads.
    pub fn tick(
        &mut self,
        now: Time,
        leader_key_state: LeaderKeyState<'_>,
        held_lease: Option<LeaseId>,
    ) -> Vec<ElectionRequest> {
        if let Some(lease) = held_lease {
            return self.renew_if_due(now, lease).into_iter().collect();
        }
        let poll = self.poll_leader_key_if_due(now, leader_key_state);
        let campaign = self.campaign_if_due(now, leader_key_state);
        poll.into_iter().chain(campaign).collect()
    }

    fn renew_if_due(&mut self, now: Time, lease: LeaseId) -> Option<ElectionRequest> {
        let is_due = self.renewal.begin_if_due(now);
        is_due
            .then(|| ElectionRequest::new(StoreCall::RenewLease(lease), ElectionCall::Renew(lease)))
    }

    fn poll_leader_key_if_due(
        &mut self,
        now: Time,
        leader_key_state: LeaderKeyState<'_>,
    ) -> Option<ElectionRequest> {
        if now < self.next_key_poll_at {
            return None;
        }
        self.next_key_poll_at = now + LEADER_KEY_POLL_INTERVAL;
        let key = leader_key_state.key();
        let call = StoreCall::Get(key.name().into());
        Some(ElectionRequest::new(call, ElectionCall::ReadLeaderKey(key)))
    }

    /// Handles the answer to a call that was sent at `sent`.
    pub fn answered(
        &mut self,
        now: Time,
        sent: Time,
        call: ElectionCall,
        answer: StoreAnswer,
    ) -> ElectionProgress {
        match call {
            ElectionCall::ReadLeaderKey(key) => self.leader_key_was_read(now, key, answer),
            ElectionCall::EndSupersededLease => self.superseded_lease_ended(now, answer),
            ElectionCall::ReadEpoch => self.epoch_was_read(now, answer),
            ElectionCall::AcquireLease => self.lease_acquired(now, sent, answer),
            ElectionCall::Claim(claim) => self.claim_answered(now, claim, answer),
            ElectionCall::VerifyClaim(claim) => self.claim_verified(now, claim, answer),
            ElectionCall::Renew(_) => self.renewal_answered(now, answer),
            ElectionCall::EndLease | ElectionCall::Supersede => ElectionProgress::default(),
        }
    }

    fn renewal_answered(&mut self, now: Time, answer: StoreAnswer) -> ElectionProgress {
        self.renewal.end();
        match answer {
            StoreAnswer::Done => ElectionProgress::default(),
            StoreAnswer::Missing | StoreAnswer::NoSuchLease => {
                ElectionProgress::event(ElectionEvent::Lost)
            }
            _ => {
                self.renewal.retry(now);
                ElectionProgress::default()
            }
        }
    }

    fn leader_key_was_read(
        &mut self,
        now: Time,
        key: LeaderKey,
        answer: StoreAnswer,
    ) -> ElectionProgress {
        let item = match answer {
            StoreAnswer::Found(item) => item,
            StoreAnswer::Missing => {
                return ElectionProgress::event(ElectionEvent::LeaderKeyRead(key, None))
            }
            _ => return ElectionProgress::default(),
        };
        let Some(record) = LeaderRecord::deserialize_from(&item.value) else {
            return ElectionProgress::event(ElectionEvent::LeaderKeyRead(key, None));
        };
        self.observe_epoch(record.epoch, now);
        self.epoch_read = true;
        let request = self.is_own_stale_record(&record).then(|| {
            ElectionRequest::new(StoreCall::EndLease(record.lease), ElectionCall::EndLease)
        });
        let leader = StoredLeader {
            version: item.version,
            record,
        };
        ElectionProgress {
            event: ElectionEvent::LeaderKeyRead(key, Some(leader)),
            request,
        }
    }

    /// Returns whether a leader's record was left by this node before a restart: it names this node, and a lease that
    /// this process does not hold. No process acts by it any more. Only a node that does not lead reads the leader's
    /// key.
    fn is_own_stale_record(&self, record: &LeaderRecord) -> bool {
        record.node == self.node && !record.superseded && !self.campaign.is_in_progress()
    }
}

/// Returns the periodic renewal of the lease that a node holds while it leads.
fn lease_renewal() -> PeriodicCall {
    PeriodicCall::new(LEASE_RENEWAL_INTERVAL, LEASE_RENEWAL_RETRY_INTERVAL)
}

#[cfg(test)]
mod tests;

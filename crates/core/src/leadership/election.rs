//! Who leads.
//!
//! The leader's key hangs on a lease of the state service; the epoch is raised in the commit that
//! sets it, and is the token that workers see. A leader acts while its lease is surely alive by
//! its own clock, counted from the *sending* of the renewal.
//!
//! In an outage of the state service nobody can renew, yet workers must not lose their leases.
//! So a leader may go on answering them (but starts nothing) while a majority of the nodes,
//! itself included, gives its word afresh: that the state service does not answer it either and
//! that it knows of no higher epoch. A word is good for [`LEASE_VOTE_TTL`], counted from the sending of the
//! heartbeat that asked for it. A node gives none before it has read the epoch since its own
//! start, so what it said in an earlier life still binds it, nor before it has read the jobs, so that
//! it knows every cancellation that it acknowledged; none while a campaign of its own has
//! an unknown outcome; and it does not campaign until its last word has run out.
//!
//! If the leader itself ends in an outage, nobody can follow it. Then any node may take care of the
//! workers: it answers them by the same token, without commands, so that their leases go on. It
//! needs the same words, and nodes give them only if they have not heard the leader for
//! [`LEADER_SILENCE_TIMEOUT`]. A leader whose heartbeats are acknowledged by a majority all the time, with gaps
//! shorter than that, knows that nobody takes care in its place; otherwise it does not conclude
//! from its own answers alone that a worker's lease has run out.
//!
//! A new leader therefore knows that no older one answers workers any more once a majority has
//! acknowledged its epoch and [`LEASE_VOTE_TTL`] has passed since: any two majorities share a node, and that
//! node gave its last word before it acknowledged. That moment is the *fence*. It holds for words
//! that a node gave in an earlier life and has forgotten, too: it acknowledges in a later one. So a
//! node that has just started need not wait before it campaigns, and after a crash of all nodes
//! workers are answered again that much sooner.
//!
//! A leader of a version that must not lead any more (see `version_gate`) is superseded before its lease
//! runs out. Its key is taken off its lease and stays, so that no process of that version sees a vacancy;
//! that alone makes all its writes fail. From then on leaders hold another key. A node that campaigns for
//! that first ends the lease of the superseded leader, so whoever wins, the leases of all earlier leaders
//! have ended before. By its own clock a superseded leader may go on for [`LEADER_LEASE_TTL`] after that; the fence
//! of a new leader comes later still.

mod campaign;

pub use campaign::epoch_change;

use crate::io::{StoreAnswer, StoreCall};
use crate::store::records::{LeaderKey, LeaderRecord};
use crate::units::{Span, Time};
use rudderreel_wire::ids::{Epoch, LeaseId, NodeName, Version};
use std::collections::BTreeMap;

/// How long a leader's lease lasts without a renewal.
pub const LEADER_LEASE_TTL: Span = Span(3_000);
/// How long a word is good for.
pub const LEASE_VOTE_TTL: Span = Span(1_500);
/// Nobody takes care of workers in a leader's place before it was unheard for so long. A node that
/// restarts may have forgotten when it heard the leader, but counts the state service as silent
/// only after as long, so it can't give its word sooner.
pub const LEADER_SILENCE_TIMEOUT: Span = SILENT;
/// A leader counts an acknowledgement for so long, from the sending of its heartbeat: less than
/// [`LEADER_SILENCE_TIMEOUT`].
pub const ACKNOWLEDGEMENT_TTL: Span = Span(1_100);
/// How often the lease is renewed.
const LEASE_RENEWAL_INTERVAL: Span = Span(750);
/// An outdated leader's key is taken off its lease so often, until that is seen.
const SUPERSEDE_RETRY_INTERVAL: Span = Span(300);
/// How often a node looks at the leader's key.
const LEADER_KEY_POLL_INTERVAL: Span = Span(1_000);
/// A node that heard nothing from the state service for so long counts it as silent.
const SILENT: Span = Span(1_200);

/// What a call of the election is for.
#[derive(Clone, Debug)]
pub enum ElectionCall {
    /// Read a leader's key.
    Look(LeaderKey),
    /// Read the epoch.
    ReadEpoch,
    /// Take a lease.
    TakeLease,
    /// Set the leader's key.
    Claim(LeaseId, Time, Epoch),
    /// See whether a claim of unknown outcome was carried out.
    Verify(LeaseId, Time, Epoch),
    /// Renew the lease.
    Renew(LeaseId),
    /// End a lease; nothing hangs on the outcome.
    End,
    /// Take an outdated leader's key off its lease; what came of it is read from the key.
    Supersede,
    /// End the lease of a superseded leader.
    EndSuperseded,
}

/// The leader's seat, as a node knows it.
#[derive(Clone, Copy, Debug)]
pub enum LeaderSlot<'a> {
    /// Nobody holds the key that leaders hold. If that is not the common one any more, what the common
    /// one holds, with its version.
    Vacant(Option<&'a (Version, LeaderRecord)>),
    /// Somebody leads, by this key.
    Taken(LeaderKey),
    /// The leader, with the version of the common key, must not lead any more.
    Outdated(&'a (Version, LeaderRecord)),
}

impl LeaderSlot<'_> {
    /// The key that leaders hold.
    fn key(&self) -> LeaderKey {
        match self {
            Self::Vacant(Some(_)) => LeaderKey::Gated,
            Self::Taken(key) => *key,
            Self::Vacant(None) | Self::Outdated(_) => LeaderKey::Common,
        }
    }
}

/// How a node came to lead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ElectionWin {
    /// The epoch.
    pub epoch: Epoch,
    /// The lease that the leader's key hangs on.
    pub lease: LeaseId,
    /// When the call that took the lease was sent.
    pub lease_sent: Time,
    /// The leader's key, and its version.
    pub key: LeaderKey,
    pub version: Version,
}

/// What the rest of the core must do.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ElectionEvent {
    /// Nothing.
    #[default]
    Nothing,
    /// A leader's key as read.
    Leader(LeaderKey, Option<(Version, LeaderRecord)>),
    /// This node leads from now on.
    ElectionWin(ElectionWin),
    /// This node no longer leads.
    Lost,
}

/// What follows from the answer to a call of the election.
#[derive(Debug, Default)]
pub struct ElectionProgress {
    /// What the rest of the core must do.
    pub verdict: ElectionEvent,
    /// Calls to make next.
    pub calls: Vec<(StoreCall, ElectionCall)>,
}

impl ElectionProgress {
    fn to(verdict: ElectionEvent) -> Self {
        Self {
            verdict,
            calls: Vec::new(),
        }
    }

    fn by(call: StoreCall, step: ElectionCall) -> Self {
        Self {
            verdict: ElectionEvent::Nothing,
            calls: vec![(call, step)],
        }
    }
}

/// This node's part in the election.
pub struct Election {
    me: NodeName,
    nodes: usize,
    rank: u64,
    /// The highest epoch known.
    pub epoch: Epoch,
    /// Whether the epoch was read since this process started.
    epoch_read: bool,
    /// Whether the jobs were read since this process started. Before that it may lack cancellations
    /// that it had acknowledged in an earlier life.
    pub jobs_read: bool,
    epoch_version: Version,
    last_ok: Option<Time>,
    failing_since: Option<Time>,
    lease_vote_until: Time,
    /// No campaign before this moment.
    pub hold_off: Time,
    campaigning: bool,
    claim_unsure: bool,
    next_look: Time,
    next_renew: Time,
    renewing: bool,
    vacant_since: Option<Time>,
    leader_heard_at: Option<Time>,
    epoch_since: Time,
    lease_votes: BTreeMap<NodeName, Time>,
    /// The key that this node campaigns for.
    key: LeaderKey,
    /// The version of the common key, if leaders hold another one.
    superseded: Option<Version>,
    next_supersede: Time,
}

impl Election {
    /// `rank` spreads the campaigns of the nodes a little.
    pub fn new(me: NodeName, nodes: usize, rank: u64) -> Self {
        Self {
            me,
            nodes,
            rank,
            epoch: Epoch(0),
            epoch_read: false,
            jobs_read: false,
            epoch_version: Version(0),
            last_ok: None,
            failing_since: None,
            lease_vote_until: Time(0),
            hold_off: Time(0),
            campaigning: false,
            claim_unsure: false,
            next_look: Time(0),
            next_renew: Time(0),
            renewing: false,
            vacant_since: None,
            leader_heard_at: None,
            epoch_since: Time(0),
            lease_votes: BTreeMap::new(),
            key: LeaderKey::Common,
            superseded: None,
            next_supersede: Time(0),
        }
    }

    /// Notes how any call to the state service ended.
    pub fn observe_store_answer(&mut self, now: Time, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Refused | StoreAnswer::Unknown => {
                self.failing_since.get_or_insert(now);
            }
            _ => {
                self.last_ok = Some(now);
                self.failing_since = None;
            }
        }
    }

    /// Whether the state service answers this node, as far as it knows.
    pub fn store_reachable(&self, now: Time) -> bool {
        match (self.last_ok, self.failing_since) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(ok), Some(_)) => now - ok < SILENT,
        }
    }

    /// Learns of an epoch from a peer.
    pub fn observe_epoch(&mut self, epoch: Epoch, now: Time) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.epoch_since = now;
            self.lease_votes.clear();
        }
    }

    /// Whether this node gives its word to the leader of `epoch`, or to a node that takes care in
    /// its place; if so, it binds itself.
    pub fn grant_lease_vote(&mut self, now: Time, epoch: Epoch, to_leader: bool) -> bool {
        let gives = epoch >= self.epoch
            && self.can_grant_lease_vote(now)
            && (to_leader || self.is_leader_silent(now));
        if gives {
            self.lease_vote_until = self.lease_vote_until.max(now + LEASE_VOTE_TTL.with_drift());
        }
        gives
    }

    fn can_grant_lease_vote(&self, now: Time) -> bool {
        self.epoch_read
            && self.jobs_read
            && !self.campaigning
            && !self.claim_unsure
            && !self.store_reachable(now)
    }

    /// Notes that a leader was heard.
    pub fn observe_leader(&mut self, now: Time) {
        self.leader_heard_at = Some(now);
    }

    fn is_leader_silent(&self, now: Time) -> bool {
        self.leader_heard_at
            .is_none_or(|t| now - t >= LEADER_SILENCE_TIMEOUT)
    }

    /// Whether this node would take care of workers, given the words of others.
    pub fn could_stand_in(&self, now: Time) -> bool {
        self.can_grant_lease_vote(now) && self.is_leader_silent(now) && self.epoch > Epoch(0)
    }

    /// Takes in a word for an epoch, asked for at a moment.
    pub fn record_lease_vote(&mut self, from: NodeName, sent: Time) {
        // A word that was asked for under an earlier epoch is none for this.
        if sent >= self.epoch_since {
            let at = self.lease_votes.entry(from).or_insert(sent);
            *at = (*at).max(sent);
        }
    }

    /// Whether this node takes care of workers in an outage that the leader did not survive. It
    /// binds itself as by a word.
    pub fn stands_in_for_leader(&mut self, now: Time) -> bool {
        let lease_votes = self
            .lease_votes
            .values()
            .filter(|&&sent| now < sent + LEASE_VOTE_TTL)
            .count();
        let stands_in_for_leader = self.could_stand_in(now) && lease_votes + 1 >= self.majority();
        if stands_in_for_leader {
            self.lease_vote_until = self.lease_vote_until.max(now + LEASE_VOTE_TTL.with_drift());
        }
        stands_in_for_leader
    }

    /// How many nodes make a majority.
    pub fn majority(&self) -> usize {
        self.nodes / 2 + 1
    }

    /// Calls that are due. `mine` is the lease held.
    pub fn tick(
        &mut self,
        now: Time,
        leader_slot: LeaderSlot<'_>,
        mine: Option<LeaseId>,
    ) -> Vec<(StoreCall, ElectionCall)> {
        let mut calls = Vec::new();
        if let Some(lease) = mine {
            if now >= self.next_renew && !self.renewing {
                self.next_renew = now + LEASE_RENEWAL_INTERVAL;
                self.renewing = true;
                calls.push((StoreCall::Renew(lease), ElectionCall::Renew(lease)));
            }
            return calls;
        }
        if now >= self.next_look {
            self.next_look = now + LEADER_KEY_POLL_INTERVAL;
            let key = leader_slot.key();
            calls.push((StoreCall::Get(key.name().into()), ElectionCall::Look(key)));
        }
        self.maybe_campaign(now, leader_slot, &mut calls);
        calls
    }

    fn maybe_campaign(
        &mut self,
        now: Time,
        leader_slot: LeaderSlot<'_>,
        calls: &mut Vec<(StoreCall, ElectionCall)>,
    ) {
        if let LeaderSlot::Taken(_) = leader_slot {
            self.vacant_since = None;
            return;
        }
        let since = *self.vacant_since.get_or_insert(now);
        let ready = now >= since + Span(60 * self.rank)
            && now >= self.lease_vote_until
            && (now >= self.hold_off || !self.epoch_read)
            && self.store_reachable(now);
        if !ready || self.campaigning {
            return;
        }
        match leader_slot {
            LeaderSlot::Outdated(leader) => {
                if now >= self.next_supersede {
                    self.next_supersede = now + SUPERSEDE_RETRY_INTERVAL;
                    calls.push((campaign::supersede(leader), ElectionCall::Supersede));
                }
            }
            LeaderSlot::Vacant(superseded) => {
                calls.push(self.campaign(leader_slot.key(), superseded))
            }
            LeaderSlot::Taken(_) => {}
        }
    }

    /// Takes in the answer to a call. `key` is the leader's key as cached.
    pub fn answered(
        &mut self,
        now: Time,
        sent: Time,
        step: ElectionCall,
        answer: StoreAnswer,
    ) -> ElectionProgress {
        match step {
            ElectionCall::Look(key) => self.looked(now, key, answer),
            ElectionCall::ReadEpoch => self.epoch_was_read(now, answer),
            ElectionCall::TakeLease => self.lease_taken(now, sent, answer),
            ElectionCall::Claim(lease, since, epoch) => {
                self.claimed(now, lease, since, epoch, answer)
            }
            ElectionCall::Verify(lease, since, epoch) => {
                self.verified(now, lease, since, epoch, answer)
            }
            ElectionCall::Renew(_) => {
                self.renewing = false;
                match answer {
                    StoreAnswer::Missing | StoreAnswer::NoSuchLease => {
                        ElectionProgress::to(ElectionEvent::Lost)
                    }
                    StoreAnswer::Done => ElectionProgress::default(),
                    _ => {
                        self.next_renew = now + Span(250);
                        ElectionProgress::default()
                    }
                }
            }
            ElectionCall::End | ElectionCall::Supersede => ElectionProgress::default(),
            ElectionCall::EndSuperseded => self.superseded_has_ended(now, answer),
        }
    }

    fn looked(&mut self, now: Time, key: LeaderKey, answer: StoreAnswer) -> ElectionProgress {
        match answer {
            StoreAnswer::Found(item) => {
                let record = LeaderRecord::deserialize_from(&item.value);
                if let Some(record) = &record {
                    self.observe_epoch(record.epoch, now);
                    self.epoch_read = true;
                }
                let verdict = ElectionEvent::Leader(key, record.clone().map(|r| (item.version, r)));
                // A leader by this node's name on a lease that is not held here is what an
                // earlier life of this process left behind: nobody acts for it any more.
                match record {
                    Some(r)
                        if r.node == self.me
                            && !r.superseded
                            && !self.claim_unsure
                            && !self.campaigning =>
                    {
                        ElectionProgress {
                            verdict,
                            calls: vec![(StoreCall::EndLease(r.lease), ElectionCall::End)],
                        }
                    }
                    _ => ElectionProgress::to(verdict),
                }
            }
            StoreAnswer::Missing => ElectionProgress::to(ElectionEvent::Leader(key, None)),
            _ => ElectionProgress::default(),
        }
    }
}

#[cfg(test)]
mod tests;

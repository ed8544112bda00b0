//! A campaign: the calls by which a node tries to win the election, made one after the other.
//!
//! The node ends the lease of a superseded leader if there is one, reads the epoch, acquires a lease, then sets the
//! leader key and bumps the epoch in one commit, the *claim*. A claim of unknown outcome is verified until the outcome
//! is known; until then the node grants no lease vote, because it may be leading.

use super::commits::{epoch_change, supersede};
use super::{
    lease_renewal, Claim, Election, ElectionCall, ElectionEvent, ElectionProgress, ElectionRequest,
    ElectionWin, LeaderKeyState, LEADER_LEASE_TTL,
};
use crate::io::{StoreAnswer, StoreCall, Value};
use crate::leadership::fencing_tokens::TokenRange;
use crate::store::records::{
    EpochRecord, LeaderKey, LeaderRecord, StoredLeader, EPOCH_KEY, LEADER_KEY,
};
use crate::store::transactions::condition;
use crate::units::{Span, Time};
use rudderreel_wire::ids::Version;
use rudderreel_wire::state::Transaction;

/// Pause after a campaign that failed, for the node of rank 0.
const CAMPAIGN_RETRY_INTERVAL: Span = Span(300);
/// Time by which the pause after a failed campaign is longer for each rank.
const CAMPAIGN_RETRY_MS_PER_RANK: u64 = 100;
/// Time by which a node campaigns for a vacant key later than the node of the preceding rank.
const CAMPAIGN_DELAY_MS_PER_RANK: u64 = 60;
/// Interval at which the commit that detaches the key of an outdated leader from its lease is sent, until the change is
/// seen.
const SUPERSEDE_RETRY_INTERVAL: Span = Span(300);
/// Time after its acquisition at which a lease that nothing renews has surely ended, if the store works.
const UNRENEWED_LEASE_TIMEOUT: Span = Span(2 * LEADER_LEASE_TTL.0);
/// The version of a key that does not exist.
const ABSENT: Version = Version(0);

/// The progress of a campaign.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum CampaignState {
    /// No campaign is in progress.
    #[default]
    Idle,
    /// A call of a campaign is in flight, and the campaign has not won yet.
    InProgress,
    /// The outcome of the claim is unknown: it may have been carried out, or may yet be.
    ClaimUnverified,
}

/// The state of this node's campaign.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Campaign {
    state: CampaignState,
    /// The leader key that the campaign is for.
    key: LeaderKey,
    /// The version of the common key, if leaders hold the gated key.
    superseded: Option<Version>,
    /// The version of the epoch's key.
    epoch_version: Version,
}

impl Campaign {
    /// Returns whether this node may have won, or may yet win.
    pub(super) fn is_in_progress(&self) -> bool {
        self.state != CampaignState::Idle
    }
}

impl Election {
    /// Begins a campaign if no node leads, or supersedes a leader that must not lead any more.
    pub(super) fn campaign_if_due(
        &mut self,
        now: Time,
        leader_key_state: LeaderKeyState<'_>,
    ) -> Option<ElectionRequest> {
        if let LeaderKeyState::Held(_) = leader_key_state {
            self.vacant_since = None;
            return None;
        }
        let vacant_since = *self.vacant_since.get_or_insert(now);
        if !self.may_campaign(now, vacant_since) {
            return None;
        }
        match leader_key_state {
            LeaderKeyState::Held(_) => None,
            LeaderKeyState::Outdated(leader) => self.supersede_if_due(now, leader),
            LeaderKeyState::Vacant { superseded } => {
                Some(self.begin_campaign(leader_key_state.key(), superseded))
            }
        }
    }

    /// Returns whether this node may campaign now. A pause has no effect before the epoch was read: a node that has
    /// just started needs the epoch to grant lease votes, and only a campaign reads it while no node leads.
    fn may_campaign(&self, now: Time, vacant_since: Time) -> bool {
        let is_paused = now < self.campaigns_paused_until && self.epoch_read;
        now >= vacant_since + Span(CAMPAIGN_DELAY_MS_PER_RANK * self.rank)
            && now >= self.bound_by_vote_until
            && !is_paused
            && self.store_reachable(now)
            && !self.campaign.is_in_progress()
    }

    fn supersede_if_due(&mut self, now: Time, leader: &StoredLeader) -> Option<ElectionRequest> {
        if now < self.next_supersede_at {
            return None;
        }
        self.next_supersede_at = now + SUPERSEDE_RETRY_INTERVAL;
        let call = StoreCall::Commit(supersede(leader));
        Some(ElectionRequest::new(call, ElectionCall::Supersede))
    }

    fn begin_campaign(
        &mut self,
        key: LeaderKey,
        superseded: Option<&StoredLeader>,
    ) -> ElectionRequest {
        self.campaign.state = CampaignState::InProgress;
        self.campaign.key = key;
        self.campaign.superseded = superseded.map(|leader| leader.version);
        match superseded.and_then(|leader| leader.record.lease_to_end()) {
            Some(lease) => {
                ElectionRequest::new(StoreCall::EndLease(lease), ElectionCall::EndSupersededLease)
            }
            None => ElectionRequest::new(read_epoch(), ElectionCall::ReadEpoch),
        }
    }

    /// Handles the answer to ending a superseded leader's lease. The campaign continues only once the lease has surely
    /// ended.
    pub(super) fn superseded_lease_ended(
        &mut self,
        now: Time,
        answer: StoreAnswer,
    ) -> ElectionProgress {
        match answer {
            StoreAnswer::Done | StoreAnswer::Missing => {
                ElectionProgress::request(read_epoch(), ElectionCall::ReadEpoch)
            }
            _ => self.give_up(now),
        }
    }

    /// Handles the answer to reading the epoch.
    pub(super) fn epoch_was_read(&mut self, now: Time, answer: StoreAnswer) -> ElectionProgress {
        match answer {
            StoreAnswer::Found(item) => {
                if let Ok(record) = serde_json::from_value::<EpochRecord>(item.value) {
                    self.observe_epoch(record.epoch, now);
                }
                self.campaign.epoch_version = item.version;
            }
            // No node has ever led, so no node can hold a lease vote.
            StoreAnswer::Missing => {
                self.campaign.epoch_version = ABSENT;
                self.campaigns_paused_until = now;
            }
            _ => return self.give_up(now),
        }
        self.epoch_read = true;
        if now < self.campaigns_paused_until {
            return self.give_up(now);
        }
        let call = StoreCall::AcquireLease(LEADER_LEASE_TTL.0);
        ElectionProgress::request(call, ElectionCall::AcquireLease)
    }

    /// Handles the answer to acquiring a lease by a call that was sent at `sent`.
    pub(super) fn lease_acquired(
        &mut self,
        now: Time,
        sent: Time,
        answer: StoreAnswer,
    ) -> ElectionProgress {
        let StoreAnswer::Lease(lease) = answer else {
            return self.give_up(now);
        };
        if now < self.bound_by_vote_until {
            return self.give_up(now);
        }
        let claim = Claim {
            lease,
            lease_sent: sent,
            tokens: TokenRange::after(self.epoch),
        };
        let call = StoreCall::Commit(self.claim_commit(&claim));
        ElectionProgress::request(call, ElectionCall::Claim(claim))
    }

    /// Returns the commit that sets the leader key and bumps the epoch. If leaders hold the gated key, the common key
    /// must still be at the version at which it was read.
    fn claim_commit(&self, claim: &Claim) -> Transaction<Value> {
        let record = LeaderRecord::new(self.node.clone(), claim.tokens.epoch(), claim.lease);
        let mut commit = epoch_change(
            self.campaign.key,
            &record,
            ABSENT,
            self.campaign.epoch_version,
        );
        let common_key =
            (self.campaign.superseded).map(|version| condition(LEADER_KEY.into(), version));
        commit.conditions.extend(common_key);
        commit
    }

    /// Handles the answer to the claim.
    pub(super) fn claim_answered(
        &mut self,
        now: Time,
        claim: Claim,
        answer: StoreAnswer,
    ) -> ElectionProgress {
        match answer {
            StoreAnswer::Committed(version) => self.win(now, claim, version),
            StoreAnswer::Unknown => {
                self.campaign.state = CampaignState::ClaimUnverified;
                self.verify(claim)
            }
            _ => self.drop_claim(now, claim),
        }
    }

    /// Reads the leader key to see whether a claim was carried out.
    fn verify(&self, claim: Claim) -> ElectionProgress {
        let call = StoreCall::Get(self.campaign.key.name().into());
        ElectionProgress::request(call, ElectionCall::VerifyClaim(claim))
    }

    /// Handles the answer to reading the leader key after a claim of unknown outcome.
    pub(super) fn claim_verified(
        &mut self,
        now: Time,
        claim: Claim,
        answer: StoreAnswer,
    ) -> ElectionProgress {
        if let StoreAnswer::Found(item) = &answer {
            let record = LeaderRecord::deserialize_from(&item.value);
            if record.is_some_and(|r| r.lease == claim.lease && r.epoch == claim.tokens.epoch()) {
                return self.win(now, claim, item.version);
            }
        }
        // Nothing renews this lease, so a late claim fails once the lease has ended. In an outage a lease does not
        // expire, so the answer must come from a store that works.
        let is_answered = matches!(answer, StoreAnswer::Found(_) | StoreAnswer::Missing);
        if is_answered && now > claim.lease_sent + UNRENEWED_LEASE_TIMEOUT {
            return self.drop_claim(now, claim);
        }
        self.verify(claim)
    }

    fn win(&mut self, now: Time, claim: Claim, version: Version) -> ElectionProgress {
        self.campaign.state = CampaignState::Idle;
        self.vacant_since = None;
        self.renewal = lease_renewal().answered_at(now);
        self.observe_epoch(claim.tokens.epoch(), now);
        ElectionProgress::event(ElectionEvent::Won(ElectionWin {
            tokens: claim.tokens,
            lease: claim.lease,
            lease_sent: claim.lease_sent,
            key: self.campaign.key,
            version,
        }))
    }

    fn drop_claim(&mut self, now: Time, claim: Claim) -> ElectionProgress {
        self.give_up(now);
        ElectionProgress::request(StoreCall::EndLease(claim.lease), ElectionCall::EndLease)
    }

    fn give_up(&mut self, now: Time) -> ElectionProgress {
        self.campaign.state = CampaignState::Idle;
        let pause = CAMPAIGN_RETRY_INTERVAL + Span(CAMPAIGN_RETRY_MS_PER_RANK * self.rank);
        self.campaigns_paused_until = self.campaigns_paused_until.max(now + pause);
        ElectionProgress::default()
    }
}

fn read_epoch() -> StoreCall {
    StoreCall::Get(EPOCH_KEY.into())
}

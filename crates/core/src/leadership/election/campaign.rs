//! A campaign: the calls by which a node tries to win the lead, one after the other.
//!
//! End the lease of a superseded leader if there is one, read the epoch, take a lease, claim the leader's key
//! and raise the epoch in one commit. A claim of unknown outcome is looked after until it is known; until
//! then the node gives no word, for it may be leading.

use super::{
    Election, ElectionCall, ElectionEvent, ElectionProgress, ElectionWin, LEADER_LEASE_TTL,
    LEASE_RENEWAL_INTERVAL,
};
use crate::io::{StoreAnswer, StoreCall, Value};
use crate::store::records::{EpochRecord, LeaderKey, LeaderRecord, EPOCH_KEY, LEADER_KEY};
use crate::store::transactions::put;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{Epoch, LeaseId, Version};
use rudderreel_wire::state::{Change, Condition, Transaction};

/// The pause after a campaign that failed, and how much longer it is for each rank.
const PAUSE: Span = Span(300);
const PAUSE_BY_RANK_MS: u64 = 100;

impl Election {
    /// Begins a campaign for a key.
    pub(super) fn campaign(
        &mut self,
        key: LeaderKey,
        superseded: Option<&(Version, LeaderRecord)>,
    ) -> (StoreCall, ElectionCall) {
        self.campaigning = true;
        self.key = key;
        self.superseded = superseded.map(|(version, _)| *version);
        let lease = superseded.and_then(|(_, record)| record.lease_to_end());
        match lease {
            Some(lease) => (StoreCall::EndLease(lease), ElectionCall::EndSuperseded),
            None => (StoreCall::Get(EPOCH_KEY.into()), ElectionCall::ReadEpoch),
        }
    }

    /// The answer to the end of a superseded leader's lease. The campaign goes on only once it has surely
    /// ended.
    pub(super) fn superseded_has_ended(
        &mut self,
        now: Time,
        answer: StoreAnswer,
    ) -> ElectionProgress {
        if !matches!(answer, StoreAnswer::Done | StoreAnswer::Missing) {
            return self.give_up(now);
        }
        let call = StoreCall::Get(EPOCH_KEY.into());
        ElectionProgress::by(call, ElectionCall::ReadEpoch)
    }

    pub(super) fn epoch_was_read(&mut self, now: Time, answer: StoreAnswer) -> ElectionProgress {
        match answer {
            StoreAnswer::Found(item) => {
                if let Ok(record) = serde_json::from_value::<EpochRecord>(item.value) {
                    self.observe_epoch(record.epoch, now);
                }
                self.epoch_version = item.version;
            }
            // Nobody has ever led, so nobody can hold a word.
            StoreAnswer::Missing => {
                self.epoch_version = Version(0);
                self.hold_off = now;
            }
            _ => return self.give_up(now),
        }
        self.epoch_read = true;
        if now < self.hold_off {
            return self.give_up(now);
        }
        let call = StoreCall::NewLease(LEADER_LEASE_TTL.0);
        ElectionProgress::by(call, ElectionCall::TakeLease)
    }

    pub(super) fn lease_taken(
        &mut self,
        now: Time,
        sent: Time,
        answer: StoreAnswer,
    ) -> ElectionProgress {
        let StoreAnswer::Lease(lease) = answer else {
            return self.give_up(now);
        };
        if now < self.lease_vote_until {
            return self.give_up(now);
        }
        let epoch = Epoch(self.epoch.0 + 1);
        let claim = StoreCall::Commit(self.claim(lease, epoch));
        ElectionProgress::by(claim, ElectionCall::Claim(lease, sent, epoch))
    }

    fn claim(&self, lease: LeaseId, epoch: Epoch) -> Transaction<Value> {
        let record = LeaderRecord::new(self.me.clone(), epoch, lease);
        let mut claim = epoch_change(self.key, &record, Version(0), self.epoch_version);
        let common = self.superseded.map(|version| Condition {
            key: LEADER_KEY.into(),
            version,
        });
        claim.conditions.extend(common);
        claim
    }

    pub(super) fn claimed(
        &mut self,
        now: Time,
        lease: LeaseId,
        since: Time,
        epoch: Epoch,
        answer: StoreAnswer,
    ) -> ElectionProgress {
        match answer {
            StoreAnswer::Committed(version) => self.win(now, epoch, lease, since, version),
            // The claim may have been carried out, or may yet be: no word until that is known.
            StoreAnswer::Unknown => {
                self.claim_unsure = true;
                self.verify(lease, since, epoch)
            }
            _ => self.drop_claim(now, lease),
        }
    }

    pub(super) fn verified(
        &mut self,
        now: Time,
        lease: LeaseId,
        since: Time,
        epoch: Epoch,
        answer: StoreAnswer,
    ) -> ElectionProgress {
        if let StoreAnswer::Found(item) = &answer {
            let record = LeaderRecord::deserialize_from(&item.value);
            if record.is_some_and(|r| r.lease == lease && r.epoch == epoch) {
                return self.win(now, epoch, lease, since, item.version);
            }
        }
        // Nothing renews this lease, so a late claim fails once it has ended. In an outage a
        // lease does not run out, so the answer must come from a service that works.
        let answered = matches!(answer, StoreAnswer::Found(_) | StoreAnswer::Missing);
        if answered && now > since + Span(2 * LEADER_LEASE_TTL.0) {
            self.claim_unsure = false;
            return self.drop_claim(now, lease);
        }
        self.verify(lease, since, epoch)
    }

    /// Looks whether a claim was carried out.
    fn verify(&self, lease: LeaseId, since: Time, epoch: Epoch) -> ElectionProgress {
        let call = StoreCall::Get(self.key.name().into());
        ElectionProgress::by(call, ElectionCall::Verify(lease, since, epoch))
    }

    fn win(
        &mut self,
        now: Time,
        epoch: Epoch,
        lease: LeaseId,
        since: Time,
        version: Version,
    ) -> ElectionProgress {
        self.campaigning = false;
        self.claim_unsure = false;
        self.renewing = false;
        self.vacant_since = None;
        self.next_renew = now + LEASE_RENEWAL_INTERVAL;
        self.observe_epoch(epoch, now);
        let won = ElectionWin {
            epoch,
            lease,
            lease_sent: since,
            key: self.key,
            version,
        };
        ElectionProgress::to(ElectionEvent::ElectionWin(won))
    }

    fn drop_claim(&mut self, now: Time, lease: LeaseId) -> ElectionProgress {
        self.give_up(now);
        ElectionProgress::by(StoreCall::EndLease(lease), ElectionCall::End)
    }

    fn give_up(&mut self, now: Time) -> ElectionProgress {
        self.campaigning = false;
        self.hold_off = self
            .hold_off
            .max(now + PAUSE + Span(PAUSE_BY_RANK_MS * self.rank));
        ElectionProgress::default()
    }
}

/// The commit that takes an outdated leader's key off its lease. Its version changes, so no write of
/// that leader is carried out after it.
pub(super) fn supersede((version, record): &(Version, LeaderRecord)) -> StoreCall {
    let tombstone = record.tombstone(Some(record.lease));
    StoreCall::Commit(Transaction {
        conditions: vec![Condition {
            key: LEADER_KEY.into(),
            version: *version,
        }],
        changes: vec![put(LEADER_KEY.into(), &tombstone)],
    })
}

/// The commit that takes the lead or raises the epoch.
pub fn epoch_change(
    key: LeaderKey,
    record: &LeaderRecord,
    leader_version: Version,
    epoch_version: Version,
) -> Transaction<Value> {
    let epoch = EpochRecord {
        epoch: record.epoch,
    };
    Transaction {
        conditions: vec![
            Condition {
                key: key.name().into(),
                version: leader_version,
            },
            Condition {
                key: EPOCH_KEY.into(),
                version: epoch_version,
            },
        ],
        changes: vec![
            Change::Put {
                key: key.name().into(),
                value: serde_json::to_value(record).unwrap_or_default(),
                lease: Some(record.lease),
            },
            Change::Put {
                key: EPOCH_KEY.into(),
                value: serde_json::to_value(epoch).unwrap_or_default(),
                lease: None,
            },
        ],
    }
}

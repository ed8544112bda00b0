//! Bumps the epoch, which reserves more fencing tokens for the term.
//!
//! A leader raises the token of an agent so that nothing which it sent before is carried out any more. It bumps its
//! epoch once an agent has seen the highest token of the term. The commit rewrites the leader key and the epoch's key
//! together. While it is open no other commit is made, since every write depends on the version of the leader key. If
//! its outcome is unknown, the leader key is read until it shows the new epoch; if the key shows anything else, the
//! commit may still be carried out, and the leader steps down.

use crate::io::{StoreAnswer, StoreCall};
use crate::leadership::step_down_reason::StepDownReason;
use crate::node::pending_call::LeaderCall;
use crate::node::Node;
use crate::store::records::LeaderRecord;
use crate::units::Now;
use rudderreel_wire::ids::{Epoch, Version};

impl Node {
    /// Bumps the epoch if an agent needs a higher token than the term has.
    pub(super) fn bump_epoch_if_needed(&mut self, now: Now) {
        let is_needed = (self.leader.as_ref()).is_some_and(|leader| {
            leader.recovery.is_complete()
                && leader.term.may_act(now.time)
                && !leader.term.is_key_changing()
                && leader.needs_epoch_bump(now.time)
        });
        if is_needed {
            self.bump_epoch(now);
        }
    }

    fn bump_epoch(&mut self, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let epoch = leader.term.begin_epoch_bump(now.time);
        let commit = leader.term.epoch_bump_commit(&self.settings.node, epoch);
        self.call_store_as_leader(StoreCall::Commit(commit), LeaderCall::BumpEpoch(epoch));
    }

    /// Handles the answer to the commit that bumps the epoch.
    pub(super) fn epoch_bump_answered(&mut self, epoch: Epoch, answer: StoreAnswer, now: Now) {
        match answer {
            StoreAnswer::Committed(version) => self.epoch_bumped(epoch, version, now),
            StoreAnswer::Refused => self.epoch_bump_refused(),
            StoreAnswer::Conflict(_) => self.step_down(StepDownReason::KeyChanged),
            StoreAnswer::NoSuchLease => self.step_down(StepDownReason::LeaseEnded),
            _ => self.verify_epoch_bump(epoch),
        }
    }

    /// Reads the leader key to check whether the commit was carried out.
    fn verify_epoch_bump(&mut self, epoch: Epoch) {
        let Some(leader) = self.leader.as_ref() else {
            return;
        };
        let call = StoreCall::Get(leader.term.key().name().into());
        self.call_store_as_leader(call, LeaderCall::VerifyEpochBump(epoch));
    }

    /// Handles the leader key as read after a commit of unknown outcome.
    pub(super) fn epoch_bump_verification_answered(
        &mut self,
        epoch: Epoch,
        answer: StoreAnswer,
        now: Now,
    ) {
        match answer {
            StoreAnswer::Found(item) => {
                let record = LeaderRecord::deserialize_from(&item.value);
                if record.is_some_and(|r| r.epoch == epoch && r.node == self.settings.node) {
                    self.epoch_bumped(epoch, item.version, now);
                } else {
                    // The commit may still be carried out, and would make every later commit fail: only a new term is
                    // certain.
                    self.step_down(StepDownReason::EpochBumpUnknown);
                }
            }
            StoreAnswer::Missing => self.step_down(StepDownReason::KeyGone),
            _ => self.verify_epoch_bump(epoch),
        }
    }

    fn epoch_bumped(&mut self, epoch: Epoch, version: Version, now: Now) {
        self.election.observe_epoch(epoch, now.time);
        if let Some(leader) = self.leader.as_mut() {
            log::info!("epoch bumped epoch={epoch}");
            leader.term.epoch_bumped(epoch, version, now.time);
        }
    }

    fn epoch_bump_refused(&mut self) {
        if let Some(leader) = self.leader.as_mut() {
            leader.term.epoch_bump_refused();
        }
    }
}

//! Makes the commits by which a leader closes the version gate (see [`crate::leadership::version_gate`]): first the
//! leader key is moved, then the machine types. Also refuses the requests that the gate rules out.

use crate::api::refusal::Refusal;
use crate::io::{ReqId, RequestOrigin, StoreAnswer, StoreCall, UserRequest, Value};
use crate::leadership::step_down_reason::StepDownReason;
use crate::leadership::version_gate::{VersionGateStep, KEY_MOVE_RETRY_INTERVAL};
use crate::node::pending_call::LeaderCall;
use crate::node::Node;
use crate::store::records::{LeaderRecord, CATALOG_KEY, GATED_LEADER_KEY};
use crate::store::transactions::put;
use crate::units::Now;
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::Version;
use rudderreel_wire::peer::SenderVersion;
use rudderreel_wire::state::Transaction;

impl Node {
    /// Handles a user's request that a peer forwards. Once jobs depend on others, a submission that was forwarded by a
    /// version that does not support dependencies is refused: that version may have dropped the submission's
    /// dependencies.
    pub(crate) fn forwarded_request_received(
        &mut self,
        req: ReqId,
        request: UserRequest,
        sender: SenderVersion,
        now: Now,
    ) {
        let is_submission = matches!(request, UserRequest::Submit(_));
        let is_outdated = sender == SenderVersion::BeforeDependencies;
        if is_submission && is_outdated && self.job_cache.dependencies_in_use() {
            return self.refuse(req, Refusal::ForwarderOutdated);
        }
        self.user_request_received(req, request, RequestOrigin::Peer, now);
    }

    /// Takes the leader's next step of closing the gate, once a job depends on others.
    pub(super) fn close_version_gate(&mut self, now: Now) {
        let Some(leader) = self.leader.as_ref() else {
            return;
        };
        let is_needed = self.job_cache.dependencies_in_use();
        if !leader.term.version_gate().may_advance(is_needed, now.time) {
            return;
        }
        if leader.term.holds_common_key() {
            self.move_leader_key();
        } else if !self.job_cache.is_catalog_moved() {
            self.move_catalog();
        }
    }

    fn move_leader_key(&mut self) {
        let Some(leader) = self.leader.as_ref() else {
            return;
        };
        let record = leader.term.record(&self.settings.node);
        let call = StoreCall::Commit(leader.term.key_move_commit(&record));
        self.advance_version_gate(VersionGateStep::MovingKey, call);
    }

    fn move_catalog(&mut self) {
        let (Some(leader), Some(catalog)) = (self.leader.as_ref(), self.catalog.as_ref()) else {
            return;
        };
        let machine_types = self.catalog_if_storable(catalog);
        let call = StoreCall::Commit(leader.term.catalog_move_commit(&machine_types));
        self.advance_version_gate(VersionGateStep::MovingCatalog, call);
    }

    fn advance_version_gate(&mut self, step: VersionGateStep, call: StoreCall) {
        self.set_version_gate(step);
        self.call_store_as_leader(call, LeaderCall::CloseVersionGate);
    }

    fn set_version_gate(&mut self, step: VersionGateStep) {
        if let Some(leader) = self.leader.as_mut() {
            leader.term.set_version_gate(step);
        }
    }

    /// Handles the answer to the call of the current step.
    pub(super) fn version_gate_answered(&mut self, answer: StoreAnswer, now: Now) {
        let step = (self.leader.as_ref()).map(|leader| leader.term.version_gate());
        match step {
            Some(VersionGateStep::MovingKey) => self.key_move_answered(answer, now),
            Some(VersionGateStep::VerifyingKey) => self.key_verified(answer, now),
            Some(VersionGateStep::MovingCatalog) => self.catalog_move_answered(answer),
            Some(VersionGateStep::Idle | VersionGateStep::RetryKeyMoveAt(_)) | None => {}
        }
    }

    fn key_move_answered(&mut self, answer: StoreAnswer, now: Now) {
        match answer {
            StoreAnswer::Committed(version) => self.switch_to_gated_key(version),
            StoreAnswer::Refused => self.set_version_gate(VersionGateStep::Idle),
            StoreAnswer::NoSuchLease => self.step_down(StepDownReason::LeaseEnded),
            StoreAnswer::Conflict(_) => {
                let call = StoreCall::Get(GATED_LEADER_KEY.into());
                self.advance_version_gate(VersionGateStep::VerifyingKey, call);
            }
            _ => self.retry_key_move(now),
        }
    }

    fn retry_key_move(&mut self, now: Now) {
        let at = now.time + KEY_MOVE_RETRY_INTERVAL;
        self.set_version_gate(VersionGateStep::RetryKeyMoveAt(at));
    }

    /// Handles the gated key as read after a commit that failed: if the key is this leader's, an earlier attempt was
    /// carried out.
    fn key_verified(&mut self, answer: StoreAnswer, now: Now) {
        match answer {
            StoreAnswer::Found(item) => {
                let record = LeaderRecord::deserialize_from(&item.value);
                let lease = self.leader.as_ref().map(|leader| leader.term.lease_id());
                if record.is_some_and(|record| Some(record.lease) == lease) {
                    self.switch_to_gated_key(item.version);
                } else {
                    self.step_down(StepDownReason::KeyChanged);
                }
            }
            StoreAnswer::Missing => self.step_down(StepDownReason::KeyGone),
            _ => self.retry_key_move(now),
        }
    }

    /// Records that this leader holds the gated key.
    fn switch_to_gated_key(&mut self, version: Version) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        log::info!("version gate closed, jobs depend on others key={GATED_LEADER_KEY}");
        leader.term.switch_to_gated_key(version);
        let record = leader.term.record(&self.settings.node);
        self.job_cache.record_leader_key_move(version, record);
    }

    /// Handles the answer to the commit that moves the machine types. A commit that was not carried out, or may not
    /// have been, is tried again.
    fn catalog_move_answered(&mut self, answer: StoreAnswer) {
        if let StoreAnswer::Committed(_) = answer {
            self.job_cache.record_catalog_move();
        }
        self.set_version_gate(VersionGateStep::Idle);
        self.step_down_if_superseded(&answer);
    }

    /// Stores the machine types for the other nodes, unless jobs depend on others: then they are stored under the gated
    /// key, as a step of closing the gate.
    pub(crate) fn store_catalog(&mut self, catalog: &Catalog) {
        let Some(leader) = (self.leader.as_ref()).filter(|_| !self.job_cache.dependencies_in_use())
        else {
            return;
        };
        // If they are too large, what was stored before stays readable; without that, nodes request the machine types
        // from the cloud themselves.
        let Some(stored) = self.catalog_if_storable(catalog) else {
            return;
        };
        let call = StoreCall::Commit(Transaction {
            conditions: vec![leader.term.key_condition()],
            changes: vec![put(CATALOG_KEY.into(), &stored)],
        });
        self.call_store_as_leader(call, LeaderCall::StoreCatalog);
    }

    /// Returns the machine types as JSON, if they are small enough to be stored.
    fn catalog_if_storable(&self, catalog: &Catalog) -> Option<Value> {
        let value = serde_json::to_value(catalog).ok();
        let fits = value.filter(|value| self.store_limits.fits(value));
        if fits.is_none() {
            log::warn!("machine types not stored reason=too_large");
        }
        fits
    }
}

#[cfg(test)]
mod tests;

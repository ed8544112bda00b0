//! The commits by which a leader closes the version gate.

use crate::api::refusal::Refusal;
use crate::api::user_requests::RequestOrigin;
use crate::io::{ReqId, StoreAnswer, StoreCall, UserRequest, Value};
use crate::leadership::step_down_reason::StepDownReason;
use crate::leadership::version_gate::VersionGateStep;
use crate::node::pending_call::LeaderCall;
use crate::node::Node;
use crate::store::records::{
    LeaderKey, LeaderRecord, CATALOG_KEY, GATED_CATALOG_KEY, GATED_LEADER_KEY,
};
use crate::store::transactions::put;
use crate::units::{Now, Span};
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::Version;
use rudderreel_wire::peer::SenderVersion;
use rudderreel_wire::state::{Change, Transaction};

/// A commit without an answer is repeated after so long.
const AGAIN: Span = Span(200);

impl Node {
    /// A user's request that a peer forwards.
    pub(crate) fn forwarded(
        &mut self,
        req: ReqId,
        request: UserRequest,
        sender: SenderVersion,
        now: Now,
    ) {
        let is_submission = matches!(request, UserRequest::Submit(_));
        let outdated = sender == SenderVersion::BeforeDependencies;
        if is_submission && outdated && self.job_cache.dependencies_in_use() {
            return self.refuse(req, Refusal::ForwarderOutdated);
        }
        self.user_request_received(req, request, RequestOrigin::Peer, now);
    }

    /// Has the leader close the gate once a job depends on others.
    pub(crate) fn close_version_gate(&mut self, now: Now) {
        let Some(leader) = self.leader.as_ref() else {
            return;
        };
        let due = match leader.term.version_gate {
            VersionGateStep::Idle => self.job_cache.dependencies_in_use(),
            VersionGateStep::ChangingKeyAgain(at) => now.time >= at,
            _ => false,
        };
        if !due {
            return;
        }
        if leader.term.key == LeaderKey::Common {
            let record = leader.term.record(&self.settings.node);
            let call = StoreCall::Commit(leader.term.change_key(&record));
            return self.gate_call(VersionGateStep::ChangingKey, call);
        }
        if self.job_cache.catalog_in_gated_key && !self.job_cache.catalog_in_common_key {
            return;
        }
        if let Some(catalog) = self.catalog.clone() {
            let changes = vec![
                put(GATED_CATALOG_KEY.into(), &self.storable(&catalog)),
                Change::Delete {
                    key: CATALOG_KEY.into(),
                },
            ];
            let call = StoreCall::Commit(Transaction {
                conditions: vec![leader.term.key_condition()],
                changes,
            });
            self.gate_call(VersionGateStep::MovingCatalog, call);
        }
    }

    fn gate_call(&mut self, step: VersionGateStep, call: StoreCall) {
        if let Some(leader) = self.leader.as_mut() {
            leader.term.version_gate = step;
            self.call_store_as_leader(call, LeaderCall::CloseVersionGate);
        }
    }

    /// The answer to a call that closes the gate.
    pub(crate) fn gate_answered(&mut self, answer: StoreAnswer, now: Now) {
        let step = self.leader.as_ref().map(|leader| leader.term.version_gate);
        match step {
            Some(VersionGateStep::ChangingKey) => self.key_changed(answer, now),
            Some(VersionGateStep::ReadingKey) => self.key_was_read(answer, now),
            Some(VersionGateStep::MovingCatalog) => self.catalog_moved(answer),
            _ => {}
        }
    }

    fn set_gate(&mut self, step: VersionGateStep) {
        if let Some(leader) = self.leader.as_mut() {
            leader.term.version_gate = step;
        }
    }

    fn key_changed(&mut self, answer: StoreAnswer, now: Now) {
        match answer {
            StoreAnswer::Committed(version) => self.holds_gated_key(version),
            StoreAnswer::Refused => self.set_gate(VersionGateStep::Idle),
            StoreAnswer::NoSuchLease => self.step_down(StepDownReason::LeaseEnded),
            StoreAnswer::Conflict(_) => self.gate_call(
                VersionGateStep::ReadingKey,
                StoreCall::Get(GATED_LEADER_KEY.into()),
            ),
            _ => self.set_gate(VersionGateStep::ChangingKeyAgain(now.time + AGAIN)),
        }
    }

    fn key_was_read(&mut self, answer: StoreAnswer, now: Now) {
        match answer {
            StoreAnswer::Found(item) => {
                let record = LeaderRecord::deserialize_from(&item.value);
                let lease = self.leader.as_ref().map(|leader| leader.term.lease_id);
                if record.is_some_and(|record| Some(record.lease) == lease) {
                    self.holds_gated_key(item.version);
                } else {
                    self.step_down(StepDownReason::KeyChanged);
                }
            }
            StoreAnswer::Missing => self.step_down(StepDownReason::KeyGone),
            _ => self.set_gate(VersionGateStep::ChangingKeyAgain(now.time + AGAIN)),
        }
    }

    /// The key behind the gate is this leader's.
    fn holds_gated_key(&mut self, version: Version) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        log::info!(
            "the leader's key is {GATED_LEADER_KEY} from now on, since jobs depend on others"
        );
        leader.term.version_gate = VersionGateStep::Idle;
        leader.term.key = LeaderKey::Gated;
        leader.term.key_version = version;
        let record = leader.term.record(&self.settings.node);
        let tombstone = record.tombstone(None);
        let cache = &mut self.job_cache;
        cache.update_leader(LeaderKey::Common, version, Some((version, tombstone)));
        cache.update_leader(LeaderKey::Gated, version, Some((version, record)));
    }

    /// What was not carried out, or may not have been, is tried again.
    fn catalog_moved(&mut self, answer: StoreAnswer) {
        if let StoreAnswer::Committed(_) = answer {
            self.job_cache.catalog_in_gated_key = true;
            self.job_cache.catalog_in_common_key = false;
        }
        self.set_gate(VersionGateStep::Idle);
        self.step_down_if_superseded(&answer);
    }

    /// Keeps the machine types for the other nodes. Once jobs depend on others they are stored where the
    /// gate keeps them.
    pub(crate) fn keep_catalog(&mut self, catalog: &Catalog) {
        let Some(leader) = (self.leader.as_ref()).filter(|_| !self.job_cache.dependencies_in_use())
        else {
            return;
        };
        // What was stored before stays readable; without that, nodes ask the cloud themselves.
        let Some(stored) = self.storable(catalog) else {
            return;
        };
        let call = StoreCall::Commit(Transaction {
            conditions: vec![leader.term.key_condition()],
            changes: vec![put(CATALOG_KEY.into(), &stored)],
        });
        self.call_store_as_leader(call, LeaderCall::StoreCatalog);
    }

    /// The machine types, if they are small enough to be stored.
    fn storable(&self, catalog: &Catalog) -> Option<Value> {
        let value = serde_json::to_value(catalog).ok();
        let fits = value.filter(|value| self.limits.fits(value));
        if fits.is_none() {
            log::warn!("the machine types are too large to be stored");
        }
        fits
    }
}

#[cfg(test)]
mod tests;

//! Makes the calls of the election, begins a term when this node wins, and ends the term when it steps down.

use crate::io::{StartRevocation, StoreAnswer, StoreCall};
use crate::leader::Leader;
use crate::leadership::election::{ElectionCall, ElectionEvent, ElectionRequest, ElectionWin};
use crate::leadership::step_down_reason::StepDownReason;
use crate::leadership::term::Term;
use crate::node::pending_call::PendingCall;
use crate::node::Node;
use crate::store::calls::CallPriority;
use crate::store::limits::StoreLimits;
use crate::units::{Now, Time};
use rudderreel_wire::ids::LeaseId;
use rudderreel_wire::settings::Settings;

/// Fraction of the store's rate limit that calls may use; the rest is left for watches.
const STORE_CALLS_FRACTION: f64 = 0.8;

/// Returns how many calls per second a node may make to the store. The leader, which writes the placement log, may make
/// twice as many as other nodes. Each node's watch has a share of its own.
pub(super) fn store_call_rate(settings: &Settings, leads: bool) -> f64 {
    let parts = f64::from(settings.params.nodes.max(1) + 1);
    StoreLimits::of(&settings.params.state).requests_per_s
        * STORE_CALLS_FRACTION
        * if leads { 2.0 } else { 1.0 }
        / parts
}

impl Node {
    /// Makes the calls of the election that are due: renewals of a leader's lease, reads of the leader key, and
    /// campaigns.
    pub(super) fn election_tick(&mut self, now: Now) {
        let held_lease = self.leader.as_ref().map(|leader| leader.term.lease_id());
        let leader_key_state = self.job_cache.leader_key_state();
        for request in self.election.tick(now.time, leader_key_state, held_lease) {
            self.enqueue_election_request(request);
        }
    }

    fn enqueue_election_request(&mut self, request: ElectionRequest) {
        let purpose = PendingCall::Election(request.purpose);
        self.store_calls
            .enqueue(CallPriority::Lease, request.call, purpose);
    }

    /// Handles the answer to a call of the election.
    pub(super) fn election_call_answered(
        &mut self,
        call: ElectionCall,
        sent: Time,
        answer: StoreAnswer,
        now: Now,
    ) {
        if let (ElectionCall::Renew(lease), StoreAnswer::Done) = (&call, &answer) {
            self.lease_renewed(*lease, sent, now.time);
        }
        let progress = self.election.answered(now.time, sent, call, answer);
        if let Some(request) = progress.request {
            self.enqueue_election_request(request);
        }
        match progress.event {
            ElectionEvent::Nothing => {}
            ElectionEvent::LeaderKeyRead(key, leader) => {
                self.job_cache.update_leader_read(key, leader)
            }
            ElectionEvent::Won(win) => self.become_leader(win, now),
            ElectionEvent::Lost => self.step_down(StepDownReason::LeaseEnded),
        }
    }

    fn lease_renewed(&mut self, lease: LeaseId, sent: Time, now: Time) {
        self.extend_term(now, |term| {
            if term.lease_id() == lease {
                term.lease_renewed(sent);
                let sent_ms_ago = (now - sent).0;
                log::debug!(
                    "lease renewed sent_ms_ago={sent_ms_ago} {}",
                    term.log_fields(now)
                );
            }
        });
    }

    /// Updates a leader's term after its lease or its cache became fresher; logs it if the leader may act again as a
    /// result.
    pub(super) fn extend_term(&mut self, now: Time, extend: impl FnOnce(&mut Term)) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let term = &mut leader.term;
        let could_act = term.may_act(now);
        extend(term);
        if !could_act && term.may_act(now) {
            log::info!("leader may act {}", term.log_fields(now));
        }
    }

    /// Begins a term, and with it the recovery of the state.
    fn become_leader(&mut self, win: ElectionWin, now: Now) {
        log::info!(
            "became leader epoch={} lease={} {}",
            win.tokens.epoch(),
            win.lease.0,
            self.job_cache.confirmation().log_fields(now.time)
        );
        let mut leader = Leader::new(&self.settings, self.tree.clone(), win, now.time);
        leader.term.cache_confirmed(self.job_cache.confirmation());
        (leader.policy).apply(self.tree.clone(), &self.admin_settings.settings);
        leader.store_limits = self.store_limits;
        let seen = std::mem::take(&mut self.leader_partitioned_zones);
        (leader.fleet.partitioned_zones).set_seen_by_earlier_leader(seen);
        if let Some(catalog) = &self.catalog {
            leader.set_catalog(catalog.clone());
        }
        self.leader = Some(leader);
        self.store_calls
            .set_rate(store_call_rate(&self.settings, true));
        self.cloud.restart(now.time);
        self.next_heartbeat_at = now.time;
        self.begin_recovery();
    }

    /// Ends this node's term, if it leads, and the term's lease, so that another node can win at once.
    pub(crate) fn step_down(&mut self, reason: StepDownReason) {
        let Some(leader) = self.leader.take() else {
            return;
        };
        log::info!("stepped down epoch={} reason={reason}", leader.term.epoch());
        self.revocations.push(StartRevocation::All);
        self.enqueue_election_request(ElectionRequest {
            call: StoreCall::EndLease(leader.term.lease_id()),
            purpose: ElectionCall::EndLease,
        });
        self.store_calls
            .set_rate(store_call_rate(&self.settings, false));
        self.cloud.clear();
        self.job_cache.forget_leader(leader.term.lease_id());
    }

    /// Steps down if a failed commit shows that the leader key no longer belongs to this leader; returns whether it
    /// did. While a commit of this leader may be changing the key, a conflict on the key proves nothing.
    pub(crate) fn step_down_if_superseded(&mut self, answer: &StoreAnswer) -> bool {
        let StoreAnswer::Conflict(keys) = answer else {
            return false;
        };
        let is_key_changing =
            (self.leader.as_ref()).is_some_and(|leader| leader.term.is_key_changing());
        let is_superseded = self.contains_leader_key(keys) && !is_key_changing;
        if is_superseded {
            self.step_down(StepDownReason::KeyChanged);
        }
        is_superseded
    }

    /// Returns whether `keys` contains the leader key that this node holds.
    fn contains_leader_key(&self, keys: &[String]) -> bool {
        let held = self.leader.as_ref().map(|leader| leader.term.key().name());
        keys.iter().any(|key| Some(key.as_str()) == held)
    }
}

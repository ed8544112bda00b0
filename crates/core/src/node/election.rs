//! The node's part in the election: the calls that the election wants, becoming leader and stepping down.

use crate::io::{StoreAnswer, StoreCall};
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

/// The part of the store's rate limit that calls may use; the rest is for watches.
const CALLS_PART: f64 = 0.8;

/// How many calls a second a node may make to the store: the leader, which keeps the placement log, twice as many as
/// others. Each node's watch has a part of its own.
pub(super) fn store_call_rate(settings: &Settings, leads: bool) -> f64 {
    let parts = f64::from(settings.params.nodes.max(1) + 1);
    StoreLimits::of(&settings.params.state).requests_per_s
        * CALLS_PART
        * if leads { 2.0 } else { 1.0 }
        / parts
}

impl Node {
    /// Makes the calls of the election that are due: renewals of a leader's lease, looks at the leader's key, and
    /// campaigns.
    pub(super) fn election_tick(&mut self, now: Now) {
        let held_lease = self.leader.as_ref().map(|leader| leader.term.lease_id());
        let leader_slot = self.job_cache.leader_slot();
        for request in self.election.tick(now.time, leader_slot, held_lease) {
            self.enqueue_election_request(request);
        }
    }

    fn enqueue_election_request(&mut self, request: ElectionRequest) {
        let purpose = PendingCall::Election(request.purpose);
        self.store_calls
            .enqueue(CallPriority::Lease, request.call, purpose);
    }

    /// The answer to a call of the election.
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

    /// Has a leader take in that its lease or its cache is fresher; logs it if it may act again by that.
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

    /// Begins a term, with the recovery of the state.
    fn become_leader(&mut self, win: ElectionWin, now: Now) {
        log::info!(
            "became leader epoch={} lease={} {}",
            win.epoch,
            win.lease.0,
            self.job_cache.confirmation().log_fields(now.time)
        );
        let mut leader = Leader::new(&self.settings, self.tree.clone(), win, now.time);
        leader.term.cache_confirmed(self.job_cache.confirmation());
        (leader.policy).apply(self.tree.clone(), &self.admin_settings.settings);
        leader.store_limits = self.limits;
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

    /// Ends this node's term, if it leads, and the lease with it, so that another node can win at once.
    pub(crate) fn step_down(&mut self, reason: StepDownReason) {
        let Some(leader) = self.leader.take() else {
            return;
        };
        log::info!("stepped down epoch={} reason={reason}", leader.term.epoch());
        self.enqueue_election_request(ElectionRequest {
            call: StoreCall::EndLease(leader.term.lease_id()),
            purpose: ElectionCall::EndLease,
        });
        self.store_calls
            .set_rate(store_call_rate(&self.settings, false));
        self.cloud.clear();
        self.job_cache.forget_leader(leader.term.lease_id());
    }

    /// Steps down if a failed commit shows that the leader's key is not this leader's any more; returns whether it
    /// did. While a commit of its own may be changing the key, a conflict on it shows nothing.
    pub(crate) fn step_down_if_superseded(&mut self, answer: &StoreAnswer) -> bool {
        let StoreAnswer::Conflict(keys) = answer else {
            return false;
        };
        let is_key_changing =
            (self.leader.as_ref()).is_some_and(|leader| leader.term.is_key_changing());
        let is_superseded = self.names_leader_key(keys) && !is_key_changing;
        if is_superseded {
            self.step_down(StepDownReason::KeyChanged);
        }
        is_superseded
    }

    /// Whether the key that this leader holds is among some.
    fn names_leader_key(&self, keys: &[String]) -> bool {
        let held = self.leader.as_ref().map(|leader| leader.term.key().name());
        keys.iter().any(|key| Some(key.as_str()) == held)
    }
}

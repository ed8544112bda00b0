//! Carries out administrators' requests: answers them, forwards them to the leader, and replaces the operators'
//! settings.

use crate::api::admin::jobs::JobView;
use crate::api::admin::machines::MachinesPage;
use crate::api::admin::overview::{CacheAge, LeaderOverview, Overview};
use crate::api::admin::settings;
use crate::api::admin::stops::RecentStops;
use crate::api::admin::teams::TeamsView;
use crate::api::admin::to_json;
use crate::api::refusal::Refusal;
use crate::io::{json, AdminRequest, Output, ReqId, RequestOrigin, StoreAnswer, StoreCall};
use crate::leader::Leader;
use crate::node::pending_call::PendingCall;
use crate::node::Node;
use crate::store::calls::CallPriority;
use crate::store::records::ADMIN_SETTINGS_KEY;
use crate::store::transactions::{condition, put};
use crate::units::Now;
use rudderreel_wire::admin::{AdminSettings, Versioned};
use rudderreel_wire::ids::Version;
use rudderreel_wire::peer::Forward;
use rudderreel_wire::state::Transaction;

/// HTTP status of a request that succeeded.
const OK: u16 = 200;

impl Node {
    /// Handles an administrator's request.
    pub(crate) fn admin_request_received(
        &mut self,
        req: ReqId,
        request: AdminRequest,
        origin: RequestOrigin,
        now: Now,
    ) {
        match request {
            AdminRequest::Settings => self.answer_settings(req),
            AdminRequest::ReplaceSettings(new) => self.replace_settings(req, *new, now),
            AdminRequest::Overview if self.leader.is_none() && origin == RequestOrigin::Direct => {
                let body = to_json(&self.overview(now));
                self.answer(req, OK, body);
            }
            request => match &self.leader {
                Some(leader) => match self.answer_as_leader(leader, request, now) {
                    Ok(body) => self.answer(req, OK, body),
                    Err(refusal) => self.refuse(req, refusal),
                },
                None => self.forward_to_leader(req, &request, origin),
            },
        }
    }

    fn answer_settings(&mut self, req: ReqId) {
        let body = json(&self.admin_settings);
        self.answer(req, OK, body);
    }

    /// Returns the answer that only a leader can give, as JSON.
    fn answer_as_leader(
        &self,
        leader: &Leader,
        request: AdminRequest,
        now: Now,
    ) -> Result<String, Refusal> {
        if !self.is_leadership_certain(leader, now) {
            return Err(Refusal::LeadershipUncertain);
        }
        Ok(match request {
            AdminRequest::Teams => to_json(&TeamsView::of(leader, now)),
            AdminRequest::Machines(after) => {
                to_json(&MachinesPage::of(leader, after.as_ref(), now))
            }
            AdminRequest::Stops => to_json(&RecentStops {
                stops: &leader.metrics.stops,
            }),
            AdminRequest::Job(id) => to_json(&JobView::of(&id, leader, &self.job_cache, now)?),
            _ => to_json(&self.overview(now)),
        })
    }

    fn is_leadership_certain(&self, leader: &Leader, now: Now) -> bool {
        let store_reachable = self.election.store_reachable(now.time);
        (leader.term).may_answer_agents(now.time, store_reachable, self.election.majority())
    }

    fn forward_to_leader(&mut self, req: ReqId, request: &AdminRequest, origin: RequestOrigin) {
        let leader = self.job_cache.leader().map(|record| record.node.clone());
        match leader {
            Some(leader) if origin == RequestOrigin::Direct && self.peers.contains(&leader) => {
                let forward = Forward::Admin(request.path());
                self.out.push(Output::Forward {
                    peer: leader,
                    req,
                    request: forward,
                });
                self.user_requests.forward_begun(req);
            }
            _ => self.refuse(req, Refusal::NoLeader),
        }
    }

    fn replace_settings(&mut self, req: ReqId, new: Versioned, now: Now) {
        if let Err(error) = settings::check(&new.settings, &self.platform_tree) {
            return self.refuse(req, error);
        }
        if !self.store_limits.fits(&new.settings) {
            return self.refuse(req, Refusal::SettingsTooLarge);
        }
        if !self.election.store_reachable(now.time) {
            return self.refuse(req, Refusal::StoreUnreachable);
        }
        let transaction = Transaction {
            conditions: vec![condition(ADMIN_SETTINGS_KEY.into(), new.version)],
            changes: vec![put(ADMIN_SETTINGS_KEY.into(), &new.settings)],
        };
        let purpose = PendingCall::ReplaceAdminSettings(req, Box::new(new.settings));
        self.store_calls
            .enqueue(CallPriority::User, StoreCall::Commit(transaction), purpose);
    }

    /// Handles the answer to the commit that replaces the operators' settings.
    pub(crate) fn admin_settings_replaced(
        &mut self,
        req: ReqId,
        settings: AdminSettings,
        answer: StoreAnswer,
    ) {
        match answer {
            StoreAnswer::Committed(version) => {
                self.apply_admin_settings(version, settings);
                self.answer_settings(req);
            }
            StoreAnswer::Conflict(_) => self.refuse(req, Refusal::SettingsChanged),
            StoreAnswer::Unknown => self.refuse(req, Refusal::SettingsOutcomeUnknown),
            _ => self.refuse(req, Refusal::StoreUnreachable),
        }
    }

    /// Applies settings that were stored, unless the same or a newer version has been applied already.
    pub(crate) fn apply_admin_settings(&mut self, version: Version, settings: AdminSettings) {
        if version <= self.admin_settings.version {
            return;
        }
        match settings::check(&settings, &self.platform_tree) {
            Ok(tree) => self.tree = tree,
            // The platform's settings file may have changed since these settings were stored.
            Err(error) => {
                return log::error!(
                    "operators' settings not applied version={version} reason={error}"
                );
            }
        }
        log::info!("operators' settings applied version={version}");
        self.admin_settings = Versioned { version, settings };
        if let Some(leader) = self.leader.as_mut() {
            (leader.policy).apply(self.tree.clone(), &self.admin_settings.settings);
        }
    }

    fn overview(&self, now: Now) -> Overview<'_> {
        let record = self.job_cache.leader();
        let leader = self.leader.as_ref();
        Overview {
            node: &self.settings.node,
            leader: record.map(|record| &record.node),
            epoch: record.map(|record| record.epoch),
            leads: leader.is_some(),
            state_service_answers: self.election.store_reachable(now.time),
            jobs_known: self.job_cache.job_count(),
            cache: CacheAge::of(self.job_cache.confirmation(), now.time),
            pauses: self.pauses.into(),
            unreadable_records: self.job_cache.unreadable_records(),
            connections_for: self.fleet_limits,
            backlog: self.backlog.summary(now.time),
            answers_ms: self.user_requests.latency().summary(),
            leader_view: leader.map_or_else(LeaderOverview::default, LeaderOverview::of),
        }
    }
}

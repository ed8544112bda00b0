//! Administrators' requests.

use crate::api::admin::check;
use crate::api::admin::views;
use crate::api::refusal::Refusal;
use crate::io::AdminRequest;
use crate::io::{error_body, json, Output, ReqId, StoreAnswer, StoreCall};
use crate::leader::Leader;
use crate::node::pending_call::PendingCall;
use crate::node::Node;
use crate::overload::fleet_limits::FleetLimits;
use crate::store::calls::CallPriority;
use crate::store::records::ADMIN_SETTINGS_KEY;
use crate::units::Now;
use rudderreel_wire::admin::{AdminSettings, Versioned};
use rudderreel_wire::ids::Version;
use rudderreel_wire::peer::Forward;
use rudderreel_wire::state::{Change, Condition, Transaction};
use serde_json::{json, Value};

impl Node {
    /// An administrator's request.
    pub(crate) fn admin(&mut self, req: ReqId, request: AdminRequest, local: bool, now: Now) {
        match request {
            AdminRequest::Settings => {
                let body = json(&self.admin_settings);
                self.answer(req, 200, body);
            }
            AdminRequest::Replace(new) => self.replace_settings(req, *new, now),
            AdminRequest::Overview if self.leader.is_none() && local => {
                let body = self.overview(now);
                self.answer(req, 200, body.to_string());
            }
            request => match &self.leader {
                Some(leader) if !self.leads_surely(leader, now) => {
                    self.refuse(req, Refusal::LeadershipUncertain);
                }
                Some(leader) => {
                    let (status, body) = match request {
                        AdminRequest::Teams => (200, views::teams(leader, now)),
                        AdminRequest::Machines(after) => {
                            (200, views::machines(leader, after.as_ref(), now))
                        }
                        AdminRequest::Stops => (200, json!({ "stops": leader.metrics.stops })),
                        AdminRequest::Job(id) => self.explain(leader, &id, now),
                        _ => (200, self.overview(now)),
                    };
                    self.answer(req, status, body.to_string());
                }
                None => self.ask_leader(req, &request, local),
            },
        }
    }

    fn leads_surely(&self, leader: &Leader, now: Now) -> bool {
        let store_reachable = self.election.store_reachable(now.time);
        leader
            .term
            .may_answer_agents(now.time, store_reachable, self.election.majority())
    }

    fn ask_leader(&mut self, req: ReqId, request: &AdminRequest, local: bool) {
        let leader = self.job_cache.leader().map(|r| r.node.clone());
        match leader {
            Some(leader) if local && self.peers.contains(&leader) => {
                let forward = Forward::Admin(request.path());
                self.out.push(Output::Forward(leader, req, forward));
                self.user_requests.forwarded_to_leader(req);
            }
            _ => self.refuse(req, Refusal::NoLeader),
        }
    }

    fn replace_settings(&mut self, req: ReqId, new: Versioned, now: Now) {
        if let Err(text) = check(&new.settings, &self.platform_tree) {
            return self.answer(req, 400, error_body(&text));
        }
        if !self.limits.fits(&new.settings) {
            let text = "the settings are larger than the state service stores";
            return self.answer(req, 400, error_body(text));
        }
        if !self.election.store_reachable(now.time) {
            return self.refuse(req, Refusal::StoreUnreachable);
        }
        let transaction = Transaction {
            conditions: vec![Condition {
                key: ADMIN_SETTINGS_KEY.into(),
                version: new.version,
            }],
            changes: vec![Change::Put {
                key: ADMIN_SETTINGS_KEY.into(),
                value: serde_json::to_value(&new.settings).unwrap_or_default(),
                lease: None,
            }],
        };
        let purpose = PendingCall::ReplaceAdminSettings(req, Box::new(new.settings));
        self.store_calls
            .enqueue(CallPriority::User, StoreCall::Commit(transaction), purpose);
    }

    /// The answer to a change of settings.
    pub(crate) fn admin_settings_replaced(
        &mut self,
        req: ReqId,
        settings: AdminSettings,
        answer: StoreAnswer,
    ) {
        match answer {
            StoreAnswer::Committed(version) => {
                self.apply_admin_settings(version, settings);
                let body = json(&self.admin_settings);
                self.answer(req, 200, body);
            }
            StoreAnswer::Conflict(_) => {
                let text = "the settings have changed meanwhile: read them again";
                self.answer(req, 409, error_body(text));
            }
            StoreAnswer::Unknown => self.refuse(req, Refusal::SettingsOutcomeUnknown),
            _ => self.refuse(req, Refusal::StoreUnreachable),
        }
    }

    /// Takes up settings that were stored.
    pub(crate) fn apply_admin_settings(&mut self, version: Version, settings: AdminSettings) {
        if version <= self.admin_settings.version {
            return;
        }
        match check(&settings, &self.platform_tree) {
            Ok(tree) => self.tree = tree,
            // The platform's file may have changed since they were stored.
            Err(text) => return log::error!("stored settings don't fit the platform's: {text}"),
        }
        log::info!("operators' settings of version {version} are taken up");
        self.admin_settings = Versioned { version, settings };
        if let Some(leader) = self.leader.as_mut() {
            leader
                .policy
                .apply(self.tree.clone(), &self.admin_settings.settings);
        }
    }

    fn overview(&self, now: Now) -> Value {
        let leader_record = self.job_cache.leader();
        let leader = self.leader.as_ref();
        json!({
            "node": self.settings.node,
            "leader": leader_record.map(|r| &r.node),
            "epoch": leader_record.map(|r| r.epoch),
            "leads": leader.is_some(),
            "state_service_answers": self.election.store_reachable(now.time),
            "jobs_known": self.job_cache.job_count(),
            "unreadable_records": self.job_cache.unreadable_records(),
            "jobs_unfinished": leader.map(|l| l.jobs.len()),
            "machines": leader.map(|l| l.fleet.machines.len()),
            "connections_for": FleetLimits::of(&self.settings),
            "machines_beyond_connections": leader.map(|l| l.fleet.beyond_connections),
            "pages": leader.map(|l| l.placement_log.len()),
            "backlog": self.backlog.summary(now.time),
            "counters": leader.map(|l| &l.metrics.counters),
            "answers_ms": self.user_requests.latency().summary(),
            "start_waits_ms": leader.map(|l| {
                (l.metrics.start_waits.iter())
                    .map(|(class, waits)| (class.to_string(), waits.summary()))
                    .collect::<serde_json::Map<_, _>>()
            }),
        })
    }
}

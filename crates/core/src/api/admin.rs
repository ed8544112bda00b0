//! The administration API: operators' settings, and explanations. Any node answers; what only the
//! leader knows is asked of it.

mod views;

use crate::io::{error_body, json, Output, ReqId, StoreAnswer, StoreCall};
use crate::leader::Leader;
use crate::node::{Node, PendingCall};
use crate::overload::fleet_limits::FleetLimits;
use crate::store::calls::Urgency;
use crate::store::records::ADMIN;
use crate::teams::team_tree::TeamTree;
use crate::units::Now;
use rudderreel_wire::admin::{AdminSettings, Versioned};
use rudderreel_wire::ids::{JobId, MachineId, Version};
use rudderreel_wire::peer::Forward;
use rudderreel_wire::state::{Change, Condition, Transaction};
use serde_json::{json, Value};

/// Path of the list of machines, and what asks for those after a name.
const MACHINES: &str = "/admin/machines";
const AFTER: &str = "?after=";

/// What an administrator asks for.
#[derive(Clone, Debug)]
pub enum AdminRequest {
    /// How the deployment is doing.
    Overview,
    /// Who uses what, against quota, limit and share.
    Teams,
    /// Machines after a name, and what they cost.
    Machines(Option<MachineId>),
    /// Why a job is where it is.
    Job(JobId),
    /// Tasks that were stopped lately, and why.
    Stops,
    /// The operators' settings.
    Settings,
    /// Replace the operators' settings.
    Replace(Box<Versioned>),
}

impl AdminRequest {
    /// The path that asks for it.
    pub fn path(&self) -> String {
        match self {
            Self::Overview => "/admin/overview".into(),
            Self::Teams => "/admin/teams".into(),
            Self::Machines(None) => MACHINES.into(),
            Self::Machines(Some(after)) => format!("{MACHINES}{AFTER}{after}"),
            Self::Job(id) => format!("/admin/jobs/{id}"),
            Self::Stops => "/admin/stops".into(),
            Self::Settings | Self::Replace(_) => "/admin/settings".into(),
        }
    }

    /// The request of a GET path.
    pub fn of_path(path: &str) -> Option<Self> {
        let after = path
            .strip_prefix(MACHINES)
            .and_then(|p| p.strip_prefix(AFTER));
        if let Some(after) = after.filter(|name| !name.is_empty()) {
            return Some(Self::Machines(Some(after.into())));
        }
        Some(match path {
            "/admin/overview" => Self::Overview,
            "/admin/teams" => Self::Teams,
            MACHINES => Self::Machines(None),
            "/admin/stops" => Self::Stops,
            "/admin/settings" => Self::Settings,
            _ => Self::Job(path.strip_prefix("/admin/jobs/")?.parse().ok()?),
        })
    }
}

/// Names the first setting that can't be, and why.
pub fn check(settings: &AdminSettings, platform: &TeamTree) -> Result<TeamTree, String> {
    let bounds = [
        ("period_s", settings.period_s, 0.1, 60.0),
        (
            "reclaim_multiplier",
            settings.reclaim_multiplier,
            1.0,
            100.0,
        ),
        (
            "reclaim_min_runtime_s",
            settings.reclaim_min_runtime_s,
            0.0,
            86_400.0,
        ),
        (
            "preempt_min_runtime_s",
            settings.preempt_min_runtime_s,
            0.0,
            86_400.0,
        ),
        ("keep_idle_s", settings.keep_idle_s, 0.0, 86_400.0),
        ("reserve_factor", settings.reserve_factor, 0.0, 100.0),
        (
            "spread_reports_from",
            settings.spread_reports_from,
            0.0,
            1e6,
        ),
    ];
    for (name, value, least, most) in bounds {
        if !(least..=most).contains(&value) {
            return Err(format!("{name}: must be from {least} to {most}"));
        }
    }
    platform.with(&settings.teams)
}

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
                    self.refuse(req, "leading is in doubt");
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
                None => self.ask_leader(req, &request, local, now),
            },
        }
    }

    fn leads_surely(&self, leader: &Leader, now: Now) -> bool {
        let store_reachable = self.election.store_reachable(now.time);
        leader
            .term
            .may_answer_agents(now.time, store_reachable, self.election.majority())
    }

    fn ask_leader(&mut self, req: ReqId, request: &AdminRequest, local: bool, now: Now) {
        let leader = self.job_cache.leader().map(|(_, r)| r.node.clone());
        match leader {
            Some(leader) if local && self.peers.contains_key(&leader) => {
                let forward = Forward::Admin(request.path());
                self.out.push(Output::Forward(leader, req, forward));
                self.user_requests.admin_forwarded.insert(req, now.time);
            }
            _ => self.refuse(req, "no leader is known"),
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
            return self.refuse(req, "the state service does not answer");
        }
        let transaction = Transaction {
            conditions: vec![Condition {
                key: ADMIN.into(),
                version: new.version,
            }],
            changes: vec![Change::Put {
                key: ADMIN.into(),
                value: serde_json::to_value(&new.settings).unwrap_or_default(),
                lease: None,
            }],
        };
        let purpose = PendingCall::Settings(req, Box::new(new.settings));
        self.calls
            .call(Urgency::User, StoreCall::Commit(transaction), purpose);
    }

    /// The answer to a change of settings.
    pub(crate) fn settings_replaced(
        &mut self,
        req: ReqId,
        settings: AdminSettings,
        answer: StoreAnswer,
    ) {
        match answer {
            StoreAnswer::Committed(version) => {
                self.take_up(version, settings);
                let body = json(&self.admin_settings);
                self.answer(req, 200, body);
            }
            StoreAnswer::Conflict(_) => {
                let text = "the settings have changed meanwhile: read them again";
                self.answer(req, 409, error_body(text));
            }
            StoreAnswer::Unknown => self.refuse(req, "the outcome is unknown: read them again"),
            _ => self.refuse(req, "the state service does not answer"),
        }
    }

    /// Takes up settings that were stored.
    pub(crate) fn take_up(&mut self, version: Version, settings: AdminSettings) {
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
        let leader_record = self.job_cache.leader().map(|(_, r)| r);
        let leader = self.leader.as_ref();
        json!({
            "node": self.settings.node,
            "leader": leader_record.map(|r| &r.node),
            "epoch": leader_record.map(|r| r.epoch),
            "leads": leader.is_some(),
            "state_service_answers": self.election.store_reachable(now.time),
            "jobs_known": self.job_cache.jobs.len(),
            "unreadable_records": self.job_cache.unreadable,
            "jobs_unfinished": leader.map(|l| l.jobs.len()),
            "machines": leader.map(|l| l.fleet.machines.len()),
            "connections_for": FleetLimits::of(&self.settings),
            "machines_beyond_connections": leader.map(|l| l.fleet.beyond_connections),
            "pages": leader.map(|l| l.placement_log.len()),
            "backlog": self.backlog.summary(now.time),
            "counters": leader.map(|l| &l.metrics.counters),
            "answers_ms": self.user_requests.latency.summary(),
            "start_waits_ms": leader.map(|l| {
                (l.metrics.start_waits.iter())
                    .map(|(class, waits)| (class.to_string(), waits.summary()))
                    .collect::<serde_json::Map<_, _>>()
            }),
        })
    }
}

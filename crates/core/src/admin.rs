//! The administration API: operators' settings, and explanations. Any node answers; what only the
//! leader knows is asked of it.

use crate::core::{Core, Purpose};
use crate::io::{error_body, json, Output, ReqId, StateAnswer, StateCall};
use crate::job::{Job, Stage};
use crate::lead::Lead;
use crate::placement_tracking::Phase;
use crate::records::ADMIN;
use crate::snapshot::Snapshot;
use crate::state_calls::Urgency;
use crate::tree::{amounts, TeamTree};
use crate::units::{Now, Span};
use rudderreel_wire::admin::{AdminSettings, Versioned};
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::peer::Forward;
use rudderreel_wire::state::{Change, Condition, Transaction};
use serde_json::{json, Value};

/// What an administrator asks for.
#[derive(Clone, Debug)]
pub enum AdminRequest {
    /// How the deployment is doing.
    Overview,
    /// Who uses what, against quota, limit and share.
    Teams,
    /// Machines, and what they cost.
    Machines,
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
            Self::Machines => "/admin/machines".into(),
            Self::Job(id) => format!("/admin/jobs/{id}"),
            Self::Stops => "/admin/stops".into(),
            Self::Settings | Self::Replace(_) => "/admin/settings".into(),
        }
    }

    /// The request of a GET path.
    pub fn of_path(path: &str) -> Option<Self> {
        Some(match path {
            "/admin/overview" => Self::Overview,
            "/admin/teams" => Self::Teams,
            "/admin/machines" => Self::Machines,
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

impl Core {
    /// An administrator's request.
    pub(crate) fn admin(&mut self, req: ReqId, request: AdminRequest, local: bool, now: Now) {
        match request {
            AdminRequest::Settings => {
                let body = json(&self.admin_settings);
                self.answer(req, 200, body);
            }
            AdminRequest::Replace(new) => self.replace_settings(req, *new, now),
            AdminRequest::Overview if self.lead.is_none() && local => {
                let body = self.overview(now);
                self.answer(req, 200, body.to_string());
            }
            request => match &self.lead {
                Some(lead) if !self.leads_surely(lead, now) => {
                    self.refuse(req, "leading is in doubt");
                }
                Some(lead) => {
                    let (status, body) = match request {
                        AdminRequest::Teams => (200, teams(lead, now)),
                        AdminRequest::Machines => (200, machines(lead, now)),
                        AdminRequest::Stops => (200, json!({ "stops": lead.stops })),
                        AdminRequest::Job(id) => self.explain(lead, &id, now),
                        _ => (200, self.overview(now)),
                    };
                    self.answer(req, status, body.to_string());
                }
                None => self.ask_leader(req, &request, local, now),
            },
        }
    }

    fn leads_surely(&self, lead: &Lead, now: Now) -> bool {
        let state_ok = self.election.state_ok(now.time);
        lead.may_answer(now.time, state_ok, self.election.majority())
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
        if !self.election.state_ok(now.time) {
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
        let purpose = Purpose::Settings(req, Box::new(new.settings));
        self.calls
            .call(Urgency::User, StateCall::Commit(transaction), purpose);
    }

    /// The answer to a change of settings.
    pub(crate) fn settings_replaced(
        &mut self,
        req: ReqId,
        settings: AdminSettings,
        answer: StateAnswer,
    ) {
        match answer {
            StateAnswer::Committed(version) => {
                self.take_up(version, settings);
                let body = json(&self.admin_settings);
                self.answer(req, 200, body);
            }
            StateAnswer::Conflict(_) => {
                let text = "the settings have changed meanwhile: read them again";
                self.answer(req, 409, error_body(text));
            }
            StateAnswer::Unknown => self.refuse(req, "the outcome is unknown: read them again"),
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
        if let Some(lead) = self.lead.as_mut() {
            lead.take_up(self.tree.clone(), &self.admin_settings.settings);
        }
    }

    fn overview(&self, now: Now) -> Value {
        let leader = self.job_cache.leader().map(|(_, r)| r);
        let lead = self.lead.as_ref();
        json!({
            "node": self.settings.node,
            "leader": leader.map(|r| &r.node),
            "epoch": leader.map(|r| r.epoch),
            "leads": lead.is_some(),
            "state_service_answers": self.election.state_ok(now.time),
            "jobs_known": self.job_cache.jobs.len(),
            "unreadable_records": self.job_cache.unreadable,
            "jobs_unfinished": lead.map(|l| l.jobs.len()),
            "machines": lead.map(|l| l.machines.len()),
            "pages": lead.map(|l| l.placement_log.len()),
            "counters": lead.map(|l| &l.counters),
            "answers_ms": self.user_requests.latency.summary(),
            "start_waits_ms": lead.map(|l| {
                (l.waits.iter())
                    .map(|(class, waits)| (class.to_string(), waits.summary()))
                    .collect::<serde_json::Map<_, _>>()
            }),
        })
    }

    fn explain(&self, lead: &Lead, id: &JobId, now: Now) -> (u16, Value) {
        let Some(job) = lead.jobs.get(id) else {
            return match self.job_cache.jobs.get(id) {
                Some(known) => (
                    200,
                    json!({
                        "id": id, "state": known.record.state,
                        "cancelled_with": known.record.cancelled_by,
                    }),
                ),
                None => (404, json!({ "error": "no such job" })),
            };
        };
        let tasks: Vec<Value> = (job.places.iter())
            .flat_map(|(index, places)| places.iter().map(move |p| (index, p)))
            .take(MOST_LISTED)
            .map(|(index, (machine, attempt))| {
                let entry = (lead.machines.get(machine)).and_then(|m| {
                    m.entries
                        .iter()
                        .find(|e| e.attempt == *attempt && e.task.index == *index)
                });
                json!({
                    "task": index, "machine": machine, "attempt": attempt,
                    "phase": entry.map(|e| phase(e.phase)),
                    "stopping": entry.and_then(|e| e.stop).map(|s| s.why),
                })
            })
            .collect();
        let body = json!({
            "id": id,
            "team": job.spec.team,
            "cancelled": job.stage != Stage::Active,
            "waits_for": job.unmet.iter().take(MOST_LISTED).collect::<Vec<_>>(),
            "needed_by": (self.job_cache.graph.dependents_of(id))
                .take(MOST_LISTED)
                .collect::<Vec<_>>(),
            "priority": job.goal.priority,
            "finish_by_ms": job.goal.finish_by.map(|wall| wall.0),
            "done": job.done.len(),
            "of": job.spec.tasks,
            "to_start": job.free_tasks(),
            "why": why_waiting(lead, job, now),
            "tasks": tasks,
        });
        (200, body)
    }
}

/// Lists are cut at this length.
const MOST_LISTED: usize = 200;

fn phase(phase: Phase) -> String {
    match phase {
        Phase::Planned => "to be started".into(),
        Phase::Sent => "start sent".into(),
        Phase::On(state) => format!("{state:?}").to_lowercase(),
        Phase::Exited(why) => format!("exited: {why:?}").to_lowercase(),
    }
}

/// What keeps a job's next task from starting.
fn why_waiting(lead: &Lead, job: &Job, now: Now) -> &'static str {
    if !job.is_active() {
        return "it was cancelled";
    }
    if !job.is_ready() {
        return "it waits for jobs that it depends on";
    }
    if job.is_suspected() {
        return "it fails wherever it is tried, perhaps for a mistake; it is tried now and then";
    }
    if job.free_tasks() == 0 {
        return "all its tasks are placed or done";
    }
    if job.not_before > now.time {
        return "its tasks failed, and it waits a little before the next try";
    }
    let picture = Snapshot::take(lead, now);
    if !picture.within_limits(lead, job, &amounts(&job.need)) {
        return if job.evictable() {
            "its team's limit is used up"
        } else {
            "its team's quota is used up, and work at priority 100 or above can't borrow"
        };
    }
    if crate::actions::has_room(lead, &picture, job) {
        "it is placed in the next cycle"
    } else if lead.rentals.open.is_empty() && !lead.is_booting() {
        "no machine has room for it, and none could be rented"
    } else {
        "no machine has room for it; machines are being rented or boot"
    }
}

fn teams(lead: &Lead, now: Now) -> Value {
    let picture = Snapshot::take(lead, now);
    let finite = |x: f64| x.is_finite().then_some(x);
    let rows: Vec<Value> = (lead.tree.nodes.iter().enumerate().skip(1))
        .map(|(i, team)| {
            json!({
                "team": team.name,
                "parent": team.parent.map(|p| &lead.tree.nodes[p].name),
                "priority": team.priority,
                "weight": team.weight,
                "cpus": {"used": picture.used[i][0], "of_share": picture.counted[i][0], "share": picture.share[i][0],
                    "quota": finite(team.quota[0]), "limit": finite(team.limit[0])},
                "gpus": {"used": picture.used[i][1], "of_share": picture.counted[i][1], "share": picture.share[i][1],
                    "quota": finite(team.quota[1]), "limit": finite(team.limit[1])},
                "saturation": finite(picture.saturation(i)),
            })
        })
        .collect();
    json!({ "teams": rows })
}

fn machines(lead: &Lead, now: Now) -> Value {
    let mut per_hour = 0.0;
    let rows: Vec<Value> = (lead.machines.values())
        .map(|m| {
            let price = lead.machine_type(&m.machine_type).and_then(|t| {
                if m.spot {
                    t.spot_price
                } else {
                    Some(t.price)
                }
            });
            per_hour += price.unwrap_or(0.0);
            let free = m.free();
            json!({
                "machine": m.id, "type": m.machine_type, "zone": m.zone, "spot": m.spot,
                "age_s": Lead::age(m, now.wall).as_secs(),
                "silent_s": m.last_heard.map(|t| (now.time - t).as_secs()),
                "tasks": m.entries.iter().filter(|e| e.holds_room()).count(),
                "free_cpus": free.cpus as f64 / 1000.0,
                "free_gpus": free.gpus as f64 / 1000.0,
                "going": m.retire, "price_per_hour": price,
                "failed_jobs": m.blamed.iter().map(|(j, _)| j).collect::<Vec<_>>(),
                "quarantined_s": (m.quarantine - now.time).as_secs(),
            })
        })
        .take(MOST_LISTED)
        .collect();
    json!({ "machines": rows, "price_per_hour": per_hour })
}

/// A stop, as it is told.
#[derive(Clone, Debug, serde::Serialize)]
pub struct StopNote {
    /// Milliseconds since 1970.
    pub at_ms: u64,
    /// The task.
    pub task: String,
    /// Its machine.
    pub machine: String,
    /// Why.
    pub why: &'static str,
}

/// A histogram of milliseconds.
pub struct Latency(hdrhistogram::Histogram<u32>);

impl Default for Latency {
    fn default() -> Self {
        let bounds = hdrhistogram::Histogram::new_with_bounds(1, 3_600_000, 2);
        Self(bounds.expect("the bounds are constants that fit"))
    }
}

impl Latency {
    /// Notes a time.
    pub fn note(&mut self, span: Span) {
        self.0.saturating_record(span.0.max(1));
    }

    /// Its quantiles.
    pub fn summary(&self) -> Value {
        json!({
            "count": self.0.len(),
            "p50": self.0.value_at_quantile(0.5),
            "p95": self.0.value_at_quantile(0.95),
            "p99": self.0.value_at_quantile(0.99),
            "max": self.0.max(),
        })
    }
}

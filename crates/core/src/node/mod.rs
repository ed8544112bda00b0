//! The whole of a node's state, and what happens on each input.

mod administration;
mod admission;
mod cancellation_replication;
mod cascade;
mod cloud;
mod dependencies;
mod direct_calls;
mod explanations;
mod heartbeats;
mod leadership_transfer;
mod placement_log;
mod read_confirmation;
pub(crate) mod recovery;
mod report_forwarding;
mod user_requests;
mod version_gate;

use crate::agents::report_forwarding::ReportForwarding;
use crate::api::cancellation_replication::Cancellations;
use crate::api::user_requests::{UserCall, UserRequests};
use crate::cache::job_cache::JobCache;
use crate::cloud::calls::CloudCalls;
use crate::io::{show, CallId, Input, Output, ReqId, StoreAnswer, StoreCall, Value};
use crate::leader::Leader;
use crate::leadership::election::{Election, ElectionCall, ElectionEvent, ElectionWin};
use crate::leadership::peers::PeerStatus;
use crate::node::recovery::LeaderCall;
use crate::overload::backlog::Backlog;
use crate::overload::fleet_limits::FleetLimits;
use crate::overload::pacing::{LongStep, Pacing};
use crate::overload::processor_share::ProcessorShare;
use crate::store::calls::{StoreCalls, Urgency};
use crate::store::limits::StoreLimits;
use crate::store::records::{LeaderKey, SHARED};
use crate::teams::team_tree::TeamTree;
use crate::units::{Now, Span, Time};
use rudderreel_wire::admin::{AdminSettings, Versioned};
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::{JobId, LeaseId, MachineId, NodeName, Version, Zone};
use rudderreel_wire::job::JobState;
use rudderreel_wire::settings::Settings;
use rudderreel_wire::state::{Event, Page};
use std::collections::BTreeMap;

/// What a call to the state service is for.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    Election(ElectionCall),
    Fill(Option<Fill>),
    User(UserCall),
    Leader(LeaseId, LeaderCall),
    Settings(ReqId, Box<AdminSettings>),
    Known,
}

/// A read of everything that is watched, page by page.
#[derive(Clone, Debug)]
pub(crate) struct Fill {
    /// The revision of the first page: what has changed since is seen by the watch.
    first: Version,
    /// Leaders' keys that were found.
    leader_keys: Vec<LeaderKey>,
}

/// A node.
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) tree: TeamTree,
    pub(crate) platform_tree: TeamTree,
    pub(crate) admin_settings: Versioned,
    pub(crate) catalog: Option<Catalog>,
    pub(crate) job_cache: JobCache,
    pub(crate) calls: StoreCalls<PendingCall>,
    pub(crate) cloud: CloudCalls,
    /// How late the cloud's list is.
    pub(crate) list_lag: Span,
    pub(crate) election: Election,
    /// Limits of the state service that every writer keeps to.
    pub(crate) limits: StoreLimits,
    /// How many workers the nodes' connections suffice for, if that is known.
    fleet_limits: Option<FleetLimits>,
    /// How often costly things are done.
    pub(crate) processor_share: ProcessorShare,
    pub(crate) user_requests: UserRequests,
    pub(crate) cancellations: Cancellations,
    pub(crate) leader: Option<Leader>,
    pub(crate) forwarding: ReportForwarding,
    /// Machines that the leader said it knows.
    pub(crate) leader_machines: u32,
    /// Zones that the leader said are cut off, and since when.
    pub(crate) leader_partitioned_zones: BTreeMap<Zone, Time>,
    pub(crate) peers: BTreeMap<NodeName, PeerStatus>,
    pub(crate) task_counts: BTreeMap<JobId, (u32, u32)>,
    cache_syncing: bool,
    next_cache_sync_at: Time,
    pub(crate) next_heartbeat_at: Time,
    pub(crate) heartbeats_sent: u64,
    next_reconcile_at: Time,
    /// Keeps looks and cycles to a part of the time.
    pacing: Pacing,
    /// Whether this node keeps up.
    pub(crate) backlog: Backlog,
    pub(crate) last_report_at: Option<Time>,
    /// Since when workers have reached other nodes all the time.
    pub(crate) peers_reached_since: Option<Time>,
    pub(crate) out: Vec<Output>,
}

/// How often nodes tell one another how they are.
const HEARTBEAT_INTERVAL: Span = Span(500);
/// How often the leader looks through its machines and jobs.
const PLACEMENTS: Span = Span(100);

/// How many calls a second a node may make to the state service: the leader, which keeps the placement log,
/// twice as many as others. Each node's watch has a part of its own.
fn store_call_rate(settings: &Settings, leads: bool) -> f64 {
    let parts = f64::from(settings.params.nodes.max(1) + 1);
    StoreLimits::of(&settings.params.state).requests_per_s
        * CALLS_PART
        * if leads { 2.0 } else { 1.0 }
        / parts
}

/// The part of the state service's limit that calls may use; the rest is for watches.
const CALLS_PART: f64 = 0.8;

impl Node {
    /// A node that has just started.
    pub fn new(settings: Settings) -> Self {
        let nodes = settings.params.nodes.max(1) as usize;
        let mut names: Vec<&NodeName> = settings.peers.iter().map(|p| &p.node).collect();
        names.push(&settings.node);
        names.sort();
        let rank = names.iter().position(|n| **n == settings.node).unwrap_or(0) as u64;
        let peers = (settings.peers.iter())
            .map(|p| (p.node.clone(), PeerStatus::default()))
            .collect();
        Self {
            tree: TeamTree::from_limits(&settings.params.teams),
            platform_tree: TeamTree::from_limits(&settings.params.teams),
            admin_settings: Versioned {
                version: Version(0),
                settings: AdminSettings::default(),
            },
            catalog: None,
            job_cache: JobCache::default(),
            calls: StoreCalls::new(store_call_rate(&settings, false)),
            list_lag: Span::secs(settings.params.cloud.list_lag_s),
            cloud: CloudCalls::new(settings.params.cloud.rps * 0.9),
            election: Election::new(settings.node.clone(), nodes, rank),
            limits: StoreLimits::of(&settings.params.state),
            fleet_limits: FleetLimits::of(&settings),
            processor_share: ProcessorShare::of(&settings),
            user_requests: UserRequests::default(),
            cancellations: Cancellations::default(),
            leader: None,
            forwarding: ReportForwarding::default(),
            leader_machines: 0,
            leader_partitioned_zones: BTreeMap::new(),
            peers,
            task_counts: BTreeMap::new(),
            cache_syncing: false,
            next_cache_sync_at: Time(0),
            next_heartbeat_at: Time(0),
            heartbeats_sent: 0,
            next_reconcile_at: Time(0),
            pacing: Pacing::default(),
            backlog: Backlog::default(),
            last_report_at: None,
            peers_reached_since: None,
            out: Vec::new(),
            settings,
        }
    }

    /// Takes one input; returns what to send, write and answer.
    pub fn step(&mut self, input: Input, now: Now) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::User(req, request) => self.user(req, request, false, now),
            Input::ForwardedRequest(req, request, sender) => {
                self.forwarded(req, request, sender, now)
            }
            Input::StatusReport(req, report) => self.report(req, *report, now),
            Input::Health(req) => self.health(req, now),
            Input::Admin(req, request, local) => self.admin(req, request, local, now),
            Input::Heartbeat(req, heartbeat) => self.heartbeat(req, heartbeat, now),
            Input::HeartbeatReply(sent, reply) => self.heartbeat_reply(sent, reply, now),
            Input::ForwardedReports(req, reports) => self.reports(req, reports, now),
            Input::ForwardedReportsReply(call, reply) => {
                self.forwarded_reports_answered(call, reply, now)
            }
            Input::ReplicateCancellations(req, told) => self.cancellations_replicated(req, told),
            Input::ReplicateCancellationsReply(peer, reply) => {
                self.replication_answered(peer, reply, now)
            }
            Input::ForwardReply(req, answer) => self.forward_answer(req, answer),
            Input::State(id, sent, answer) => self.state_answer(id, sent, answer, now),
            Input::Watched(revision, events) => self.watch_events_received(revision, events, now),
            Input::WatchLost => {
                // Until it has been read again, the cache may miss changes: the tick sees to it
                // that this is tried until it works.
                self.job_cache.is_complete = false;
                self.start_cache_sync();
            }
            Input::Cloud(id, answer) => self.cloud_answer(id, answer, now),
            Input::Direct(machine, body, outcome) => self.direct(machine, body, outcome, now),
        }
        // At once, so that nothing of a job is started after its user was told that it is cancelled.
        self.apply_job_changes(now);
        self.send_cancellation_replications(now);
        self.calls.pump(now.time, &mut self.out);
        std::mem::take(&mut self.out)
    }

    /// What the last step did, if that takes long in a large fleet; until [`Node::step_ended`] is called.
    pub fn long_step(&self) -> Option<LongStep> {
        self.pacing.current()
    }

    /// Tells how long the step took that has just ended, by the steady clock. Without it looks and cycles
    /// follow one another as if they took no time.
    pub fn step_ended(&mut self, at: Time, took: Span) {
        self.pacing.ended(at, took);
    }

    /// Tells how long the input has waited that comes next. A node that is behind answers before it decides.
    pub fn note_wait(&mut self, at: Time, waited: Span) {
        self.backlog.note_wait(at, waited);
    }

    fn tick(&mut self, now: Now) {
        if !self.job_cache.is_complete && !self.cache_syncing && now.time >= self.next_cache_sync_at
        {
            self.start_cache_sync();
        }
        self.backlog.tick(now.time);
        let mine = self.leader.as_ref().map(|l| l.term.lease_id);
        let due = self
            .election
            .tick(now.time, self.job_cache.leader_slot(), mine);
        self.election_calls(due);
        self.send_due_confirmations(now);
        self.cancellations_tick(now);
        self.fetch_catalog(now);
        self.forwarding_tick(now);
        if now.time >= self.next_heartbeat_at {
            self.next_heartbeat_at = now.time + HEARTBEAT_INTERVAL;
            self.send_heartbeat(now);
        }
        self.lead_tick(now);
    }

    fn election_calls(&mut self, calls: Vec<(StoreCall, ElectionCall)>) {
        for (call, step) in calls {
            self.calls
                .call(Urgency::Lease, call, PendingCall::Election(step));
        }
    }

    // --- the state service ---

    fn state_answer(&mut self, id: CallId, sent: Time, answer: StoreAnswer, now: Now) {
        self.election.observe_store_answer(now.time, &answer);
        if matches!(answer, StoreAnswer::Rejected) {
            self.limits.halve();
            log::warn!("a transaction was rejected; from now on {:?}", self.limits);
            if let Some(leader) = self.leader.as_mut() {
                leader.store_limits = self.limits;
            }
        }
        match self.calls.finish(id) {
            Some(PendingCall::Election(step)) => self.election_answer(step, sent, answer, now),
            Some(PendingCall::Fill(first)) => self.cache_sync_page_received(first, answer, now),
            Some(PendingCall::User(step)) => self.user_answer(step, answer, now),
            Some(PendingCall::Leader(leader, step)) => {
                if self.leader.as_ref().is_some_and(|l| l.term.id() == leader) {
                    self.leader_call_answered(step, answer, now);
                }
            }
            Some(PendingCall::Settings(req, new)) => {
                self.admin_settings_replaced(req, *new, answer)
            }
            Some(PendingCall::Known) => {
                self.watermark_written(matches!(answer, StoreAnswer::Committed(_)))
            }
            None => log::debug!("an answer that nobody waits for"),
        }
    }

    fn election_answer(&mut self, step: ElectionCall, sent: Time, answer: StoreAnswer, now: Now) {
        if let (ElectionCall::Renew(lease), StoreAnswer::Done, Some(leader)) =
            (&step, &answer, self.leader.as_mut())
        {
            if leader.term.lease_id == *lease {
                leader.term.lease_renewed(sent);
            }
        }
        let progress = self.election.answered(now.time, sent, step, answer);
        self.election_calls(progress.calls);
        match progress.verdict {
            ElectionEvent::Nothing => {}
            ElectionEvent::Leader(key, record) => self.job_cache.update_leader_read(key, record),
            ElectionEvent::ElectionWin(won) => self.become_leader(won, now),
            ElectionEvent::Lost => self.step_down("its lease has ended"),
        }
    }

    fn become_leader(&mut self, won: ElectionWin, now: Now) {
        log::info!("leading as {}", show(won.epoch));
        let mut leader = Leader::new(&self.settings, self.tree.clone(), won, now.time);
        leader
            .policy
            .apply(self.tree.clone(), &self.admin_settings.settings);
        leader.store_limits = self.limits;
        leader.fleet.previously_partitioned_zones =
            std::mem::take(&mut self.leader_partitioned_zones);
        if let Some(catalog) = &self.catalog {
            leader.set_catalog(catalog.clone());
        }
        self.leader = Some(leader);
        self.calls.set_rate(store_call_rate(&self.settings, true));
        self.cloud.clear();
        self.cloud.next_catalog = now.time;
        self.cloud.next_list = now.time;
        self.next_heartbeat_at = now.time;
        self.start_recovery();
    }

    /// Stops leading.
    pub(crate) fn step_down(&mut self, why: &str) {
        if let Some(leader) = self.leader.take() {
            log::info!("no longer leading as {}: {why}", show(leader.term.epoch));
            let call = StoreCall::EndLease(leader.term.lease_id);
            self.election_calls(vec![(call, ElectionCall::End)]);
            self.calls.set_rate(store_call_rate(&self.settings, false));
            self.cloud.clear();
            self.job_cache.forget_leader(leader.term.lease_id);
        }
    }

    /// Reads everything that is watched, from the start.
    fn start_cache_sync(&mut self) {
        self.cache_syncing = true;
        let call = StoreCall::List(SHARED.into(), None);
        self.calls
            .call(Urgency::User, call, PendingCall::Fill(None));
    }

    fn cache_sync_page_received(&mut self, fill: Option<Fill>, answer: StoreAnswer, now: Now) {
        let StoreAnswer::Page(page) = answer else {
            self.cache_syncing = false;
            self.next_cache_sync_at = now.time + Span(250);
            return;
        };
        let mut fill = fill.unwrap_or(Fill {
            first: page.revision,
            leader_keys: Vec::new(),
        });
        let last = page.items.last().map(|i| i.key.clone());
        self.apply_sync_page(&page, &mut fill, now);
        if page.more && last.is_some() {
            let call = StoreCall::List(SHARED.into(), last);
            let purpose = PendingCall::Fill(Some(fill));
            self.calls.call(Urgency::User, call, purpose);
            return;
        }
        self.cache_syncing = false;
        self.job_cache.is_complete = true;
        self.advance_cancellation_watermark(fill.first);
        self.out.push(Output::Watch(fill.first));
    }

    fn apply_sync_page(&mut self, page: &Page<Value>, fill: &mut Fill, now: Now) {
        for item in &page.items {
            fill.leader_keys.extend(LeaderKey::of_name(&item.key));
            self.job_cache
                .apply_item(&item.key, item.version, &item.value);
        }
        let missing = |key: &LeaderKey| !page.more && !fill.leader_keys.contains(key);
        for key in LeaderKey::ALL.into_iter().filter(missing) {
            self.job_cache.update_leader(key, fill.first, None);
        }
        self.apply_cached_settings(now);
    }

    fn watch_events_received(&mut self, revision: Version, events: Vec<Event<Value>>, now: Now) {
        for event in &events {
            self.job_cache.apply_event(event);
        }
        self.apply_cached_settings(now);
        self.advance_cancellation_watermark(revision);
        self.out.push(Output::Watch(revision));
    }

    fn apply_cached_settings(&mut self, now: Now) {
        if let Some(catalog) = self.job_cache.catalog.take() {
            self.catalog.get_or_insert(catalog);
        }
        if let Some((version, settings)) = self.job_cache.admin.take() {
            self.apply_admin_settings(version, settings);
        }
        if let Some((_, record)) = self.job_cache.leader() {
            self.election.observe_epoch(record.epoch, now.time);
        }
    }

    // --- leading ---

    fn lead_tick(&mut self, now: Now) {
        if self.leader.is_none() {
            return;
        }
        self.retry_recovery_read(now);
        self.transfer_leadership_if_unfit(now);
        self.update_old_leaders_fenced_at(now.time);
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let behind = self.backlog.is_behind(now.time);
        let review_is_due =
            now.time >= self.next_reconcile_at && self.pacing.may_review(now.time, behind);
        if leader.recovery.is_complete && review_is_due {
            self.pacing.begin(LongStep::Review, now.time);
            // Looking through a large fleet takes longer, so it is done less often.
            self.next_reconcile_at =
                now.time + Span(PLACEMENTS.0 + leader.fleet.machines.len() as u64 / 12);
            leader.fleet.update_beyond_connections(self.fleet_limits);
            leader.detect_partitioned_zones(now.time);
            leader.stop_ended_jobs(now);
            leader.drain_reclaimed_machines(now.time);
            leader.stop_tasks_on_retired(now.time);
            leader.expire_leases(now);
            let cycle_is_due =
                now.time >= leader.schedule.next_cycle && self.pacing.may_cycle(now.time, behind);
            if leader.term.is_lease_valid(now.time) && cycle_is_due {
                self.pacing.begin(LongStep::Cycle, now.time);
                leader.schedule.next_cycle = now.time + leader.policy.cycle_period;
                leader.cycle(now);
            }
            self.flush_leader_commits(now);
            self.bump_epoch_if_needed(now);
            self.push_waiting(now);
            self.cloud_tick(now);
        } else {
            self.flush_leader_commits(now);
            self.cloud_pump(now);
        }
    }

    fn push_waiting(&mut self, now: Now) {
        let Some(leader) = self.leader.as_ref() else {
            return;
        };
        let waiting: Vec<MachineId> = (leader.fleet.machines.values())
            .filter(|m| leader.needs_direct_call(m, now.time))
            .map(|m| m.id.clone())
            .collect();
        let overdue = leader.machines_to_probe(now.time);
        self.push_starts(&waiting, now);
        for id in overdue {
            self.probe(&id);
        }
    }

    fn apply_job_changes(&mut self, now: Now) {
        let changed = std::mem::take(&mut self.job_cache.changed);
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        for id in &changed {
            let Some(known) = self.job_cache.jobs.get_mut(id) else {
                continue;
            };
            leader.update_job(id, known.version, &known.record);
            if known.record.state == JobState::Cancelled {
                leader.stop_job(id, now.time);
            }
            leader.request_cycle(now.time);
        }
        self.refresh_dependencies(&changed, now);
    }
}

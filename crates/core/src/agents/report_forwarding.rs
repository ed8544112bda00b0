//! Workers' reports at nodes that don't lead.
//!
//! Several hundred workers are too many for one node, so from a certain size on every node takes
//! reports. It passes them on to the leader, many at once and shortened, and answers each worker only
//! with what the leader says. That a worker is answered stays a decision of the leader alone: a
//! worker's lease counts from the sending of the report, which came before that decision, so however
//! late this node answers, it does not renew a lease for longer than the leader reckons with.
//!
//! If the leader says nothing, workers get 503 at once and try another node.

use crate::cache::job_cache::JobCache;
use crate::io::{json, CallId, Output, ReqId};
use crate::leader::Leader;
use crate::node::{Node, PeerStatus};
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{Epoch, Incarnation, MachineId, NodeName, Seq};
use rudderreel_wire::peer::{
    ForwardedAnswer, ForwardedReport, ForwardedReports, ForwardedReportsReply, ForwardedTasks,
    MAX_MESSAGE_BYTES,
};
use rudderreel_wire::worker::{ReportRedirect, StatusReport, StatusReportReply, TaskStatus};
use std::collections::BTreeMap;

/// How long reports are collected before they are passed on, on a node that has enough of a processor.
const GATHER: Span = Span(80);
/// Batches that may be on their way at once.
const OPEN: usize = 3;
/// A worker gives up after 4 s. While the oldest report has waited for so long, another would only be
/// answered too late, and is refused at once. How many wait follows from how fast they are passed on, and
/// from the connections that workers may have: each has one report under way.
const LONGEST_WAIT: Span = Span(2_000);
/// Bytes that the reports of a batch have, roughly, and how many there are: their answers have to fit
/// into a message, too.
const BATCH_BYTES: usize = MAX_MESSAGE_BYTES / 2;
const BATCH_REPORTS: usize = 1_000;
/// Bytes of a report that is passed on, without its list.
const REPORT_BYTES: usize = 80;
/// A worker that has missed a report, with so much to spare, reports elsewhere; but not before the
/// least.
const LEFT_SPARE: Span = Span(2_000);
const LEFT_LEAST: Span = Span(8_000);
/// How often workers that have left are looked for.
const PRUNE: Span = Span(200);
/// A node with workers that none of them has reached for so long is perhaps cut off from them; with
/// few workers, for so many times the usual pause between their reports.
const UNREACHED: Span = Span(1_500);
const PAUSES: u64 = 5;
/// To a node that no worker reaches one is sent on trial, so often.
const TRIAL: Span = Span(1_000);
/// A report weighs so much more at the leader, which has other things to do.
const LEADER_WEIGHT: u32 = 3;
/// And to one before a node that has not been heard for so long.
const LAST_WEIGHT: u32 = 4;
const SILENT: Span = Span(3_000);
/// How uneven the nodes' loads may be.
const UNEVEN: u32 = 8;

/// A report that waits to be passed on, or for the leader's answer.
struct Held {
    req: ReqId,
    report: StatusReport,
    whole: bool,
    /// When it came.
    since: Time,
}

/// What a follower remembers of reports.
#[derive(Default)]
pub struct ReportForwarding {
    waiting: Vec<Held>,
    since: Option<Time>,
    open: BTreeMap<CallId, Vec<Held>>,
    next: u64,
    /// By machine: the last list that the leader took in whole.
    taken: BTreeMap<MachineId, (Incarnation, Seq, Vec<TaskStatus>)>,
    /// Whose memory that is.
    leader: Option<(NodeName, Epoch)>,
    /// When each worker last reported here, and when those that have left were last looked for.
    workers: BTreeMap<MachineId, Time>,
    pruned: Time,
    /// Workers sent to each peer since it last said how many it has.
    pub sent: BTreeMap<NodeName, u32>,
    /// When a worker was last sent to a peer that none reached.
    trials: BTreeMap<NodeName, Time>,
}

/// Bytes of a report in a message, roughly.
fn bytes_of(report: &ForwardedReport) -> usize {
    let list = match &report.tasks {
        ForwardedTasks::SameAs(_) => 0,
        ForwardedTasks::Whole(text) => text.len(),
    };
    REPORT_BYTES + report.machine.len() + list
}

impl ReportForwarding {
    /// How many workers report here.
    pub fn workers(&mut self, now: Time, report: Span) -> u32 {
        // Asked for with every report, so looking through all of them each time would cost by the
        // square of the fleet.
        if now - self.pruned >= PRUNE {
            let left = LEFT_LEAST.max(Span(report.0 * 5 / 4) + LEFT_SPARE);
            self.workers.retain(|_, heard| now - *heard < left);
            self.pruned = now;
        }
        self.workers.len() as u32
    }

    /// Whether a worker may be sent to a peer: if none reaches it, only one now and then, to see
    /// whether it can be reached again. A leader that was cut off from workers looked idle to the
    /// others, and they sent it all of theirs, again and again, until their leases ran out.
    fn may_send(&self, name: &NodeName, peer: &PeerStatus, report: Span, now: Time) -> bool {
        let pause = PAUSES * report.0 / u64::from(peer.workers.max(1));
        let reached = peer.workers > 0 && peer.worker_silence < UNREACHED.max(Span(pause));
        reached || self.trials.get(name).is_none_or(|t| now - *t > TRIAL)
    }

    /// The reports that wait longest, as many as a message holds; one at least if any wait.
    fn next_batch(&self) -> Vec<ForwardedReport> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        for held in self.waiting.iter().take(BATCH_REPORTS) {
            let report = self.shortened(held);
            bytes += bytes_of(&report);
            if bytes > BATCH_BYTES && !batch.is_empty() {
                break;
            }
            batch.push(report);
        }
        batch
    }

    fn shortened(&self, held: &Held) -> ForwardedReport {
        let report = &held.report;
        let as_in = (self.taken.get(&report.machine))
            .filter(|(incarnation, _, tasks)| {
                *incarnation == report.incarnation && *tasks == report.tasks
            })
            .map(|(_, seq, _)| seq.0);
        let tasks = match as_in {
            Some(seq) if !held.whole => ForwardedTasks::SameAs(seq),
            _ => ForwardedTasks::Whole(json(report)),
        };
        ForwardedReport {
            machine: report.machine.to_string(),
            incarnation: report.incarnation.0,
            seq: report.seq.0,
            token: report.token.0,
            notice_s: report.notice_s,
            tasks,
        }
    }
}

impl Node {
    /// A worker's report at a node that does not lead. Returns whether it was dealt with.
    pub(crate) fn pass_on(
        &mut self,
        req: ReqId,
        report: StatusReport,
        now: Now,
    ) -> Option<StatusReport> {
        let Some(leader) = self.near_leader(now.time) else {
            return Some(report);
        };
        if !self.is_spread(self.leader_machines) {
            // A small fleet: the leader hears it itself, and so sooner.
            return Some(report);
        }
        if let Some(peer) = self.lighter(&report.machine, now.time) {
            self.report_to(req, Some(peer));
            return None;
        }
        let oldest = self.forwarding.waiting.first();
        if oldest.is_some_and(|held| now.time > held.since + LONGEST_WAIT) {
            self.refuse(req, "too many reports wait");
            return None;
        }
        let me = (leader, self.election.epoch);
        if self.forwarding.leader.as_ref() != Some(&me) {
            self.forwarding.taken.clear();
            self.forwarding.leader = Some(me);
        }
        self.forwarding
            .workers
            .insert(report.machine.clone(), now.time);
        self.forwarding.since.get_or_insert(now.time);
        self.forwarding.waiting.push(Held {
            req,
            report,
            whole: false,
            since: now.time,
        });
        None
    }

    pub(crate) fn report_interval(&self) -> Span {
        Span::secs(self.settings.params.workers.report_s)
    }

    pub(crate) fn is_spread(&self, machines: u32) -> bool {
        f64::from(machines) > self.admin_settings.settings.spread_reports_from
    }

    /// The leader, if it was heard lately. A node that the state service refuses may not have seen its
    /// key change, but hears who leads a later epoch.
    pub(crate) fn near_leader(&self, now: Time) -> Option<NodeName> {
        let leads = |p: &PeerStatus| p.leads && now < p.heard + Span(1_500);
        let recorded = self.job_cache.leader().map(|(_, r)| &r.node);
        let named = recorded.filter(|node| self.peers.get(*node).is_some_and(leads));
        let heard = (self.peers.iter())
            .filter(|(_, p)| leads(p) && p.epoch >= self.election.epoch)
            .max_by_key(|(_, p)| p.epoch)
            .map(|(name, _)| name);
        named.or(heard).cloned()
    }

    /// Whether the node after one, by name, has been silent for a while. A worker whose node ends or
    /// freezes waits 4 s for its answer and then tries the next; if that is gone, too, the lease is
    /// nearly over before it finds a third.
    fn next_is_silent(&self, name: &NodeName, now: Time) -> bool {
        let me = &self.settings.node;
        let names = || self.peers.keys().chain([me]);
        let next = (names().filter(|n| *n > name).min()).or_else(|| names().min());
        (next.and_then(|n| self.peers.get(n))).is_some_and(|p| now > p.heard + SILENT)
    }

    /// How many workers report here, for the peers, which send workers where there are fewer. More are named
    /// if this node can't keep up with those it has.
    pub(crate) fn load(&mut self, now: Time) -> u32 {
        let report = self.report_interval();
        let workers = self.forwarding.workers(now, report);
        self.backlog.load_of(workers)
    }

    /// A node that a worker should rather report to, since it has far fewer of them.
    pub(crate) fn lighter(&mut self, machine: &MachineId, now: Time) -> Option<NodeName> {
        let known = self.forwarding.workers.contains_key(machine);
        let report = self.report_interval();
        let mine = self.load(now) + u32::from(!known);
        let weight = |leads: bool, name: &NodeName| {
            let leader = if leads { LEADER_WEIGHT } else { 1 };
            let last = if self.next_is_silent(name, now) {
                LAST_WEIGHT
            } else {
                1
            };
            leader * last
        };
        let mine = mine * weight(self.leader.is_some(), &self.settings.node);
        let (load, peer) = (self.peers.iter())
            .filter(|(_, p)| now < p.heard + Span(1_500) && p.forwards_reports)
            .filter(|(name, p)| self.forwarding.may_send(name, p, report, now))
            .map(|(name, p)| {
                let sent = self.forwarding.sent.get(name).copied().unwrap_or(0);
                ((p.workers + sent) * weight(p.leads, name), name)
            })
            .min()?;
        // Workers that are here already move only if it is worth while.
        let slack = if known { UNEVEN * 3 + load / 2 } else { UNEVEN };
        if mine <= load + load / 4 + slack {
            return None;
        }
        let peer = peer.clone();
        self.forwarding.trials.insert(peer.clone(), now);
        *self.forwarding.sent.entry(peer.clone()).or_default() += 1;
        self.forwarding.workers.remove(machine);
        Some(peer)
    }

    /// At the leader: a node that should take this worker's reports.
    pub(crate) fn spread_report(&mut self, machine: &MachineId, now: Time) -> Option<NodeName> {
        let machines = (self.leader.as_ref()).map_or(0, |l| l.fleet.machines.len() as u32);
        let peer = if self.is_spread(machines) {
            self.lighter(machine, now)
        } else {
            None
        };
        if peer.is_none() {
            self.forwarding.workers.insert(machine.clone(), now);
        }
        peer
    }

    /// Sends a worker to another node.
    pub(crate) fn report_to(&mut self, req: ReqId, report_to: Option<NodeName>) {
        self.answer(req, 421, json(&ReportRedirect { report_to }));
    }

    /// Passes on what has been collected.
    pub(crate) fn forwarding_tick(&mut self, now: Now) {
        let gather = self.processor_share.stretched(GATHER);
        let due = (self.forwarding.since).is_some_and(|since| now.time >= since + gather);
        if !due || self.forwarding.open.len() >= OPEN {
            return;
        }
        let reports = self.forwarding.next_batch();
        let rest = self.forwarding.waiting.split_off(reports.len());
        let held = std::mem::replace(&mut self.forwarding.waiting, rest);
        self.forwarding.since = (!self.forwarding.waiting.is_empty()).then_some(now.time);
        let Some(leader) = self.near_leader(now.time) else {
            return self.not_passed(held);
        };
        self.forwarding.next += 1;
        let call = CallId(self.forwarding.next);
        self.forwarding.open.insert(call, held);
        self.out.push(Output::ForwardReports(
            leader,
            call,
            ForwardedReports { reports },
        ));
    }

    fn not_passed(&mut self, held: Vec<Held>) {
        for held in held {
            self.forwarding.workers.remove(&held.report.machine);
            self.refuse(held.req, "the leader does not answer");
        }
    }

    /// The leader's answer to reports that were passed on.
    pub(crate) fn passed(&mut self, call: CallId, reply: Option<ForwardedReportsReply>, now: Now) {
        let Some(held) = self.forwarding.open.remove(&call) else {
            return;
        };
        let (token, answers) = match reply {
            Some(ForwardedReportsReply {
                token: Some(token),
                answers,
            }) if answers.len() == held.len() => (token, answers),
            _ => return self.not_passed(held),
        };
        self.election.observe_epoch(token, now.time);
        for (mut held, answer) in held.into_iter().zip(answers) {
            match answer {
                ForwardedAnswer::Answered(commands) => self.pass_back(held, token, commands),
                ForwardedAnswer::Whole if !held.whole => {
                    held.whole = true;
                    self.forwarding.taken.remove(&held.report.machine);
                    self.forwarding.since.get_or_insert(now.time);
                    self.forwarding.waiting.push(held);
                }
                _ => self.refuse(held.req, "not entitled"),
            }
        }
    }

    fn pass_back(&mut self, held: Held, token: Epoch, commands: Option<String>) {
        let body = match commands {
            Some(body) => body,
            None => json(&StatusReportReply {
                token,
                commands: Vec::new(),
            }),
        };
        let report = held.report;
        let same =
            (self.forwarding.taken.get(&report.machine)).is_some_and(|(incarnation, _, tasks)| {
                *incarnation == report.incarnation && *tasks == report.tasks
            });
        if !same || held.whole {
            let list = (report.incarnation, report.seq, report.tasks);
            self.forwarding.taken.insert(report.machine, list);
        }
        self.answer(held.req, 200, body);
    }

    /// At the leader: reports that a peer passes on.
    pub(crate) fn reports(&mut self, req: ReqId, passed: ForwardedReports, now: Now) {
        let store_reachable = self.election.store_reachable(now.time);
        let majority = self.election.majority();
        let none = ForwardedReportsReply {
            token: None,
            answers: Vec::new(),
        };
        let Some(leader) = self.leader.as_mut() else {
            return self.out.push(Output::AnswerForwardedReports(req, none));
        };
        if !leader
            .term
            .may_answer_agents(now.time, store_reachable, majority)
        {
            return self.out.push(Output::AnswerForwardedReports(req, none));
        }
        let answers = (passed.reports.into_iter())
            .map(|report| leader.take_passed(report, &self.job_cache, now))
            .collect();
        let reply = ForwardedReportsReply {
            token: Some(leader.term.epoch),
            answers,
        };
        self.out.push(Output::AnswerForwardedReports(req, reply));
    }
}

impl Leader {
    fn take_passed(
        &mut self,
        passed: ForwardedReport,
        job_cache: &JobCache,
        now: Now,
    ) -> ForwardedAnswer {
        let id = MachineId::from(passed.machine.as_str());
        let whole = matches!(passed.tasks, ForwardedTasks::Whole(_));
        let report = match passed.tasks {
            ForwardedTasks::Whole(text) => match serde_json::from_str::<StatusReport>(&text) {
                Ok(report) if report.machine == id => report,
                _ => return ForwardedAnswer::Refused,
            },
            ForwardedTasks::SameAs(seq) => {
                match self.as_in(&id, Incarnation(passed.incarnation), Seq(seq)) {
                    Some(mut report) => {
                        report.seq = Seq(passed.seq);
                        report.token = Epoch(passed.token);
                        report.notice_s = passed.notice_s;
                        report
                    }
                    None => return ForwardedAnswer::Whole,
                }
            }
        };
        let answer = self.answer_report(&report, job_cache, now);
        if let Some(machine) = self.fleet.machines.get_mut(&id).filter(|_| whole) {
            // What the peer may refer to from now on.
            if machine.newest == (report.incarnation, report.seq) {
                machine.list.0 = machine.newest;
            }
        }
        match answer {
            Some(commands) if commands.is_empty() => ForwardedAnswer::Answered(None),
            Some(commands) => {
                let token = self.term.epoch;
                ForwardedAnswer::Answered(Some(json(&StatusReportReply { token, commands })))
            }
            None => ForwardedAnswer::Refused,
        }
    }

    /// A report that lists what an earlier one did, which this leader took in last.
    fn as_in(&self, id: &MachineId, incarnation: Incarnation, seq: Seq) -> Option<StatusReport> {
        let machine = self.fleet.machines.get(id)?;
        if machine.list.0 != (incarnation, seq) || !self.recovery.is_complete {
            return None;
        }
        Some(StatusReport {
            machine: id.clone(),
            addr: machine.addr.clone()?,
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            incarnation,
            seq,
            token: self.term.epoch,
            notice_s: None,
            tasks: machine.list.1.to_vec(),
        })
    }
}

#[cfg(test)]
mod tests;

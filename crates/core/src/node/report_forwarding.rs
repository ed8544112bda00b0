//! Status reports that reach a node which does not lead.

use crate::agents::report_forwarding::{HeldReport, SILENT};
use crate::api::refusal::Refusal;
use crate::io::{json, CallId, Output, ReqId};
use crate::leadership::peers::PeerStatus;
use crate::node::Node;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{Epoch, MachineId, NodeName};
use rudderreel_wire::peer::{ForwardedAnswer, ForwardedReports, ForwardedReportsReply};
use rudderreel_wire::worker::{ReportRedirect, StatusReport, StatusReportReply};

/// How long reports are collected before they are passed on, on a node that has enough of a processor.
const GATHER: Span = Span(80);
/// A worker gives up after 4 s. While the oldest report has waited for so long, another would only be
/// answered too late, and is refused at once. How many wait follows from how fast they are passed on, and
/// from the connections that workers may have: each has one report under way.
const LONGEST_WAIT: Span = Span(2_000);
/// A report weighs so much more at the leader, which has other things to do.
const LEADER_WEIGHT: u32 = 3;
/// And to one before a node that has not been heard for so long.
const LAST_WEIGHT: u32 = 4;
/// How uneven the nodes' loads may be.
const UNEVEN: u32 = 8;

/// Batches that may be on their way at once.
const OPEN: usize = 3;

impl Node {
    /// A worker's report at a node that does not lead. Returns whether it was dealt with.
    pub(crate) fn forward_report(
        &mut self,
        req: ReqId,
        report: StatusReport,
        now: Now,
    ) -> Option<StatusReport> {
        let Some(leader) = self.reachable_leader(now.time) else {
            return Some(report);
        };
        if !self.is_report_forwarding_on(self.leader_machines) {
            // A small fleet: the leader hears it itself, and so sooner.
            return Some(report);
        }
        if let Some(peer) = self.less_loaded_peer(&report.machine, now.time) {
            self.redirect_agent(req, Some(peer));
            return None;
        }
        let oldest = self.forwarding.waiting.first();
        if oldest.is_some_and(|held| now.time > held.since + LONGEST_WAIT) {
            self.refuse(req, Refusal::TooManyReports);
            return None;
        }
        let me = (leader, self.election.epoch());
        if self.forwarding.leader.as_ref() != Some(&me) {
            self.forwarding.taken.clear();
            self.forwarding.leader = Some(me);
        }
        self.forwarding
            .workers
            .insert(report.machine.clone(), now.time);
        self.forwarding.since.get_or_insert(now.time);
        self.forwarding.waiting.push(HeldReport {
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

    pub(crate) fn is_report_forwarding_on(&self, machines: u32) -> bool {
        f64::from(machines) > self.admin_settings.settings.spread_reports_from
    }

    /// The leader, if it was heard lately. A node that the state service refuses may not have seen its
    /// key change, but hears who leads a later epoch.
    pub(crate) fn reachable_leader(&self, now: Time) -> Option<NodeName> {
        let leads = |p: &PeerStatus| p.leads && p.is_reachable(now);
        let recorded = self.job_cache.leader().map(|r| &r.node);
        let named = recorded.filter(|node| self.peers.get(node).is_some_and(leads));
        let heard = (self.peers.iter())
            .filter(|(_, p)| leads(p) && p.epoch >= self.election.epoch())
            .max_by_key(|(_, p)| p.epoch)
            .map(|(name, _)| name);
        named.or(heard).cloned()
    }

    /// Whether the node after one, by name, has been silent for a while. A worker whose node ends or
    /// freezes waits 4 s for its answer and then tries the next; if that is gone, too, the lease is
    /// nearly over before it finds a third.
    fn next_is_silent(&self, name: &NodeName, now: Time) -> bool {
        let me = &self.settings.node;
        let names = || self.peers.names().chain([me]);
        let next = (names().filter(|n| *n > name).min()).or_else(|| names().min());
        (next.and_then(|n| self.peers.get(n))).is_some_and(|p| now > p.last_heartbeat_at + SILENT)
    }

    /// How many workers report here, for the peers, which send workers where there are fewer. More are named
    /// if this node can't keep up with those it has.
    pub(crate) fn reported_load(&mut self, now: Time) -> u32 {
        let report = self.report_interval();
        let workers = self.forwarding.workers(now, report);
        self.backlog.load_of(workers)
    }

    /// A node that a worker should rather report to, since it has far fewer of them.
    pub(crate) fn less_loaded_peer(&mut self, machine: &MachineId, now: Time) -> Option<NodeName> {
        let known = self.forwarding.workers.contains_key(machine);
        let report = self.report_interval();
        let mine = self.reported_load(now) + u32::from(!known);
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
            .filter(|(_, p)| p.is_reachable(now) && p.forwards_reports)
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
    pub(crate) fn peer_for_report(&mut self, machine: &MachineId, now: Time) -> Option<NodeName> {
        let machines = (self.leader.as_ref()).map_or(0, |l| l.fleet.machines.len() as u32);
        let peer = if self.is_report_forwarding_on(machines) {
            self.less_loaded_peer(machine, now)
        } else {
            None
        };
        if peer.is_none() {
            self.forwarding.workers.insert(machine.clone(), now);
        }
        peer
    }

    /// Sends a worker to another node.
    pub(crate) fn redirect_agent(&mut self, req: ReqId, report_to: Option<NodeName>) {
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
        let Some(leader) = self.reachable_leader(now.time) else {
            return self.forwarding_failed(held);
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

    fn forwarding_failed(&mut self, held: Vec<HeldReport>) {
        for held in held {
            self.forwarding.workers.remove(&held.report.machine);
            self.refuse(held.req, Refusal::LeaderUnreachable);
        }
    }

    /// The leader's answer to reports that were passed on.
    pub(crate) fn forwarded_reports_answered(
        &mut self,
        call: CallId,
        reply: Option<ForwardedReportsReply>,
        now: Now,
    ) {
        let Some(held) = self.forwarding.open.remove(&call) else {
            return;
        };
        let (token, answers) = match reply {
            Some(ForwardedReportsReply {
                token: Some(token),
                answers,
            }) if answers.len() == held.len() => (token, answers),
            _ => return self.forwarding_failed(held),
        };
        self.election.observe_epoch(token, now.time);
        for (mut held, answer) in held.into_iter().zip(answers) {
            match answer {
                ForwardedAnswer::Answered(commands) => {
                    self.answer_forwarded_report(held, token, commands)
                }
                ForwardedAnswer::Whole if !held.whole => {
                    held.whole = true;
                    self.forwarding.taken.remove(&held.report.machine);
                    self.forwarding.since.get_or_insert(now.time);
                    self.forwarding.waiting.push(held);
                }
                _ => self.refuse(held.req, Refusal::NotEntitled),
            }
        }
    }

    fn answer_forwarded_report(
        &mut self,
        held: HeldReport,
        token: Epoch,
        commands: Option<String>,
    ) {
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
            .map(|report| leader.apply_forwarded_report(report, &self.job_cache, now))
            .collect();
        let reply = ForwardedReportsReply {
            token: Some(leader.term.epoch()),
            answers,
        };
        self.out.push(Output::AnswerForwardedReports(req, reply));
    }
}

#[cfg(test)]
mod tests;

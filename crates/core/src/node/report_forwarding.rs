//! Spreads the status reports of a large fleet over the nodes: redirects agents, and forwards reports to the leader.

use crate::agents::peer_selection::ClusterLoad;
use crate::agents::report_forwarding::{BatchResult, ForwardingTarget, HeldReport};
use crate::api::refusal::Refusal;
use crate::io::{json, CallId, Output, ReqId};
use crate::leadership::peers::PeerStatus;
use crate::node::Node;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{MachineId, NodeName};
use rudderreel_wire::peer::{ForwardedReports, ForwardedReportsReply};
use rudderreel_wire::worker::{ReportRedirect, StatusReport};

/// Time for which reports are collected into a batch, on a node with a sufficient share of a processor.
const BATCH_INTERVAL: Span = Span(80);
/// HTTP status that redirects an agent to another node.
const MISDIRECTED_REQUEST: u16 = 421;

impl Node {
    /// Forwards an agent's report, redirects the agent, or refuses the report. Returns the report if the agent has to
    /// be answered in another way: there is no leader to forward it to, or the fleet is small.
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
            // In a small fleet the leader receives the report from the agent itself, and so sooner.
            return Some(report);
        }
        if let Some(peer) = self.less_loaded_peer(&report.machine, now.time) {
            self.redirect_agent(req, Some(peer));
            return None;
        }
        if self.forwarding.is_overloaded(now.time) {
            self.refuse(req, Refusal::TooManyReports);
            return None;
        }
        self.agent_balancer
            .agent_reported(&report.machine, now.time);
        let target = ForwardingTarget {
            node: leader,
            epoch: self.election.epoch(),
        };
        self.forwarding.enqueue(req, report, target, now.time);
        None
    }

    /// Returns whether all nodes accept the reports of a fleet of this many machines.
    pub(crate) fn is_report_forwarding_on(&self, machines: u32) -> bool {
        f64::from(machines) > self.admin_settings.settings.spread_reports_from
    }

    /// Returns the leader, if a heartbeat or a reply was received from it recently. A node that the store refuses may
    /// not have seen the leader key change, but learns from heartbeats which node leads in a later epoch.
    pub(crate) fn reachable_leader(&self, now: Time) -> Option<NodeName> {
        let leads = |peer: &PeerStatus| peer.leads && peer.is_reachable(now);
        let recorded = self.job_cache.leader().map(|record| &record.node);
        let confirmed = recorded.filter(|node| self.peers.get(node).is_some_and(leads));
        let by_heartbeat = (self.peers.iter())
            .filter(|(_, peer)| leads(peer) && peer.epoch >= self.election.epoch())
            .max_by_key(|(_, peer)| peer.epoch)
            .map(|(name, _)| name);
        confirmed.or(by_heartbeat).cloned()
    }

    fn report_interval(&self) -> Span {
        Span::secs(self.settings.params.workers.report_s)
    }

    /// Returns the number of agents that report to this node, for its peers, which redirect agents to nodes with fewer.
    /// The number is higher than that if this node can't keep up with its agents.
    pub(crate) fn reported_load(&mut self, now: Time) -> u32 {
        let report_interval = self.report_interval();
        let agents = self.agent_balancer.agent_count(report_interval, now);
        self.backlog.load_for_agents(agents)
    }

    /// Returns a less loaded peer that an agent should report to instead, if there is one.
    fn less_loaded_peer(&mut self, machine: &MachineId, now: Time) -> Option<NodeName> {
        let cluster = ClusterLoad {
            own_name: &self.settings.node,
            own_leads: self.leader.is_some(),
            backlog: &self.backlog,
            peers: &self.peers,
            report_interval: self.report_interval(),
            now,
        };
        self.agent_balancer.redirect(machine, &cluster)
    }

    /// Returns the peer that should receive an agent's reports instead of this leader, if there is one. Otherwise the
    /// agent is counted as reporting here.
    pub(crate) fn peer_for_report(&mut self, machine: &MachineId, now: Time) -> Option<NodeName> {
        let machines = (self.leader.as_ref()).map_or(0, |l| l.fleet.machines.len() as u32);
        let peer = (self.is_report_forwarding_on(machines))
            .then(|| self.less_loaded_peer(machine, now))
            .flatten();
        if peer.is_none() {
            self.agent_balancer.agent_reported(machine, now);
        }
        peer
    }

    /// Redirects an agent to another node, or to any node if none is given.
    pub(crate) fn redirect_agent(&mut self, req: ReqId, report_to: Option<NodeName>) {
        self.answer(
            req,
            MISDIRECTED_REQUEST,
            json(&ReportRedirect { report_to }),
        );
    }

    /// Forwards the collected reports if a batch is due.
    pub(crate) fn forwarding_tick(&mut self, now: Now) {
        let interval = self.processor_share.stretched(BATCH_INTERVAL);
        let Some(batch) = self.forwarding.take_due_batch(interval, now.time) else {
            return;
        };
        let Some(leader) = self.reachable_leader(now.time) else {
            return self.refuse_held(batch.into_held());
        };
        let (call, reports) = self.forwarding.open_batch(batch);
        let message = ForwardedReports { reports };
        self.out.push(Output::ForwardReports {
            peer: leader,
            call,
            reports: message,
        });
    }

    fn refuse_held(&mut self, reports: Vec<HeldReport>) {
        for held in reports {
            self.agent_balancer.agent_left(held.machine());
            self.refuse(held.req(), Refusal::LeaderUnreachable);
        }
    }

    /// Handles the leader's answer to forwarded reports; `reply` is `None` if the leader gave none.
    pub(crate) fn forwarded_reports_answered(
        &mut self,
        call: CallId,
        reply: Option<ForwardedReportsReply>,
        now: Now,
    ) {
        match self.forwarding.batch_answered(call, reply, now.time) {
            None => {}
            Some(BatchResult::Unanswered(held)) => self.refuse_held(held),
            Some(BatchResult::Answered { token, answers }) => {
                self.election.observe_epoch(token.lowest_epoch(), now.time);
                for answer in answers {
                    match answer.body {
                        Some(body) => {
                            let body = self.job_cache.answer_to_pass_on(&answer.report, body);
                            self.answer(answer.req, 200, body);
                        }
                        None => self.refuse(answer.req, Refusal::NotEntitled),
                    }
                }
            }
        }
    }

    /// Handles reports that a peer forwards to this node as the leader.
    pub(crate) fn forwarded_reports_received(
        &mut self,
        req: ReqId,
        forwarded: ForwardedReports,
        now: Now,
    ) {
        let reply = self.answer_forwarded(forwarded, now);
        self.out.push(Output::AnswerForwardedReports(req, reply));
    }

    fn answer_forwarded(&mut self, forwarded: ForwardedReports, now: Now) -> ForwardedReportsReply {
        let store_reachable = self.election.store_reachable(now.time);
        let majority = self.election.majority();
        let leader = (self.leader.as_mut())
            .filter(|l| (l.term).may_answer_agents(now.time, store_reachable, majority));
        let Some(leader) = leader else {
            return ForwardedReportsReply {
                token: None,
                answers: Vec::new(),
            };
        };
        let answers = (forwarded.reports.into_iter())
            .map(|report| leader.apply_forwarded_report(report, &self.job_cache, now))
            .collect();
        ForwardedReportsReply {
            token: Some(leader.term.tokens().first),
            answers,
        }
    }
}

#[cfg(test)]
mod tests;

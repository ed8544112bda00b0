//! Handles status reports that agents send to this node, and makes direct calls to agents.

use crate::api::refusal::Refusal;
use crate::dispatch::direct_calls::DirectCall;
use crate::io::{json, DirectOutcome, Output, ReqId};
use crate::node::Node;
use crate::units::{Now, Time};
use rudderreel_wire::ids::MachineId;
use rudderreel_wire::worker::{DirectCommands, StatusReport, StatusReportReply};

impl Node {
    /// Handles an agent's status report: the leader answers it, any other node forwards it or redirects the agent.
    pub(crate) fn status_report_received(&mut self, req: ReqId, report: StatusReport, now: Now) {
        self.last_report_at = Some(now.time);
        if self.leader.is_some() {
            self.answer_report_as_leader(req, &report, now);
        } else if let Some(report) = self.forward_report(req, report, now) {
            self.answer_report_without_leader(req, &report, now);
        }
    }

    fn answer_report_as_leader(&mut self, req: ReqId, report: &StatusReport, now: Now) {
        let store_reachable = self.election.store_reachable(now.time);
        let majority = self.election.majority();
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        if !(leader.term).may_answer_agents(now.time, store_reachable, majority) {
            return self.refuse(req, Refusal::LeadershipUncertain);
        }
        let Some(reply) = leader.answer_report(report, &self.job_cache, now) else {
            return self.refuse(req, Refusal::NotEntitled);
        };
        if log::log_enabled!(log::Level::Debug) {
            let by_lease = leader.term.may_act(now.time);
            let term_fields = leader.term.log_fields(now.time);
            log::debug!(
                "report answered machine={} by_lease={by_lease} {term_fields}",
                report.machine
            );
        }
        if reply.commands.is_empty() {
            if let Some(peer) = self.peer_for_report(&report.machine, now.time) {
                return self.redirect_agent(req, Some(peer));
            }
        }
        self.answer(req, 200, json(&reply));
    }

    /// Answers a report on a node that neither leads nor has forwarded the report.
    fn answer_report_without_leader(&mut self, req: ReqId, report: &StatusReport, now: Now) {
        // The highest token of the leader's epoch, since this node does not know which tokens the leader has used.
        let token = self.election.epoch().highest_token();
        if self.election.stands_in_for_leader(now.time) && report.token <= token {
            log::debug!(
                "report answered for the leader machine={} token={token}",
                report.machine
            );
            let reply = StatusReportReply {
                token,
                commands: self.job_cache.stops_for_cancelled_tasks(report),
            };
            return self.answer(req, 200, json(&reply));
        }
        self.redirect_to_leader(req, now.time);
    }

    /// Redirects an agent to the leader, if there surely is one. A node that is cut off may name a leader that ended
    /// long ago, and would send agents back and forth. (Two nodes that the store refused did so until the agents'
    /// leases expired, since one of them still believed that the other led.)
    fn redirect_to_leader(&mut self, req: ReqId, now: Time) {
        let recorded = self.job_cache.leader().map(|record| record.node.clone());
        let recorded = recorded.filter(|_| self.election.store_reachable(now));
        let leader = self.reachable_leader(now).or(recorded);
        self.redirect_agent(req, leader.filter(|node| *node != self.settings.node));
    }

    /// Sends the waiting commands of the given machines by direct calls, within the budget.
    pub(crate) fn push_starts(&mut self, machines: &[MachineId], now: Now) {
        let only_non_preemptible = self.backlog.is_behind(now.time);
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        for call in leader.direct_calls(machines, only_non_preemptible, now.time) {
            self.send_direct_call(call);
        }
    }

    /// Requests a status report from an agent that has missed one or is suspect.
    pub(crate) fn probe(&mut self, id: &MachineId, now: Time) {
        let call = (self.leader.as_mut()).and_then(|leader| leader.probe(id, now));
        if let Some(call) = call {
            self.send_direct_call(call);
        }
    }

    fn send_direct_call(&mut self, call: DirectCall) {
        self.out.push(Output::Direct {
            machine: call.machine,
            addr: call.addr,
            body: call.body,
            send_until: call.send_until,
        });
    }

    /// Handles the outcome of a direct call.
    pub(crate) fn direct_call_ended(
        &mut self,
        id: MachineId,
        body: DirectCommands,
        outcome: DirectOutcome,
        now: Now,
    ) {
        if let Some(leader) = self.leader.as_mut() {
            leader.direct_call_ended(&id, &body, outcome, now);
        }
    }
}

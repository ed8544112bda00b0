//! Workers' reports, as a node answers them, and calls to workers.

use crate::api::refusal::Refusal;
use crate::dispatch::commands::TeamUsage;
use crate::io::{json, DirectOutcome, Output, ReqId};
use crate::node::Node;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::MachineId;
use rudderreel_wire::worker::{DirectCommands, StatusReport, StatusReportReply};

/// A call that could not be made is tried again after so long.
const NOT_CALLED: Span = Span(300);

impl Node {
    pub(crate) fn report(&mut self, req: ReqId, report: StatusReport, now: Now) {
        self.last_report_at = Some(now.time);
        let store_reachable = self.election.store_reachable(now.time);
        let majority = self.election.majority();
        let Some(leader) = self.leader.as_mut() else {
            let Some(report) = self.forward_report(req, report, now) else {
                return;
            };
            if self.election.stands_in_for_leader(now.time) && report.token <= self.election.epoch()
            {
                let reply = StatusReportReply {
                    token: self.election.epoch(),
                    commands: self.job_cache.stops_for_cancelled_tasks(&report),
                };
                return self.answer(req, 200, json(&reply));
            }
            return self.report_elsewhere(req, now.time);
        };
        if !leader
            .term
            .may_answer_agents(now.time, store_reachable, majority)
        {
            return self.refuse(req, Refusal::LeadershipUncertain);
        }
        match leader.answer_report(&report, &self.job_cache, now) {
            Some(commands) => {
                let token = leader.term.epoch();
                if commands.is_empty() {
                    if let Some(peer) = self.peer_for_report(&report.machine, now.time) {
                        return self.redirect_agent(req, Some(peer));
                    }
                }
                self.answer(req, 200, json(&StatusReportReply { token, commands }))
            }
            None => self.refuse(req, Refusal::NotEntitled),
        }
    }

    /// Sends a worker to the leader, if one is surely there: a node that is cut off may name one
    /// that has long ended, and would send workers to and fro. (Two nodes that the state service
    /// refused did so until the leases ran out, since the one still took the other for the leader.)
    fn report_elsewhere(&mut self, req: ReqId, now: Time) {
        let recorded = self.job_cache.leader().map(|r| r.node.clone());
        let recorded = recorded.filter(|_| self.election.store_reachable(now));
        let leader = self.reachable_leader(now).or(recorded);
        self.redirect_agent(req, leader.filter(|node| *node != self.settings.node));
    }

    /// Sends starts that have been recorded, what can't wait first.
    pub(crate) fn push_starts(&mut self, machines: &[MachineId], now: Now) {
        let Some(leader) = self.leader.as_ref() else {
            return;
        };
        let mut order: Vec<(bool, &MachineId)> = (machines.iter())
            .filter_map(|id| Some((leader.is_urgent(leader.fleet.machines.get(id)?), id)))
            .collect();
        // The rest is told when it reports, which is soon.
        let behind = self.backlog.is_behind(now.time);
        order.retain(|(urgent, _)| *urgent || !behind);
        order.sort_by_key(|(urgent, _)| !urgent);
        let order: Vec<MachineId> = order.into_iter().map(|(_, id)| id.clone()).collect();
        // Sending a start places nothing and frees nothing.
        let usage = TeamUsage::default();
        for id in order {
            self.push_direct(&id, &usage, now);
        }
    }

    /// Sends waiting commands to a worker directly.
    pub(crate) fn push_direct(&mut self, id: &MachineId, usage: &TeamUsage, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let Some(machine) = leader.fleet.machines.get(id) else {
            return;
        };
        let Some(addr) = machine.addr.clone() else {
            return;
        };
        let incarnation = machine.last_message.0;
        if !leader.needs_direct_call(machine, now.time) || !leader.may_call_directly(now.time) {
            return;
        }
        let commands = leader.commands_within(id, usage, now.time, true);
        if commands.is_empty() {
            return;
        }
        leader.fleet.direct_calls_left -= 1.0;
        if let Some(machine) = leader.fleet.machines.get_mut(id) {
            machine.direct_call_open = true;
            machine.next_direct_call_at = now.time + Span(200);
        }
        let body = DirectCommands {
            token: leader.term.epoch(),
            incarnation,
            commands,
        };
        self.out.push(Output::Direct {
            machine: id.clone(),
            addr,
            body,
        });
    }

    /// Asks a worker that has missed a report, or is in doubt, for one: commands that command
    /// nothing.
    pub(crate) fn probe(&mut self, id: &MachineId) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let token = leader.term.epoch();
        let Some(machine) = leader.fleet.machines.get_mut(id) else {
            return;
        };
        let (Some(addr), false) = (machine.addr.clone(), machine.direct_call_open) else {
            return;
        };
        machine.direct_call_open = true;
        let body = DirectCommands {
            token,
            incarnation: machine.last_message.0,
            commands: Vec::new(),
        };
        self.out.push(Output::Direct {
            machine: id.clone(),
            addr,
            body,
        });
    }

    pub(crate) fn direct(
        &mut self,
        id: MachineId,
        body: DirectCommands,
        outcome: DirectOutcome,
        now: Now,
    ) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let unsure = matches!(outcome, DirectOutcome::Unknown);
        leader.direct_call_ended(&id, &body.commands, unsure);
        match outcome {
            DirectOutcome::Executed(report) => leader.direct_call_answered(&report, now),
            DirectOutcome::Rejected(Some(report)) => {
                if report.token > leader.term.epoch() {
                    return log::warn!("{id} follows a higher token");
                }
                leader.direct_call_answered(&report, now);
            }
            DirectOutcome::NotCalled => {
                // Too many wait already: it is tried again, but not at once.
                if let Some(machine) = leader.fleet.machines.get_mut(&id) {
                    machine.next_direct_call_at = now.time + NOT_CALLED;
                }
            }
            _ => {
                leader.direct_call_unanswered(&id, now.time);
            }
        }
    }
}

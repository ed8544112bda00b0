//! Direct calls to agents: commands that can't wait for the next report, and probes without commands.
//!
//! Each machine has at most one call open. A call with a start may be carried out at any time after it was sent, and
//! again after it was answered, as long as its token is valid: the placed task records the token (`direct_start`).

use super::team_usage::TeamUsage;
use crate::fleet::{DirectCallBudget, Machine, Phase};
use crate::io::DirectOutcome;
use crate::leader::Leader;
use crate::leadership::fencing_tokens::TokenRange;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{JobId, MachineId};
use rudderreel_wire::worker::{Command, DirectCommands};

/// Minimum time between two direct calls to a machine.
const MIN_CALL_INTERVAL: Span = Span(200);
/// Delay before a call is retried that the node could not make.
const NOT_CALLED_RETRY_INTERVAL: Span = Span(300);

/// A direct call to an agent.
pub(crate) struct DirectCall {
    pub(crate) machine: MachineId,
    pub(crate) addr: String,
    pub(crate) body: DirectCommands,
    /// The latest moment at which the call may be sent, if there is a bound.
    pub(crate) send_until: Option<Time>,
}

impl Leader {
    /// Opens calls with the commands that wait for some machines, non-preemptible starts first. With
    /// `only_non_preemptible` only machines that await such a start are called; the other commands are sent in the
    /// answers to the machines' next reports, which are due soon.
    pub(crate) fn direct_calls(
        &mut self,
        machines: &[MachineId],
        only_non_preemptible: bool,
        now: Time,
    ) -> Vec<DirectCall> {
        let (mut urgent, mut others) = (Vec::new(), Vec::new());
        for id in machines {
            match self.fleet.machines.get(id) {
                Some(machine) if machine.awaits_non_preemptible_start() => urgent.push(id),
                Some(_) if !only_non_preemptible => others.push(id),
                Some(_) | None => {}
            }
        }
        // Sending a start places no task and removes none, so all calls may share the sums.
        let usage = TeamUsage::default();
        (urgent.into_iter().chain(others))
            .filter_map(|id| self.direct_call(id, &usage, now))
            .collect()
    }

    /// Opens a call with the commands that wait for a machine, if there are any and the call may be made now.
    fn direct_call(&mut self, id: &MachineId, usage: &TeamUsage, now: Time) -> Option<DirectCall> {
        let machine = self.fleet.machines.get(id)?;
        let addr = machine.addr.clone()?;
        if !self.needs_direct_call(machine, now) || !self.may_call_directly(now) {
            return None;
        }
        let commands = self.direct_commands(id, usage, now);
        if commands.is_empty() {
            return None;
        }
        self.fleet.direct_calls.take_token();
        let tokens = self.term.tokens();
        // A start is checked now and may wait in this process before it is sent. The right to act under which it was
        // checked must not lapse meanwhile.
        let send_until = has_start(&commands).then(|| self.term.may_act_until());
        let machine = self.fleet.machines.get_mut(id)?;
        machine.next_direct_call_at = now + MIN_CALL_INTERVAL;
        let call = open_call(machine, addr, tokens, commands);
        Some(DirectCall { send_until, ..call })
    }

    /// Opens a probe, which is a call without commands that asks an agent for a status report. Returns none if a call
    /// to the machine is open.
    pub(crate) fn probe(&mut self, id: &MachineId, now: Time) -> Option<DirectCall> {
        // An agent whose reports reach no node acknowledges a raised token only in its answer to a call.
        self.raise_token_if_needed(id, now);
        let tokens = self.term.tokens();
        let machine = self.fleet.machines.get_mut(id)?;
        if machine.direct_call_open {
            return None;
        }
        let addr = machine.addr.clone()?;
        Some(open_call(machine, addr, tokens, Vec::new()))
    }

    /// Returns whether the budget allows another direct call now. A node with little processor time makes fewer calls.
    fn may_call_directly(&mut self, now: Time) -> bool {
        let calls_per_s = DirectCallBudget::calls_per_s(self.fleet.machines.len());
        let calls_per_s = self.processor_share.slowed(calls_per_s);
        self.fleet.direct_calls.has_token(calls_per_s, now)
    }

    /// Returns whether a machine may be called now and has commands waiting that a direct call would deliver sooner.
    pub fn needs_direct_call(&self, machine: &Machine, now: Time) -> bool {
        let may_be_called = !machine.direct_call_open
            && machine.next_direct_call_at <= now
            && machine.is_reconciled(self.term.tokens());
        may_be_called
            && machine.tasks.iter().any(|placed| {
                let awaits_start =
                    placed.is_recorded() && placed.phase == Phase::Planned && placed.stop.is_none();
                awaits_start && self.accepts_direct_starts(machine) || placed.awaits_stop()
            })
    }

    /// Returns whether a direct call with a start of a job is open: it waits to be sent, or its outcome is not known yet.
    pub(crate) fn has_open_direct_start(&self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        (job.placements.iter()).any(|(index, places)| {
            places.iter().any(|(machine, attempt)| {
                let machine = self.fleet.machines.get(machine);
                let placed = machine.and_then(|m| m.task(&id.task(*index), *attempt));
                placed.is_some_and(|placed| placed.open_direct_starts > 0)
            })
        })
    }

    /// Applies the outcome of a direct call.
    pub(crate) fn direct_call_ended(
        &mut self,
        id: &MachineId,
        body: &DirectCommands,
        outcome: DirectOutcome,
        now: Now,
    ) {
        self.close_call(id, &body.commands);
        log_call_end(id, body, &outcome);
        match outcome {
            DirectOutcome::Executed(report) => self.direct_call_answered(&report, now),
            DirectOutcome::Rejected(Some(report)) if report.token > self.term.tokens().last => {
                log::warn!(
                    "agent follows a later leader machine={id} token={}",
                    report.token.0
                );
            }
            DirectOutcome::Rejected(Some(report)) => self.direct_call_answered(&report, now),
            DirectOutcome::NotCalled => {
                // Too many calls wait already: the call is retried, but not at once.
                if let Some(machine) = self.fleet.machines.get_mut(id) {
                    machine.next_direct_call_at = now.time + NOT_CALLED_RETRY_INTERVAL;
                }
            }
            DirectOutcome::Rejected(None) | DirectOutcome::NotSent | DirectOutcome::Unknown => {
                self.direct_call_unanswered(id, now.time);
            }
        }
    }

    /// Closes the open call to a machine.
    fn close_call(&mut self, id: &MachineId, commands: &[Command]) {
        let Some(machine) = self.fleet.machines.get_mut(id) else {
            return;
        };
        machine.direct_call_open = false;
        for command in commands {
            let Command::Start { task, attempt } = command else {
                continue;
            };
            if let Some(placed) = machine.task_mut(task, *attempt) {
                placed.open_direct_starts = placed.open_direct_starts.saturating_sub(1);
            }
        }
    }
}

/// Marks a machine as having an open call, and builds the call.
fn open_call(
    machine: &mut Machine,
    addr: String,
    tokens: TokenRange,
    commands: Vec<Command>,
) -> DirectCall {
    machine.direct_call_open = true;
    DirectCall {
        machine: machine.id.clone(),
        addr,
        body: DirectCommands {
            token: machine.command_token(tokens),
            incarnation: machine.last_message.incarnation,
            commands,
        },
        send_until: None,
    }
}

/// Logs the end of a call, so that a command that is carried out later can be told from one that was not answered.
fn log_call_end(id: &MachineId, body: &DirectCommands, outcome: &DirectOutcome) {
    let (end, answer) = match outcome {
        DirectOutcome::Executed(report) => ("executed", Some(report)),
        DirectOutcome::Rejected(report) => ("rejected", report.as_ref()),
        DirectOutcome::NotCalled => ("not called", None),
        DirectOutcome::NotSent => ("not sent", None),
        DirectOutcome::Unknown => ("unknown", None),
    };
    log::debug!(
        "direct call ended machine={id} token={} incarnation={} commands={} outcome={end:?} answer_seq={:?}",
        body.token,
        body.incarnation,
        body.commands.len(),
        answer.map(|report| report.seq.0)
    );
}

fn has_start(commands: &[Command]) -> bool {
    (commands.iter()).any(|command| matches!(command, Command::Start { .. }))
}

//! The commands for a machine: which tasks its agent has to stop, may start and may forget.

use super::team_usage::TeamUsage;
use crate::fleet::{Machine, Phase, PlacedTask};
use crate::leader::Leader;
use crate::units::Time;
use rudderreel_wire::ids::MachineId;
use rudderreel_wire::worker::Command;

/// The way in which commands reach an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// In the answer to its status report: they arrive before its next report, or never.
    ReportAnswer,
    /// By a direct call, which may arrive late.
    DirectCall,
}

impl Leader {
    /// Returns the commands to send in the answer to a machine's status report.
    pub fn answer_commands(&mut self, id: &MachineId, now: Time) -> Vec<Command> {
        self.raise_token_if_needed(id, now);
        self.take_commands(id, &TeamUsage::default(), Delivery::ReportAnswer, now)
    }

    /// Returns the commands to send by a direct call. Calls to several machines may share `usage` if nothing else
    /// happens between them.
    pub(crate) fn direct_commands(
        &mut self,
        id: &MachineId,
        usage: &TeamUsage,
        now: Time,
    ) -> Vec<Command> {
        self.take_commands(id, usage, Delivery::DirectCall, now)
    }

    /// Returns the commands for a machine, stops first, and marks the starts among them as sent.
    fn take_commands(
        &mut self,
        id: &MachineId,
        usage: &TeamUsage,
        delivery: Delivery,
        now: Time,
    ) -> Vec<Command> {
        let Some(machine) = self.fleet.machines.get(id) else {
            return Vec::new();
        };
        let accepts_starts =
            delivery == Delivery::ReportAnswer || self.accepts_direct_starts(machine);
        let mut commands = Vec::new();
        for placed in &machine.tasks {
            match self.command_for(machine, placed, usage, delivery, now) {
                Some(stop @ Command::Stop { .. }) => commands.insert(0, stop),
                Some(Command::Start { .. }) if !accepts_starts => {}
                other => commands.extend(other),
            }
        }
        self.log_commands(id, &commands, delivery, now);
        self.mark_starts_sent(id, &commands, delivery);
        commands
    }

    /// Logs each command with the token and the incarnation that it is sent under, and with the fields of the leader's
    /// right to act.
    fn log_commands(&self, id: &MachineId, commands: &[Command], delivery: Delivery, now: Time) {
        if commands.is_empty() || !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let Some(machine) = self.fleet.machines.get(id) else {
            return;
        };
        let sent_fields = format!(
            "machine={id} {} token={} incarnation={} delivery={delivery:?}",
            self.term.log_fields(now),
            machine.command_token(self.term.tokens()),
            machine.last_message.incarnation
        );
        for command in commands {
            let (task, attempt) = command.subject();
            let subject = format!("job={} task={task} attempt={attempt}", task.job);
            match command {
                Command::Start { .. } => log::debug!("start sent {subject} {sent_fields}"),
                Command::Stop { .. } => log::debug!("stop sent {subject} {sent_fields}"),
                Command::Forget { .. } => {
                    let basis = (machine.task(task, attempt))
                        .map(PlacedTask::log_fields)
                        .unwrap_or_default();
                    log::debug!("forget sent {subject} {sent_fields} {basis}");
                }
            }
        }
    }

    /// Returns the command that a placed task needs now, if it needs one and the command may be sent.
    fn command_for(
        &self,
        machine: &Machine,
        placed: &PlacedTask,
        usage: &TeamUsage,
        delivery: Delivery,
        now: Time,
    ) -> Option<Command> {
        let (task, attempt) = (placed.task.clone(), placed.attempt);
        let token = machine.command_token(self.term.tokens());
        let may_forget = placed.may_forget(token, machine.last_message.incarnation);
        if may_forget && delivery == Delivery::ReportAnswer {
            return Some(Command::Forget { task, attempt });
        }
        if let Some(stop) = placed.stop.filter(|_| placed.occupies_capacity()) {
            return placed.awaits_stop().then_some(Command::Stop {
                task,
                attempt,
                grace_s: stop.grace_s,
            });
        }
        let may_start = self.term.may_act(now)
            && self.awaits_start(machine, placed, delivery)
            && self.may_start(machine, placed, usage, now);
        may_start.then_some(Command::Start { task, attempt })
    }

    /// Returns whether a start of a task has to be sent, or repeated because no report shows the task. A direct call
    /// sends it only once under a token: if that start is lost, the answer to the next report repeats it.
    fn awaits_start(&self, machine: &Machine, placed: &PlacedTask, delivery: Delivery) -> bool {
        match placed.phase {
            Phase::Planned => true,
            Phase::Sent => {
                let token = machine.command_token(self.term.tokens());
                delivery == Delivery::ReportAnswer || placed.start_sent.token < token
            }
            Phase::On(_) | Phase::Exited(_) => false,
        }
    }

    /// Records on the placed tasks which starts are being sent, under which token and to which incarnation.
    fn mark_starts_sent(&mut self, id: &MachineId, commands: &[Command], delivery: Delivery) {
        let tokens = self.term.tokens();
        let Some(machine) = self.fleet.machines.get_mut(id) else {
            return;
        };
        let start_sent = machine.present_start(tokens);
        for command in commands {
            let Command::Start { task, attempt } = command else {
                continue;
            };
            if let Some(placed) = machine.task_mut(task, *attempt) {
                placed.phase = Phase::Sent;
                placed.start_sent = start_sent;
                if delivery == Delivery::DirectCall {
                    placed.direct_start = Some(start_sent);
                    placed.open_direct_starts += 1;
                }
            }
        }
    }
}

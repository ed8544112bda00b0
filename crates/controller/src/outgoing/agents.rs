//! Direct calls to agents. Calls that only request a status report (probes) have threads of their own: they wait for
//! agents that do not answer, and must not delay commands to agents that do.

use crate::clients::agents::call_agent;
use crate::clients::http_client::{http_client, CallLimits};
use crate::clock::Clock;
use crate::input_queues::InputSender;
use crate::process_limits::ProcessLimits;
use crate::startup_error::StartupError;
use crate::threads::{spawn_pool, PoolSize, ThreadRole};
use crossbeam_channel::Sender;
use rudderreel_core::units::Time;
use rudderreel_core::{DirectOutcome, Input};
use rudderreel_wire::ids::MachineId;
use rudderreel_wire::worker::DirectCommands;
use std::time::Duration;
use ureq::Agent;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections. It is small because the same agent is mostly called again soon or not at all.
const IDLE_CONNECTIONS: usize = 8;

/// A call to an agent.
pub(super) struct AgentCall {
    pub(super) machine: MachineId,
    pub(super) addr: String,
    pub(super) commands: DirectCommands,
    /// Deadline for sending the call, if it has one.
    pub(super) send_until: Option<Time>,
}

impl AgentCall {
    /// Makes the call, unless its deadline has passed: the process may have been paused since the core decided on it.
    fn execute(self, client: &Agent, now: Time) -> Input {
        if self.is_past_deadline(now) {
            log::info!(
                "direct call dropped reason=deadline_passed machine={}",
                self.machine
            );
            return self.into_input(DirectOutcome::NotCalled);
        }
        let outcome = call_agent(client, &self.addr, &self.commands);
        self.into_input(outcome)
    }

    fn is_past_deadline(&self, now: Time) -> bool {
        self.send_until.is_some_and(|until| now >= until)
    }

    fn into_input(self, outcome: DirectOutcome) -> Input {
        Input::Direct {
            machine: self.machine,
            commands: self.commands,
            outcome,
        }
    }
}

/// Queues of calls to agents.
pub(super) struct AgentQueues {
    pub(super) commands: Sender<AgentCall>,
    pub(super) probes: Sender<AgentCall>,
}

impl AgentQueues {
    pub(super) fn start(
        limits: &ProcessLimits,
        clock: Clock,
        core: &InputSender,
    ) -> Result<Self, StartupError> {
        let start = |role: ThreadRole, threads: usize| {
            let size = PoolSize {
                threads,
                queue: limits.queued_calls,
            };
            let client = http_client(CallLimits {
                idle_connections: IDLE_CONNECTIONS,
                ..CallLimits::new(CONNECT_TIMEOUT, CALL_TIMEOUT)
            });
            spawn_pool(role, size, core, move |call: AgentCall| {
                Some(call.execute(&client, clock.time()))
            })
        };
        Ok(Self {
            commands: start(ThreadRole::AgentCommands, limits.command_threads)?,
            probes: start(ThreadRole::AgentProbes, limits.probe_threads)?,
        })
    }

    /// Queues a call. If the queue is full, returns the input that answers it as not called.
    pub(super) fn send(&self, call: AgentCall) -> Option<Input> {
        let queue = if call.commands.commands.is_empty() {
            &self.probes
        } else {
            &self.commands
        };
        let call = queue.try_send(call).err()?.into_inner();
        Some(call.into_input(DirectOutcome::NotCalled))
    }
}

#[cfg(test)]
mod tests;

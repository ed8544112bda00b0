//! Direct calls to agents. Calls that only ask for a status report have threads of their own: they wait for
//! agents that don't answer, and must not hold up commands to those that do.

use crate::clients::agents::call_agent;
use crate::clients::http_client::{http_client, CallLimits};
use crate::input_queues::InputSender;
use crate::process_limits::ProcessLimits;
use crate::startup_error::StartupError;
use crate::threads::{spawn_pool, PoolSize, ThreadRole};
use crossbeam_channel::Sender;
use rudderreel_core::{DirectOutcome, Input};
use rudderreel_wire::ids::MachineId;
use rudderreel_wire::worker::DirectCommands;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that are kept for later calls: the same agent is mostly called again soon or not at all.
const IDLE_CONNECTIONS: usize = 8;

/// A call to an agent.
pub(super) struct AgentCall {
    machine: MachineId,
    addr: String,
    commands: DirectCommands,
}

/// Queues of calls to agents.
pub(super) struct AgentQueues {
    pub(super) commands: Sender<AgentCall>,
    pub(super) probes: Sender<AgentCall>,
}

impl AgentQueues {
    pub(super) fn start(limits: &ProcessLimits, core: &InputSender) -> Result<Self, StartupError> {
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
                let outcome = call_agent(&client, &call.addr, &call.commands);
                Some(Input::Direct {
                    machine: call.machine,
                    commands: call.commands,
                    outcome,
                })
            })
        };
        Ok(Self {
            commands: start(ThreadRole::AgentCommands, limits.command_threads)?,
            probes: start(ThreadRole::AgentProbes, limits.probe_threads)?,
        })
    }

    /// Queues a call. If there is no room, returns its answer.
    pub(super) fn send(
        &self,
        machine: MachineId,
        addr: String,
        commands: DirectCommands,
    ) -> Option<Input> {
        let queue = if commands.commands.is_empty() {
            &self.probes
        } else {
            &self.commands
        };
        let call = AgentCall {
            machine,
            addr,
            commands,
        };
        let call = queue.try_send(call).err()?.into_inner();
        let outcome = DirectOutcome::NotCalled;
        Some(Input::Direct {
            machine: call.machine,
            commands: call.commands,
            outcome,
        })
    }
}

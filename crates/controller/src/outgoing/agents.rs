//! Direct calls to agents. Calls that only request a status report (probes) have threads of their own: they wait for
//! agents that do not answer, and must not delay commands to agents that do.

use super::revoked_starts::{RevocationCount, RevokedStarts};
use crate::clients::agents::call_agent;
use crate::clients::http_client::{http_client, CallLimits};
use crate::clock::Clock;
use crate::input_queues::InputSender;
use crate::process_limits::ProcessLimits;
use crate::startup_error::StartupError;
use crate::threads::{spawn_pool, PoolSize, ThreadRole};
use crossbeam_channel::Sender;
use rudderreel_core::units::Time;
use rudderreel_core::{DirectOutcome, Input, StartRevocation};
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
    /// Makes the call, unless its deadline has passed or its starts were revoked: the call may have waited for a thread,
    /// or the process may have been paused, since the core decided on it.
    fn execute(
        self,
        client: &Agent,
        revoked: &RevokedStarts,
        queued_at: RevocationCount,
        now: Time,
    ) -> Input {
        if let Some(reason) = self.reason_to_drop(revoked, queued_at, now) {
            log::info!(
                "direct call dropped reason={reason} machine={}",
                self.machine
            );
            return self.into_input(DirectOutcome::NotCalled);
        }
        let outcome = call_agent(client, &self.addr, &self.commands);
        self.into_input(outcome)
    }

    fn reason_to_drop(
        &self,
        revoked: &RevokedStarts,
        queued_at: RevocationCount,
        now: Time,
    ) -> Option<&'static str> {
        if self.send_until.is_some_and(|until| now >= until) {
            return Some("deadline_passed");
        }
        let is_revoked = revoked.contain_any_of(&self.commands.commands, queued_at);
        is_revoked.then_some("starts_revoked")
    }

    fn into_input(self, outcome: DirectOutcome) -> Input {
        Input::Direct {
            machine: self.machine,
            commands: self.commands,
            outcome,
        }
    }
}

/// A call that waits for a thread, and the number of revocations when it was queued.
pub(super) struct QueuedCall {
    call: AgentCall,
    queued_at: RevocationCount,
}

/// Queues of calls to agents.
pub(super) struct AgentQueues {
    pub(super) commands: Sender<QueuedCall>,
    pub(super) probes: Sender<QueuedCall>,
    pub(super) revoked: RevokedStarts,
}

impl AgentQueues {
    pub(super) fn start(
        limits: &ProcessLimits,
        clock: Clock,
        core: &InputSender,
    ) -> Result<Self, StartupError> {
        let revoked = RevokedStarts::default();
        let start = |role: ThreadRole, threads: usize| {
            let size = PoolSize {
                threads,
                queue: limits.queued_calls,
            };
            let client = http_client(CallLimits {
                idle_connections: IDLE_CONNECTIONS,
                ..CallLimits::new(CONNECT_TIMEOUT, CALL_TIMEOUT)
            });
            let revoked = revoked.clone();
            spawn_pool(role, size, core, move |queued: QueuedCall| {
                let QueuedCall { call, queued_at } = queued;
                Some(call.execute(&client, &revoked, queued_at, clock.time()))
            })
        };
        Ok(Self {
            commands: start(ThreadRole::AgentCommands, limits.command_threads)?,
            probes: start(ThreadRole::AgentProbes, limits.probe_threads)?,
            revoked,
        })
    }

    /// Revokes start commands in calls that wait.
    pub(super) fn revoke_starts(&self, revocation: StartRevocation, now: Time) {
        self.revoked.revoke(revocation, now);
    }

    /// Queues a call. If the queue is full, returns the input that answers it as not called.
    pub(super) fn send(&self, call: AgentCall) -> Option<Input> {
        let queue = if call.commands.commands.is_empty() {
            &self.probes
        } else {
            &self.commands
        };
        let queued_at = self.revoked.count();
        let not_queued = queue.try_send(QueuedCall { call, queued_at }).err()?;
        let QueuedCall { call, .. } = not_queued.into_inner();
        Some(call.into_input(DirectOutcome::NotCalled))
    }
}

#[cfg(test)]
mod tests;

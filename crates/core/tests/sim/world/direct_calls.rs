//! Direct calls of nodes to agents: how long they wait in the process, and whether they are sent after that.

use super::*;

/// The start commands that a process must not send any more.
#[derive(Default)]
pub(super) struct RevokedStarts {
    pub(super) jobs: BTreeSet<JobId>,
    /// Number of times that all start commands were revoked.
    pub(super) all: u32,
}

/// A direct call that a process is about to send.
pub(super) struct QueuedCall {
    pub(super) body: DirectCommands,
    pub(super) send_until: Option<Time>,
    /// Number of times that all start commands had been revoked when the call was queued.
    pub(super) revocations: u32,
    /// Whether the call has waited in the process.
    pub(super) has_waited: bool,
}

impl World {
    /// Records the start commands that a process must not send any more.
    pub(super) fn revoke_starts(&mut self, node: usize, revocation: StartRevocation) {
        let revoked = &mut self.nodes[node].revoked_starts;
        match revocation {
            StartRevocation::OfJob(id) => {
                revoked.jobs.insert(id);
            }
            StartRevocation::All => revoked.all += 1,
        }
    }

    /// Sends a direct call of a process, which checks the time once more before sending. If the process is paused, the
    /// call was sent before the pause or is sent when the process resumes.
    pub(super) fn send_direct(
        &mut self,
        node: usize,
        generation: u32,
        machine: MachineId,
        mut call: QueuedCall,
    ) {
        let wait = if self.is_held_back(node, generation) {
            self.remaining_pause(node)
        } else {
            (self.nodes[node].direct_calls_wait_until).saturating_sub(self.now)
        };
        if wait > 0 {
            call.has_waited = true;
            return self.schedule(wait, Event::DirectQueued(node, generation, machine, call));
        }
        let now = self.clock(node).time;
        let is_late = call.send_until.is_some_and(|until| now >= until);
        // A call that has not waited is on its way already, and can't be revoked.
        let must_not_be_sent = is_late || call.has_waited && self.is_revoked(node, &call);
        if must_not_be_sent && self.alive(node, generation) {
            let not_called = Input::Direct {
                machine,
                commands: call.body,
                outcome: DirectOutcome::NotCalled,
            };
            return self.step(node, not_called);
        }
        if call.has_waited && self.alive(node, generation) {
            // Only now do the commands leave the process.
            self.record_starts_after_cancellation(&call.body.commands);
        }
        self.direct(node, generation, machine, call.body, false);
    }

    /// Returns whether a direct call contains start commands that were revoked after the call was queued.
    fn is_revoked(&self, node: usize, call: &QueuedCall) -> bool {
        let revoked = &self.nodes[node].revoked_starts;
        let is_revoked = |command: &Command| match command {
            Command::Start { task, .. } => {
                call.revocations < revoked.all || revoked.jobs.contains(&task.job)
            }
            Command::Stop { .. } | Command::Forget { .. } => false,
        };
        call.body.commands.iter().any(is_revoked)
    }
}

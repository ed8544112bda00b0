//! When the fencing token of a machine is raised, so that no start that was sent to its agent before is carried out any
//! more.
//!
//! An agent carries out a start by a direct call as long as token and incarnation match, however late the call arrives,
//! and once more if a copy of it arrives after its answer. It ignores the start only while it knows the attempt. So
//! before an agent may forget an attempt, and before a start of unknown outcome is taken for lost, its token is raised.
//! The answer with the higher token carries the command to forget; no acknowledgement has to be awaited.

use crate::fleet::{Machine, Phase, PlacedTask};
use crate::leader::Leader;
use crate::leadership::fencing_tokens::TokenRange;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{FencingToken, MachineId};

/// Time for which reports may omit a task that is to be stopped, or that was on the machine. If they omit it for longer,
/// it is gone or a start may be in flight for it, which only a higher token decides.
const MISSING_START_TIMEOUT: Span = Span(3_000);
/// Minimum time between two bumps of the epoch.
const MIN_EPOCH_BUMP_INTERVAL: Span = Span(5_000);
/// Number of attempts of a machine that may wait to be forgotten until an open call to its agent has ended. A raised
/// token makes the agent refuse the call.
const MAX_ATTEMPTS_WAITING_FOR_CALL: usize = 64;
/// Number of attempts of a machine that wait to be forgotten from which on its agent gets no start by a direct call.
/// Each takes up to 110 bytes of a report, which has at most 64 KiB.
const MAX_ATTEMPTS_WAITING: usize = 256;

impl Leader {
    /// Raises the fencing token of a machine by one if a start that its agent would still carry out stands in the way,
    /// unless a call is open that the agent would then refuse.
    pub(super) fn raise_token_if_needed(&mut self, id: &MachineId, now: Time) {
        let tokens = self.term.tokens();
        let Some(machine) = self.fleet.machines.get_mut(id) else {
            return;
        };
        let token = machine.command_token(tokens);
        let may_wait_for_call = attempts_waiting(machine, token) <= MAX_ATTEMPTS_WAITING_FOR_CALL;
        let is_deferred = machine.direct_call_open && may_wait_for_call;
        if token < tokens.last && !is_deferred && awaits_higher_token(machine, token, now) {
            machine.raised_token = token.next();
            log::debug!("fencing token raised machine={id} token={}", token.next());
        }
    }

    /// Returns whether the agent of a machine may get starts by direct calls.
    pub(super) fn accepts_direct_starts(&self, machine: &Machine) -> bool {
        let token = machine.command_token(self.term.tokens());
        attempts_waiting(machine, token) < MAX_ATTEMPTS_WAITING
    }

    /// Returns whether a machine needs a higher token than the term has.
    pub fn needs_epoch_bump(&self, now: Time) -> bool {
        let tokens = self.term.tokens();
        now > self.term.last_epoch_bump_at() + MIN_EPOCH_BUMP_INTERVAL
            && (self.fleet.machines.values()).any(|machine| needs_more_tokens(machine, tokens, now))
    }
}

fn needs_more_tokens(machine: &Machine, tokens: TokenRange, now: Time) -> bool {
    machine.command_token(tokens) == tokens.last
        && machine.is_reconciled(tokens)
        && awaits_higher_token(machine, tokens.last, now)
}

/// Returns whether a start that the agent would carry out under its present token keeps a task from being forgotten, or
/// a missing one from being taken for lost.
fn awaits_higher_token(machine: &Machine, token: FencingToken, now: Time) -> bool {
    let incarnation = machine.last_message.incarnation;
    let is_missing = |placed: &PlacedTask| {
        (placed.stop.is_some() || matches!(placed.phase, Phase::On(_)))
            && placed.start_sent.is_valid_at(token, incarnation)
            && (placed.missing_since).is_some_and(|since| now > since + MISSING_START_TIMEOUT)
    };
    attempts_waiting(machine, token) > 0 || machine.tasks.iter().any(is_missing)
}

/// Returns the number of attempts that the agent could forget if its token was higher.
fn attempts_waiting(machine: &Machine, token: FencingToken) -> usize {
    let incarnation = machine.last_message.incarnation;
    (machine.tasks.iter())
        .filter(|placed| placed.awaits_forgetting())
        .filter(|placed| placed.direct_start_is_valid_at(token, incarnation))
        .count()
}

#[cfg(test)]
mod tests;

//! Probes: direct calls without commands, which ask an agent for a report.
//!
//! An agent is probed when it has missed a report or left a call unanswered, so that a failed machine is found
//! before its lease expires (see `failure_detection`).

use crate::fleet::{Machine, PlacedTask};
use crate::leader::Leader;
use crate::units::{Span, Time};
use rudderreel_wire::ids::MachineId;

/// Time after a machine was found silent in which machines with non-preemptible work are probed, too, if they have been
/// silent for [`MIN_SILENCE_FOR_EARLY_PROBING`]: failures often affect many machines at once.
const EARLY_PROBING_PERIOD: Span = Span(3_000);
/// Silence after which a machine is probed before it has missed a report, within [`EARLY_PROBING_PERIOD`].
const MIN_SILENCE_FOR_EARLY_PROBING: Span = Span(1_500);
/// Number of probes that may be open at once in a fleet of any size.
const MIN_PROBE_LIMIT: usize = 64;
/// Number of machines for each probe that may be open at once in a large fleet: hundreds of its machines may hang at
/// once, and each is probed several times.
const MACHINES_PER_OPEN_PROBE: usize = 16;
/// Number of machines that were heard from and are called, too, when no agent has answered a call for a while.
const CONTROL_PROBES: usize = 3;
/// Half of the pause after the first call without an answer. The pause doubles with each further one.
const PROBE_RETRY_BASE: Span = Span(100);
/// Maximum number of times that [`PROBE_RETRY_BASE`] is doubled.
const MAX_PROBE_RETRY_DOUBLINGS: u32 = 5;

impl Leader {
    /// Returns the machines whose agents are to be probed: those that have missed a report or left a call unanswered,
    /// the ones with non-preemptible work first. If no agent has answered a call for a while, some machines that were
    /// heard from are called, too: it may be this node that reaches no agent.
    pub fn machines_to_probe(&self, now: Time) -> Vec<MachineId> {
        let machines = || self.fleet.machines.values();
        let mut suspects: Vec<&Machine> = machines()
            .filter(|machine| self.may_probe(machine, now) && self.is_suspect(machine, now))
            .collect();
        suspects.sort_by_key(|machine| !machine.runs_non_preemptible());
        let open_calls = machines()
            .filter(|machine| machine.direct_call_open)
            .count();
        let max_open = MIN_PROBE_LIMIT.max(self.fleet.machines.len() / MACHINES_PER_OPEN_PROBE);
        suspects.truncate(max_open.saturating_sub(open_calls));
        let mut probed: Vec<MachineId> = suspects.into_iter().map(|m| m.id.clone()).collect();
        if !probed.is_empty() && self.lacks_recent_answer(now) {
            let unsuspected = machines()
                .filter(|machine| machine.last_heard_at.is_some())
                .filter(|machine| self.may_probe(machine, now) && !self.is_suspect(machine, now));
            probed.extend(unsuspected.take(CONTROL_PROBES).map(|m| m.id.clone()));
        }
        probed
    }

    /// Returns whether a machine may be called now.
    fn may_probe(&self, machine: &Machine, now: Time) -> bool {
        machine.return_requested_at.is_none()
            && !machine.direct_call_open
            && machine.next_direct_call_at <= now
            && !self.fleet.partitioned_zones.contains(&machine.zone)
    }

    /// Returns whether there is a sign of a failure of a machine, or its report is needed at once.
    fn is_suspect(&self, machine: &Machine, now: Time) -> bool {
        let report_timeout = self.report_timeout();
        let Some(last_heard) = self.last_heard_or_healed(machine) else {
            // The machine is known from an earlier leader. Without an address it can't be called.
            let is_report_due = now - self.term.elected_at() > report_timeout;
            return machine.addr.is_some()
                && !machine.tasks.is_empty()
                && (is_report_due || self.awaits_acknowledgement_of_stop(machine));
        };
        let silent_for = now - last_heard;
        machine.unanswered_calls > 0
            || silent_for > report_timeout
            || self.may_have_failed_with_others(machine, silent_for, now)
            || self.awaits_acknowledgement_of_stop(machine)
    }

    fn may_have_failed_with_others(&self, machine: &Machine, silent_for: Span, now: Time) -> bool {
        now < self.fleet.early_probing_until
            && silent_for > MIN_SILENCE_FOR_EARLY_PROBING
            && machine.runs_non_preemptible()
    }

    /// Returns whether a machine should stop a task that may be gone already. Its agent is probed at once: until the
    /// agent has acknowledged a token of this leader, no task that its reports omit is proven gone.
    fn awaits_acknowledgement_of_stop(&self, machine: &Machine) -> bool {
        let is_stopping = |task: &PlacedTask| task.stop.is_some() && task.occupies_capacity();
        machine.acknowledged_token < self.term.tokens().first
            && machine.tasks.iter().any(is_stopping)
    }

    /// Records that an agent has left a call unanswered. If the agent has missed a report, other machines may have
    /// failed as well.
    pub fn direct_call_unanswered(&mut self, id: &MachineId, now: Time) {
        let report_timeout = self.report_timeout();
        self.fleet.reachability.call_unanswered();
        let Some(machine) = self.fleet.machines.get_mut(id) else {
            return;
        };
        machine.call_unanswered(now);
        let doublings = machine.unanswered_calls.min(MAX_PROBE_RETRY_DOUBLINGS);
        machine.next_direct_call_at = now + Span(PROBE_RETRY_BASE.0 << doublings);
        let missed_report =
            (machine.last_heard_at).is_some_and(|heard| now - heard > report_timeout);
        if missed_report && !self.fleet.partitioned_zones.contains(&machine.zone) {
            self.fleet.early_probing_until = now + EARLY_PROBING_PERIOD;
        }
    }
}

//! Probes: direct calls without commands, which ask an agent for a report.
//!
//! An agent is probed when it has missed a report or left a call unanswered, so that a failed machine is found
//! before its lease expires (see `failure_detection`).

use crate::fleet::{Machine, PlacedTask};
use crate::leader::Leader;
use crate::units::{Span, Time};
use rudderreel_wire::ids::MachineId;

/// Failures come to many machines at once. When one is found silent, for so long those that run non-preemptible
/// work are probed, too, ...
const SUSPECT_PERIOD: Span = Span(3_000);
/// ... if they were not heard for so long.
const JUST_HEARD: Span = Span(1_500);
/// Probes that may be open at once, ...
const MIN_OPEN_PROBES: usize = 64;
/// ... and one for so many machines: of a large fleet hundreds may hang at once, and each is probed several times.
const MACHINES_PER_OPEN_PROBE: usize = 16;
/// Machines that were heard and are called when nobody has answered for a while.
const CONTROL_PROBES: usize = 3;
/// The pause after the first call without an answer is twice this long; it doubles with each further one, ...
const PROBE_RETRY_BASE: Span = Span(100);
/// ... so many times at most.
const MAX_PROBE_RETRY_DOUBLINGS: u32 = 5;

impl Leader {
    /// Machines whose agents are to be probed: those that have missed a report or left a call unanswered, the ones
    /// with non-preemptible work first. If nobody has answered a call for a while, some that were heard are called
    /// too: it may be this node that reaches nobody.
    pub fn machines_to_probe(&self, now: Time) -> Vec<MachineId> {
        let machines = || self.fleet.machines.values();
        let mut suspects: Vec<&Machine> = machines()
            .filter(|machine| self.may_probe(machine, now) && self.is_suspect(machine, now))
            .collect();
        suspects.sort_by_key(|machine| !machine.runs_non_preemptible());
        let open_calls = machines()
            .filter(|machine| machine.direct_call_open)
            .count();
        let max_open = MIN_OPEN_PROBES.max(self.fleet.machines.len() / MACHINES_PER_OPEN_PROBE);
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

    /// Whether a machine may be called now.
    fn may_probe(&self, machine: &Machine, now: Time) -> bool {
        machine.return_requested_at.is_none()
            && !machine.direct_call_open
            && machine.next_direct_call_at <= now
            && !self.fleet.partitioned_zones.contains(&machine.zone)
    }

    /// Whether something speaks for a failure of a machine, or its report is needed at once.
    fn is_suspect(&self, machine: &Machine, now: Time) -> bool {
        let report_timeout = self.report_timeout();
        let Some(last_heard) = self.last_heard_or_healed(machine) else {
            // Of an earlier leader. Without an address it can't be called.
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
            && silent_for > JUST_HEARD
            && machine.runs_non_preemptible()
    }

    /// Whether a machine should stop something that may be gone already. It is asked at once: until its agent has
    /// acknowledged this leader's epoch, nothing that its reports omit is proven gone.
    fn awaits_acknowledgement_of_stop(&self, machine: &Machine) -> bool {
        let is_stopping = |task: &PlacedTask| task.stop.is_some() && task.occupies_capacity();
        machine.acknowledged_epoch != self.term.epoch() && machine.tasks.iter().any(is_stopping)
    }

    /// An agent has left a call unanswered. If it has missed a report, others may have failed as well.
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
            self.fleet.early_probing_until = now + SUSPECT_PERIOD;
        }
    }
}

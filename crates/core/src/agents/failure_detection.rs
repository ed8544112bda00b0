//! Detects machines that have failed, or that can't be commanded.
//!
//! Returning a machine is the fastest proof that the tasks on it are gone, so a machine that has surely failed is
//! returned soon. The return ends every task that runs there. So nothing is concluded when it may as well be this node
//! that hears from no agent or reaches none, or when a whole zone is partitioned: there tasks keep running as long as
//! the leases last, and returning the machines would end tasks that the partition does not end.

use crate::fleet::{Machine, PlacedTask, RetireReason};
use crate::leader::Leader;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{MachineId, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// Number of unanswered calls at which a machine that has missed a report is declared dead.
const UNANSWERED_CALLS_AFTER_MISSED_REPORT: u32 = 2;
/// Number of unanswered calls at which a machine that has not missed a report yet may be declared dead.
const UNANSWERED_CALLS_WITHOUT_MISSED_REPORT: u32 = 3;
/// Time for which calls to a machine must have been unanswered before it is declared dead if it has not missed a report
/// yet, or if this leader has never heard from it. In the first case the machine must also have been silent for this
/// time before the first of these calls was found to be unanswered.
const UNANSWERED_TIME: Span = Span(1_200);
/// Time without any answer to a direct call after which it is not known whether any agent would answer.
const MAX_TIME_SINCE_ANY_ANSWER: Span = Span(2_000);
/// Time by which a status report may be late, in addition to a quarter of the interval.
const REPORT_DELAY: Span = Span(500);
/// Maximum delay of most reports.
const SHORT_REPORT_DELAY: Span = Span(100);
/// Time for an agent's failover: the agent waits 4 s for an answer, and one second more before it tries another node.
const AGENT_FAILOVER: Span = Span(6_500);
/// Margin that is added to three quarters of the lease in the upper bound of the silence timeout: only the rest of the
/// lease is left to an agent that is silent for longer.
const SILENCE_MARGIN: Span = Span(1_000);
/// Number of leases for which machines in a partitioned zone are kept.
const LEASES_KEPT_IN_PARTITION: u64 = 4;
/// Time by which a lease in a partitioned zone may last longer, in addition to clock drift.
const PARTITION_LEASE_MARGIN: Span = Span(1_000);

/// Whether this node itself hears from agents and reaches them, so that a machine's failure can be told apart from a
/// failure of this node's connection.
#[derive(Clone, Copy)]
struct OwnConnection {
    hears_from_most_machines: bool,
    reaches_agents: bool,
}

impl Leader {
    /// Returns the machines that have surely failed or can't be commanded, and the reasons.
    pub fn machines_declared_dead(&self, now: Time) -> BTreeMap<MachineId, RetireReason> {
        let connection = OwnConnection {
            hears_from_most_machines: self.hears_from_most_machines(now),
            reaches_agents: self.has_recent_answer(now),
        };
        (self.fleet.machines.values())
            .filter_map(|machine| {
                let reason = match self.fleet.partitioned_zones.silent_since(&machine.zone) {
                    Some(since) => (self.is_declared_dead_in_partition(machine, since, now))
                        .then_some(RetireReason::BehindPartition),
                    None => self.why_declared_dead(machine, connection, now),
                };
                Some((machine.id.clone(), reason?))
            })
            .collect()
    }

    /// Returns the time after which a machine that was not heard from has missed a report.
    pub(super) fn report_timeout(&self) -> Span {
        Span(self.agent_timings.report_interval.0 * 5 / 4) + REPORT_DELAY
    }

    /// Returns the time after which a machine that was not heard from counts as silent. An agent whose node is gone or
    /// cut off waits for its answer, finds another node and reports again, which takes this long without anything being
    /// wrong with the agent.
    pub(crate) fn silence_timeout(&self) -> Span {
        let failover = Span(self.agent_timings.report_interval.0 * 3 / 2) + AGENT_FAILOVER;
        let most_of_lease = Span(self.agent_timings.lease.0 * 3 / 4) + SILENCE_MARGIN;
        failover.min(most_of_lease)
    }

    /// Returns whether any agent has lately answered a direct call.
    pub(super) fn has_recent_answer(&self, now: Time) -> bool {
        self.fleet.reachability.since_last_answer(now) < MAX_TIME_SINCE_ANY_ANSWER
    }

    /// Returns whether no agent has answered a direct call for so long that it may be this node that reaches no agent.
    pub(super) fn lacks_recent_answer(&self, now: Time) -> bool {
        self.fleet.reachability.since_last_answer(now) > MAX_TIME_SINCE_ANY_ANSWER
    }

    /// Returns whether most machines that were ever heard from were heard from lately, and some of them just now. If
    /// not, it is more likely that this node is cut off. Machines in partitioned zones don't count.
    fn hears_from_most_machines(&self, now: Time) -> bool {
        let heard_at: Vec<Time> = (self.fleet.machines.values())
            .filter(|machine| !self.fleet.partitioned_zones.contains(&machine.zone))
            .filter_map(|machine| machine.last_heard_at)
            .collect();
        let heard_within = |span: Span| heard_at.iter().filter(|&&at| now - at < span).count();
        let interval = self.agent_timings.report_interval.0;
        let heard_lately = heard_within(Span(interval * 3 / 2) + REPORT_DELAY);
        let heard_just_now = heard_within(Span(interval / 2) + SHORT_REPORT_DELAY);
        heard_lately * 3 >= heard_at.len() * 2 && heard_just_now * 5 >= heard_at.len()
    }

    /// Returns the time at which a machine was last heard from. After a partition its reports count as late only from
    /// the end of the partition on.
    pub(super) fn last_heard_or_healed(&self, machine: &Machine) -> Option<Time> {
        let healed_at = self.fleet.partitioned_zones.healed_at(&machine.zone);
        (machine.last_heard_at).map(|heard| healed_at.map_or(heard, |healed| healed.max(heard)))
    }

    fn why_declared_dead(
        &self,
        machine: &Machine,
        connection: OwnConnection,
        now: Time,
    ) -> Option<RetireReason> {
        let OwnConnection {
            hears_from_most_machines,
            reaches_agents,
        } = connection;
        let unreachable_for = (machine.unreachable_since).map_or(Span(0), |since| now - since);
        let Some(last_heard) = self.last_heard_or_healed(machine) else {
            return self.why_unheard_declared_dead(machine, connection, now);
        };
        // A leader that hears from most machines, or reaches some, can tell whether this machine has failed. Otherwise
        // it may be this node that is cut off.
        let silent_for = now - last_heard;
        let missed_report = machine.unanswered_calls >= UNANSWERED_CALLS_AFTER_MISSED_REPORT
            && silent_for > self.report_timeout();
        let unanswered = machine.unanswered_calls >= UNANSWERED_CALLS_WITHOUT_MISSED_REPORT;
        let hangs = unanswered
            && unreachable_for > UNANSWERED_TIME
            && silent_for > unreachable_for + UNANSWERED_TIME;
        if hears_from_most_machines && silent_for > self.silence_timeout() {
            Some(RetireReason::Silent)
        } else if hears_from_most_machines && reaches_agents && (missed_report || hangs) {
            Some(RetireReason::DoesNotAnswer)
        } else if reaches_agents
            && unanswered
            && unreachable_for > Span(self.agent_timings.lease.0 / 2)
        {
            // The agent is heard from, but nothing reaches it: the tasks that it runs can't be stopped.
            Some(RetireReason::UnreachableForCommands)
        } else if machine.is_lease_expired(
            now,
            Span(self.agent_timings.lease.0 * 2),
            self.term.old_leaders_fenced_at(),
        ) {
            Some(RetireReason::LeaseExpired)
        } else {
            None
        }
    }

    /// Returns why a machine that this leader has never heard from is declared dead, if it is. Tasks that an earlier
    /// leader started there may be gone with the machine: it is called at the address that the cloud lists.
    fn why_unheard_declared_dead(
        &self,
        machine: &Machine,
        connection: OwnConnection,
        now: Time,
    ) -> Option<RetireReason> {
        let unreachable_for = (machine.unreachable_since).map_or(Span(0), |since| now - since);
        let is_unanswered = machine.unanswered_calls > UNANSWERED_CALLS_AFTER_MISSED_REPORT
            && unreachable_for > UNANSWERED_TIME;
        let is_report_due = now - self.term.elected_at() > self.report_timeout();
        let can_tell = connection.hears_from_most_machines && connection.reaches_agents;
        (is_unanswered && can_tell && is_report_due).then_some(RetireReason::DoesNotAnswer)
    }

    /// Returns whether a machine in a partitioned zone should be returned.
    ///
    /// When the leases there have expired, the leader that heard from the zone last knows that nothing runs there any
    /// more. A leader that was elected since can't tell for another lease; if replicas may run elsewhere, a return is
    /// the sooner proof. Otherwise the machine is kept for a while although nothing runs there: when the partition ends
    /// it is needed at once.
    fn is_declared_dead_in_partition(&self, machine: &Machine, since: Time, now: Time) -> bool {
        let leases_expired = |leases: u64| {
            let expiry = Span(self.agent_timings.lease.0 * leases).with_drift();
            now > since + expiry + PARTITION_LEASE_MARGIN
        };
        if leases_expired(LEASES_KEPT_IN_PARTITION) {
            return true;
        }
        leases_expired(1) && {
            let reachable_zones: BTreeSet<Zone> = (self.zones().into_iter())
                .filter(|zone| !self.fleet.partitioned_zones.contains(zone))
                .collect();
            (machine.tasks.iter()).any(|task| is_movable(task, &reachable_zones))
        }
    }
}

/// Returns whether a task is a replica that must not wait, and all replicas of its job may run in `zones`.
fn is_movable(task: &PlacedTask, zones: &BTreeSet<Zone>) -> bool {
    let Some(spec) = &task.spec else {
        return false;
    };
    let allowed_zones = match &spec.zone {
        Some(zone) => u32::from(zones.contains(zone)),
        None => zones.len() as u32,
    };
    task.occupies_capacity()
        && task.is_non_preemptible()
        && allowed_zones.saturating_mul(spec.zone_cap()) >= spec.tasks
}

#[cfg(test)]
mod tests;

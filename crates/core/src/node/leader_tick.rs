//! The leader's periodic work: the reconcile pass, the scheduling cycle, and the commits, commands and cloud calls that
//! follow from them.

use crate::node::Node;
use crate::overload::pacing::LongStep;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::MachineId;

/// Minimum time between two reconcile passes.
const RECONCILE_INTERVAL: Span = Span(100);
/// Number of machines that add one millisecond to the reconcile interval, since a pass over a larger fleet takes
/// longer.
const MACHINES_PER_INTERVAL_MS: u64 = 12;

impl Node {
    /// Does the leader's work that is due, if this node leads.
    pub(super) fn leader_tick(&mut self, now: Now) {
        if self.leader.is_none() {
            return;
        }
        self.retry_recovery_page(now);
        self.transfer_leadership_if_unfit(now);
        if self.leader.is_none() {
            return;
        }
        self.update_old_leaders_fenced_at(now.time);
        if self.is_reconcile_pass_due(now.time) {
            self.reconcile_pass(now);
        } else {
            self.flush_leader_commits(now);
            self.send_cloud_calls(now);
        }
    }

    fn is_reconcile_pass_due(&mut self, now: Time) -> bool {
        let is_recovered =
            (self.leader.as_ref()).is_some_and(|leader| leader.recovery.is_complete());
        let is_behind = self.backlog.is_behind(now);
        is_recovered && now >= self.next_reconcile_at && self.pacing.may_reconcile(now, is_behind)
    }

    /// Reconciles all machines and jobs, runs a scheduling cycle if one is due, and sends the resulting commits,
    /// commands and calls.
    fn reconcile_pass(&mut self, now: Now) {
        self.pacing.begin(LongStep::Reconcile, now.time);
        self.reconcile_fleet(now);
        self.run_cycle_if_due(now);
        self.flush_leader_commits(now);
        self.bump_epoch_if_needed(now);
        self.send_direct_calls(now);
        self.call_cloud_if_due(now);
    }

    /// Compares the tasks that should run with those that agents report, machine by machine, and handles what is
    /// overdue.
    fn reconcile_fleet(&mut self, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let interval_ms =
            RECONCILE_INTERVAL.0 + leader.fleet.machines.len() as u64 / MACHINES_PER_INTERVAL_MS;
        self.next_reconcile_at = now.time + Span(interval_ms);
        leader.fleet.update_beyond_connections(self.fleet_limits);
        leader.detect_partitioned_zones(now.time);
        leader.stop_ended_jobs(now);
        leader.drain_reclaimed_machines(now.time);
        leader.stop_tasks_on_retired(now.time);
        leader.expire_leases(now);
    }

    fn run_cycle_if_due(&mut self, now: Now) {
        let is_behind = self.backlog.is_behind(now.time);
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let is_due =
            now.time >= leader.schedule.next_cycle && self.pacing.may_cycle(now.time, is_behind);
        if is_due && leader.term.may_act(now.time) {
            self.pacing.begin(LongStep::Cycle, now.time);
            leader.schedule.next_cycle = now.time + leader.policy.cycle_period;
            leader.run_cycle(now);
        }
    }

    /// Makes the leader's commits that are due. None is made before the state has been recovered, nor while the leader
    /// key, which every write depends on, may be changing.
    pub(crate) fn flush_leader_commits(&mut self, now: Now) {
        let may_commit = (self.leader.as_ref()).is_some_and(|leader| {
            leader.recovery.is_complete()
                && leader.term.may_act(now.time)
                && !leader.term.is_bumping_epoch()
        });
        if !may_commit {
            return;
        }
        self.close_version_gate(now);
        if (self.leader.as_ref()).is_none_or(|leader| leader.term.version_gate().is_key_changing())
        {
            return;
        }
        self.flush_placement_log(now);
        self.flush_completions(now);
        self.flush_cascade_cancellations(now);
    }

    /// Calls agents directly: those with waiting commands, and those whose status report is overdue.
    fn send_direct_calls(&mut self, now: Now) {
        let Some(leader) = self.leader.as_ref() else {
            return;
        };
        let waiting: Vec<MachineId> = (leader.fleet.machines.values())
            .filter(|machine| leader.needs_direct_call(machine, now.time))
            .map(|machine| machine.id.clone())
            .collect();
        let overdue = leader.machines_to_probe(now.time);
        self.push_starts(&waiting, now);
        for id in overdue {
            self.probe(&id, now.time);
        }
    }
}

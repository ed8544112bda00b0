//! The check of every start. Each is decided here, at the moment of sending, and nowhere else.
//!
//! Every rule is checked against everything that may exist, planned starts included, whatever planned the task and
//! however long ago.

use super::team_usage::TeamUsage;
use crate::fleet::{Machine, PlacedTask};
use crate::jobs::job::Job;
use crate::jobs::node_affinity::satisfies_node_affinity;
use crate::leader::Leader;
use crate::teams::team_tree::{amounts, RESOURCE_KINDS};
use crate::units::Time;
use rudderreel_wire::ids::Zone;

/// Number of machines up to which debug builds compare the sums of team usage with those over all machines.
const MAX_MACHINES_FOR_USAGE_CHECK: usize = 300;
/// Amount by which rounding may raise the sum of a team's usage.
const LIMIT_TOLERANCE: f64 = 1e-9;

/// The reason why a task must not be started now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StartRefusal {
    #[error("its job is not known")]
    UnknownJob,
    #[error(
        "this node has not recovered the state, its lease has expired, or its cache is not fresh"
    )]
    NotLeading,
    #[error("its job is done or cancelled")]
    JobNotActive,
    #[error("a dependency of its job is not done")]
    DependenciesUnmet,
    #[error("it is done")]
    AlreadyDone,
    #[error("it may be on another machine or in another attempt")]
    MayBeElsewhere,
    #[error("its placement is not recorded in a committed segment")]
    NotRecorded,
    #[error("it is being stopped")]
    Stopping,
    #[error("the machine is not reconciled, or no report was received from it within a lease")]
    MachineNotReconciled,
    #[error("the machine is being returned")]
    MachineReturned,
    #[error("its job excludes the machine's type, zone or kind")]
    MachineExcluded,
    #[error("the machine does not have the capacity for its tasks")]
    NoRoom,
    #[error("its job's zone rules are violated")]
    ZoneRules,
    #[error("its team's limit is exceeded")]
    TeamLimit,
}

impl Leader {
    /// Returns whether a task that is placed on a machine may be started there now. Logs the reason if not.
    pub(super) fn may_start(
        &self,
        machine: &Machine,
        placed: &PlacedTask,
        usage: &TeamUsage,
        now: Time,
    ) -> bool {
        let refusal = match self.check_start(machine, placed, usage, now) {
            Ok(()) => return true,
            Err(refusal) => refusal,
        };
        log::debug!(
            "start refused job={} task={} machine={} reason={refusal}",
            placed.task.job,
            placed.task,
            machine.id
        );
        false
    }

    /// Checks every rule for a start, and returns the first that does not hold as the refusal.
    pub(crate) fn check_start(
        &self,
        machine: &Machine,
        placed: &PlacedTask,
        usage: &TeamUsage,
        now: Time,
    ) -> Result<(), StartRefusal> {
        let Some(job) = self.jobs.get(&placed.task.job) else {
            return Err(StartRefusal::UnknownJob);
        };
        let is_leading = self.recovery.is_complete() && self.term.may_act(now);
        let is_done = job.done.contains(placed.task.index);
        let may_be_elsewhere = job.may_be_elsewhere(placed.task.index, &machine.id, placed.attempt);
        let is_reconciled = machine.is_reconciled(self.term.tokens())
            && machine.is_heard_within(self.agent_timings.lease, now);
        let is_allowed = satisfies_node_affinity(
            &job.spec,
            &machine.machine_type,
            &machine.zone,
            machine.is_spot,
        );
        let free = machine.free();
        let has_room = free.cpus >= 0 && free.gpus >= 0 && free.memory >= 0;
        let rules = [
            (is_leading, StartRefusal::NotLeading),
            (job.is_active(), StartRefusal::JobNotActive),
            (job.is_ready(), StartRefusal::DependenciesUnmet),
            (!is_done, StartRefusal::AlreadyDone),
            (!may_be_elsewhere, StartRefusal::MayBeElsewhere),
            (placed.is_recorded(), StartRefusal::NotRecorded),
            (placed.stop.is_none(), StartRefusal::Stopping),
            (is_reconciled, StartRefusal::MachineNotReconciled),
            (
                machine.return_requested_at.is_none(),
                StartRefusal::MachineReturned,
            ),
            (is_allowed, StartRefusal::MachineExcluded),
            (has_room, StartRefusal::NoRoom),
            (self.keeps_zone_rules(job), StartRefusal::ZoneRules),
            (self.keeps_team_limits(job, usage), StartRefusal::TeamLimit),
        ];
        match rules.into_iter().find(|(holds, _)| !holds) {
            Some((_, refusal)) => Err(refusal),
            None => Ok(()),
        }
    }

    /// Returns whether all tasks of a job that may exist, planned starts included, keep to the job's zone rules.
    fn keeps_zone_rules(&self, job: &Job) -> bool {
        let spec = &job.spec;
        if !spec.spread && !spec.one_zone {
            return true;
        }
        let mut tasks_by_zone: Vec<(&Zone, u32)> = Vec::new();
        let machines = (job.placements.values().flatten())
            .filter_map(|(machine, _)| self.fleet.machines.get(machine));
        for machine in machines {
            match (tasks_by_zone.iter_mut()).find(|(zone, _)| **zone == machine.zone) {
                Some((_, tasks)) => *tasks += 1,
                None => tasks_by_zone.push((&machine.zone, 1)),
            }
        }
        let keeps_cap = (tasks_by_zone.iter()).all(|(_, tasks)| *tasks <= spec.zone_cap());
        keeps_cap && !(spec.one_zone && tasks_by_zone.len() > 1)
    }

    /// Returns whether all tasks that may exist, planned starts included, keep to the limits of the job's team and of
    /// the nodes above it.
    fn keeps_team_limits(&self, job: &Job, usage: &TeamUsage) -> bool {
        let teams = &self.policy.teams;
        let Some(leaf) = teams.find(&job.spec.team) else {
            return false;
        };
        teams.path_to_root(leaf).all(|node| {
            let limit = &teams.nodes[node].limit;
            if limit.iter().all(|l| l.is_infinite()) {
                return true;
            }
            let used = usage.by_team_node(self)[node];
            // Summing over all machines takes too long for tests of a whole fleet.
            debug_assert!(
                self.fleet.machines.len() > MAX_MACHINES_FOR_USAGE_CHECK
                    || used == self.usage_on_machines(node)
            );
            let used = amounts(&used);
            (0..RESOURCE_KINDS).all(|kind| used[kind] <= limit[kind] + LIMIT_TOLERANCE)
        })
    }
}

#[cfg(test)]
mod tests;

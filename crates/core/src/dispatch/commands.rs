//! Commands for workers, and the single place where a start is decided.

use crate::fleet::machine::{Machine, Phase, PlacedTask};
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::actions;
use crate::units::{Resources, Span, Time};
use rudderreel_wire::ids::{MachineId, Zone};
use rudderreel_wire::worker::Command;
use std::cell::OnceCell;

/// With so many machines at most, tests compare sums with the slow plain way.
const PLAIN: usize = 300;

/// What teams may use, added up when it is first asked for. It holds as long as no task is placed and
/// none is gone: then the limits of many starts are checked against one sum, and the cost of a start
/// does not grow with the number of jobs.
#[derive(Default)]
pub(crate) struct TeamUsage {
    by_node: OnceCell<Vec<Resources>>,
}

impl TeamUsage {
    /// By node of the tree: everything of it and of those below it that may exist.
    pub(crate) fn of(&self, leader: &Leader) -> &[Resources] {
        self.by_node.get_or_init(|| {
            let mut sums = vec![Resources::default(); leader.policy.teams.nodes.len()];
            for job in leader.jobs.values().filter(|j| !j.placements.is_empty()) {
                let used = job.need.times(job.placement_count());
                let leaf = leader.policy.teams.find(&job.spec.team);
                for node in leaf
                    .into_iter()
                    .flat_map(|leaf| leader.policy.teams.chain(leaf))
                {
                    sums[node] += used;
                }
            }
            sums
        })
    }
}

impl Leader {
    /// The single place where a start is decided: every rule is checked against everything that
    /// may exist.
    pub(crate) fn may_start(
        &self,
        machine: &Machine,
        entry: &PlacedTask,
        usage: &TeamUsage,
        now: Time,
    ) -> bool {
        let Some(job) = self.jobs.get(&entry.task.job) else {
            return false;
        };
        let elsewhere = (job.placements.get(&entry.task.index)).is_some_and(|p| {
            p.iter()
                .any(|(m, a)| *m != machine.id || *a != entry.attempt)
        });
        let spec = &job.spec;
        let fresh = (machine.last_heard_at).is_some_and(|t| now - t < self.agent_timings.lease);
        let free = machine.free();
        let rules = [
            (
                self.recovery.is_complete && self.term.is_lease_valid(now),
                "leading",
            ),
            (job.is_active(), "job active"),
            (job.is_ready(), "dependencies done"),
            (!job.done.contains(entry.task.index), "not done"),
            (!elsewhere, "nowhere else"),
            (entry.is_recorded() && entry.stop.is_none(), "recorded"),
            (
                machine.is_reconciled(self.term.epoch()) && fresh,
                "machine known",
            ),
            (machine.return_requested_at.is_none(), "machine kept"),
            (
                actions::allowed(spec, &machine.machine_type, &machine.zone, machine.is_spot),
                "type, zone, kind",
            ),
            (free.cpus >= 0 && free.gpus >= 0 && free.memory >= 0, "room"),
            (self.keeps_zone_rules(job), "zones"),
            (self.keeps_team_limits(job, usage), "limit"),
        ];
        match rules.iter().find(|(holds, _)| !holds) {
            Some((_, rule)) => {
                log::debug!("no start of {} on {}: {rule}", entry.task, machine.id);
                false
            }
            None => true,
        }
    }

    /// Whether everything of a job that may exist keeps to its zones, planned starts included.
    pub(crate) fn keeps_zone_rules(&self, job: &Job) -> bool {
        let spec = &job.spec;
        if !spec.spread && !spec.one_zone {
            return true;
        }
        let mut zones: Vec<(&Zone, u32)> = Vec::new();
        let machines = job.placements.values().flatten();
        for machine in machines.filter_map(|(id, _)| self.fleet.machines.get(id)) {
            match zones.iter_mut().find(|(zone, _)| **zone == machine.zone) {
                Some((_, n)) => *n += 1,
                None => zones.push((&machine.zone, 1)),
            }
        }
        zones.iter().all(|(_, n)| *n <= spec.zone_cap()) && !(spec.one_zone && zones.len() > 1)
    }

    /// Whether everything of a team that may exist keeps to its limit, planned starts included.
    pub(crate) fn keeps_team_limits(&self, job: &Job, usage: &TeamUsage) -> bool {
        let Some(leaf) = self.policy.teams.find(&job.spec.team) else {
            return false;
        };
        self.policy.teams.chain(leaf).all(|node| {
            let limit = &self.policy.teams.nodes[node].limit;
            if limit.iter().all(|l| l.is_infinite()) {
                return true;
            }
            let used = usage.of(self)[node];
            // The plain way takes too long for tests of a whole fleet.
            debug_assert!(
                self.fleet.machines.len() > PLAIN || used == self.used_below_by_machine(node)
            );
            let used = crate::teams::team_tree::amounts(&used);
            (0..crate::teams::team_tree::KINDS).all(|k| used[k] <= limit[k] + 1e-9)
        })
    }

    /// The same, looked up on every machine: the slow plain way, which tests compare with.
    fn used_below_by_machine(&self, node: usize) -> Resources {
        let mut sum = Resources::default();
        for entry in self.fleet.machines.values().flat_map(|m| &m.tasks) {
            let job = self.jobs.get(&entry.task.job);
            if entry.occupies_capacity() && job.is_some_and(|j| self.is_below(j, node)) {
                sum += entry.need;
            }
        }
        sum
    }

    fn is_below(&self, job: &Job, node: usize) -> bool {
        (self.policy.teams.find(&job.spec.team))
            .is_some_and(|leaf| self.policy.teams.chain(leaf).any(|n| n == node))
    }

    /// The commands for a machine: stops, then starts, and what its worker may forget when they
    /// go out in the answer to a report. Direct calls can be late, so they never say that.
    pub fn commands(&mut self, id: &MachineId, now: Time, direct: bool) -> Vec<Command> {
        self.commands_within(id, &TeamUsage::default(), now, direct)
    }

    /// The same for one of several machines, between which nothing else happens.
    pub(crate) fn commands_within(
        &mut self,
        id: &MachineId,
        usage: &TeamUsage,
        now: Time,
        direct: bool,
    ) -> Vec<Command> {
        let Some(machine) = self.fleet.machines.get(id) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        let mut started = Vec::new();
        let leads = self.term.is_lease_valid(now);
        for entry in &machine.tasks {
            let (task, attempt) = (entry.task.clone(), entry.attempt);
            if entry.may_forget() && !direct {
                commands.push(Command::Forget { task, attempt });
            } else if let (Some(stop), true) = (entry.stop, entry.occupies_capacity()) {
                if entry.awaits_stop() {
                    commands.insert(
                        0,
                        Command::Stop {
                            task,
                            attempt,
                            grace_s: stop.grace_s,
                        },
                    );
                }
            } else if leads
                && matches!(entry.phase, Phase::Planned | Phase::Sent)
                && !(direct
                    && entry.phase == Phase::Sent
                    && entry.start_sent.0 == self.term.epoch())
                && self.may_start(machine, entry, usage, now)
            {
                commands.push(Command::Start { task, attempt });
                started.push((entry.task.clone(), attempt));
            }
        }
        let epoch = self.term.epoch();
        if let Some(machine) = self.fleet.machines.get_mut(id) {
            let incarnation = machine.last_message.0;
            for (task, attempt) in started {
                if let Some(entry) = machine.task_mut(&task, attempt) {
                    entry.phase = Phase::Sent;
                    entry.start_sent = (epoch, incarnation);
                    entry.open_direct_starts += u32::from(direct);
                }
            }
        }
        commands
    }

    /// Direct starts have ended, with or without an answer.
    pub fn direct_call_ended(&mut self, id: &MachineId, commands: &[Command], unsure: bool) {
        let Some(machine) = self.fleet.machines.get_mut(id) else {
            return;
        };
        machine.direct_call_open = false;
        for command in commands {
            if let Command::Start { task, attempt } = command {
                if let Some(entry) = machine.task_mut(task, *attempt) {
                    entry.open_direct_starts = entry.open_direct_starts.saturating_sub(1);
                    entry.start_may_arrive_late |= unsure;
                }
            }
        }
    }

    /// Whether commands are waiting that a direct call would speed up.
    pub fn needs_direct_call(&self, machine: &Machine, now: Time) -> bool {
        if machine.direct_call_open
            || machine.next_direct_call_at > now
            || !machine.is_reconciled(self.term.epoch())
        {
            return false;
        }
        machine.tasks.iter().any(|e| {
            let start = e.is_recorded() && e.phase == Phase::Planned && e.stop.is_none();
            start || e.awaits_stop()
        })
    }

    /// Whether a start of unknown outcome stands in the way and only a new epoch rules it out.
    pub fn needs_epoch_bump(&self, now: Time) -> bool {
        let stuck = |e: &PlacedTask| {
            let ended = matches!(e.phase, Phase::Exited(_))
                && e.outcome_recorded
                && e.start_may_arrive_late;
            let missing = e
                .missing_since
                .is_some_and(|since| now > since + Span(3_000));
            ended || (missing && e.stop.is_some())
        };
        now > self.term.last_epoch_bump_at() + Span(5_000)
            && (self.fleet.machines.values())
                .any(|m| m.is_reconciled(self.term.epoch()) && m.tasks.iter().any(stuck))
    }
}

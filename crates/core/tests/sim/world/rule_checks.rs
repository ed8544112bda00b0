//! Checks of the protocol's rules during a run and at its end.

use super::*;
use rudderreel_wire::ids::{TypeName, Zone};

/// The free resources of a machine.
struct Room {
    machine_type: TypeName,
    zone: Zone,
    is_spot: bool,
    free_cpus: f64,
    free_gpus: f64,
}

impl Room {
    /// Returns whether a task of a job may be started on the machine and has room there.
    fn fits_task_of(&self, spec: &JobSpec) -> bool {
        self.free_cpus >= spec.cpus
            && self.free_gpus >= spec.gpus
            && (spec.spot || !self.is_spot)
            && (spec.types.as_ref()).is_none_or(|types| types.contains(&self.machine_type))
            && spec.zone.as_ref().is_none_or(|zone| *zone == self.zone)
    }
}

impl World {
    /// Returns a text for each task that the commands start although its job is cancelled and the job's tasks must be
    /// gone by now.
    pub(super) fn late_starts(&self, commands: &[Command]) -> Vec<String> {
        let is_late = |id: &JobId| {
            let cancelled = self.cancelled_since(id);
            cancelled.is_some_and(|at| self.now > at + self.scenario.cancel_ms())
        };
        let started = commands.iter().filter_map(|command| match command {
            Command::Start { task, .. } => Some(task),
            _ => None,
        });
        started
            .filter(|task| is_late(&task.job))
            .map(|task| format!("{task} is started"))
            .collect()
    }

    /// Counts start commands that a node sends, and records those for jobs whose users were answered that the job is
    /// cancelled.
    pub(super) fn record_starts(&mut self, commands: &[Command]) {
        let starts = commands.iter();
        let starts = starts.filter(|command| matches!(command, Command::Start { .. }));
        self.start_commands += starts.count() as u32;
        self.record_starts_after_cancellation(commands);
    }

    /// Records start commands for jobs whose users were answered that the job is cancelled.
    pub(super) fn record_starts_after_cancellation(&mut self, commands: &[Command]) {
        for command in commands {
            let Command::Start { task, .. } = command else {
                continue;
            };
            if let Some(at) = self.jobs.get(&task.job).and_then(|t| t.cancelled_at) {
                let late = (task.job.clone(), self.now - at);
                self.starts_after_cancellation.push(late);
            }
        }
    }

    /// Checks that, once faults have ended, no job waits for more than 90 s while a machine that fits has room and
    /// its team is below its limit. Replicas run only within quota (docs/questions.md), so they are not
    /// checked; nor are gangs, which need room for all tasks at once.
    pub(super) fn check_waiting(&mut self) {
        let Some(faults_ended_at) = self
            .faults_ended_at
            .filter(|_| !self.scenario.crowd && !self.scenario.large)
        else {
            return;
        };
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut rooms: Vec<Room> = Vec::new();
        for agent in self.agents.values() {
            let mut room = Room {
                machine_type: agent.machine_type().clone(),
                zone: agent.zone().into(),
                is_spot: agent.is_spot(),
                free_cpus: 4.0,
                free_gpus: self.scenario.gpus_of(agent.machine_type()),
            };
            for task in agent
                .tasks
                .values()
                .filter(|t| t.state != TaskState::Exited)
            {
                let spec = &self.jobs[&task.task.job].spec;
                room.free_cpus -= spec.cpus;
                room.free_gpus -= spec.gpus;
                *used.entry(spec.team.to_string()).or_default() += spec.cpus;
            }
            rooms.push(room);
        }
        let active_tasks: BTreeMap<JobId, usize> = (self.jobs.keys())
            .map(|id| (id.clone(), self.tasks_of(id)))
            .collect();
        let (now, (red, blue)) = (self.now, self.scenario.limits);
        let ancestor_cancelled: BTreeSet<JobId> = (self.jobs.keys())
            .filter(|id| {
                self.ancestors(id)
                    .iter()
                    .any(|a| self.jobs[a].cancel_requested)
            })
            .cloned()
            .collect();
        for (id, job) in &mut self.jobs {
            let spec = &job.spec;
            let done = self.results.get(id).map_or(0, BTreeSet::len);
            let waits = job.accepted
                && job.ready_at.is_some()
                && !job.cancel_requested
                && !ancestor_cancelled.contains(id)
                && spec.kind == Kind::Array
                && done + active_tasks[id] < spec.tasks as usize;
            let limit = f64::from(if spec.team.as_str() == "red" {
                red
            } else {
                blue
            });
            let below_limit =
                used.get(spec.team.as_str()).copied().unwrap_or(0.0) + spec.cpus <= limit;
            let fits = rooms.iter().any(|room| room.fits_task_of(spec));
            if !(waits && below_limit && fits) {
                job.startable_since = None;
                continue;
            }
            let since = *job.startable_since.get_or_insert(now.max(faults_ended_at));
            assert!(now <= since + 90_000, "left waiting: {id} at {now}");
        }
    }

    /// Returns the number of tasks of a job that are on machines and have not exited.
    fn tasks_of(&self, id: &JobId) -> usize {
        let tasks = self.agents.values().flat_map(|w| w.tasks.values());
        tasks
            .filter(|t| t.task.job == *id && t.state != TaskState::Exited)
            .count()
    }

    /// Checks that no start command was sent for a task of a job after its user was answered that the job is cancelled.
    pub fn check_starts(&self) {
        let late = &self.starts_after_cancellation;
        assert!(late.is_empty(), "starts of cancelled jobs: {late:?}");
    }

    /// Checks at the end of a run that at least half of the jobs of each class and of each team have started, and that
    /// all of the largest jobs of each class started within [`MAX_START_DELAY_MS`].
    pub fn check_served(&self) {
        let jobs: Vec<&ObservedJob> = (self.jobs.values())
            .filter(|t| t.accepted && t.cancelled_at.is_none())
            .filter(|t| (t.ready_at).is_some_and(|at| self.now > at + MAX_START_DELAY_MS))
            // Replicas run only within quota, and users here submit more than that.
            .filter(|t| t.spec.kind != Kind::Service)
            .collect();
        let mut groups: BTreeMap<String, Vec<bool>> = BTreeMap::new();
        for job in &jobs {
            let (class, team) = (&job.spec.class, &job.spec.team);
            let max_tasks = (jobs.iter())
                .filter(|t| t.spec.class == *class)
                .map(|t| t.spec.tasks)
                .max();
            let begun = job.begun_at.is_some();
            groups
                .entry(format!("class {class}"))
                .or_default()
                .push(begun);
            groups
                .entry(format!("team {team}"))
                .or_default()
                .push(begun);
            if Some(job.spec.tasks) == max_tasks {
                let ready_at = job.ready_at.unwrap_or(job.added_at);
                let in_time = (job.begun_at).is_some_and(|at| at <= ready_at + MAX_START_DELAY_MS);
                assert!(
                    in_time,
                    "late: {} of {class}, {max_tasks:?} tasks",
                    job.spec.id
                );
            }
        }
        for (group, begun) in groups {
            let served = begun.iter().filter(|b| **b).count();
            assert!(served * 2 >= begun.len(), "not served: {group}");
        }
    }

    /// Returns the number of tasks of a job that wait, run or save on machines.
    pub fn on_machines(&self, id: &JobId) -> usize {
        let tasks = self.agents.values().flat_map(|w| w.tasks.values());
        tasks
            .filter(|t| t.task.job == *id && t.on_machine())
            .count()
    }

    /// Checks the rules that hold at any time.
    pub(super) fn check(&mut self) {
        self.check_pipelines();
        let mut task_counts: BTreeMap<(JobId, u32), u32> = BTreeMap::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let mut zones: BTreeMap<&JobId, BTreeMap<&str, u32>> = BTreeMap::new();
        let mut overdue: Vec<String> = Vec::new();
        for agent in self.agents.values_mut() {
            // An agent that hangs keeps its tasks only while its lease lasts.
            agent.expire(self.now, self.scenario.lease_s * 1_000);
        }
        self.starts = self
            .agents
            .values()
            .map(|w| w.starts)
            .sum::<u32>()
            .max(self.starts);
        for agent in self.agents.values() {
            for task in agent.tasks.values().filter(|t| t.on_machine()) {
                let job = &self.jobs[&task.task.job];
                *task_counts
                    .entry((task.task.job.clone(), task.task.index))
                    .or_default() += 1;
                *used.entry(job.spec.team.as_str()).or_default() += job.spec.cpus;
                let zone = zones.entry(&job.spec.id).or_default();
                *zone.entry(agent.zone()).or_default() += 1;
                let cancelled = self.cancelled_since(&task.task.job);
                if cancelled.is_some_and(|at| self.now > at + self.scenario.cancel_ms()) {
                    overdue.push(task.task.to_string());
                }
                assert!(
                    job.spec.spot || !agent.is_spot(),
                    "wrong_place: {}",
                    task.task
                );
            }
        }
        for ((job, index), n) in &task_counts {
            assert!(*n < 2, "ran_twice: {job}/{index} at {}", self.now);
        }
        let (red, blue) = self.scenario.team_limits();
        let limits = [("red", f64::from(red)), ("blue", f64::from(blue))];
        for (team, limit) in limits {
            assert!(used.get(team).is_none_or(|u| *u <= limit), "quota: {team}");
        }
        let at_limit = limits
            .iter()
            .all(|(team, limit)| used.get(team).is_some_and(|u| *u + 1.0 >= *limit));
        if at_limit && !self.scenario.crowd && !self.scenario.large {
            match self.faults_seen.last_mut() {
                Some((Fault::TeamsAtLimit, _, until)) => *until = self.now,
                _ => self
                    .faults_seen
                    .push((Fault::TeamsAtLimit, self.now, self.now)),
            }
        }
        for (job, zones) in zones {
            let spec = &self.jobs[job].spec;
            assert!(
                !spec.one_zone || zones.len() < 2,
                "wrong_place: {job} together"
            );
            assert!(
                zones.values().all(|n| *n <= spec.zone_cap()),
                "wrong_place: {job} scatter"
            );
        }
        for task in overdue {
            self.report_violation("ran_cancelled", &task);
        }
        for (id, job) in self.jobs.iter_mut().filter(|(_, t)| t.begun_at.is_none()) {
            let mut placed = task_counts.range((id.clone(), 0)..=(id.clone(), u32::MAX));
            // `update_gangs` records the start of gangs.
            if job.spec.kind != Kind::Gang && placed.next().is_some() {
                job.begun_at = Some(self.now);
            }
        }
    }
}

//! The rules, checked as the world goes and at its end.

use super::*;

impl World {
    /// Tasks that commands start although they had to be gone by now, since their jobs are cancelled.
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

    /// Notes starts of jobs whose users were told that they are cancelled.
    pub(super) fn note_starts(&mut self, commands: &[Command]) {
        for command in commands {
            if let Command::Start { task, .. } = command {
                self.start_commands += 1;
                let told = self.jobs.get(&task.job).and_then(|t| t.cancelled_at);
                if let Some(at) = told {
                    self.starts_after_cancellation
                        .push((task.job.clone(), self.now - at));
                }
            }
        }
    }

    /// Once there are no faults, no job is left waiting for 90 s while a machine that fits has room and
    /// its team is under its limit. Replicas run only within quota (docs/questions.md), so they are not
    /// looked at; nor are gangs, whose room must be there all at once.
    pub(super) fn check_waiting(&mut self) {
        let Some(faults_ended_at) = self
            .faults_ended_at
            .filter(|_| !self.scenario.crowd && !self.scenario.large)
        else {
            return;
        };
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut room: Vec<(String, bool, f64)> = Vec::new();
        for agent in self.agents.values() {
            let mut free = 4.0;
            for task in agent
                .tasks
                .values()
                .filter(|t| t.state != TaskState::Exited)
            {
                let spec = &self.jobs[&task.task.job].spec;
                free -= spec.cpus;
                *used.entry(spec.team.to_string()).or_default() += spec.cpus;
            }
            room.push((agent.zone().into(), agent.is_spot(), free));
        }
        let there: BTreeMap<JobId, usize> = (self.jobs.keys())
            .map(|id| (id.clone(), self.tasks_of(id)))
            .collect();
        let (now, (red, blue)) = (self.now, self.scenario.limits);
        let called_off: BTreeSet<JobId> = (self.jobs.keys())
            .filter(|id| {
                self.ancestors(id)
                    .iter()
                    .any(|a| self.jobs[a].cancel_requested)
            })
            .cloned()
            .collect();
        for (id, told) in &mut self.jobs {
            let spec = &told.spec;
            let done = self.results.get(id).map_or(0, BTreeSet::len);
            let waits = told.accepted
                && told.ready_at.is_some()
                && !told.cancel_requested
                && !called_off.contains(id)
                && spec.kind == Kind::Array
                && done + there[id] < spec.tasks as usize;
            let limit = f64::from(if spec.team.as_str() == "red" {
                red
            } else {
                blue
            });
            let under = used.get(spec.team.as_str()).copied().unwrap_or(0.0) + spec.cpus <= limit;
            let fits = room.iter().any(|(zone, spot, free)| {
                *free >= spec.cpus
                    && (spec.spot || !spot)
                    && spec.zone.as_ref().is_none_or(|z| z.as_str() == zone)
            });
            if !(waits && under && fits) {
                told.startable_since = None;
                continue;
            }
            let since = *told.startable_since.get_or_insert(now.max(faults_ended_at));
            assert!(now <= since + 90_000, "left waiting: {id} at {now}");
        }
    }

    /// Tasks of a job that are on machines or on their way to run there.
    fn tasks_of(&self, id: &JobId) -> usize {
        let tasks = self.agents.values().flat_map(|w| w.tasks.values());
        tasks
            .filter(|t| t.task.job == *id && t.state != TaskState::Exited)
            .count()
    }

    /// Nothing of a job is started after its user was told that it is cancelled; only a leader that can't
    /// hear of it may start one more before its own lease has ended.
    pub fn check_starts(&self) {
        let late = |(_, after): &&(JobId, u64)| *after > 3_100;
        let late: Vec<_> = self.starts_after_cancellation.iter().filter(late).collect();
        assert!(late.is_empty(), "starts of cancelled jobs: {late:?}");
    }

    /// At the end of a day: at least half of each class, of each team and of the largest jobs of
    /// each class were served, and the largest began in time.
    pub fn check_served(&self) {
        let jobs: Vec<&ObservedJob> = (self.jobs.values())
            .filter(|t| t.accepted && t.cancelled_at.is_none())
            .filter(|t| (t.ready_at).is_some_and(|at| self.now > at + BEGIN_MS))
            // Replicas run only within quota, and users here ask for more.
            .filter(|t| t.spec.kind != Kind::Service)
            .collect();
        let mut groups: BTreeMap<String, Vec<bool>> = BTreeMap::new();
        for told in &jobs {
            let (class, team) = (&told.spec.class, &told.spec.team);
            let most = (jobs.iter())
                .filter(|t| t.spec.class == *class)
                .map(|t| t.spec.tasks)
                .max();
            let begun = told.begun_at.is_some();
            groups
                .entry(format!("class {class}"))
                .or_default()
                .push(begun);
            groups
                .entry(format!("team {team}"))
                .or_default()
                .push(begun);
            if Some(told.spec.tasks) == most {
                let ready_at = told.ready_at.unwrap_or(told.asked_at);
                let in_time = (told.begun_at).is_some_and(|at| at <= ready_at + BEGIN_MS);
                assert!(in_time, "late: {} of {class}, {most:?} tasks", told.spec.id);
            }
        }
        for (group, begun) in groups {
            let served = begun.iter().filter(|b| **b).count();
            assert!(served * 2 >= begun.len(), "not served: {group}");
        }
    }

    /// How many tasks of a job are on machines.
    pub fn on_machines(&self, id: &JobId) -> usize {
        let tasks = self.agents.values().flat_map(|w| w.tasks.values());
        tasks
            .filter(|t| t.task.job == *id && t.on_machine())
            .count()
    }

    pub(super) fn check(&mut self) {
        self.check_pipelines();
        let mut places: BTreeMap<(JobId, u32), u32> = BTreeMap::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let mut zones: BTreeMap<&JobId, BTreeMap<&str, u32>> = BTreeMap::new();
        let mut left: Vec<String> = Vec::new();
        for agent in self.agents.values_mut() {
            // A machine that hangs goes on within its lease or not at all.
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
                let told = &self.jobs[&task.task.job];
                *places
                    .entry((task.task.job.clone(), task.task.index))
                    .or_default() += 1;
                *used.entry(told.spec.team.as_str()).or_default() += told.spec.cpus;
                let zone = zones.entry(&told.spec.id).or_default();
                *zone.entry(agent.zone()).or_default() += 1;
                let cancelled = self.cancelled_since(&task.task.job);
                if cancelled.is_some_and(|at| self.now > at + self.scenario.cancel_ms()) {
                    left.push(task.task.to_string());
                }
                assert!(
                    told.spec.spot || !agent.is_spot(),
                    "wrong_place: {}",
                    task.task
                );
            }
        }
        for ((job, index), n) in &places {
            assert!(*n < 2, "ran_twice: {job}/{index} at {}", self.now);
        }
        let (red, blue) = self.scenario.team_limits();
        let limits = [("red", f64::from(red)), ("blue", f64::from(blue))];
        for (team, limit) in limits {
            assert!(used.get(team).is_none_or(|u| *u <= limit), "quota: {team}");
        }
        let full = limits
            .iter()
            .all(|(team, limit)| used.get(team).is_some_and(|u| *u + 1.0 >= *limit));
        if full && !self.scenario.crowd && !self.scenario.large {
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
        for task in left {
            self.breaks("ran_cancelled", &task);
        }
        for (id, told) in self.jobs.iter_mut().filter(|(_, t)| t.begun_at.is_none()) {
            let mut here = places.range((id.clone(), 0)..=(id.clone(), u32::MAX));
            // Of gangs, `gangs` knows.
            if told.spec.kind != Kind::Gang && here.next().is_some() {
                told.begun_at = Some(self.now);
            }
        }
    }
}

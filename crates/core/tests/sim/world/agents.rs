//! Agents on their machines: status reports, direct commands, and gangs whose tasks connect to each other.

use super::*;

/// Time after which the sender of commands gives up.
const UNANSWERED_AFTER_MS: u64 = 800;
/// Largest request body that the protocol allows.
const MAX_REPORT_BYTES: usize = 64 * 1_024;

impl World {
    /// Starts gangs whose tasks all wait, and records for each running task that another task of its gang is
    /// missing. The tasks of a gang belong together by their attempt.
    pub(super) fn update_gangs(&mut self) {
        let mut gangs: BTreeMap<(JobId, Attempt), (u32, u32, u32)> = BTreeMap::new();
        for task in self.agents.values().flat_map(|w| w.tasks.values()) {
            if let Some(tasks) = task.gang.filter(|_| task.state != TaskState::Exited) {
                let gang = (task.task.job.clone(), task.attempt);
                let (total, waiting, running) = gangs.entry(gang).or_default();
                *total = tasks;
                *waiting += u32::from(task.state == TaskState::Waiting);
                *running += u32::from(task.state == TaskState::Running);
            }
        }
        let now = self.now;
        for task in self.agents.values_mut().flat_map(|w| w.tasks.values_mut()) {
            let gang = (task.task.job.clone(), task.attempt);
            let Some((total, waiting, running)) = gangs.get(&gang).filter(|_| task.gang.is_some())
            else {
                continue;
            };
            if waiting == total && task.state == TaskState::Waiting {
                task.state = TaskState::Running;
                task.since = now;
                if let Some(job) = self.jobs.get_mut(&gang.0) {
                    job.begun_at.get_or_insert(now);
                }
            }
            if task.state == TaskState::Running && running < total && waiting != total {
                task.gang_broken_since.get_or_insert(now);
            }
        }
    }

    /// Reports to the sender of commands that their outcome is unknown.
    fn direct_unanswered(
        &mut self,
        node: usize,
        generation: u32,
        id: MachineId,
        body: DirectCommands,
    ) {
        let input = Input::Direct {
            machine: id,
            commands: body,
            outcome: DirectOutcome::Unknown,
        };
        self.schedule(UNANSWERED_AFTER_MS, Event::Input(node, generation, input));
    }

    /// Delivers a direct call to an agent; `late` marks commands whose sender has given up.
    pub(super) fn direct(
        &mut self,
        node: usize,
        generation: u32,
        id: MachineId,
        body: DirectCommands,
        late: bool,
    ) {
        let zone = (self.agents.get(&id)).map_or("", |w| w.zone()).to_string();
        let partitioned = self.partitioned(&zone, zone_of(node));
        let cut = partitioned || self.now < self.nodes[node].cut_from_agents_until;
        let unreachable = (self.agents.get(&id)).is_some_and(|w| w.unreachable_until > self.now);
        if unreachable && !late {
            return self.direct_unanswered(node, generation, id, body);
        }
        let hangs_until = (self.agents.get(&id)).map_or(0, |w| w.hangs_until);
        if hangs_until > self.now {
            // The commands are carried out when the agent resumes; the sender has given up by then.
            let held = Event::Direct(node, u32::MAX, id.clone(), body.clone(), true);
            self.schedule(hangs_until - self.now, held);
            return self.direct_unanswered(node, generation, id, body);
        }
        let Some(agent) = self.agents.get_mut(&id) else {
            return self.direct_unanswered(node, generation, id, body);
        };
        if !late
            && (cut
                || self.random_faults
                    && (agent.partitioned_until > self.now || self.rng.random_bool(0.02)))
        {
            // The commands are delayed and carried out later; the sender has given up by then.
            let delay = self.rng.random_range(1_000..9_000);
            let held = Event::Direct(node, u32::MAX, id.clone(), body.clone(), true);
            self.schedule(delay, held);
            return self.direct_unanswered(node, generation, id, body);
        }
        agent.expire(self.now, self.scenario.lease_s * 1_000);
        let done = body.token >= agent.token && body.incarnation == agent.incarnation;
        if done {
            agent.token = body.token;
            let effective: Vec<Command> = (body.commands.iter())
                .filter(|command| agent.has_effect(command))
                .cloned()
                .collect();
            let late = self.late_starts(&effective);
            for task in late {
                self.report_violation("ran_cancelled", &task);
            }
        }
        let Some(agent) = self.agents.get_mut(&id) else {
            return;
        };
        if done {
            for command in &body.commands {
                agent.execute(command, &self.jobs, self.now);
            }
        }
        let report = Box::new(agent.report());
        if done && generation != u32::MAX {
            self.call_executed(node, &id, &body);
        }
        let outcome = if done {
            DirectOutcome::Executed(report)
        } else {
            DirectOutcome::Rejected(Some(report))
        };
        let message_delay = self.message_delay();
        self.schedule(
            message_delay,
            Event::Input(
                node,
                generation,
                Input::Direct {
                    machine: id,
                    commands: body,
                    outcome,
                },
            ),
        );
    }

    /// Adds the agents of machines that have booted, and removes those of returned machines.
    pub(super) fn boot_machines(&mut self) {
        for (id, scale_out) in self.cloud.take_booted(self.now) {
            let agent = SimulatedAgent::new(
                id.clone(),
                scale_out,
                self.scenario.gang_wait_s * 1_000,
                self.now,
            );
            self.agents.insert(id.clone(), agent);
            self.schedule(10, Event::StatusReport(id));
        }
        for id in self.cloud.take_returned() {
            self.agents.remove(&id);
        }
    }

    /// Sends an agent's report and schedules its next one.
    pub(super) fn send_report(&mut self, id: &MachineId) {
        self.boot_machines();
        let next = self.rng.random_range(700.0..1_200.0) * self.scenario.report_s;
        let next = next as u64;
        let generation = self
            .agents
            .get(id)
            .map(|w| w.node)
            .map(|n| self.nodes[n].generation);
        let reports_to = self.agents.get(id).map(|agent| agent.node);
        let unanswered =
            reports_to.is_some_and(|node| self.pause_outlasts(node, pauses::REPORT_TIMEOUT_MS));
        let nodes = self.scenario.nodes;
        let zone = (self.agents.get(id)).map_or("", |w| w.zone()).to_string();
        let partitioned: Vec<bool> = (0..nodes)
            .map(|n| self.partitioned(&zone, zone_of(n)))
            .collect();
        let results = &mut self.results;
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        if agent.hangs_until > self.now {
            let until = agent.hangs_until;
            return self.schedule(until - self.now, Event::StatusReport(id.clone()));
        }
        agent.expire(self.now, self.scenario.lease_s * 1_000);
        let completed = agent.advance_tasks(self.now, results);
        let node = agent.node;
        let report = agent.report();
        let incarnation = agent.incarnation.0;
        if self.scenario.scripted {
            let bytes = serde_json::to_string(&report).expect("JSON").len();
            assert!(bytes <= MAX_REPORT_BYTES, "a report of {bytes} bytes");
            self.longest_report_bytes = self.longest_report_bytes.max(bytes);
        }
        let cut = partitioned[node]
            || agent.partitioned_until > self.now
            || self.nodes[node].cut_from_agents_until > self.now;
        let unable_to_report = agent.unable_to_report_until > self.now;
        let unreachable = agent.unreachable_until > self.now;
        let next = if unreachable || unanswered {
            5_000
        } else {
            next
        };
        if unreachable {
            // No answer reaches the agent, so it tries one node after the other.
            agent.node = (node + 1) % nodes;
        }
        self.schedule(next, Event::StatusReport(id.clone()));
        if completed {
            self.jobs_ended();
        }
        if cut || unable_to_report || self.nodes[node].process.is_none() {
            if let Some(agent) = self.agents.get_mut(id) {
                agent.node = (node + 1) % self.scenario.nodes;
            }
            return;
        }
        if unanswered {
            // The report arrives, but the agent gives up and switches to the next node.
            let req = self.new_request(node, Requester::Nobody);
            if let Some(agent) = self.agents.get_mut(id) {
                agent.node = (node + 1) % self.scenario.nodes;
            }
            return self.step(node, Input::StatusReport(req, Box::new(report)));
        }
        let sent = self.now;
        let req = self.new_request(
            node,
            Requester::Agent(id.clone(), sent | (incarnation << 48)),
        );
        let late = self.random_faults && self.rng.random_bool(0.02);
        let message_delay = if late {
            self.rng.random_range(2_000..9_000)
        } else {
            self.message_delay()
        };
        if self.random_faults && self.rng.random_bool(0.03) {
            let delay = self.rng.random_range(2_000..40_000);
            self.schedule(delay, Event::LateReport(node, Box::new(report.clone())));
        }
        if self.now < self.late_reports_until && self.rng.random_bool(0.4) {
            let delay = self.rng.random_range(2_000..30_000);
            let to = self.rng.random_range(0..nodes);
            self.schedule(delay, Event::LateReport(to, Box::new(report.clone())));
        }
        if self.now < self.hold_reports_until && self.held_reports.len() < 200 {
            self.held_reports.push(report.clone());
        }
        let input = Input::StatusReport(req, Box::new(report));
        self.schedule(
            message_delay,
            Event::Input(node, generation.unwrap_or(0), input),
        );
    }

    pub(super) fn report_answered(
        &mut self,
        id: &MachineId,
        incarnation: u64,
        sent: u64,
        status: u16,
        body: &str,
    ) {
        let now = self.now;
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        if agent.unreachable_until > now || agent.hangs_until > now {
            return;
        }
        agent.expire(now, self.scenario.lease_s * 1_000);
        if now > sent + 4_000 || agent.incarnation.0 != incarnation {
            return;
        }
        match status {
            200 => {
                let reply: StatusReportReply = serde_json::from_str(body).expect("a reply");
                if reply.token < agent.token {
                    return;
                }
                agent.token = reply.token;
                agent.lease_start = agent.lease_start.max(sent);
                for command in &reply.commands {
                    agent.execute(command, &self.jobs, now);
                }
                self.copy_forgotten_starts(&reply.commands);
            }
            421 => {
                let to: ReportRedirect = serde_json::from_str(body).expect("a reply");
                let to = to.report_to;
                let found =
                    (0..self.scenario.nodes).find(|i| Some(&self.settings[*i].node) == to.as_ref());
                agent.node = found.unwrap_or((agent.node + 1) % self.scenario.nodes);
            }
            _ => agent.node = (agent.node + 1) % self.scenario.nodes,
        }
    }

    /// Delivers a report to a node; returns the status of the answer.
    pub fn inject_report(&mut self, node: usize, report: StatusReport) -> u16 {
        self.admin_answer = None;
        let req = self.new_request(node, Requester::Admin);
        self.step(node, Input::StatusReport(req, Box::new(report)));
        self.run_until(self.now + 1_500);
        self.admin_answer.take().expect("an answer").0
    }

    /// Returns a machine with tasks on it, if there is one.
    pub fn busy_machine(&self) -> Option<MachineId> {
        let busy = |w: &&SimulatedAgent| w.tasks.values().any(super::agent::Task::on_machine);
        (self.agents.iter().find(|(_, w)| busy(w))).map(|(id, _)| id.clone())
    }
}

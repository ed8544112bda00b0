//! Agents on their machines: status reports, direct commands, and gangs whose tasks find one another.

use super::*;

/// After so long the sender of commands gives up.
const UNANSWERED_AFTER_MS: u64 = 800;

impl World {
    /// The tasks of a gang find one another by their attempt: they start together, and notice when
    /// one of them is gone.
    pub(super) fn update_gangs(&mut self) {
        let mut there: BTreeMap<(JobId, Attempt), (u32, u32, u32)> = BTreeMap::new();
        for task in self.agents.values().flat_map(|w| w.tasks.values()) {
            if let Some(tasks) = task.gang.filter(|_| task.state != TaskState::Exited) {
                let gang = (task.task.job.clone(), task.attempt);
                let (of, waiting, running) = there.entry(gang).or_default();
                *of = tasks;
                *waiting += u32::from(task.state == TaskState::Waiting);
                *running += u32::from(task.state == TaskState::Running);
            }
        }
        let now = self.now;
        for task in self.agents.values_mut().flat_map(|w| w.tasks.values_mut()) {
            let gang = (task.task.job.clone(), task.attempt);
            let Some((of, waiting, running)) = there.get(&gang).filter(|_| task.gang.is_some())
            else {
                continue;
            };
            if waiting == of && task.state == TaskState::Waiting {
                task.state = TaskState::Running;
                task.since = now;
                if let Some(told) = self.jobs.get_mut(&gang.0) {
                    told.begun_at.get_or_insert(now);
                }
            }
            if task.state == TaskState::Running && running < of && waiting != of {
                task.broken.get_or_insert(now);
            }
        }
    }

    /// The sender gets no answer to its commands.
    fn direct_unanswered(&mut self, node: usize, life: u32, id: MachineId, body: DirectCommands) {
        let input = Input::Direct {
            machine: id,
            commands: body,
            outcome: DirectOutcome::Unknown,
        };
        self.after(UNANSWERED_AFTER_MS, Event::Input(node, life, input));
    }

    pub(super) fn direct(
        &mut self,
        node: usize,
        life: u32,
        id: MachineId,
        body: DirectCommands,
        late: bool,
    ) {
        let zone = (self.agents.get(&id)).map_or("", |w| w.zone()).to_string();
        let apart = self.apart(&zone, zone_of(node));
        let cut = apart || self.now < self.nodes[node].cut_from_agents_until;
        let deaf = (self.agents.get(&id)).is_some_and(|w| w.unreachable_until > self.now);
        if deaf && !late {
            return self.direct_unanswered(node, life, id, body);
        }
        let hung = (self.agents.get(&id)).map_or(0, |w| w.hangs_until);
        if hung > self.now {
            // Carried out when it goes on; the sender has given up by then.
            let held = Event::Direct(node, u32::MAX, id.clone(), body.clone(), true);
            self.after(hung - self.now, held);
            return self.direct_unanswered(node, life, id, body);
        }
        let Some(agent) = self.agents.get_mut(&id) else {
            return self.direct_unanswered(node, life, id, body);
        };
        if !late
            && (cut
                || self.random_faults
                    && (agent.partitioned_until > self.now || self.rng.random_bool(0.02)))
        {
            // Held back, and carried out later; the sender has given up by then.
            let delay = self.rng.random_range(1_000..9_000);
            let held = Event::Direct(node, u32::MAX, id.clone(), body.clone(), true);
            self.after(delay, held);
            return self.direct_unanswered(node, life, id, body);
        }
        agent.expire(self.now, self.scenario.lease_s * 1_000);
        let done = body.token >= agent.token && body.incarnation == agent.incarnation;
        if done {
            agent.token = body.token;
            let late = self.late_starts(&body.commands);
            for task in late {
                self.breaks("ran_cancelled", &task);
            }
        }
        let Some(agent) = self.agents.get_mut(&id) else {
            return;
        };
        if done {
            for command in &body.commands {
                agent.obey(command, &self.jobs, self.now);
            }
        }
        let report = Box::new(agent.report());
        let outcome = if done {
            DirectOutcome::Executed(report)
        } else {
            DirectOutcome::Rejected(Some(report))
        };
        let hop = self.hop();
        self.after(
            hop,
            Event::Input(
                node,
                life,
                Input::Direct {
                    machine: id,
                    commands: body,
                    outcome,
                },
            ),
        );
    }

    pub(super) fn boot_machines(&mut self) {
        for (id, offer) in self.cloud.take_booted(self.now) {
            let agent = SimulatedAgent::new(
                id.clone(),
                offer,
                self.scenario.gang_wait_s * 1_000,
                self.now,
            );
            self.agents.insert(id.clone(), agent);
            self.after(10, Event::StatusReport(id));
        }
        for id in self.cloud.take_returned() {
            self.agents.remove(&id);
        }
    }

    pub(super) fn send_report(&mut self, id: &MachineId) {
        self.boot_machines();
        let next = self.rng.random_range(700.0..1_200.0) * self.scenario.report_s;
        let next = next as u64;
        let life = self
            .agents
            .get(id)
            .map(|w| w.node)
            .map(|n| self.nodes[n].life);
        let reports_to = self.agents.get(id).map(|agent| agent.node);
        let unanswered =
            reports_to.is_some_and(|node| self.outlasts(node, pauses::REPORT_TIMEOUT_MS));
        let nodes = self.scenario.nodes;
        let zone = (self.agents.get(id)).map_or("", |w| w.zone()).to_string();
        let apart: Vec<bool> = (0..nodes).map(|n| self.apart(&zone, zone_of(n))).collect();
        let results = &mut self.results;
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        if agent.hangs_until > self.now {
            let until = agent.hangs_until;
            return self.after(until - self.now, Event::StatusReport(id.clone()));
        }
        agent.expire(self.now, self.scenario.lease_s * 1_000);
        let completed = agent.work(self.now, results);
        let node = agent.node;
        let report = agent.report();
        let incarnation = agent.incarnation.0;
        let cut = apart[node]
            || agent.partitioned_until > self.now
            || self.nodes[node].cut_from_agents_until > self.now;
        let mute = agent.unable_to_report_until > self.now;
        let deaf = agent.unreachable_until > self.now;
        let next = if deaf || unanswered { 5_000 } else { next };
        if deaf {
            // No answer reaches it, so it tries one node after the other.
            agent.node = (node + 1) % nodes;
        }
        self.after(next, Event::StatusReport(id.clone()));
        if completed {
            self.jobs_ended();
        }
        if cut || mute || self.nodes[node].process.is_none() {
            if let Some(agent) = self.agents.get_mut(id) {
                agent.node = (node + 1) % self.scenario.nodes;
            }
            return;
        }
        if unanswered {
            // It arrives, but the agent gives up and turns to the next node.
            let req = self.ask(node, Requester::Nobody);
            if let Some(agent) = self.agents.get_mut(id) {
                agent.node = (node + 1) % self.scenario.nodes;
            }
            return self.step(node, Input::StatusReport(req, Box::new(report)));
        }
        let sent = self.now;
        let req = self.ask(
            node,
            Requester::Agent(id.clone(), sent | (incarnation << 48)),
        );
        let late = self.random_faults && self.rng.random_bool(0.02);
        let hop = if late {
            self.rng.random_range(2_000..9_000)
        } else {
            self.hop()
        };
        if self.random_faults && self.rng.random_bool(0.03) {
            let delay = self.rng.random_range(2_000..40_000);
            self.after(delay, Event::LateReport(node, Box::new(report.clone())));
        }
        if self.now < self.late_reports_until && self.rng.random_bool(0.4) {
            let delay = self.rng.random_range(2_000..30_000);
            let to = self.rng.random_range(0..nodes);
            self.after(delay, Event::LateReport(to, Box::new(report.clone())));
        }
        if self.now < self.hold_reports_until && self.held_reports.len() < 200 {
            self.held_reports.push(report.clone());
        }
        let input = Input::StatusReport(req, Box::new(report));
        self.after(hop, Event::Input(node, life.unwrap_or(0), input));
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
                agent.answered = agent.answered.max(sent);
                for command in &reply.commands {
                    agent.obey(command, &self.jobs, now);
                }
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

    /// A report that reaches a node, and the status of its answer.
    pub fn inject_report(&mut self, node: usize, report: StatusReport) -> u16 {
        self.admin_answer = None;
        let req = self.ask(node, Requester::Admin);
        self.step(node, Input::StatusReport(req, Box::new(report)));
        self.run_until(self.now + 1_500);
        self.admin_answer.take().expect("an answer").0
    }

    /// A machine that holds tasks, if there is one.
    pub fn busy_machine(&self) -> Option<MachineId> {
        let busy = |w: &&SimulatedAgent| w.tasks.values().any(super::agent::Task::on_machine);
        (self.agents.iter().find(|(_, w)| busy(w))).map(|(id, _)| id.clone())
    }
}

//! Copies of messages that were carried out and answered, and that arrive once more. Nobody waits for the answer to a
//! copy.

use super::peer_messages::forwarded_input;
use super::*;
use rudderreel_core::{CloudCall, StoreCall};
use rudderreel_wire::peer::Heartbeat;
use std::collections::VecDeque;
use std::ops::Range;

/// Number of executed calls that are kept of a machine; older ones are copied no more.
const KEPT_CALLS_PER_MACHINE: usize = 500;
/// Ages at which a call is copied, in milliseconds: from a fraction of a second to minutes.
const COPY_AGES_MS: [Range<u64>; 3] = [20..1_000, 1_000..10_000, 10_000..180_000];
/// Delays after an event that may make a copy harmful, in milliseconds.
const DELAY_AFTER_EVENT_MS: Range<u64> = 1..600;
/// Probability with which each message is copied at a random age.
const COPY_PROBABILITY: f64 = 0.05;
/// Probability with which the start of an attempt is copied after an event that may make the copy harmful.
const COPY_PROBABILITY_AFTER_EVENT: f64 = 0.5;
/// Probability with which the report in the answer to a copied call arrives at a node, as a late report does.
const ANSWER_ARRIVES_PROBABILITY: f64 = 0.3;

/// A message that arrives once more.
pub(super) enum CopiedMessage {
    /// A direct call of a node to an agent.
    DirectCall(usize, MachineId, DirectCommands),
    Cloud(CloudCall),
    Store(StoreCall),
    Heartbeat(usize, Heartbeat),
    Forward(usize, Forward),
    ForwardedReports(usize, ForwardedReports),
    Cancellations(usize, ReplicateCancellations),
    UserAction(usize, JobId, UserAction),
}

/// A direct call that an agent has carried out and answered.
#[derive(Clone)]
struct ExecutedCall {
    node: usize,
    body: DirectCommands,
}

impl ExecutedCall {
    fn starts(&self, is_meant: impl Fn(&TaskId, Attempt) -> bool) -> bool {
        (self.body.commands.iter()).any(|command| match command {
            Command::Start { task, attempt } => is_meant(task, *attempt),
            Command::Stop { .. } | Command::Forget { .. } => false,
        })
    }
}

/// The executed calls of all machines, and what became of their copies.
#[derive(Default)]
pub struct CopiedCalls {
    executed: BTreeMap<MachineId, VecDeque<ExecutedCall>>,
    /// Number of copied calls that have reached an agent.
    pub arrived: u32,
    /// Tasks that were started by a copied call.
    pub started: Vec<TaskId>,
}

impl World {
    /// Returns whether messages are copied at random now.
    pub(super) fn copies_messages(&self) -> bool {
        self.scenario.copied_messages && self.random_faults
    }

    fn keeps_executed_calls(&self) -> bool {
        self.scenario.copied_messages || self.scenario.scripted
    }

    /// Records a call that an agent has carried out, and may copy it at a random age.
    pub(super) fn call_executed(&mut self, node: usize, id: &MachineId, body: &DirectCommands) {
        if !self.keeps_executed_calls() || body.commands.is_empty() {
            return;
        }
        let body = body.clone();
        let calls = self.copied_calls.executed.entry(id.clone()).or_default();
        calls.push_back(ExecutedCall {
            node,
            body: body.clone(),
        });
        if calls.len() > KEPT_CALLS_PER_MACHINE {
            calls.pop_front();
        }
        self.copy_at_random_age(CopiedMessage::DirectCall(node, id.clone(), body));
    }

    /// Copies a message at a random age with [`COPY_PROBABILITY`], while messages are copied at random.
    pub(super) fn copy_at_random_age(&mut self, message: CopiedMessage) {
        if !self.copies_messages() || !self.rng.random_bool(COPY_PROBABILITY) {
            return;
        }
        let ages = COPY_AGES_MS[self.rng.random_range(0..COPY_AGES_MS.len())].clone();
        let age = self.rng.random_range(ages);
        self.schedule(age, Event::Copy(Box::new(message)));
    }

    /// May copy the calls with starts for which `is_meant` holds, shortly after an event that may make them harmful.
    fn copy_starts_after_event(&mut self, is_meant: impl Fn(&TaskId, Attempt) -> bool) {
        if !self.copies_messages() {
            return;
        }
        for (machine, call) in self.executed_starts(is_meant) {
            if self.rng.random_bool(COPY_PROBABILITY_AFTER_EVENT) {
                let delay = self.rng.random_range(DELAY_AFTER_EVENT_MS);
                let copy = CopiedMessage::DirectCall(call.node, machine, call.body);
                self.schedule(delay, Event::Copy(Box::new(copy)));
            }
        }
    }

    fn executed_starts(
        &self,
        is_meant: impl Fn(&TaskId, Attempt) -> bool,
    ) -> Vec<(MachineId, ExecutedCall)> {
        (self.copied_calls.executed.iter())
            .flat_map(|(machine, calls)| calls.iter().map(move |call| (machine, call)))
            .filter(|(_, call)| call.starts(&is_meant))
            .map(|(machine, call)| (machine.clone(), call.clone()))
            .collect()
    }

    /// May copy the starts of the attempts that an agent was told to forget. Also refused starts are forgotten.
    pub(super) fn copy_forgotten_starts(&mut self, commands: &[Command]) {
        for command in commands {
            if let Command::Forget { task, attempt } = command {
                self.copy_starts_after_event(|started, of| started == task && of == *attempt);
            }
        }
    }

    /// May copy the starts of a job whose user has just been told that it is cancelled or done.
    pub(super) fn copy_starts_of_job(&mut self, id: &JobId) {
        self.copy_starts_after_event(|task, _| task.job == *id);
    }

    /// May copy all starts: a node or machine has just restarted, or another node leads.
    pub(super) fn copy_all_starts(&mut self) {
        self.copy_starts_after_event(|_, _| true);
    }

    /// Lets all calls that have started tasks of a job arrive once more, now. Returns how many there are.
    pub fn deliver_copies_of_starts(&mut self, id: &JobId) -> usize {
        let calls = self.executed_starts(|task, _| task.job == *id);
        let count = calls.len();
        for (machine, call) in calls {
            self.deliver_copied_call(call.node, machine, call.body);
        }
        count
    }

    /// Makes agents start the tasks of a job once more that they were told to start by calls, whatever token the calls
    /// had.
    pub fn force_starts_once_more(&mut self, id: &JobId) {
        for (machine, call) in self.executed_starts(|task, _| task.job == *id) {
            let Some(agent) = self.agents.get_mut(&machine) else {
                continue;
            };
            for command in &call.body.commands {
                agent.execute(command, &self.jobs, self.now);
            }
        }
    }

    /// Delivers a message once more.
    pub(super) fn deliver_copy(&mut self, message: CopiedMessage) {
        match message {
            CopiedMessage::DirectCall(node, machine, body) => {
                self.deliver_copied_call(node, machine, body)
            }
            CopiedMessage::Cloud(call) => {
                self.cloud.call(&call, self.now);
                self.boot_machines();
            }
            CopiedMessage::Store(call) => {
                self.store.call(&call, self.now);
            }
            CopiedMessage::Heartbeat(to, heartbeat) => {
                self.deliver_to_node(to, |req| Input::Heartbeat(req, heartbeat))
            }
            CopiedMessage::Forward(to, forward) => {
                self.deliver_to_node(to, |req| forwarded_input(req, forward))
            }
            CopiedMessage::ForwardedReports(to, reports) => {
                self.deliver_to_node(to, |req| Input::ForwardedReports(req, reports))
            }
            CopiedMessage::Cancellations(to, cancellations) => {
                self.deliver_to_node(to, |req| Input::ReplicateCancellations(req, cancellations))
            }
            CopiedMessage::UserAction(node, id, action) => {
                let request = self.user_request(&id, action);
                self.deliver_to_node(node, |req| Input::User(req, request))
            }
        }
    }

    fn deliver_to_node(&mut self, node: usize, input: impl FnOnce(ReqId) -> Input) {
        if self.nodes[node].process.is_some() {
            let req = self.new_request(node, Requester::Nobody);
            self.step(node, input(req));
        }
    }

    fn deliver_copied_call(&mut self, node: usize, id: MachineId, body: DirectCommands) {
        let known_before: BTreeSet<(TaskId, Attempt)> = (self.agents.get(&id))
            .map(|agent| agent.tasks.keys().cloned().collect())
            .unwrap_or_default();
        self.direct(node, u32::MAX, id.clone(), body, true);
        let Some(agent) = self.agents.get_mut(&id) else {
            return;
        };
        self.copied_calls.arrived += 1;
        let started = (agent.tasks.iter())
            .filter(|(key, task)| !known_before.contains(key) && task.state != TaskState::Exited);
        self.copied_calls
            .started
            .extend(started.map(|((task, _), _)| task.clone()));
        let answer = agent.report();
        if self.copies_messages() && self.rng.random_bool(ANSWER_ARRIVES_PROBABILITY) {
            let delay = self.message_delay();
            self.schedule(delay, Event::LateReport(node, Box::new(answer)));
        }
    }

    /// Checks that no copied call has started a task.
    pub fn check_copied_calls(&self) {
        assert_eq!(
            self.copied_calls.started,
            vec![],
            "tasks were started by copies of calls"
        );
    }
}

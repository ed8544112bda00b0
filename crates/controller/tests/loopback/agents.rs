//! Agents on loopback, by the protocol: incarnations, leases, tokens and commands, without images.

use crate::history::{Change, Event, History};
use rudderreel_core::Value;
use rudderreel_wire::cloud::ScaleOutRequest;
use rudderreel_wire::ids::{Attempt, Epoch, Incarnation, JobId, MachineId, Seq, TaskId};
use rudderreel_wire::job::JobSpec;
use rudderreel_wire::worker::{
    Cause, Command, DirectCommands, StatusReport, StatusReportReply, TaskState, TaskStatus,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tiny_http::{Response, Server};
use ureq::Agent;

/// Interval of reports, and how long a lease lasts.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
pub const AGENT_LEASE: Duration = Duration::from_secs(6);
/// How long an agent waits for an answer, and before it tries another node.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const NEXT_NODE_PAUSE: Duration = Duration::from_millis(300);
/// How often it looks for tasks that are over.
const TASK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What all agents share.
pub struct Shared {
    pub history: History,
    /// What users have submitted.
    pub jobs: Mutex<BTreeMap<JobId, JobSpec>>,
    /// Where the controllers take reports, by their names.
    pub controllers: Mutex<Vec<(String, SocketAddr)>>,
    /// How long tasks run.
    pub run: Duration,
}

/// A task on a machine.
struct Task {
    state: TaskState,
    why: Option<Cause>,
    until: Instant,
}

/// What an agent knows.
struct Memory {
    incarnation: Incarnation,
    seq: u64,
    token: Epoch,
    /// When the last answered report was sent.
    answered: Instant,
    tasks: BTreeMap<(TaskId, Attempt), Task>,
}

/// An agent, which runs on threads of its own until its machine is gone.
pub struct LoopbackAgent {
    id: MachineId,
    rent: ScaleOutRequest,
    addr: SocketAddr,
    shared: Arc<Shared>,
    memory: Mutex<Memory>,
    gone: AtomicBool,
}

impl LoopbackAgent {
    /// Starts one.
    pub fn start(id: MachineId, rent: ScaleOutRequest, shared: Arc<Shared>) -> Arc<Self> {
        let server = Server::http("127.0.0.1:0").expect("it listens");
        let addr = server.server_addr().to_ip().expect("an address");
        let memory = Memory {
            incarnation: Incarnation(1),
            seq: 0,
            token: Epoch(0),
            answered: Instant::now(),
            tasks: BTreeMap::new(),
        };
        let agent = Arc::new(Self {
            id,
            rent,
            addr,
            shared,
            memory: Mutex::new(memory),
            gone: AtomicBool::new(false),
        });
        let (commanded, reporting) = (agent.clone(), agent.clone());
        std::thread::spawn(move || commanded.take_commands(&server));
        std::thread::spawn(move || reporting.report_for_ever());
        agent
    }

    /// Its machine is gone, and everything on it.
    pub fn end(&self) {
        let mut memory = self.current();
        self.gone.store(true, Ordering::SeqCst);
        self.clear(&mut memory, Instant::now());
    }

    fn is_gone(&self) -> bool {
        self.gone.load(Ordering::SeqCst)
    }

    /// What it knows, once what is over by now has ended: tasks that have run for long enough, and all of
    /// them if the lease has run out. Each ends at its time, however late that is looked at.
    fn current(&self) -> MutexGuard<'_, Memory> {
        let mut memory = self.memory.lock().expect("the memory");
        let now = Instant::now();
        let lease_end = memory.answered + AGENT_LEASE;
        let over = now.min(lease_end);
        let ended: Vec<TaskId> = (memory.tasks.iter_mut())
            .filter(|(_, task)| task.state == TaskState::Running)
            .filter(|(_, task)| task.until <= over)
            .map(|((id, _), task)| {
                (task.state, task.why) = (TaskState::Exited, Some(Cause::Done));
                id.clone()
            })
            .collect();
        for id in ended {
            self.note(Change::Ended, &id, over);
        }
        if now > lease_end && !self.is_gone() {
            self.clear(&mut memory, lease_end);
            memory.incarnation.0 += 1;
            memory.answered = now;
        }
        memory
    }

    fn clear(&self, memory: &mut Memory, at: Instant) {
        for ((id, _), task) in std::mem::take(&mut memory.tasks) {
            if task.state != TaskState::Exited {
                self.note(Change::Ended, &id, at);
            }
        }
    }

    fn note(&self, change: Change, task: &TaskId, at: Instant) {
        let jobs = self.shared.jobs.lock().expect("the jobs");
        let spec = &jobs[&task.job];
        self.shared.history.note(Event {
            at,
            change,
            machine: self.id.to_string(),
            team: spec.team.to_string(),
            task: task.to_string(),
            cpus: spec.cpus,
        });
    }

    fn report(&self, memory: &mut Memory) -> StatusReport {
        memory.seq += 1;
        let listed = |((task, attempt), at): (&(TaskId, Attempt), &Task)| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: at.state,
            cause: at.why,
            saved: None,
        };
        StatusReport {
            machine: self.id.clone(),
            addr: self.addr.to_string(),
            machine_type: self.rent.machine_type.clone(),
            zone: self.rent.zone.clone(),
            spot: self.rent.spot,
            incarnation: memory.incarnation,
            seq: Seq(memory.seq),
            token: memory.token,
            reclaim_in_s: None,
            tasks: memory.tasks.iter().map(listed).collect(),
        }
    }

    fn obey(&self, memory: &mut Memory, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start_task(memory, task, *attempt),
                Command::Stop { task, attempt, .. } => {
                    let key = (task.clone(), *attempt);
                    let Some(at) = memory.tasks.get_mut(&key) else {
                        continue;
                    };
                    if at.state != TaskState::Exited {
                        (at.state, at.why) = (TaskState::Exited, Some(Cause::Stopped));
                        self.note(Change::Ended, task, Instant::now());
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    let exited = |task: &Task| task.state == TaskState::Exited;
                    if memory.tasks.get(&key).is_some_and(exited) {
                        memory.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn start_task(&self, memory: &mut Memory, task: &TaskId, attempt: Attempt) {
        let key = (task.clone(), attempt);
        if memory.tasks.contains_key(&key) {
            return;
        }
        let now = Instant::now();
        let begun = Task {
            state: TaskState::Running,
            why: None,
            until: now + self.shared.run,
        };
        memory.tasks.insert(key, begun);
        self.note(Change::Began, task, now);
    }

    /// Answers direct commands.
    fn take_commands(&self, server: &Server) {
        while !self.is_gone() {
            let Ok(Some(mut request)) = server.recv_timeout(TASK_POLL_INTERVAL) else {
                drop(self.current());
                continue;
            };
            let mut body = String::new();
            if request.as_reader().read_to_string(&mut body).is_err() {
                continue;
            }
            let direct: DirectCommands = serde_json::from_str(&body).expect("commands");
            let mut memory = self.current();
            let meant = direct.token >= memory.token && direct.incarnation == memory.incarnation;
            if meant && !self.is_gone() {
                memory.token = direct.token;
                self.obey(&mut memory, &direct.commands);
            }
            let report = serde_json::to_string(&self.report(&mut memory)).expect("JSON");
            drop(memory);
            let status = if meant { 200 } else { 409 };
            let _ = request.respond(Response::from_string(report).with_status_code(status));
        }
    }

    /// Reports to one controller after the other, as the answers say.
    fn report_for_ever(&self) {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(ANSWER_TIMEOUT))
            .build()
            .into();
        let mut node = 0;
        while !self.is_gone() {
            let controllers = self.shared.controllers.lock().expect("controllers").clone();
            let (_, addr) = &controllers[node % controllers.len()];
            match self.report_once(&agent, *addr) {
                Outcome::Answered => std::thread::sleep(REPORT_INTERVAL),
                Outcome::Elsewhere(name) => {
                    let named = (controllers.iter()).position(|(n, _)| Some(n) == name.as_ref());
                    let other = named.filter(|at| *at != node % controllers.len());
                    if other.is_none() {
                        std::thread::sleep(NEXT_NODE_PAUSE);
                    }
                    node = other.unwrap_or(node + 1);
                }
            }
        }
    }

    fn report_once(&self, agent: &Agent, addr: SocketAddr) -> Outcome {
        let (text, incarnation, sent) = {
            let mut memory = self.current();
            let report = self.report(&mut memory);
            let text = serde_json::to_string(&report).expect("JSON");
            (text, memory.incarnation, Instant::now())
        };
        let url = format!("http://{addr}/v1/report");
        let Ok(mut response) = agent.post(&url).send(text.as_bytes()) else {
            return Outcome::Elsewhere(None);
        };
        let status = response.status().as_u16();
        let Ok(body) = response.body_mut().read_to_string() else {
            return Outcome::Elsewhere(None);
        };
        if status != 200 {
            let value: Value = serde_json::from_str(&body).unwrap_or_default();
            let name = value["harbour"].as_str().map(str::to_string);
            return Outcome::Elsewhere(name.filter(|_| status == 421));
        }
        let reply: StatusReportReply = serde_json::from_str(&body).expect("a reply");
        let mut memory = self.current();
        let meant = reply.token >= memory.token && incarnation == memory.incarnation;
        if meant && sent.elapsed() < ANSWER_TIMEOUT && !self.is_gone() {
            memory.token = reply.token;
            memory.answered = memory.answered.max(sent);
            self.obey(&mut memory, &reply.commands);
        }
        Outcome::Answered
    }
}

/// How a report was answered.
enum Outcome {
    Answered,
    /// By another node, perhaps one that was named.
    Elsewhere(Option<String>),
}

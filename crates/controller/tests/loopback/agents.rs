//! Stand-ins for agents on loopback. They follow the protocol with its incarnations, leases, fencing tokens and
//! commands, but fetch no images.

use crate::history::{Change, Event, History};
use rudderreel_core::Value;
use rudderreel_wire::cloud::ScaleOutRequest;
use rudderreel_wire::ids::{Attempt, FencingToken, Incarnation, JobId, MachineId, Seq, TaskId};
use rudderreel_wire::job::JobSpec;
use rudderreel_wire::worker::{
    Cause, Command, DirectCommands, StatusReport, StatusReportReply, TaskState, TaskStatus,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tiny_http::{Response, Server};
use ureq::Agent;

/// Interval between status reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Duration of an agent's lease.
pub const AGENT_LEASE: Duration = Duration::from_secs(6);
/// Time that an agent waits for the answer to a report.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before an agent tries the next node, if no other node was named.
const NEXT_NODE_PAUSE: Duration = Duration::from_millis(300);
/// Interval at which an agent checks for tasks that have ended.
const TASK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State that all agents of a test share.
pub struct Shared {
    pub history: History,
    /// Jobs that the users of the test submit.
    pub jobs: Mutex<BTreeMap<JobId, JobSpec>>,
    /// Names of the controllers, and their addresses for status reports.
    pub controllers: Mutex<Vec<(String, SocketAddr)>>,
    /// Time that each task runs.
    pub task_duration: Duration,
    pub copied_calls: CopiedCalls,
}

/// Copies of direct calls that an agent had carried out and answered. Each arrives once more as soon as the agent has
/// forgotten an attempt that the call started.
#[derive(Default)]
pub struct CopiedCalls {
    /// Number of copies that have arrived.
    pub arrived: AtomicUsize,
    /// Number of tasks that were started by copies.
    pub started: AtomicUsize,
}

/// A task on a machine.
struct Task {
    state: TaskState,
    cause: Option<Cause>,
    ends_at: Instant,
}

/// State of an agent that its threads share.
struct AgentState {
    incarnation: Incarnation,
    seq: u64,
    token: FencingToken,
    /// Start of the lease: when the last answered report was sent, or when the incarnation began if no report has been
    /// answered since.
    lease_start: Instant,
    tasks: BTreeMap<(TaskId, Attempt), Task>,
    /// Direct calls with starts of tasks that the agent has not forgotten yet.
    executed_calls: Vec<DirectCommands>,
}

/// An agent, which runs on its own threads until its machine is terminated.
pub struct LoopbackAgent {
    id: MachineId,
    scale_out: ScaleOutRequest,
    addr: SocketAddr,
    shared: Arc<Shared>,
    state: Mutex<AgentState>,
    terminated: AtomicBool,
}

impl LoopbackAgent {
    /// Starts an agent on a machine that has booted.
    pub fn start(id: MachineId, scale_out: ScaleOutRequest, shared: Arc<Shared>) -> Arc<Self> {
        let server = Server::http("127.0.0.1:0").expect("the agent listens");
        let addr = server.server_addr().to_ip().expect("an address");
        let state = AgentState {
            incarnation: Incarnation(1),
            seq: 0,
            token: FencingToken(0),
            lease_start: Instant::now(),
            tasks: BTreeMap::new(),
            executed_calls: Vec::new(),
        };
        let agent = Arc::new(Self {
            id,
            scale_out,
            addr,
            shared,
            state: Mutex::new(state),
            terminated: AtomicBool::new(false),
        });
        let (commanded, reporting) = (agent.clone(), agent.clone());
        std::thread::spawn(move || commanded.serve_commands(&server));
        std::thread::spawn(move || reporting.report_loop());
        agent
    }

    /// Terminates the agent's machine; every task on it ends now.
    pub fn terminate(&self) {
        let mut state = self.lock_state();
        self.terminated.store(true, Ordering::SeqCst);
        self.end_all_tasks(&mut state, Instant::now());
    }

    fn is_terminated(&self) -> bool {
        self.terminated.load(Ordering::SeqCst)
    }

    /// Locks the agent's state and ends the tasks that must have ended: those that have run for their time, and all of
    /// them if the lease has expired. No task ends later than the lease, however late the state is locked.
    fn lock_state(&self) -> MutexGuard<'_, AgentState> {
        let mut state = self.state.lock().expect("the agent's state");
        let now = Instant::now();
        let lease_end = state.lease_start + AGENT_LEASE;
        let end_limit = now.min(lease_end);
        let ended: Vec<TaskId> = (state.tasks.iter_mut())
            .filter(|(_, task)| task.state == TaskState::Running)
            .filter(|(_, task)| task.ends_at <= end_limit)
            .map(|((id, _), task)| {
                (task.state, task.cause) = (TaskState::Exited, Some(Cause::Done));
                id.clone()
            })
            .collect();
        for id in ended {
            self.record(Change::Ended, &id, end_limit);
        }
        if now > lease_end && !self.is_terminated() {
            self.end_all_tasks(&mut state, lease_end);
            state.incarnation.0 += 1;
            state.lease_start = now;
        }
        state
    }

    fn end_all_tasks(&self, state: &mut AgentState, at: Instant) {
        for ((id, _), task) in std::mem::take(&mut state.tasks) {
            if task.state != TaskState::Exited {
                self.record(Change::Ended, &id, at);
            }
        }
    }

    fn record(&self, change: Change, task: &TaskId, at: Instant) {
        let jobs = self.shared.jobs.lock().expect("the jobs");
        let spec = &jobs[&task.job];
        self.shared.history.record(Event {
            at,
            change,
            machine: self.id.to_string(),
            team: spec.team.to_string(),
            task: task.to_string(),
            cpus: spec.cpus,
        });
    }

    fn report(&self, state: &mut AgentState) -> StatusReport {
        state.seq += 1;
        let status = |((id, attempt), task): (&(TaskId, Attempt), &Task)| TaskStatus {
            task: id.clone(),
            attempt: *attempt,
            state: task.state,
            cause: task.cause,
            saved: None,
        };
        StatusReport {
            machine: self.id.clone(),
            addr: self.addr.to_string(),
            machine_type: self.scale_out.machine_type.clone(),
            zone: self.scale_out.zone.clone(),
            spot: self.scale_out.spot,
            incarnation: state.incarnation,
            seq: Seq(state.seq),
            token: state.token,
            reclaim_in_s: None,
            tasks: state.tasks.iter().map(status).collect(),
        }
    }

    fn apply_commands(&self, state: &mut AgentState, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start_task(state, task, *attempt),
                Command::Stop { task, attempt, .. } => {
                    let key = (task.clone(), *attempt);
                    let Some(stopped) = state.tasks.get_mut(&key) else {
                        continue;
                    };
                    if stopped.state != TaskState::Exited {
                        (stopped.state, stopped.cause) = (TaskState::Exited, Some(Cause::Stopped));
                        self.record(Change::Ended, task, Instant::now());
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    let exited = |task: &Task| task.state == TaskState::Exited;
                    if state.tasks.get(&key).is_some_and(exited) {
                        state.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn start_task(&self, state: &mut AgentState, task: &TaskId, attempt: Attempt) {
        let key = (task.clone(), attempt);
        if state.tasks.contains_key(&key) {
            return;
        }
        let now = Instant::now();
        let started = Task {
            state: TaskState::Running,
            cause: None,
            ends_at: now + self.shared.task_duration,
        };
        state.tasks.insert(key, started);
        self.record(Change::Started, task, now);
    }

    /// Carries out a direct call if its token and incarnation match. Returns whether they do.
    fn carry_out(&self, state: &mut AgentState, direct: &DirectCommands) -> bool {
        let accepted = direct.token >= state.token && direct.incarnation == state.incarnation;
        if accepted && !self.is_terminated() {
            state.token = direct.token;
            self.apply_commands(state, &direct.commands);
        }
        accepted
    }

    /// Lets the calls that have started forgotten tasks arrive once more.
    fn copy_calls_of_forgotten_tasks(&self, state: &mut AgentState, commands: &[Command]) {
        let is_forgotten = |command: &Command| {
            let is_forget = |other: &&Command| matches!(other, Command::Forget { .. });
            matches!(command, Command::Start { .. })
                && (commands.iter().filter(is_forget))
                    .any(|forget| forget.subject() == command.subject())
        };
        let (copied, kept) = (std::mem::take(&mut state.executed_calls).into_iter())
            .partition(|call: &DirectCommands| call.commands.iter().any(is_forgotten));
        state.executed_calls = kept;
        for call in copied {
            let tasks_before = state.tasks.len();
            self.carry_out(state, &call);
            let started = state.tasks.len().saturating_sub(tasks_before);
            let copies = &self.shared.copied_calls;
            copies.arrived.fetch_add(1, Ordering::SeqCst);
            copies.started.fetch_add(started, Ordering::SeqCst);
        }
    }

    /// Carries out and answers the commands that are sent to the agent's own address, until the machine is terminated.
    fn serve_commands(&self, server: &Server) {
        while !self.is_terminated() {
            let Ok(Some(mut request)) = server.recv_timeout(TASK_POLL_INTERVAL) else {
                drop(self.lock_state());
                continue;
            };
            let mut body = String::new();
            if request.as_reader().read_to_string(&mut body).is_err() {
                continue;
            }
            let direct: DirectCommands = serde_json::from_str(&body).expect("commands");
            let mut state = self.lock_state();
            let accepted = self.carry_out(&mut state, &direct);
            if accepted {
                state.executed_calls.push(direct);
            }
            let report = serde_json::to_string(&self.report(&mut state)).expect("JSON");
            drop(state);
            let status = if accepted { 200 } else { 409 };
            let _ = request.respond(Response::from_string(report).with_status_code(status));
        }
    }

    /// Sends status reports until the machine is terminated: to the same controller while it answers them, otherwise to
    /// the controller that it names or to the next one.
    fn report_loop(&self) {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(ANSWER_TIMEOUT))
            .build()
            .into();
        let mut node = 0;
        while !self.is_terminated() {
            let controllers = self.shared.controllers.lock().expect("controllers").clone();
            let (_, addr) = &controllers[node % controllers.len()];
            match self.report_once(&agent, *addr) {
                ReportOutcome::Answered => std::thread::sleep(REPORT_INTERVAL),
                ReportOutcome::TryAnotherNode(name) => {
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

    fn report_once(&self, agent: &Agent, addr: SocketAddr) -> ReportOutcome {
        let (text, incarnation, sent) = {
            let mut state = self.lock_state();
            let report = self.report(&mut state);
            let text = serde_json::to_string(&report).expect("JSON");
            (text, state.incarnation, Instant::now())
        };
        let url = format!("http://{addr}/v1/report");
        let Ok(mut response) = agent.post(&url).send(text.as_bytes()) else {
            return ReportOutcome::TryAnotherNode(None);
        };
        let status = response.status().as_u16();
        let Ok(body) = response.body_mut().read_to_string() else {
            return ReportOutcome::TryAnotherNode(None);
        };
        if status != 200 {
            let value: Value = serde_json::from_str(&body).unwrap_or_default();
            let name = value["harbour"].as_str().map(str::to_string);
            return ReportOutcome::TryAnotherNode(name.filter(|_| status == 421));
        }
        let reply: StatusReportReply = serde_json::from_str(&body).expect("a reply");
        let mut state = self.lock_state();
        let accepted = reply.token >= state.token && incarnation == state.incarnation;
        if accepted && sent.elapsed() < ANSWER_TIMEOUT && !self.is_terminated() {
            state.token = reply.token;
            state.lease_start = state.lease_start.max(sent);
            self.apply_commands(&mut state, &reply.commands);
            self.copy_calls_of_forgotten_tasks(&mut state, &reply.commands);
        }
        ReportOutcome::Answered
    }
}

/// Outcome of a status report.
enum ReportOutcome {
    Answered,
    /// There was no answer with status 200. The agent tries the controller that was named, if any, or the next one.
    TryAnotherNode(Option<String>),
}

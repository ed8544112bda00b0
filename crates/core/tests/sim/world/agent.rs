//! A stand-in for an agent that follows the protocol: incarnations, leases, tokens and commands.

use super::ObservedJob;
use rudderreel_wire::cloud::ScaleOutRequest;
use rudderreel_wire::ids::{
    Attempt, FencingToken, Incarnation, JobId, MachineId, Seq, TaskId, TypeName,
};
use rudderreel_wire::job::Kind;
use rudderreel_wire::worker::{Cause, Command, StatusReport, TaskState, TaskStatus};
use std::collections::{BTreeMap, BTreeSet};

/// A task on a machine.
pub struct Task {
    pub task: TaskId,
    pub attempt: Attempt,
    pub state: TaskState,
    cause: Option<Cause>,
    /// When the task entered its state; an exit does not change it.
    pub since: u64,
    service: bool,
    /// Number of tasks of the task's gang, if it belongs to one.
    pub gang: Option<u32>,
    run_ms: u64,
    /// Time since which another task of its gang has been missing.
    pub gang_broken_since: Option<u64>,
}

impl Task {
    /// Returns whether the task is waiting, running or saving.
    pub fn on_machine(&self) -> bool {
        matches!(
            self.state,
            TaskState::Running | TaskState::Saving | TaskState::Waiting
        )
    }

    /// Ends the task with a cause.
    pub fn exit(&mut self, cause: Cause) {
        self.state = TaskState::Exited;
        self.cause = Some(cause);
    }
}

/// A simulated agent and the tasks on its machine.
pub struct SimulatedAgent {
    gang_wait_ms: u64,
    id: MachineId,
    scale_out: ScaleOutRequest,
    pub incarnation: Incarnation,
    seq: u64,
    /// Highest fencing token in an answer or a command that the agent has accepted.
    pub token: FencingToken,
    /// Start of the lease: when the latest answered report was sent, or when the agent was created or its lease
    /// expired if no report has been answered since.
    pub lease_start: u64,
    pub tasks: BTreeMap<(TaskId, Attempt), Task>,
    /// Node to which the agent reports.
    pub node: usize,
    pub partitioned_until: u64,
    /// End of the fault in which the agent's reports arrive, but nothing reaches the agent.
    pub unreachable_until: u64,
    /// End of the fault in which the agent's reports reach no node, but commands reach the agent.
    pub unable_to_report_until: u64,
    /// End of the fault in which the agent does nothing, and after which it resumes.
    pub hangs_until: u64,
    /// Number of tasks that the agent has started.
    pub starts: u32,
}

/// Time that a task takes to fetch its image.
const FETCH_MS: u64 = 500;
/// Time after which a running task exits once another task of its gang is missing.
const GANG_PEER_MS: u64 = 2_000;

impl SimulatedAgent {
    /// Creates an agent whose tasks of gangs wait `gang_wait_ms` for the rest of their gang.
    pub fn new(id: MachineId, scale_out: ScaleOutRequest, gang_wait_ms: u64, now: u64) -> Self {
        Self {
            gang_wait_ms,
            id,
            scale_out,
            incarnation: Incarnation(1),
            seq: 0,
            token: FencingToken(0),
            lease_start: now,
            tasks: BTreeMap::new(),
            node: 0,
            partitioned_until: 0,
            unreachable_until: 0,
            unable_to_report_until: 0,
            hangs_until: 0,
            starts: 0,
        }
    }

    pub fn machine_type(&self) -> &TypeName {
        &self.scale_out.machine_type
    }

    pub fn zone(&self) -> &str {
        self.scale_out.zone.as_str()
    }

    pub fn is_spot(&self) -> bool {
        self.scale_out.spot
    }

    /// Restarts the agent at once under the same machine id, in its next incarnation and without tasks.
    pub fn reboot(&mut self) {
        self.tasks.clear();
        self.incarnation.0 += 1;
    }

    /// Continues with higher sequence numbers, as if the agent had sent as many messages.
    pub fn skip_sequence_numbers(&mut self, count: u64) {
        self.seq += count;
    }

    /// Restarts the agent at once under the same machine id, without tasks and as if its machine was new: it has lost its
    /// incarnation, its sequence number and the token that it had seen.
    pub fn lose_counters(&mut self, now: u64) {
        self.tasks.clear();
        self.incarnation = Incarnation(1);
        self.seq = 0;
        self.token = FencingToken(0);
        self.lease_start = now;
    }

    /// Ends all tasks and begins the next incarnation if the lease, counted from the last answered report, has
    /// expired.
    pub fn expire(&mut self, now: u64, lease: u64) {
        if now > self.lease_start + lease {
            self.reboot();
            self.lease_start = now;
        }
    }

    /// Returns the agent's next status report.
    pub fn report(&mut self) -> StatusReport {
        self.seq += 1;
        StatusReport {
            machine: self.id.clone(),
            addr: "10.2.0.1:1".into(),
            machine_type: self.scale_out.machine_type.clone(),
            zone: self.scale_out.zone.clone(),
            spot: self.scale_out.spot,
            incarnation: self.incarnation,
            seq: Seq(self.seq),
            token: self.token,
            reclaim_in_s: None,
            tasks: (self.tasks.values())
                .map(|t| TaskStatus {
                    task: t.task.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    cause: t.cause,
                    saved: None,
                })
                .collect(),
        }
    }

    /// Advances all tasks to the time `now`; returns whether any has completed.
    pub fn advance_tasks(
        &mut self,
        now: u64,
        results: &mut BTreeMap<JobId, BTreeSet<u32>>,
    ) -> bool {
        let mut completed = false;
        for task in self.tasks.values_mut() {
            if task.state == TaskState::Fetching && now > task.since + FETCH_MS {
                task.state = match task.gang {
                    Some(_) => TaskState::Waiting,
                    None => TaskState::Running,
                };
                task.since = now;
            } else if task.state == TaskState::Waiting && now > task.since + self.gang_wait_ms {
                task.exit(Cause::Alone);
            } else if task
                .gang_broken_since
                .is_some_and(|since| now > since + GANG_PEER_MS)
            {
                if task.state == TaskState::Running {
                    task.exit(Cause::Peers);
                }
            } else if task.state == TaskState::Running
                && !task.service
                && now > task.since + task.run_ms
            {
                task.exit(Cause::Done);
                completed = true;
                let done = results.entry(task.task.job.clone()).or_default();
                // A gang completes together: if one task is done, so are all.
                match task.gang {
                    Some(tasks) => done.extend(0..tasks),
                    None => done.extend([task.task.index]),
                }
            }
        }
        completed
    }

    /// Returns whether a command has any effect. A start has none if the agent knows the attempt in any state.
    pub fn has_effect(&self, command: &Command) -> bool {
        let (task, attempt) = command.subject();
        let is_known = self.tasks.contains_key(&(task.clone(), attempt));
        is_known != matches!(command, Command::Start { .. })
    }

    /// Carries out a command.
    pub fn execute(&mut self, command: &Command, jobs: &BTreeMap<JobId, ObservedJob>, now: u64) {
        match command {
            Command::Start { task, attempt } => {
                let key = (task.clone(), *attempt);
                if self.tasks.contains_key(&key) {
                    return;
                }
                let job = &jobs[&task.job];
                let used_cpus: f64 = (self.tasks.values())
                    .filter(|t| t.state != TaskState::Exited)
                    .map(|t| jobs[&t.task.job].spec.cpus)
                    .sum();
                let has_room = used_cpus + job.spec.cpus <= 4.0;
                let is_busy =
                    (self.tasks.values()).any(|t| t.task == *task && t.state != TaskState::Exited);
                let refusal = if is_busy {
                    Some(Cause::Busy)
                } else {
                    (!has_room).then_some(Cause::NoRoom)
                };
                self.starts += u32::from(refusal.is_none());
                let new = Task {
                    task: task.clone(),
                    attempt: *attempt,
                    state: if refusal.is_none() {
                        TaskState::Fetching
                    } else {
                        TaskState::Exited
                    },
                    cause: refusal,
                    since: now,
                    service: job.spec.kind == Kind::Service,
                    gang_broken_since: None,
                    run_ms: job.run_ms.0 + job.run_ms.1 * u64::from(task.index),
                    gang: (job.spec.kind == Kind::Gang).then_some(job.spec.tasks),
                };
                self.tasks.insert(key, new);
            }
            Command::Stop { task, attempt, .. } => {
                if let Some(task) = self.tasks.get_mut(&(task.clone(), *attempt)) {
                    if task.state != TaskState::Exited {
                        task.exit(Cause::Stopped);
                    }
                }
            }
            Command::Forget { task, attempt } => {
                let key = (task.clone(), *attempt);
                if self
                    .tasks
                    .get(&key)
                    .is_some_and(|t| t.state == TaskState::Exited)
                {
                    self.tasks.remove(&key);
                }
            }
        }
    }
}

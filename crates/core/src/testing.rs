//! Fixtures for unit tests: a node, a small leader, machines, jobs and status reports.

use crate::fleet::{Machine, MachineDescription, Phase, PlacedTask};
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::leadership::election::ElectionWin;
use crate::leadership::fencing_tokens::TokenRange;
use crate::node::Node;
use crate::store::confirmation::CacheConfirmation;
use crate::store::records::LeaderKey;
use crate::teams::team_tree::TeamTree;
use crate::units::{Now, Time, Wall};
use rudderreel_wire::ids::{
    Attempt, FencingToken, Incarnation, LeaseId, MachineId, Seq, TaskId, Version,
};
use rudderreel_wire::settings::Settings;
use rudderreel_wire::worker::{StatusReport, TaskState, TaskStatus};

/// Time at which tests begin.
pub const NOW: Now = Now {
    time: Time(1_000_000),
    wall: Wall(1_000_000),
};

const SETTINGS: &str = r#"
node = "n0"
domain = "z"
front = "10.0.0.1:1"
peer_bind = "10.0.0.1:2"
[outside]
cloud = "10.1.0.1:1"
state = "10.1.0.2:1"
[params]
nodes = 1
[[params.teams]]
name = "red"
cpus = 100.0
[[params.teams]]
name = "blue"
cpus = 100.0
[[params.objectives]]
kind = "wait"
class = "standing"
within_s = 1.0
[params.workers]
report_s = 1.0
lease_s = 6.0
gang_wait_s = 10.0
gang_peer_s = 2.0
cancel_s = 20.0
[params.state]
rps = 100.0
write_rps = 50.0
value_kb = 16.0
txn_ops = 8
[params.cloud]
rps = 5.0
list_lag_s = 3.0
"#;

/// Returns the settings of a deployment with a single node.
pub fn settings() -> Settings {
    Settings::parse(SETTINGS).expect("settings")
}

/// Returns the node of a deployment with a single node.
pub fn node() -> Node {
    Node::new(settings())
}

/// Returns the fencing tokens from `first` to `last`.
pub fn token_range(first: u64, last: u64) -> TokenRange {
    TokenRange {
        first: FencingToken(first),
        last: FencingToken(last),
    }
}

/// Returns a leader with two teams, one machine type of 4 CPUs in two zones, and nothing else.
pub fn leader() -> Leader {
    let settings = Settings::parse(SETTINGS).expect("settings");
    let tree = TeamTree::from_limits(&settings.params.teams);
    let win = ElectionWin {
        tokens: token_range(1, 100),
        lease: LeaseId(1),
        lease_sent: NOW.time,
        key: LeaderKey::Common,
        version: Version(1),
    };
    let mut leader = Leader::new(&settings, tree, win, NOW.time);
    leader.recovery.complete();
    let mut cache = CacheConfirmation::default();
    cache.confirm(Version(1), NOW.time);
    leader.term.cache_confirmed(cache);
    let catalog = serde_json::json!({"hulls": [{"label": "m4", "vcpus": 4.0, "gpus": 0.0,
        "memoryGb": 16.0, "cacheGb": 50.0, "fetchGbPerS": 1.0, "rate": 1.0,
        "marketPrice": 0.3, "startupS": 40.0, "berths": ["a", "b"]}]});
    leader.set_catalog(serde_json::from_value(catalog).expect("a catalog"));
    leader
}

/// Adds a machine whose agent has just reported, and returns its id.
pub fn add_live_machine(leader: &mut Leader, id: &str, zone: &str) -> MachineId {
    let machine_capacity = leader.policy.capacity_of(&"m4".into());
    let mut machine = Machine::new(MachineDescription {
        id: id.into(),
        machine_type: "m4".into(),
        zone: zone.into(),
        is_spot: false,
        capacity: machine_capacity,
        known_since: NOW.wall,
    });
    machine.last_heard_at = Some(NOW.time);
    machine.acknowledged_token = leader.term.tokens().first;
    machine.addr = Some("10.0.0.1:1".into());
    let id = machine.id.clone();
    leader.fleet.machines.insert(id.clone(), machine);
    id
}

/// Returns a job of four tasks of one CPU each.
pub fn job(n: u32, kind: &str, team: &str, priority: &str) -> Job {
    job_of(n, kind, team, priority, 4, 1.0)
}

/// Returns a job of `tasks` tasks of `cpus` CPUs each.
pub fn job_of(n: u32, kind: &str, team: &str, priority: &str, tasks: u32, cpus: f64) -> Job {
    let spec = serde_json::json!({
        "id": format!("wk-{n}"), "reel": kind, "crew": team, "rig": kind,
        "precedence": priority, "takes": tasks, "vcpus": cpus, "gpus": 0.0, "memoryGb": 1.0,
        "pressing": format!("img-{n}"), "pullGb": 5.0, "hulls": null, "berth": null,
        "together": kind == "gang", "scatter": false, "driftwood": true, "expectedS": 4.0,
        "snapshotS": 0.0, "stowS": 0.0, "dueS": null});
    let spec = serde_json::from_value(spec).expect("a job");
    Job::new(spec, Version(1), NOW.wall)
}

/// Adds a task of a job that has been running on a machine for a long time.
pub fn add_running_task(leader: &mut Leader, job: &Job, index: u32, machine: &MachineId) {
    if !leader.jobs.contains(&job.spec.id) {
        leader.jobs.insert(job.spec.id.clone(), job.clone());
    }
    let job = leader.jobs.get_mut(&job.spec.id).expect("a job");
    let attempt = Attempt(1);
    job.place(index, machine, attempt);
    job.has_started = true;
    let task = job.spec.id.task(index);
    let mut placed_task = PlacedTask::planned(task, attempt, Some(job.spec.clone()), Time(1));
    placed_task.phase = Phase::On(TaskState::Running);
    placed_task.running_since = Some(Time(1));
    if let Some(machine) = leader.fleet.machines.get_mut(machine) {
        machine.tasks.push(placed_task);
    }
}

/// Returns a status report of a machine on which one task is running.
pub fn running_task_report(
    machine: &MachineId,
    token: FencingToken,
    seq: Seq,
    task: &TaskId,
    attempt: Attempt,
) -> StatusReport {
    StatusReport {
        machine: machine.clone(),
        addr: "10.0.0.1:1".into(),
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: false,
        incarnation: Incarnation(1),
        seq,
        token,
        reclaim_in_s: None,
        tasks: vec![TaskStatus {
            task: task.clone(),
            attempt,
            state: TaskState::Running,
            cause: None,
            saved: None,
        }],
    }
}

//! Tests of team limits with several controllers, which are paused, killed, or refused by the store.
//!
//! Three controllers receive a burst of submissions at once. The check is of what the agents ran: at no instant may a
//! team's tasks use more than its limit, and no task may run on two machines.

use crate::agents::{CopiedCalls, Shared};
use crate::controller::{start_all, Controller, Deployment};
use crate::history::{check, CheckedHistory, History};
use crate::stand_ins::ExternalServices;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rudderreel_core::Value;
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::JobSpec;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use ureq::Agent;

/// Number of controllers in a run.
const CONTROLLERS: usize = 3;
/// Number of machines in a run, with four CPUs each.
const MACHINES: usize = 10;
/// Number of jobs that are submitted in a run.
const JOBS: u32 = 40;
/// Teams and their CPU limits. The submissions request several times as many CPUs.
const TEAMS: [(&str, f64); 2] = [("red", 10.0), ("blue", 14.0)];
/// Time that a task runs.
const TASK_DURATION: Duration = Duration::from_millis(700);
/// Number of faults in a run.
const FAULTS: usize = 3;
/// Pause before each fault, in ms.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 300..1_500;
/// Duration of a controller's pause, in ms. Some pauses are longer than the leader's lease, others are not.
const CONTROLLER_PAUSE_MS: std::ops::Range<u64> = 500..6_000;
/// Duration for which the store refuses a controller, in ms.
const STORE_REFUSAL_MS: std::ops::Range<u64> = 500..5_000;
/// Pause between two requests of a user.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which a run ends at the latest: users stop waiting for their jobs then.
const RUN_TIMEOUT: Duration = Duration::from_secs(120);

/// A user, who submits a job and queries it until it is done.
struct User {
    agent: Agent,
    public_addresses: Vec<SocketAddr>,
}

impl User {
    fn new(public_addresses: Vec<SocketAddr>) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(2)))
            .build()
            .into();
        Self {
            agent,
            public_addresses,
        }
    }

    /// Returns the HTTP status of an answer and the job's state in it, if there was an answer.
    fn read_reply(
        &self,
        result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Option<(u16, String)> {
        let mut response = result.ok()?;
        let status = response.status().as_u16();
        let body = response.body_mut().read_to_string().ok()?;
        let value: Value = serde_json::from_str(&body).unwrap_or_default();
        let state = value["bearing"].as_str().unwrap_or_default();
        Some((status, state.to_string()))
    }

    fn submit(&self, controller: usize, spec: &JobSpec) -> Option<(u16, String)> {
        let url = format!(
            "http://{}/v1/jobs",
            self.public_addresses[controller % self.public_addresses.len()]
        );
        let text = serde_json::to_string(spec).expect("JSON");
        self.read_reply(self.agent.post(&url).send(text.as_bytes()))
    }

    fn query_job(&self, controller: usize, id: &JobId) -> Option<(u16, String)> {
        let public_address = self.public_addresses[controller % self.public_addresses.len()];
        self.read_reply(
            self.agent
                .get(format!("http://{public_address}/v1/jobs/{id}"))
                .call(),
        )
    }

    /// Submits a job until it is accepted, and queries it until it is done. Returns how long that took, or nothing if
    /// the job was not done by the deadline.
    fn submit_and_wait(
        &self,
        first_controller: usize,
        spec: &JobSpec,
        deadline: Instant,
    ) -> Option<Duration> {
        let begun = Instant::now();
        let mut controller = first_controller;
        while !matches!(self.submit(controller, spec), Some((200 | 201, _))) {
            if Instant::now() > deadline {
                return None;
            }
            controller += 1;
            std::thread::sleep(POLL_INTERVAL);
        }
        let mut done = None;
        while Instant::now() < deadline {
            let reply = self.query_job(controller, &spec.id);
            controller += 1;
            match reply {
                Some((200, state)) if state == "done" => {
                    // From now on every controller must answer that the job is done.
                    let took = *done.get_or_insert_with(|| begun.elapsed());
                    if controller >= first_controller + 2 * self.public_addresses.len() {
                        return Some(took);
                    }
                }
                Some((200, state)) => {
                    assert!(
                        done.is_none(),
                        "job {} was done, but went back to {state}",
                        spec.id
                    );
                    std::thread::sleep(POLL_INTERVAL);
                }
                Some((404, _)) => panic!("job {} was accepted, but is unknown", spec.id),
                _ => std::thread::sleep(POLL_INTERVAL),
            }
        }
        done
    }
}

fn spec(n: u32, rng: &mut StdRng) -> JobSpec {
    let value = serde_json::json!({
        "id": format!("wk-{n:06}"), "reel": "sweep", "crew": TEAMS[n as usize % 2].0, "rig": "sweep",
        "precedence": "normal", "takes": rng.random_range(1..5), "vcpus": f64::from(rng.random_range(1..3)),
        "gpus": 0.0, "memoryGb": 0.5, "pressing": "img-0", "pullGb": 0.1, "hulls": null, "berth": null,
        "together": false, "scatter": false, "driftwood": true, "expectedS": TASK_DURATION.as_secs_f64(),
        "snapshotS": 0.0, "stowS": 0.0, "dueS": null});
    serde_json::from_value(value).expect("a job")
}

/// Result of a run.
struct RunResult {
    checked: CheckedHistory,
    /// Number of jobs that were not done by the deadline.
    unfinished: usize,
    /// Time from the first submission of a job until it is done, in ms.
    done_ms: Histogram<u64>,
    /// Number of controllers that led at some moment at which the test read the leader.
    leaders: usize,
    /// Number of copies of direct calls that reached agents after they had forgotten a task that the call started.
    copied_calls: usize,
    /// Number of tasks that such copies started.
    started_by_copies: usize,
}

/// Injects one fault: the leader or any controller is paused, is killed and restarted, or is refused by the store.
fn inject_fault(rng: &mut StdRng, controllers: &mut [Controller], services: &ExternalServices) {
    let leader = services.leader();
    let leader_index = controllers
        .iter()
        .position(|c| Some(&c.name) == leader.as_ref());
    let any = rng.random_range(0..controllers.len());
    let at = leader_index.filter(|_| rng.random_bool(0.7)).unwrap_or(any);
    match rng.random_range(0..3) {
        0 => {
            controllers[at].pause();
            sleep_ms(rng.random_range(CONTROLLER_PAUSE_MS));
            controllers[at].resume();
        }
        1 => controllers[at].restart(),
        _ => {
            services.set_store_refusal(at, true);
            sleep_ms(rng.random_range(STORE_REFUSAL_MS));
            services.set_store_refusal(at, false);
        }
    }
}

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Runs a burst of submissions with a number of faults, all drawn from a seed.
fn run_seed(seed: u64, faults: usize) -> RunResult {
    let mut rng = StdRng::seed_from_u64(seed);
    let specs: Vec<JobSpec> = (0..JOBS).map(|n| spec(n, &mut rng)).collect();
    let jobs = specs.iter().map(|s| (s.id.clone(), s.clone())).collect();
    let shared = Arc::new(Shared {
        history: History::default(),
        jobs: Mutex::new(jobs),
        controllers: Mutex::default(),
        task_duration: TASK_DURATION,
        copied_calls: CopiedCalls::default(),
    });
    let services = ExternalServices::start(CONTROLLERS, MACHINES, shared.clone());
    let deployment = Deployment {
        controllers: CONTROLLERS,
        sockets: 400,
        teams: TEAMS.to_vec(),
    };
    let mut controllers = start_all(&deployment, &services);
    let public_addresses: Vec<SocketAddr> = controllers.iter().map(|c| c.public_address).collect();
    let named = controllers
        .iter()
        .map(|c| (c.name.clone(), c.public_address));
    *shared.controllers.lock().expect("controllers") = named.collect();
    let deadline = Instant::now() + RUN_TIMEOUT;
    let users: Vec<_> = (specs.into_iter().enumerate())
        .map(|(n, spec)| {
            let user = User::new(public_addresses.clone());
            std::thread::spawn(move || user.submit_and_wait(n, &spec, deadline))
        })
        .collect();
    let mut leaders = std::collections::BTreeSet::new();
    for _ in 0..faults {
        sleep_ms(rng.random_range(FAULT_PAUSE_MS));
        leaders.extend(services.leader());
        inject_fault(&mut rng, &mut controllers, &services);
    }
    let took: Vec<Option<Duration>> = (users.into_iter())
        .map(|user| user.join().expect("no answer broke the users' rules"))
        .collect();
    leaders.extend(services.leader());
    drop(controllers);
    let mut done_ms = Histogram::new_with_bounds(1, 600_000, 3).expect("a histogram");
    for took in took.iter().flatten() {
        done_ms.saturating_record(took.as_millis() as u64);
    }
    let limits: BTreeMap<String, f64> = TEAMS.map(|(team, cpus)| (team.into(), cpus)).into();
    RunResult {
        checked: check(&shared.history.events(), &limits),
        unfinished: took.iter().filter(|took| took.is_none()).count(),
        done_ms,
        leaders: leaders.len(),
        copied_calls: shared.copied_calls.arrived.load(Ordering::SeqCst),
        started_by_copies: shared.copied_calls.started.load(Ordering::SeqCst),
    }
}

/// Runs a seed, prints the result, and returns whether no rule was violated and all jobs were done.
fn run_passes(seed: u64) -> bool {
    let run = run_seed(seed, FAULTS);
    let peaks = TEAMS.map(|(team, _)| run.checked.peak_cpus(team));
    println!(
        "seed {seed}: {} starts, {} by {} copies of calls, peak CPUs {peaks:?}, {} leaders, {} unfinished, done after p50 {} p99 {} ms, {:?}",
        run.checked.starts,
        run.started_by_copies,
        run.copied_calls,
        run.leaders,
        run.unfinished,
        run.done_ms.value_at_quantile(0.5),
        run.done_ms.value_at_quantile(0.99),
        run.checked.violations
    );
    assert!(
        run.checked.starts >= JOBS as usize,
        "the agents started fewer tasks than there are jobs"
    );
    run.checked.violations.is_empty() && run.unfinished == 0 && run.started_by_copies == 0
}

/// Runs a range of seeds, several at a time, and returns those that failed.
fn failed_seeds(seeds: std::ops::Range<u64>, at_a_time: usize) -> Vec<u64> {
    let seeds = Arc::new(Mutex::new(seeds));
    let run_seeds = |_| {
        let seeds = seeds.clone();
        std::thread::spawn(move || {
            let next = || seeds.lock().expect("the seeds").next();
            let fails = |seed: &u64| !run_passes(*seed);
            std::iter::from_fn(next).filter(fails).collect()
        })
    };
    let threads: Vec<std::thread::JoinHandle<Vec<u64>>> = (0..at_a_time).map(run_seeds).collect();
    let found = threads
        .into_iter()
        .map(|t| t.join().expect("the runs of the thread"));
    found.flatten().collect()
}

#[test]
fn no_team_exceeds_its_limit_while_controllers_fail() {
    assert_eq!(failed_seeds(1..4, 3), Vec::<u64>::new());
}

#[test]
fn copy_of_a_carried_out_start_does_not_run_a_forgotten_task_again() {
    let run = run_seed(20, 0);
    assert!(run.copied_calls > 0, "no start went by a direct call");
    assert_eq!(run.started_by_copies, 0);
    assert_eq!((run.checked.violations, run.unfinished), (vec![], 0));
}

/// Runs any range of seeds. The command is
/// `SEEDS=100..1100 AT_A_TIME=8 cargo test --release -p rudderreel --test loopback many -- --ignored --nocapture`.
#[test]
#[ignore = "takes long"]
fn many_runs_of_team_limits() {
    let var = |name: &str| std::env::var(name).unwrap_or_default();
    let seeds = var("SEEDS");
    let (from, to) = seeds.split_once("..").expect("SEEDS=from..to");
    let (from, to): (u64, u64) = (from.parse().expect("a seed"), to.parse().expect("a seed"));
    let at_a_time = var("AT_A_TIME").parse().unwrap_or(1);
    assert_eq!(failed_seeds(from..to, at_a_time), Vec::<u64>::new());
}

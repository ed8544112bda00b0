//! Team limits with several controllers, of which some freeze, end, or lose the store.
//!
//! Three controllers take a burst of submissions at once. What counts is what the agents ran: at no
//! instant may a team's tasks use more than its limit, and no task may be on two machines.

use crate::agents::Shared;
use crate::controller::{start_all, Controller, Deployment};
use crate::history::{check, CheckedHistory, History};
use crate::stand_ins::Outside;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rudderreel_core::Value;
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::JobSpec;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use ureq::Agent;

/// Controllers, machines of four CPUs, and submissions of a run.
const CONTROLLERS: usize = 3;
const MACHINES: usize = 10;
const JOBS: u32 = 40;
/// Teams with limits that the submissions ask for several times over.
const TEAMS: [(&str, f64); 2] = [("red", 10.0), ("blue", 14.0)];
/// How long a task runs.
const TASK: Duration = Duration::from_millis(700);
/// Faults of a run, and the pause between two.
const FAULTS: usize = 3;
const PAUSE_MS: std::ops::Range<u64> = 300..1_500;
/// How long a controller stands still: longer than the leader's lease or not.
const FREEZE_MS: std::ops::Range<u64> = 500..6_000;
/// How long the store refuses one.
const REFUSAL_MS: std::ops::Range<u64> = 500..5_000;
/// Users ask so often, and the whole run ends by then at the latest.
const POLL: Duration = Duration::from_millis(150);
const PATIENCE: Duration = Duration::from_secs(120);

/// A user, who submits and asks until a job is done.
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

    /// Status and state of a job, if there was an answer.
    fn answer(
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

    fn submit(&self, at: usize, spec: &JobSpec) -> Option<(u16, String)> {
        let url = format!(
            "http://{}/v1/jobs",
            self.public_addresses[at % self.public_addresses.len()]
        );
        let text = serde_json::to_string(spec).expect("JSON");
        self.answer(self.agent.post(&url).send(text.as_bytes()))
    }

    fn ask(&self, at: usize, id: &JobId) -> Option<(u16, String)> {
        let public_address = self.public_addresses[at % self.public_addresses.len()];
        self.answer(
            self.agent
                .get(format!("http://{public_address}/v1/jobs/{id}"))
                .call(),
        )
    }

    /// Submits a job until it is accepted, and asks until it is done; returns how long that took.
    fn see_through(&self, first: usize, spec: &JobSpec, until: Instant) -> Option<Duration> {
        let begun = Instant::now();
        let mut at = first;
        while !matches!(self.submit(at, spec), Some((200 | 201, _))) {
            if Instant::now() > until {
                return None;
            }
            at += 1;
            std::thread::sleep(POLL);
        }
        let mut done = None;
        while Instant::now() < until {
            let answer = self.ask(at, &spec.id);
            at += 1;
            match answer {
                Some((200, state)) if state == "done" => {
                    // Every controller says so from now on.
                    let took = *done.get_or_insert_with(|| begun.elapsed());
                    if at >= first + 2 * self.public_addresses.len() {
                        return Some(took);
                    }
                }
                Some((200, state)) => {
                    assert!(done.is_none(), "{} went back to {state}", spec.id);
                    std::thread::sleep(POLL);
                }
                Some((404, _)) => panic!("{} was forgotten", spec.id),
                _ => std::thread::sleep(POLL),
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
        "together": false, "scatter": false, "driftwood": true, "expectedS": TASK.as_secs_f64(),
        "snapshotS": 0.0, "stowS": 0.0, "dueS": null});
    serde_json::from_value(value).expect("a job")
}

/// What a run came to.
struct Run {
    checked: CheckedHistory,
    unfinished: usize,
    /// Milliseconds from submission to done.
    done_ms: Histogram<u64>,
    leaders: usize,
}

/// One fault: the leader or any controller freezes, ends, or is refused by the store.
fn inject_fault(rng: &mut StdRng, controllers: &mut [Controller], outside: &Outside) {
    let leader = outside.leader();
    let leading = controllers
        .iter()
        .position(|c| Some(&c.name) == leader.as_ref());
    let any = rng.random_range(0..controllers.len());
    let at = leading.filter(|_| rng.random_bool(0.7)).unwrap_or(any);
    match rng.random_range(0..3) {
        0 => {
            controllers[at].freeze();
            sleep_ms(rng.random_range(FREEZE_MS));
            controllers[at].thaw();
        }
        1 => controllers[at].restart(),
        _ => {
            outside.refuse(at, true);
            sleep_ms(rng.random_range(REFUSAL_MS));
            outside.refuse(at, false);
        }
    }
}

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Plays a burst with faults drawn by a seed.
fn play(seed: u64) -> Run {
    let mut rng = StdRng::seed_from_u64(seed);
    let specs: Vec<JobSpec> = (0..JOBS).map(|n| spec(n, &mut rng)).collect();
    let jobs = specs.iter().map(|s| (s.id.clone(), s.clone())).collect();
    let shared = Arc::new(Shared {
        history: History::default(),
        jobs: Mutex::new(jobs),
        controllers: Mutex::default(),
        run: TASK,
    });
    let outside = Outside::start(CONTROLLERS, MACHINES, shared.clone());
    let deployment = Deployment {
        controllers: CONTROLLERS,
        sockets: 400,
        teams: TEAMS.to_vec(),
    };
    let mut controllers = start_all(&deployment, &outside);
    let public_addresses: Vec<SocketAddr> = controllers.iter().map(|c| c.public_address).collect();
    let named = controllers
        .iter()
        .map(|c| (c.name.clone(), c.public_address));
    *shared.controllers.lock().expect("controllers") = named.collect();
    let until = Instant::now() + PATIENCE;
    let users: Vec<_> = (specs.into_iter().enumerate())
        .map(|(n, spec)| {
            let user = User::new(public_addresses.clone());
            std::thread::spawn(move || user.see_through(n, &spec, until))
        })
        .collect();
    let mut leaders = std::collections::BTreeSet::new();
    for _ in 0..FAULTS {
        sleep_ms(rng.random_range(PAUSE_MS));
        leaders.extend(outside.leader());
        inject_fault(&mut rng, &mut controllers, &outside);
    }
    let took: Vec<Option<Duration>> = (users.into_iter())
        .map(|user| user.join().expect("answers that keep the rules"))
        .collect();
    leaders.extend(outside.leader());
    drop(controllers);
    let mut done_ms = Histogram::new_with_bounds(1, 600_000, 3).expect("a histogram");
    for took in took.iter().flatten() {
        done_ms.saturating_record(took.as_millis() as u64);
    }
    let limits: BTreeMap<String, f64> = TEAMS.map(|(team, cpus)| (team.into(), cpus)).into();
    Run {
        checked: check(&shared.history.events(), &limits),
        unfinished: took.iter().filter(|took| took.is_none()).count(),
        done_ms,
        leaders: leaders.len(),
    }
}

/// Plays a run, prints what it came to, and returns whether it kept the rules and finished all jobs.
fn is_sound(seed: u64) -> bool {
    let run = play(seed);
    let used = TEAMS.map(|(team, _)| run.checked.most_used(team));
    println!(
        "seed {seed}: {} starts, most used {used:?}, {} leaders, {} unfinished, done after p50 {} p99 {} ms, {:?}",
        run.checked.starts,
        run.leaders,
        run.unfinished,
        run.done_ms.value_at_quantile(0.5),
        run.done_ms.value_at_quantile(0.99),
        run.checked.violations
    );
    assert!(
        run.checked.starts >= JOBS as usize,
        "the workers ran nothing"
    );
    run.checked.violations.is_empty() && run.unfinished == 0
}

/// Plays runs with some seeds, several at a time; returns those that were not sound.
fn play_all(seeds: std::ops::Range<u64>, at_a_time: usize) -> Vec<u64> {
    let seeds = Arc::new(Mutex::new(seeds));
    let play_on = |_| {
        let seeds = seeds.clone();
        std::thread::spawn(move || {
            let next = || seeds.lock().expect("the seeds").next();
            let unsound = |seed: &u64| !is_sound(*seed);
            std::iter::from_fn(next).filter(unsound).collect()
        })
    };
    let threads: Vec<std::thread::JoinHandle<Vec<u64>>> = (0..at_a_time).map(play_on).collect();
    let found = threads.into_iter().map(|t| t.join().expect("its runs"));
    found.flatten().collect()
}

#[test]
fn no_team_exceeds_its_limit_while_controllers_fail() {
    assert_eq!(play_all(1..4, 3), Vec::<u64>::new());
}

/// More runs: `SEEDS=100..1100 AT_A_TIME=8 cargo test --release -p rudderreel --test loopback many --
/// --ignored --nocapture`.
#[test]
#[ignore = "takes long"]
fn many_runs_of_team_limits() {
    let var = |name: &str| std::env::var(name).unwrap_or_default();
    let seeds = var("SEEDS");
    let (from, to) = seeds.split_once("..").expect("SEEDS=from..to");
    let (from, to): (u64, u64) = (from.parse().expect("a seed"), to.parse().expect("a seed"));
    let at_a_time = var("AT_A_TIME").parse().unwrap_or(1);
    assert_eq!(play_all(from..to, at_a_time), Vec::<u64>::new());
}

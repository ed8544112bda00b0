//! Measures the processor time by thread, the wake-ups and the memory of the controllers under an ordinary load. It
//! checks no bounds, so it is run by hand; `docs/measuring.md` has the command.

use crate::agents::{CopiedCalls, Shared};
use crate::controller::{start_all, Controller, Deployment};
use crate::history::History;
use crate::stand_ins::ExternalServices;
use rudderreel_wire::job::JobSpec;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use ureq::Agent;

const CONTROLLERS: usize = 5;
/// Number of machines. Their agents report twice a second, so this is the load of five times as many agents that report
/// every 2.5 s.
const MACHINES: usize = 125;
/// Number of jobs. Each has one task; together they fill the machines, and a user queries their states.
const JOBS: usize = 250;
/// Pause between two queries, and before a job that was not accepted is submitted again.
const QUERY_PAUSE: Duration = Duration::from_millis(20);
/// Time for machines and tasks to start before the measurement.
const WARM_UP_DURATION: Duration = Duration::from_secs(20);
/// Time over which the usage is measured.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(20);

/// Processor time and wake-ups of one thread, or of all threads of one kind.
#[derive(Clone, Copy, Default)]
struct Usage {
    threads: u64,
    /// Processor time in nanoseconds.
    processor_ns: u64,
    /// Voluntary context switches: how often a thread waited for something, and was woken up again.
    waits: u64,
}

impl Usage {
    fn add(&mut self, other: Usage) {
        self.threads += other.threads;
        self.processor_ns += other.processor_ns;
        self.waits += other.waits;
    }

    fn since(self, before: Usage) -> Self {
        Self {
            threads: self.threads,
            processor_ns: self.processor_ns.saturating_sub(before.processor_ns),
            waits: self.waits.saturating_sub(before.waits),
        }
    }
}

/// Returns the kind of a thread, which is its name without the number.
fn thread_kind(name: &str) -> String {
    name.trim_end()
        .trim_end_matches(|c: char| c == '-' || c.is_ascii_digit())
        .to_string()
}

/// Returns the usage of a process so far, by kind of thread.
fn usage(process: u32) -> BTreeMap<String, Usage> {
    let mut kinds: BTreeMap<String, Usage> = BTreeMap::new();
    let tasks =
        std::fs::read_dir(format!("/proc/{process}/task")).expect("the threads of the process");
    for task in tasks.flatten() {
        let read = |file: &str| std::fs::read_to_string(task.path().join(file)).unwrap_or_default();
        let kind = thread_kind(&read("comm"));
        let first_number = |text: &str| text.split_whitespace().next().and_then(|n| n.parse().ok());
        let status = read("status");
        let waits = (status.lines()).find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
        kinds.entry(kind).or_default().add(Usage {
            threads: 1,
            processor_ns: first_number(&read("schedstat")).unwrap_or(0),
            waits: waits.and_then(first_number).unwrap_or(0),
        });
    }
    kinds
}

fn spec(n: usize) -> JobSpec {
    let value = serde_json::json!({
        "id": format!("wk-{n:06}"), "reel": "sweep", "crew": "red", "rig": "sweep", "precedence": "normal",
        "takes": 1, "vcpus": 2.0, "gpus": 0.0, "memoryGb": 0.5, "pressing": "img-0", "pullGb": 0.1,
        "hulls": null, "berth": null, "together": false, "scatter": false, "driftwood": true,
        "expectedS": 600.0, "snapshotS": 0.0, "stowS": 0.0, "dueS": null});
    serde_json::from_value(value).expect("a job")
}

/// Submits all jobs, and then queries one after the other until `stop` is set.
fn submit_and_query(public_addresses: &[SocketAddr], specs: &[JobSpec], stop: &AtomicBool) {
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(2)))
        .build()
        .into();
    for (n, spec) in specs.iter().enumerate() {
        let text = serde_json::to_string(spec).expect("JSON");
        let accepted = |at: usize| {
            let url = format!(
                "http://{}/v1/jobs",
                public_addresses[at % public_addresses.len()]
            );
            let status = agent
                .post(&url)
                .send(text.as_bytes())
                .map(|r| r.status().as_u16());
            matches!(status, Ok(200 | 201))
        };
        let mut at = n;
        while !accepted(at) {
            at += 1;
            std::thread::sleep(QUERY_PAUSE);
        }
    }
    for (n, spec) in specs.iter().enumerate().cycle() {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let public_address = public_addresses[n % public_addresses.len()];
        let answer = agent
            .get(format!("http://{public_address}/v1/jobs/{}", spec.id))
            .call();
        if let Ok(mut response) = answer {
            let _ = response.body_mut().read_to_string();
        }
        std::thread::sleep(QUERY_PAUSE);
    }
}

fn print_usage(
    controller: &Controller,
    leads: bool,
    before: &BTreeMap<String, Usage>,
    duration: Duration,
) {
    let role = if leads { "leads" } else { "follows" };
    let memory = controller.resident_memory().unwrap_or(0) as f64 / f64::from(1 << 20);
    let mut total = Usage::default();
    let mut lines = Vec::new();
    for (kind, now) in usage(controller.process_id()) {
        let used = now.since(before.get(&kind).copied().unwrap_or_default());
        total.add(used);
        lines.push((kind, used));
    }
    lines.push(("total".to_string(), total));
    println!("== {} {role}, {memory:.1} MiB", controller.name);
    for (kind, used) in lines {
        let per_s = |n: u64| n as f64 / duration.as_secs_f64();
        println!(
            "{kind:16} {:4} threads {:8.3} ms/s {:8.1} waits/s",
            used.threads,
            per_s(used.processor_ns) / 1e6,
            per_s(used.waits)
        );
    }
}

/// Prints the usage of each controller. The command is
/// `cargo test --release -p rudderreel --test loopback what_an_ordinary_load_costs -- --ignored --nocapture`.
#[test]
#[ignore = "measures, checks no bounds"]
fn what_an_ordinary_load_costs() {
    let specs: Vec<JobSpec> = (0..JOBS).map(spec).collect();
    let shared = Arc::new(Shared {
        history: History::default(),
        jobs: Mutex::new(specs.iter().map(|s| (s.id.clone(), s.clone())).collect()),
        controllers: Mutex::default(),
        task_duration: Duration::from_secs(600),
        copied_calls: CopiedCalls::default(),
    });
    let services = ExternalServices::start(CONTROLLERS, MACHINES, shared.clone());
    let deployment = Deployment {
        controllers: CONTROLLERS,
        sockets: 1_800,
        teams: vec![("red", 1_000.0)],
    };
    let controllers = start_all(&deployment, &services);
    let public_addresses: Vec<SocketAddr> = controllers.iter().map(|c| c.public_address).collect();
    *shared.controllers.lock().expect("controllers") = controllers
        .iter()
        .map(|c| (c.name.clone(), c.public_address))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let user = {
        let (stop, specs) = (stop.clone(), specs.clone());
        std::thread::spawn(move || submit_and_query(&public_addresses, &specs, &stop))
    };
    std::thread::sleep(WARM_UP_DURATION);
    let before: Vec<_> = controllers.iter().map(|c| usage(c.process_id())).collect();
    let begun = Instant::now();
    let ids: Vec<u32> = controllers.iter().map(Controller::process_id).collect();
    println!(
        "measured processes: {ids:?}, leader: {:?}",
        services.leader()
    );
    std::thread::sleep(MEASUREMENT_DURATION);
    let duration = begun.elapsed();
    for (controller, before) in controllers.iter().zip(&before) {
        let leads = services.leader().as_ref() == Some(&controller.name);
        print_usage(controller, leads, before, duration);
    }
    stop.store(true, Ordering::Relaxed);
    user.join().expect("the user ends");
}

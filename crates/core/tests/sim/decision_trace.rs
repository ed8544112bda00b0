//! The decision trace: fixed scenarios and seeds whose outputs must stay the same while code is moved and renamed.
//!
//! `cargo test -p rudderreel-core --test sim decision_trace -- --ignored --nocapture` prints a digest for each
//! case and compares it with `decision_trace.txt`. An intended change of behaviour changes the digests: then the
//! file is replaced by the printed lines, and the commit gives the reason.

use super::world::{Fault, Scenario, World};
use super::{pipelines, slow_nodes};
use rudderreel_core::AdminRequest;
use rudderreel_wire::ids::JobId;

/// The digests of all cases when the file was last replaced.
const RECORDED: &str = include_str!("decision_trace.txt");

/// Time by which a rolling upgrade is over. Cases that start without faults have them from then on.
const FAULTS_FROM_MS: u64 = 50_000;
/// End of the faults; the run continues without them until [`END_MS`].
const FAULTS_UNTIL_MS: u64 = 130_000;
const END_MS: u64 = 200_000;
/// Number of jobs that an administrator queries at the end of a run.
const QUERIED_JOBS: usize = 30;

struct Case {
    name: &'static str,
    seed: u64,
    scenario: Scenario,
    /// Whether there are no faults before [`FAULTS_FROM_MS`].
    starts_without_faults: bool,
}

fn case(name: &'static str, seed: u64, scenario: Scenario) -> Case {
    Case {
        name,
        seed,
        starts_without_faults: scenario.upgrade,
        scenario,
    }
}

fn cases() -> Vec<Case> {
    let with_random_faults = |nodes: usize, spread: bool| Scenario {
        nodes,
        spread,
        jobs: 40,
        ..Scenario::default()
    };
    vec![
        case("three_nodes", 100, with_random_faults(3, false)),
        case("three_nodes", 1_060, with_random_faults(3, false)),
        case("three_nodes", 4_049, with_random_faults(3, false)),
        case("five_nodes", 200, with_random_faults(5, false)),
        case("five_nodes", 203, with_random_faults(5, false)),
        case("reports_forwarded", 400, with_random_faults(5, true)),
        case("reports_forwarded", 402, with_random_faults(5, true)),
        case("pipelines", 900, pipelines::scenario(3)),
        case("pipelines", 905, pipelines::scenario(5)),
        case("old_version_returns", 700, old_version_returns(3)),
        case("old_version_returns", 701, old_version_returns(5)),
        case("crowd", 300, crowd()),
        case("rush", 301, rush()),
        case("state_outages", 302, store_outages()),
        case("slow_nodes", 303, slow_nodes::scenario()),
        case("large_fleet", 600, large_fleet()),
    ]
}

fn old_version_returns(nodes: usize) -> Scenario {
    Scenario {
        nodes,
        jobs: 60,
        user_interval_ms: 300,
        pipelines: true,
        upgrade: true,
        restarts_old_version: true,
        ..Scenario::default()
    }
}

fn crowd() -> Scenario {
    Scenario {
        crowd: true,
        jobs: 150,
        machines: 20,
        user_interval_ms: 200,
        ..Scenario::default()
    }
}

fn rush() -> Scenario {
    Scenario {
        rush: true,
        jobs: 200,
        machines: 20,
        ..Scenario::default()
    }
}

fn store_outages() -> Scenario {
    Scenario {
        nodes: 5,
        fault_kinds: vec![
            Fault::StoreDown,
            Fault::StoreRefusesNode,
            Fault::StoreRefusesLeader,
            Fault::LateWrites,
        ],
        jobs: 60,
        ..Scenario::default()
    }
}

fn large_fleet() -> Scenario {
    Scenario {
        nodes: 5,
        machines: 120,
        jobs: 120,
        user_interval_ms: 120,
        large: true,
        zones: true,
        ..Scenario::default()
    }
}

/// Runs a case and returns its line of the decision trace.
fn run_case(case: Case) -> String {
    let scenario = Scenario {
        records_decisions: true,
        ..case.scenario
    };
    let mut world = World::with_scenario(case.seed, scenario);
    world.collects_violations = true;
    if !case.starts_without_faults {
        world.random_faults = true;
    }
    world.run_until(FAULTS_FROM_MS);
    world.random_faults = true;
    world.run_until(FAULTS_UNTIL_MS);
    world.end_faults();
    world.run_until(END_MS);
    send_admin_requests(&mut world);
    format!("{} {} {}", case.name, case.seed, world.decision_digest())
}

/// Sends one node every request that an administrator can make, so that the digest covers the answers too.
fn send_admin_requests(world: &mut World) {
    let jobs: Vec<JobId> = world.jobs.keys().take(QUERIED_JOBS).cloned().collect();
    let about_jobs = jobs.into_iter().map(AdminRequest::Job);
    let requests = [
        AdminRequest::Overview,
        AdminRequest::Teams,
        AdminRequest::Machines(None),
        AdminRequest::Stops,
        AdminRequest::Settings,
    ];
    for request in requests.into_iter().chain(about_jobs) {
        world.admin(0, request);
    }
}

#[test]
#[ignore = "a guard for changes that must not change behaviour; run by hand"]
fn decision_trace() {
    let threads: Vec<_> = (cases().into_iter())
        .map(|case| std::thread::spawn(move || run_case(case)))
        .collect();
    let digests: Vec<String> = (threads.into_iter())
        .map(|thread| thread.join().expect("the run of a case panicked"))
        .collect();
    println!("{}", digests.join("\n"));
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(digests, recorded, "decisions have changed");
}

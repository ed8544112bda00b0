//! The decision trace: fixed plans and seeds whose outputs must stay the same while code is moved and renamed.
//!
//! `cargo test -p rudderreel-core --test sim decision_trace -- --ignored --nocapture` prints a digest for each
//! case and compares it with `decision_trace.txt`. A change of behaviour that is meant changes the digests: then
//! the file is replaced by what was printed, and the commit says why.

use super::world::{Fault, Scenario, World};
use super::{pipelines, slow_nodes};
use rudderreel_core::AdminRequest;
use rudderreel_wire::ids::JobId;

/// What the cases gave when the file was last replaced.
const RECORDED: &str = include_str!("decision_trace.txt");

/// Faults begin when a rolling upgrade is over, and last for a while; then the world is played to its end.
const FAULTS_FROM_MS: u64 = 50_000;
const FAULTS_UNTIL_MS: u64 = 130_000;
const END_MS: u64 = 200_000;
/// How many jobs an administrator asks about in the end.
const ASKED_JOBS: usize = 30;

struct Case {
    name: &'static str,
    seed: u64,
    scenario: Scenario,
    /// No faults before [`FAULTS_FROM_MS`].
    starts_calm: bool,
}

fn case(name: &'static str, seed: u64, scenario: Scenario) -> Case {
    Case {
        name,
        seed,
        starts_calm: scenario.upgrade,
        scenario,
    }
}

fn cases() -> Vec<Case> {
    let troubled = |nodes: usize, spread: bool| Scenario {
        nodes,
        spread,
        jobs: 40,
        ..Scenario::default()
    };
    vec![
        case("three_nodes", 100, troubled(3, false)),
        case("three_nodes", 1_060, troubled(3, false)),
        case("three_nodes", 4_049, troubled(3, false)),
        case("five_nodes", 200, troubled(5, false)),
        case("five_nodes", 203, troubled(5, false)),
        case("reports_forwarded", 400, troubled(5, true)),
        case("reports_forwarded", 402, troubled(5, true)),
        case("pipelines", 900, pipelines::scenario(3)),
        case("pipelines", 905, pipelines::scenario(5)),
        case("old_version_returns", 700, old_version_returns(3)),
        case("old_version_returns", 701, old_version_returns(5)),
        case("crowd", 300, crowd()),
        case("rush", 301, rush()),
        case("state_outages", 302, state_outages()),
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

fn state_outages() -> Scenario {
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

fn play(case: Case) -> String {
    let scenario = Scenario {
        records_decisions: true,
        ..case.scenario
    };
    let mut world = World::of(case.seed, scenario);
    world.collects_violations = true;
    if !case.starts_calm {
        world.random_faults = true;
    }
    world.run_until(FAULTS_FROM_MS);
    world.random_faults = true;
    world.run_until(FAULTS_UNTIL_MS);
    world.end_faults();
    world.run_until(END_MS);
    ask_as_administrator(&mut world);
    format!("{} {} {}", case.name, case.seed, world.decision_digest())
}

/// Asks one node everything that an administrator can ask, so that the digest covers those answers too.
fn ask_as_administrator(world: &mut World) {
    let jobs: Vec<JobId> = world.jobs.keys().take(ASKED_JOBS).cloned().collect();
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
        .map(|case| std::thread::spawn(move || play(case)))
        .collect();
    let played: Vec<String> = (threads.into_iter())
        .map(|thread| thread.join().expect("no rule is broken"))
        .collect();
    println!("{}", played.join("\n"));
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(played, recorded, "decisions have changed");
}

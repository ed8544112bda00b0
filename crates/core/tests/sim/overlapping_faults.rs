//! Two or more faults at the same time. Each case draws only its own faults at random by seed, and two given faults
//! must have overlapped in time (the world counts the overlaps).

use super::run_with_random_faults;
use super::world::Fault::{self, *};
use super::world::Scenario;

struct OverlapCase {
    name: &'static str,
    /// The faults that are injected at random.
    faults: &'static [Fault],
    /// The two faults that must have overlapped in time.
    overlap: (Fault, Fault),
    /// Adapts the scenario to the case.
    scenario: fn(&mut Scenario),
}

/// Maximum number of runs until the two faults of a case have overlapped.
const MAX_RUNS: u64 = 4;

fn unchanged(_: &mut Scenario) {}

/// Runs each case with three and with five nodes until its two faults have overlapped.
fn run_overlap_cases(cases: &[OverlapCase]) {
    for (n, case) in cases.iter().enumerate() {
        for nodes in [3, 5] {
            let seed = 800 + 10 * n as u64 + nodes as u64;
            // Which faults overlap is random, and changes with every change of the random draws. All rules are
            // checked in each run; another run follows if the two faults did not overlap.
            let overlapped = (0..MAX_RUNS).any(|run| {
                let seed = seed + 100 * run;
                println!("{}: seed {seed}, {nodes} nodes", case.name);
                run_case(case, nodes, seed)
            });
            let (a, b) = case.overlap;
            assert!(
                overlapped,
                "{a:?} and {b:?} did not overlap in any of {MAX_RUNS} runs"
            );
        }
    }
}

/// Runs a case; returns whether its two faults overlapped.
fn run_case(case: &OverlapCase, nodes: usize, seed: u64) -> bool {
    let mut scenario = Scenario {
        nodes,
        spread: seed % 20 >= 10,
        fault_kinds: case.faults.to_vec(),
        jobs: 40,
        ..Scenario::default()
    };
    (case.scenario)(&mut scenario);
    let world = run_with_random_faults(seed, scenario);
    assert_eq!(
        world.starts_after_cancellation,
        vec![],
        "starts of cancelled jobs"
    );
    let (a, b) = case.overlap;
    world.overlaps(a, b) > 0
}

fn short_boot_times(scenario: &mut Scenario) {
    scenario.boot_ms = (200, 1_900);
    scenario.jobs = 60;
}

fn uneven_run_times(scenario: &mut Scenario) {
    scenario.uneven_run_times = true;
}

fn zone_bound_jobs(scenario: &mut Scenario) {
    scenario.zone_bound_jobs = true;
}

fn teams_at_limit(scenario: &mut Scenario) {
    scenario.jobs = 120;
    scenario.user_interval_ms = 120;
    scenario.no_replicas = true;
    scenario.limits = (6, 7);
}

fn rush(scenario: &mut Scenario) {
    scenario.rush = true;
    scenario.user_interval_ms = 400;
    scenario.jobs = 500;
    scenario.machines = 16;
}

#[test]
fn rules_hold_when_faults_overlap_with_leader_changes() {
    run_overlap_cases(&[
        OverlapCase {
            name: "new machines get tasks at once while writes are late",
            faults: &[SlowStore, LateWrites, LeaderCrashes],
            overlap: (LateWrites, LeaderCrashes),
            scenario: short_boot_times,
        },
        OverlapCase {
            name: "machines with long tasks are partitioned, unreachable or hang",
            faults: &[
                LeaderCrashes,
                MachinesPartitioned,
                MachinesUnreachable,
                MachinesHang,
            ],
            overlap: (LeaderCrashes, MachinesUnreachable),
            scenario: uneven_run_times,
        },
        OverlapCase {
            name: "the tasks of a job end far apart",
            faults: &[LeaderCrashes, NodeCrashes],
            overlap: (LeaderCrashes, LeaderCrashes),
            scenario: uneven_run_times,
        },
        OverlapCase {
            name: "leaders change repeatedly, also in an outage of the store",
            faults: &[
                LeaderCrashes,
                LeaderCrashes,
                StoreRefusesLeader,
                StoreDown,
                StoreRecovers,
            ],
            overlap: (LeaderCrashes, StoreDown),
            scenario: unchanged,
        },
        OverlapCase {
            name: "leadership changes back and forth, all nodes crash, one restarts at once",
            faults: &[
                LeaderCrashes,
                AllNodesCrash,
                AllNodesRestartQuickly,
                NodeRestartsQuickly,
            ],
            overlap: (LeaderCrashes, AllNodesCrash),
            scenario: unchanged,
        },
        OverlapCase {
            name: "all nodes are down for longer than a lease",
            faults: &[AllNodesDownBeyondLease, JobsCancelled, NodeRestartsQuickly],
            overlap: (AllNodesDownBeyondLease, JobsCancelled),
            scenario: uneven_run_times,
        },
    ]);
}

#[test]
fn rules_hold_when_faults_overlap_with_cancellations() {
    run_overlap_cases(&[
        OverlapCase {
            name: "cancelled while the leader changes",
            faults: &[JobsCancelled, JobsCancelled, LeaderCrashes, RapidStatusRequests],
            overlap: (JobsCancelled, LeaderCrashes),
            scenario: uneven_run_times,
        },
        OverlapCase {
            name: "cancelled while machines hang or are cut off, all teams are at their limits and the leader changes",
            faults: &[JobsCancelled, MachinesHang, MachinesPartitioned, LeaderCrashes],
            overlap: (JobsCancelled, TeamsAtLimit),
            scenario: teams_at_limit,
        },
        OverlapCase {
            name: "cancelled while the store refuses the leader, is down or is slow",
            faults: &[JobsCancelled, StoreRefusesLeader, StoreDown, StoreRecovers, SlowStore, RapidStatusRequests],
            overlap: (JobsCancelled, StoreRefusesLeader),
            scenario: uneven_run_times,
        },
        OverlapCase {
            name: "cancelled through another node while the leader reaches only agents and users",
            faults: &[JobsCancelled, LeaderReachesOnlyAgents, RapidStatusRequests],
            overlap: (JobsCancelled, LeaderReachesOnlyAgents),
            scenario: uneven_run_times,
        },
        OverlapCase {
            name: "cancelled at the end of their last task",
            faults: &[JobsCancelledAtCompletion, RapidStatusRequests],
            overlap: (JobsCancelledAtCompletion, RapidStatusRequests),
            scenario: unchanged,
        },
        OverlapCase {
            name: "jobs of one task, four per second, a quarter of them cancelled",
            faults: &[RapidStatusRequests, JobsCancelledAtCompletion, LeaderCrashes],
            overlap: (RapidStatusRequests, LeaderCrashes),
            scenario: rush,
        },
        OverlapCase {
            name: "cancelled while a zone with a node is partitioned for longer than a lease",
            faults: &[ZonePartitioned, JobsCancelled],
            overlap: (ZonePartitioned, JobsCancelled),
            scenario: uneven_run_times,
        },
        OverlapCase {
            name: "cancelled while their machines can't report but receive commands",
            faults: &[MachinesUnableToReport, JobsCancelled, LeaderCrashes],
            overlap: (MachinesUnableToReport, JobsCancelled),
            scenario: uneven_run_times,
        },
    ]);
}

#[test]
fn rules_hold_when_faults_overlap_with_late_messages() {
    run_overlap_cases(&[
        OverlapCase {
            name: "a report reaches every node as a new leader begins its term",
            faults: &[ReportsHeldForNextLeader, LeaderCrashes],
            overlap: (ReportsHeldForNextLeader, LeaderCrashes),
            scenario: uneven_run_times,
        },
        OverlapCase {
            name: "old reports arrive after newer ones, also from earlier incarnations",
            faults: &[LateReports, MachinesReboot, MachinesPartitioned],
            overlap: (LateReports, MachinesReboot),
            scenario: unchanged,
        },
        OverlapCase {
            name: "transactions are carried out late, after newer ones of the same node",
            faults: &[LateWrites, JobsCancelled, NodeRestartsQuickly],
            overlap: (LateWrites, JobsCancelled),
            scenario: unchanged,
        },
        OverlapCase {
            name: "transactions are carried out but their answers are lost, while others read them",
            faults: &[LostAnswers, RapidStatusRequests, JobsCancelledAtCompletion],
            overlap: (LostAnswers, RapidStatusRequests),
            scenario: unchanged,
        },
        OverlapCase {
            name: "a command or its answer is delayed while the machine keeps running",
            faults: &[MachinesHang, MachinesPartitioned, SlowLinks, JobsCancelled],
            overlap: (MachinesHang, JobsCancelled),
            scenario: uneven_run_times,
        },
    ]);
}

#[test]
fn rules_hold_when_faults_overlap_with_many_user_requests() {
    run_overlap_cases(&[
        OverlapCase {
            name: "users query all nodes within milliseconds, and repeat submissions",
            faults: &[RapidStatusRequests, LeaderCrashes, SlowStore],
            overlap: (RapidStatusRequests, LeaderCrashes),
            scenario: unchanged,
        },
        OverlapCase {
            name: "users send invalid requests in every state of leadership",
            faults: &[
                InvalidRequests,
                LeaderCrashes,
                StoreDown,
                StoreRecovers,
                StoreRefusesLeader,
            ],
            overlap: (InvalidRequests, StoreDown),
            scenario: unchanged,
        },
        OverlapCase {
            name: "users submit more jobs than fit, urgent ones and others, over slow links",
            faults: &[SlowLinks, SlowLinks, JobsCancelled],
            overlap: (SlowLinks, JobsCancelled),
            scenario: teams_at_limit,
        },
        OverlapCase {
            name: "jobs are bound to a zone that loses machines",
            faults: &[
                MachinesReboot,
                MachinesPartitioned,
                MachinesHang,
                LeaderCrashes,
            ],
            overlap: (MachinesPartitioned, LeaderCrashes),
            scenario: zone_bound_jobs,
        },
    ]);
}

//! Two faults at once, or more: each meeting is brought about by its faults alone, drawn at random by
//! seed, and must have come about (the world counts when two of them overlapped).

use super::day;
use super::world::Fault::{self, *};
use super::world::Scenario;

struct Meeting {
    name: &'static str,
    /// What comes, and which two must have met.
    faults: &'static [Fault],
    met: (Fault, Fault),
    scenario: fn(&mut Scenario),
}

/// Days that are played at most until two faults have met.
const DAYS: u64 = 4;

fn as_usual(_: &mut Scenario) {}

/// Brings a meeting about, with three nodes and with five.
fn play_meetings(meetings: &[Meeting]) {
    for (n, meeting) in meetings.iter().enumerate() {
        for nodes in [3, 5] {
            let seed = 800 + 10 * n as u64 + nodes as u64;
            // Which faults overlap is chance, and changes with whatever draws a random number. Each day
            // is checked in full; another one follows if the two did not meet.
            let met = (0..DAYS).any(|day| {
                let seed = seed + 100 * day;
                println!("{}: seed {seed}, {nodes} nodes", meeting.name);
                play(meeting, nodes, seed)
            });
            let (a, b) = meeting.met;
            assert!(met, "{a:?} and {b:?} did not meet on any of {DAYS} days");
        }
    }
}

/// Plays a day; returns whether the two faults met.
fn play(meeting: &Meeting, nodes: usize, seed: u64) -> bool {
    let mut scenario = Scenario {
        nodes,
        spread: seed % 20 >= 10,
        fault_kinds: meeting.faults.to_vec(),
        jobs: 40,
        ..Scenario::default()
    };
    (meeting.scenario)(&mut scenario);
    let world = day(seed, scenario);
    assert_eq!(
        world.starts_after_cancellation,
        vec![],
        "starts of cancelled jobs"
    );
    let (a, b) = meeting.met;
    world.overlaps(a, b) > 0
}

fn quick_boots(scenario: &mut Scenario) {
    scenario.boot_ms = (200, 1_900);
    scenario.jobs = 60;
}

fn uneven(scenario: &mut Scenario) {
    scenario.uneven_run_times = true;
}

fn bound(scenario: &mut Scenario) {
    scenario.zone_bound_jobs = true;
}

fn full(scenario: &mut Scenario) {
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
fn a_leader_ends() {
    play_meetings(&[
        Meeting {
            name: "new machines get work at once while writes lag",
            faults: &[SlowStore, LateWrites, LeaderCrashes],
            met: (LateWrites, LeaderCrashes),
            scenario: quick_boots,
        },
        Meeting {
            name: "machines with long tasks can't be reached, or hear nobody",
            faults: &[
                LeaderCrashes,
                MachinesPartitioned,
                MachinesUnreachable,
                MachinesHang,
            ],
            met: (LeaderCrashes, MachinesUnreachable),
            scenario: uneven,
        },
        Meeting {
            name: "jobs of several tasks end far apart",
            faults: &[LeaderCrashes, NodeCrashes],
            met: (LeaderCrashes, LeaderCrashes),
            scenario: uneven,
        },
        Meeting {
            name: "leaders change again and again, also in an outage",
            faults: &[
                LeaderCrashes,
                LeaderCrashes,
                StoreRefusesLeader,
                StoreDown,
                StoreBack,
            ],
            met: (LeaderCrashes, StoreDown),
            scenario: as_usual,
        },
        Meeting {
            name: "controllers hand over and back, all end, one returns at once",
            faults: &[
                LeaderCrashes,
                AllNodesCrash,
                AllNodesRestartQuickly,
                NodeRestartsQuickly,
            ],
            met: (LeaderCrashes, AllNodesCrash),
            scenario: as_usual,
        },
        Meeting {
            name: "all controllers are away for longer than a lease",
            faults: &[AllNodesAway, JobsCancelled, NodeRestartsQuickly],
            met: (AllNodesAway, JobsCancelled),
            scenario: uneven,
        },
    ]);
}

#[test]
fn jobs_are_cancelled() {
    play_meetings(&[
        Meeting {
            name: "while one controller's work changes hands",
            faults: &[JobsCancelled, JobsCancelled, LeaderCrashes, RapidStatusRequests],
            met: (JobsCancelled, LeaderCrashes),
            scenario: uneven,
        },
        Meeting {
            name: "while machines hang or are cut off, all teams are at their limits and the leader changes",
            faults: &[JobsCancelled, MachinesHang, MachinesPartitioned, LeaderCrashes],
            met: (JobsCancelled, TeamsAtLimit),
            scenario: full,
        },
        Meeting {
            name: "while the state service refuses the leader, or everybody, or is slow",
            faults: &[JobsCancelled, StoreRefusesLeader, StoreDown, StoreBack, SlowStore, RapidStatusRequests],
            met: (JobsCancelled, StoreRefusesLeader),
            scenario: uneven,
        },
        Meeting {
            name: "through another node while the leader hears only workers and users",
            faults: &[JobsCancelled, LeaderReachesOnlyAgents, RapidStatusRequests],
            met: (JobsCancelled, LeaderReachesOnlyAgents),
            scenario: uneven,
        },
        Meeting {
            name: "at the end of their last task",
            faults: &[JobsCancelledAtCompletion, RapidStatusRequests],
            met: (JobsCancelledAtCompletion, RapidStatusRequests),
            scenario: as_usual,
        },
        Meeting {
            name: "four a second, a quarter of them, of one task",
            faults: &[RapidStatusRequests, JobsCancelledAtCompletion, LeaderCrashes],
            met: (RapidStatusRequests, LeaderCrashes),
            scenario: rush,
        },
        Meeting {
            name: "while a zone with a controller is cut off for longer than a lease",
            faults: &[ZonePartitioned, JobsCancelled],
            met: (ZonePartitioned, JobsCancelled),
            scenario: uneven,
        },
        Meeting {
            name: "whose machines can't report but can be commanded",
            faults: &[MachinesUnableToReport, JobsCancelled, LeaderCrashes],
            met: (MachinesUnableToReport, JobsCancelled),
            scenario: uneven,
        },
    ]);
}

#[test]
fn messages_are_late() {
    play_meetings(&[
        Meeting {
            name: "a report reaches every node as a new leader begins",
            faults: &[ReportsHeldForNextLeader, LeaderCrashes],
            met: (ReportsHeldForNextLeader, LeaderCrashes),
            scenario: uneven,
        },
        Meeting {
            name: "old reports after newer ones, also of earlier sessions",
            faults: &[LateReports, MachinesReboot, MachinesPartitioned],
            met: (LateReports, MachinesReboot),
            scenario: as_usual,
        },
        Meeting {
            name: "transactions carried out late, after newer ones of the same node",
            faults: &[LateWrites, JobsCancelled, NodeRestartsQuickly],
            met: (LateWrites, JobsCancelled),
            scenario: as_usual,
        },
        Meeting {
            name: "transactions carried out whose answers are lost, while others read them",
            faults: &[LostAnswers, RapidStatusRequests, JobsCancelledAtCompletion],
            met: (LostAnswers, RapidStatusRequests),
            scenario: as_usual,
        },
        Meeting {
            name: "a command or its answer is held up, and the machine goes on",
            faults: &[MachinesHang, MachinesPartitioned, SlowLinks, JobsCancelled],
            met: (MachinesHang, JobsCancelled),
            scenario: uneven,
        },
    ]);
}

#[test]
fn users_ask_much() {
    play_meetings(&[
        Meeting {
            name: "at all nodes within milliseconds, and repeat submissions",
            faults: &[RapidStatusRequests, LeaderCrashes, SlowStore],
            met: (RapidStatusRequests, LeaderCrashes),
            scenario: as_usual,
        },
        Meeting {
            name: "odd things, in every state of leadership",
            faults: &[
                InvalidRequests,
                LeaderCrashes,
                StoreDown,
                StoreBack,
                StoreRefusesLeader,
            ],
            met: (InvalidRequests, StoreDown),
            scenario: as_usual,
        },
        Meeting {
            name: "for more than there is, urgent and not, over slow links",
            faults: &[SlowLinks, SlowLinks, JobsCancelled],
            met: (SlowLinks, JobsCancelled),
            scenario: full,
        },
        Meeting {
            name: "for jobs bound to a zone that loses machines",
            faults: &[
                MachinesReboot,
                MachinesPartitioned,
                MachinesHang,
                LeaderCrashes,
            ],
            met: (MachinesPartitioned, LeaderCrashes),
            scenario: bound,
        },
    ]);
}

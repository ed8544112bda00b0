//! Two troubles at once, or more: each meeting is brought about by its troubles alone, drawn at random by
//! seed, and must have come about (the world counts when two of them overlapped).

use super::unfinished;
use super::world::Trouble::{self, *};
use super::world::{Plan, World};

struct Meeting {
    name: &'static str,
    /// What comes, and which two must have met.
    troubles: &'static [Trouble],
    met: (Trouble, Trouble),
    plan: fn(&mut Plan),
}

/// Days that are played at most until two troubles have met.
const DAYS: u64 = 4;

fn as_usual(_: &mut Plan) {}

/// Brings a meeting about, with three nodes and with five.
fn bring_about(meetings: &[Meeting]) {
    for (n, meeting) in meetings.iter().enumerate() {
        for nodes in [3, 5] {
            let seed = 800 + 10 * n as u64 + nodes as u64;
            // Which troubles overlap is chance, and changes with whatever draws a random number. Each day
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

/// Plays a day; returns whether the two troubles met.
fn play(meeting: &Meeting, nodes: usize, seed: u64) -> bool {
    let mut plan = Plan {
        nodes,
        spread: seed % 20 >= 10,
        only: meeting.troubles.to_vec(),
        jobs: 40,
        ..Plan::default()
    };
    (meeting.plan)(&mut plan);
    let mut world = World::of(seed, plan);
    world.faults = true;
    world.run_until(150_000);
    world.calm();
    world.run_until(400_000);
    assert!(world.starts > 0, "nothing_ran");
    assert_eq!(unfinished(&world), Vec::<String>::new());
    assert_eq!(
        world.starts_of_cancelled,
        vec![],
        "starts of cancelled jobs"
    );
    world.check_served();
    let (a, b) = meeting.met;
    world.overlaps(a, b) > 0
}

fn quick_boots(plan: &mut Plan) {
    plan.boot_ms = (200, 1_900);
    plan.jobs = 60;
}

fn uneven(plan: &mut Plan) {
    plan.uneven = true;
}

fn bound(plan: &mut Plan) {
    plan.bound = true;
}

fn full(plan: &mut Plan) {
    plan.jobs = 120;
    plan.pace = 120;
    plan.no_replicas = true;
    plan.limits = (6, 7);
}

fn rush(plan: &mut Plan) {
    plan.rush = true;
    plan.pace = 400;
    plan.jobs = 500;
    plan.machines = 16;
}

#[test]
fn a_leader_ends() {
    bring_about(&[
        Meeting {
            name: "new machines get work at once while writes lag",
            troubles: &[SlowState, LateWrites, LeaderEnds],
            met: (LateWrites, LeaderEnds),
            plan: quick_boots,
        },
        Meeting {
            name: "machines with long tasks can't be reached, or hear nobody",
            troubles: &[LeaderEnds, MachinesCut, MachinesDeaf, MachinesHang],
            met: (LeaderEnds, MachinesDeaf),
            plan: uneven,
        },
        Meeting {
            name: "jobs of several tasks end far apart",
            troubles: &[LeaderEnds, NodeEnds],
            met: (LeaderEnds, LeaderEnds),
            plan: uneven,
        },
        Meeting {
            name: "leaders change again and again, also in an outage",
            troubles: &[LeaderEnds, LeaderEnds, LeaderRefused, StateDown, StateBack],
            met: (LeaderEnds, StateDown),
            plan: as_usual,
        },
        Meeting {
            name: "controllers hand over and back, all end, one returns at once",
            troubles: &[LeaderEnds, AllEnd, AllBlink, NodeBlinks],
            met: (LeaderEnds, AllEnd),
            plan: as_usual,
        },
        Meeting {
            name: "all controllers are away for longer than a lease",
            troubles: &[AllAway, CancelNow, NodeBlinks],
            met: (AllAway, CancelNow),
            plan: uneven,
        },
    ]);
}

#[test]
fn jobs_are_cancelled() {
    bring_about(&[
        Meeting {
            name: "while one controller's work changes hands",
            troubles: &[CancelNow, CancelNow, LeaderEnds, CloseLooks],
            met: (CancelNow, LeaderEnds),
            plan: uneven,
        },
        Meeting {
            name: "while machines hang or are cut off, all teams are at their limits and the leader changes",
            troubles: &[CancelNow, MachinesHang, MachinesCut, LeaderEnds],
            met: (CancelNow, TeamsAtLimit),
            plan: full,
        },
        Meeting {
            name: "while the state service refuses the leader, or everybody, or is slow",
            troubles: &[CancelNow, LeaderRefused, StateDown, StateBack, SlowState, CloseLooks],
            met: (CancelNow, LeaderRefused),
            plan: uneven,
        },
        Meeting {
            name: "through another node while the leader hears only workers and users",
            troubles: &[CancelNow, LeaderHearsOnlyWorkers, CloseLooks],
            met: (CancelNow, LeaderHearsOnlyWorkers),
            plan: uneven,
        },
        Meeting {
            name: "at the end of their last task",
            troubles: &[CancelAtEnd, CloseLooks],
            met: (CancelAtEnd, CloseLooks),
            plan: as_usual,
        },
        Meeting {
            name: "four a second, a quarter of them, of one task",
            troubles: &[CloseLooks, CancelAtEnd, LeaderEnds],
            met: (CloseLooks, LeaderEnds),
            plan: rush,
        },
        Meeting {
            name: "while a zone with a controller is cut off for longer than a lease",
            troubles: &[ZoneCut, CancelNow],
            met: (ZoneCut, CancelNow),
            plan: uneven,
        },
        Meeting {
            name: "whose machines can't report but can be commanded",
            troubles: &[MachinesMute, CancelNow, LeaderEnds],
            met: (MachinesMute, CancelNow),
            plan: uneven,
        },
    ]);
}

#[test]
fn messages_are_late() {
    bring_about(&[
        Meeting {
            name: "a report reaches every node as a new leader begins",
            troubles: &[ReportsForNext, LeaderEnds],
            met: (ReportsForNext, LeaderEnds),
            plan: uneven,
        },
        Meeting {
            name: "old reports after newer ones, also of earlier sessions",
            troubles: &[LateReports, MachinesReboot, MachinesCut],
            met: (LateReports, MachinesReboot),
            plan: as_usual,
        },
        Meeting {
            name: "transactions carried out late, after newer ones of the same node",
            troubles: &[LateWrites, CancelNow, NodeBlinks],
            met: (LateWrites, CancelNow),
            plan: as_usual,
        },
        Meeting {
            name: "transactions carried out whose answers are lost, while others read them",
            troubles: &[LostAnswers, CloseLooks, CancelAtEnd],
            met: (LostAnswers, CloseLooks),
            plan: as_usual,
        },
        Meeting {
            name: "a command or its answer is held up, and the machine goes on",
            troubles: &[MachinesHang, MachinesCut, SlowLinks, CancelNow],
            met: (MachinesHang, CancelNow),
            plan: uneven,
        },
    ]);
}

#[test]
fn users_ask_much() {
    bring_about(&[
        Meeting {
            name: "at all nodes within milliseconds, and repeat submissions",
            troubles: &[CloseLooks, LeaderEnds, SlowState],
            met: (CloseLooks, LeaderEnds),
            plan: as_usual,
        },
        Meeting {
            name: "odd things, in every state of leadership",
            troubles: &[OddRequests, LeaderEnds, StateDown, StateBack, LeaderRefused],
            met: (OddRequests, StateDown),
            plan: as_usual,
        },
        Meeting {
            name: "for more than there is, urgent and not, over slow links",
            troubles: &[SlowLinks, SlowLinks, CancelNow],
            met: (SlowLinks, CancelNow),
            plan: full,
        },
        Meeting {
            name: "for jobs bound to a zone that loses machines",
            troubles: &[MachinesReboot, MachinesCut, MachinesHang, LeaderEnds],
            met: (MachinesCut, LeaderEnds),
            plan: bound,
        },
    ]);
}

//! The rules and troubles that users added: each trouble alone, and what each must not lead to. They
//! are mixed with all others in the days of `main`.

use super::world::{Plan, Trouble, World};
use super::{day, unfinished};
use rudderreel_core::{Input, Node, Output, StoreAnswer, StoreCall};
use rudderreel_wire::ids::{Epoch, Incarnation, JobId, MachineId, Seq, Version};
use rudderreel_wire::job::Kind;
use rudderreel_wire::state::Page;
use rudderreel_wire::worker::{StatusReport, TaskState, TaskStatus};

fn alone(only: Trouble, nodes: usize, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let plan = Plan {
            nodes,
            only: vec![only],
            jobs: 30,
            ..Plan::default()
        };
        day(seed, plan);
    }
}

/// Processes that are back within a fraction of a second, one or all, also in the middle of an
/// election, of raising the epoch or of recording starts.
#[test]
fn quick_returns() {
    alone(Trouble::NodeBlinks, 3, 500..502);
    alone(Trouble::AllBlink, 5, 502..504);
}

/// A node without state service and peers, but with its workers.
#[test]
fn nodes_that_hear_only_workers() {
    alone(Trouble::HearsOnlyWorkers, 3, 510..512);
    alone(Trouble::HearsOnlyWorkers, 5, 512..514);
}

#[test]
fn machines_that_hear_nobody() {
    alone(Trouble::MachinesDeaf, 3, 520..522);
    alone(Trouble::MachinesDeaf, 5, 522..524);
}

/// Zones that are cut off from everything while their nodes and machines go on inside, mixed with
/// all other troubles.
#[test]
fn cut_zones() {
    for seed in 515..518 {
        let plan = Plan {
            nodes: 5,
            zones: true,
            spread: seed % 2 == 0,
            jobs: 40,
            ..Plan::default()
        };
        day(seed, plan);
    }
}

/// When a zone with many machines was cut off, its machines were probed and returned, with all that
/// ran on them, which a cut shorter than a lease does not harm.
#[test]
fn a_zone_behind_a_cut_is_left_alone() {
    let plan = Plan {
        machines: 60,
        jobs: 60,
        pace: 120,
        large: true,
        lease_s: 20,
        ..Plan::default()
    };
    let mut world = World::of(540, plan);
    world.run_until(40_000);
    // The zone in which the leader is not.
    let leader = world.leader().expect("a leader");
    let partitioned_zones = ["b", "a"][leader % 2];
    let there = |world: &World| -> Vec<MachineId> {
        let all = world
            .workers
            .iter()
            .filter(|(_, w)| w.zone() == partitioned_zones);
        all.map(|(id, _)| id.clone()).collect()
    };
    let before = there(&world);
    assert!(before.len() >= 10, "{} machines", before.len());
    let until = world.now + 15_000;
    world.cut_zone(partitioned_zones, until);
    world.run_until(until);
    let gone = before.iter().filter(|id| !world.cloud.has(id)).count();
    assert_eq!(gone, 0, "machines were given up");
    world.run_until(240_000);
    assert_eq!(unfinished(&world), Vec::<String>::new());
}

/// A leader that no worker reaches, and that reaches none, makes way though other nodes pass reports
/// on to it. The others sent it all their workers, since it seemed to have none, again and again.
#[test]
fn a_leader_that_reaches_no_worker_makes_way() {
    let plan = Plan {
        nodes: 5,
        spread: true,
        machines: 60,
        jobs: 60,
        pace: 120,
        large: true,
        report_s: 2.0,
        lease_s: 12,
        ..Plan::default()
    };
    let mut world = World::of(541, plan);
    world.run_until(40_000);
    let old = world.leader().expect("a leader");
    let until = world.now + 30_000;
    world.cut_workers(old, until);
    world.run_until(until - 10_000);
    assert_ne!(world.leader(), Some(old), "it goes on leading");
    // A worker that finds no node for a while may lose its lease.
    let lost = world
        .workers
        .values()
        .filter(|w| w.incarnation.0 > 1)
        .count();
    assert!(lost <= 3, "{lost} leases ran out");
}

/// A leader that hears only workers stops giving 200 within its bound, and sends them away so that
/// they find the one that follows it; a follower like it never gives any.
#[test]
fn a_cut_leader_stops_and_another_follows() {
    let mut world = World::of(530, Plan::default());
    world.run_until(60_000);
    let old = world.leader().expect("a leader");
    let until = world.now + 40_000;
    world.cut_but_for_workers(old, until);
    // Its lease of 3 s, the election, and a little.
    world.run_until(world.now + 8_000);
    let id = world.workers.keys().next().cloned().expect("a machine");
    let asked = world.inject(old, report(&id, 1, 1));
    assert_ne!(asked, 200, "the cut node answers workers");
    let (status, _) = world.admin(old, rudderreel_core::AdminRequest::Teams);
    assert_eq!(status, 503, "it takes itself for the leader");
    let new = world.leader().expect("another leader");
    assert_ne!(new, old);
    world.run_until(240_000);
    assert_eq!(unfinished(&world), Vec::<String>::new());
}

/// A machine whose reports arrive but that nothing reaches is told apart and returned, and what ran
/// there runs elsewhere; with the cloud away, what ran there does so once its next session shows
/// that it is gone, and nothing new goes there meanwhile.
#[test]
fn a_machine_that_hears_nobody_is_given_up() {
    for cloud_down in [false, true] {
        // As in the deployments: it is heard several times in a lease, though no answer reaches it.
        let plan = Plan {
            nodes: 5,
            spread: true,
            lease_s: 12,
            report_s: 4.0,
            ..Plan::default()
        };
        let mut world = World::of(540, plan);
        while world.busy_machine().is_none() {
            world.run_until(world.now + 500);
        }
        let id = world.busy_machine().expect("a machine with tasks");
        world.cloud.down = cloud_down;
        let worker = world.workers.get_mut(&id).expect("its worker");
        worker.deaf_until = u64::MAX;
        let starts = worker.starts;
        world.run_until(world.now + 45_000);
        match world.workers.get(&id) {
            None => assert!(!cloud_down),
            Some(worker) => {
                assert!(cloud_down, "it was not returned");
                assert_eq!(worker.starts, starts, "something was started there");
            }
        }
        world.cloud.down = false;
        world.run_until(300_000);
        assert_eq!(unfinished(&world), Vec::<String>::new());
    }
}

fn report(machine: &MachineId, incarnation: u64, seq: u64) -> StatusReport {
    StatusReport {
        machine: machine.clone(),
        addr: "10.2.0.1:1".into(),
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: false,
        incarnation: Incarnation(incarnation),
        seq: Seq(seq),
        token: Epoch(1),
        notice_s: None,
        tasks: Vec::new(),
    }
}

/// Reports that can't be right are answered at once, and change nothing: from machines nobody rented,
/// older than what is known, of a type and zone that don't exist, with a token nobody gave out, with
/// tasks nobody submitted.
#[test]
fn bad_reports_are_survived() {
    let mut world = World::of(550, Plan::default());
    world.run_until(40_000);
    let known = world.workers.keys().next().cloned().expect("a machine");
    let nobody = MachineId::from("vm-999999");
    let stranger: JobId = "wk-424242".parse().expect("an id");
    let mut odd = report(&nobody, 3, 1);
    odd.machine_type = "m-none".into();
    odd.zone = "nowhere".into();
    let mut high = report(&known, 900, 1);
    high.token = Epoch(1 << 60);
    let mut foreign = report(&MachineId::from("vm-999998"), 1, 1);
    foreign.tasks = vec![TaskStatus {
        task: stranger.task(7),
        attempt: rudderreel_wire::ids::Attempt(9),
        state: TaskState::Running,
        why: None,
        saved: None,
    }];
    for bad in [
        report(&nobody, 1, 1),
        report(&known, 0, 0),
        odd,
        high,
        foreign,
    ] {
        for node in 0..3 {
            let status = world.inject(node, bad.clone());
            assert!([200, 421, 503].contains(&status), "{status}");
        }
    }
    world.run_until(300_000);
    assert_eq!(unfinished(&world), Vec::<String>::new());
}

fn page() -> StoreAnswer {
    StoreAnswer::Page(Page {
        items: Vec::new(),
        more: false,
        revision: Version(7),
    })
}

/// After its watch has lost its place in an outage, a node reads everything again as soon as that
/// works, and watches on. It used to try once, and then missed every later change.
#[test]
fn a_lost_watch_is_taken_up_again() {
    let mut world = World::of(560, Plan::default());
    let mut core = Node::new(world.settings_of(0));
    let answer = |core: &mut Node, world: &mut World, first: Input, good: bool| -> bool {
        let mut next = Some(first);
        for _ in 0..200 {
            world.now += 20;
            let input = next.take().unwrap_or(Input::Tick);
            let mut outputs = core.step(input, world.clock_of(0));
            while let Some(output) = outputs.pop() {
                match output {
                    Output::Watch(_) => return true,
                    Output::State(id, call) => {
                        let list = matches!(call, StoreCall::List(..));
                        let got = if good && list {
                            page()
                        } else {
                            StoreAnswer::Refused
                        };
                        let at = world.clock_of(0);
                        outputs.extend(core.step(Input::State(id, at.time, got), at));
                    }
                    _ => {}
                }
            }
        }
        false
    };
    let ok = answer(&mut core, &mut world, Input::Tick, true);
    assert!(ok, "it watches");
    let away = !answer(&mut core, &mut world, Input::WatchLost, false);
    assert!(away, "the service is away");
    let ok = answer(&mut core, &mut world, Input::Tick, true);
    assert!(ok, "it watches again");
}

/// More is asked than there is room for, small work comes all the time, and most of it from one
/// team: the large array and the large gang begin all the same, and so does the other team's work,
/// also when leaders end meanwhile: the wait counts from submission.
#[test]
fn nobody_starves_in_a_crowd() {
    for (seed, take_overs) in [(300, false), (301, false), (302, true)] {
        let plan = Plan {
            jobs: 1_000,
            crowd: true,
            pace: 64,
            ..Plan::default()
        };
        let mut world = World::of(seed, plan);
        for at in (30..420).step_by(30) {
            world.run_until(at * 1_000);
            if take_overs {
                if let Some(leader) = world.leader() {
                    world.blink(leader);
                }
            }
        }
        assert!(world.jobs.values().any(|t| t.spec.kind == Kind::Gang));
        world.check_served();
    }
}

//! The rules and faults that users added: each fault alone, and what each must not lead to. They
//! are mixed with all others in the days of `main`.

use super::world::{Fault, Scenario, World};
use super::{day, unfinished};
use rudderreel_core::{Input, Node, Output, StoreAnswer, StoreCall};
use rudderreel_wire::ids::{Epoch, Incarnation, JobId, MachineId, Seq, Version};
use rudderreel_wire::job::Kind;
use rudderreel_wire::state::Page;
use rudderreel_wire::worker::{StatusReport, TaskState, TaskStatus};

fn alone(only: Fault, nodes: usize, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let scenario = Scenario {
            nodes,
            fault_kinds: vec![only],
            jobs: 30,
            ..Scenario::default()
        };
        day(seed, scenario);
    }
}

/// Processes that are back within a fraction of a second, one or all, also in the middle of an
/// election, of bumping the epoch or of recording starts.
#[test]
fn quick_returns() {
    alone(Fault::NodeRestartsQuickly, 3, 500..502);
    alone(Fault::AllNodesRestartQuickly, 5, 502..504);
}

/// A node without store and peers, but with its agents.
#[test]
fn nodes_that_hear_only_workers() {
    alone(Fault::NodeReachesOnlyAgents, 3, 510..512);
    alone(Fault::NodeReachesOnlyAgents, 5, 512..514);
}

#[test]
fn machines_that_hear_nobody() {
    alone(Fault::MachinesUnreachable, 3, 520..522);
    alone(Fault::MachinesUnreachable, 5, 522..524);
}

/// Zones that are cut off from everything while their nodes and machines go on inside, mixed with
/// all other faults.
#[test]
fn cut_zones() {
    for seed in 515..518 {
        let scenario = Scenario {
            nodes: 5,
            zones: true,
            spread: seed % 2 == 0,
            jobs: 40,
            ..Scenario::default()
        };
        day(seed, scenario);
    }
}

/// When a zone with many machines was cut off, its machines were probed and returned, with all that
/// ran on them, which a cut shorter than a lease does not harm.
#[test]
fn a_zone_behind_a_cut_is_left_alone() {
    let scenario = Scenario {
        machines: 60,
        jobs: 60,
        user_interval_ms: 120,
        large: true,
        lease_s: 20,
        ..Scenario::default()
    };
    let mut world = World::of(540, scenario);
    world.run_until(40_000);
    // The zone in which the leader is not.
    let leader = world.leader().expect("a leader");
    let partitioned_zone = ["b", "a"][leader % 2];
    let there = |world: &World| -> Vec<MachineId> {
        let all = world
            .agents
            .iter()
            .filter(|(_, w)| w.zone() == partitioned_zone);
        all.map(|(id, _)| id.clone()).collect()
    };
    let before = there(&world);
    assert!(before.len() >= 10, "{} machines", before.len());
    let until = world.now + 15_000;
    world.partition_zone(partitioned_zone, until);
    world.run_until(until);
    let gone = before.iter().filter(|id| !world.cloud.has(id)).count();
    assert_eq!(gone, 0, "machines were given up");
    world.run_until(240_000);
    assert_eq!(unfinished(&world), Vec::<String>::new());
}

/// A leader that no agent reaches, and that reaches none, makes way though other nodes pass reports
/// on to it. The others sent it all their agents, since it seemed to have none, again and again.
#[test]
fn a_leader_that_reaches_no_worker_makes_way() {
    let scenario = Scenario {
        nodes: 5,
        spread: true,
        machines: 60,
        jobs: 60,
        user_interval_ms: 120,
        large: true,
        report_s: 2.0,
        lease_s: 12,
        ..Scenario::default()
    };
    let mut world = World::of(541, scenario);
    world.run_until(40_000);
    let old = world.leader().expect("a leader");
    let until = world.now + 30_000;
    world.cut_from_agents(old, until);
    world.run_until(until - 10_000);
    assert_ne!(world.leader(), Some(old), "it goes on leading");
    // An agent that finds no node for a while may lose its lease.
    let lost = world
        .agents
        .values()
        .filter(|w| w.incarnation.0 > 1)
        .count();
    assert!(lost <= 3, "{lost} leases ran out");
}

/// A leader that hears only agents stops giving 200 within its bound, and sends them away so that
/// they find the one that follows it; a follower like it never gives any.
#[test]
fn a_cut_leader_stops_and_another_follows() {
    let mut world = World::of(530, Scenario::default());
    world.run_until(60_000);
    let old = world.leader().expect("a leader");
    let until = world.now + 40_000;
    world.cut_from_all_but_agents(old, until);
    // Its lease of 3 s, the election, and a little.
    world.run_until(world.now + 8_000);
    let id = world.agents.keys().next().cloned().expect("a machine");
    let status = world.inject_report(old, report(&id, 1, 1));
    assert_ne!(status, 200, "the cut node answers workers");
    let (status, _) = world.admin(old, rudderreel_core::AdminRequest::Teams);
    assert_eq!(status, 503, "it takes itself for the leader");
    let new = world.leader().expect("another leader");
    assert_ne!(new, old);
    world.run_until(240_000);
    assert_eq!(unfinished(&world), Vec::<String>::new());
}

/// A machine whose reports arrive but that nothing reaches is told apart and returned, and what ran
/// there runs elsewhere; with the cloud away, what ran there does so once its next incarnation shows
/// that it is gone, and nothing new goes there meanwhile.
#[test]
fn a_machine_that_hears_nobody_is_given_up() {
    for cloud_down in [false, true] {
        // As in the deployments: it is heard several times in a lease, though no answer reaches it.
        let scenario = Scenario {
            nodes: 5,
            spread: true,
            lease_s: 12,
            report_s: 4.0,
            ..Scenario::default()
        };
        let mut world = World::of(540, scenario);
        while world.busy_machine().is_none() {
            world.run_until(world.now + 500);
        }
        let id = world.busy_machine().expect("a machine with tasks");
        world.cloud.down = cloud_down;
        let agent = world.agents.get_mut(&id).expect("its worker");
        agent.unreachable_until = u64::MAX;
        let starts = agent.starts;
        world.run_until(world.now + 45_000);
        match world.agents.get(&id) {
            None => assert!(!cloud_down),
            Some(agent) => {
                assert!(cloud_down, "it was not returned");
                assert_eq!(agent.starts, starts, "something was started there");
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
        reclaim_in_s: None,
        tasks: Vec::new(),
    }
}

/// Reports that can't be right are answered at once, and change nothing: from machines nobody rented,
/// older than what is known, of a type and zone that don't exist, with a token nobody gave out, with
/// tasks nobody submitted.
#[test]
fn bad_reports_are_survived() {
    let mut world = World::of(550, Scenario::default());
    world.run_until(40_000);
    let known = world.agents.keys().next().cloned().expect("a machine");
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
        cause: None,
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
            let status = world.inject_report(node, bad.clone());
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
    let mut world = World::of(560, Scenario::default());
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
                    Output::Store(id, call) => {
                        let list = matches!(call, StoreCall::List(..));
                        let got = if good && list {
                            page()
                        } else {
                            StoreAnswer::Refused
                        };
                        let at = world.clock_of(0);
                        outputs.extend(core.step(
                            Input::Store {
                                call: id,
                                sent_at: at.time,
                                answer: got,
                            },
                            at,
                        ));
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
        let scenario = Scenario {
            jobs: 1_000,
            crowd: true,
            user_interval_ms: 64,
            ..Scenario::default()
        };
        let mut world = World::of(seed, scenario);
        for at in (30..420).step_by(30) {
            world.run_until(at * 1_000);
            if take_overs {
                if let Some(leader) = world.leader() {
                    world.restart_quickly(leader);
                }
            }
        }
        assert!(world.jobs.values().any(|t| t.spec.kind == Kind::Gang));
        world.check_served();
    }
}

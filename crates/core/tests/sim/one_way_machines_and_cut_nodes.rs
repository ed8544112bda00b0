//! Nodes and machines that are reachable in one direction only or cut off, quick restarts, and invalid reports: each
//! fault alone, and the failures that it must not cause. The runs of `main` mix these faults with all others.

use super::world::{Fault, Scenario, World};
use super::{run_with_random_faults, unfinished};
use rudderreel_core::{Input, Node, Output, StoreAnswer, StoreCall};
use rudderreel_wire::ids::{FencingToken, Incarnation, JobId, MachineId, Seq, Version};
use rudderreel_wire::job::Kind;
use rudderreel_wire::state::Page;
use rudderreel_wire::worker::{StatusReport, TaskState, TaskStatus};

/// Runs a scenario for each seed, with one kind of fault only.
fn run_with_single_fault_kind(fault: Fault, nodes: usize, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let scenario = Scenario {
            nodes,
            fault_kinds: vec![fault],
            jobs: 30,
            ..Scenario::default()
        };
        run_with_random_faults(seed, scenario);
    }
}

/// One process or all processes restart within a fraction of a second, also in the middle of an election, while the
/// epoch is raised or while starts are recorded.
#[test]
fn rules_hold_when_nodes_restart_quickly() {
    run_with_single_fault_kind(Fault::NodeRestartsQuickly, 3, 500..502);
    run_with_single_fault_kind(Fault::AllNodesRestartQuickly, 5, 502..504);
}

/// A node is cut off from the store and from its peers, but still reaches its agents.
#[test]
fn rules_hold_when_a_node_reaches_only_agents() {
    run_with_single_fault_kind(Fault::NodeReachesOnlyAgents, 3, 510..512);
    run_with_single_fault_kind(Fault::NodeReachesOnlyAgents, 5, 512..514);
}

/// The machines' reports arrive, but nothing reaches the machines.
#[test]
fn rules_hold_when_machines_are_unreachable() {
    run_with_single_fault_kind(Fault::MachinesUnreachable, 3, 520..522);
    run_with_single_fault_kind(Fault::MachinesUnreachable, 5, 522..524);
}

/// Zones are cut off from everything outside while their nodes and machines keep running inside, mixed with all other
/// faults.
#[test]
fn rules_hold_when_zones_are_partitioned() {
    for seed in 515..518 {
        let scenario = Scenario {
            nodes: 5,
            zones: true,
            spread: seed % 2 == 0,
            jobs: 40,
            ..Scenario::default()
        };
        run_with_random_faults(seed, scenario);
    }
}

/// When a zone with many machines was partitioned, its machines used to be probed and returned, although a partition
/// shorter than a lease does not harm the tasks on them.
#[test]
fn machines_of_a_partitioned_zone_are_not_returned() {
    let scenario = Scenario {
        machines: 60,
        jobs: 60,
        user_interval_ms: 120,
        large: true,
        lease_s: 20,
        ..Scenario::default()
    };
    let mut world = World::with_scenario(540, scenario);
    world.run_until(40_000);
    // Partition the zone that the leader is not in.
    let leader = world.leader().expect("a leader");
    let partitioned_zone = ["b", "a"][leader % 2];
    let machines_in_zone = |world: &World| -> Vec<MachineId> {
        let all = world
            .agents
            .iter()
            .filter(|(_, w)| w.zone() == partitioned_zone);
        all.map(|(id, _)| id.clone()).collect()
    };
    let before = machines_in_zone(&world);
    assert!(before.len() >= 10, "{} machines", before.len());
    let until = world.now + 15_000;
    world.partition_zone(partitioned_zone, until);
    world.run_until(until);
    let returned = before.iter().filter(|id| !world.cloud.has(id)).count();
    assert_eq!(
        returned, 0,
        "machines of the partitioned zone were returned"
    );
    world.run_until(240_000);
    assert_eq!(unfinished(&world), Vec::<String>::new());
}

/// A leader that no agent reaches, and that reaches no agent, must be replaced although other nodes forward reports to
/// it. The other nodes used to redirect all their agents to it again and again, since it seemed to have none.
#[test]
fn leader_cut_from_agents_is_replaced() {
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
    let mut world = World::with_scenario(541, scenario);
    world.run_until(40_000);
    let old = world.leader().expect("a leader");
    let until = world.now + 30_000;
    world.cut_from_agents(old, until);
    world.run_until(until - 10_000);
    assert_ne!(
        world.leader(),
        Some(old),
        "the leader cut from agents still leads"
    );
    // The lease of an agent that finds no node for a while may expire.
    let lost_leases = world
        .agents
        .values()
        .filter(|w| w.incarnation.0 > 1)
        .count();
    assert!(lost_leases <= 3, "{lost_leases} leases expired");
}

/// A leader that is reachable only for agents must stop answering them with 200 within its bound, and redirect them so
/// that they find its successor. A follower in the same state never answers with 200.
#[test]
fn leader_that_reaches_only_agents_steps_down_and_is_replaced() {
    let mut world = World::with_scenario(530, Scenario::default());
    world.run_until(60_000);
    let old = world.leader().expect("a leader");
    let until = world.now + 40_000;
    world.cut_from_all_but_agents(old, until);
    // The leader's lease of 3 s, the election, and a margin.
    world.run_until(world.now + 8_000);
    let id = world.agents.keys().next().cloned().expect("a machine");
    let status = world.inject_report(old, report(&id, 1, 1));
    assert_ne!(
        status, 200,
        "the node cut from store and peers answers agents"
    );
    let (status, _) = world.admin(old, rudderreel_core::AdminRequest::Teams);
    assert_eq!(
        status, 503,
        "the node cut from store and peers answers as the leader"
    );
    let new = world.leader().expect("another leader");
    assert_ne!(new, old);
    world.run_until(240_000);
    assert_eq!(unfinished(&world), Vec::<String>::new());
}

/// A machine whose reports arrive but that nothing reaches must be recognized and returned, and its tasks run
/// elsewhere. While the cloud is down, its tasks run elsewhere once the agent's next incarnation shows that they are
/// gone, and no task is started on the machine meanwhile.
#[test]
fn unreachable_machine_is_returned_and_its_tasks_run_elsewhere() {
    for cloud_down in [false, true] {
        // As in the deployments: several reports arrive within a lease, though no answer reaches the agent.
        let scenario = Scenario {
            nodes: 5,
            spread: true,
            lease_s: 12,
            report_s: 4.0,
            ..Scenario::default()
        };
        let mut world = World::with_scenario(540, scenario);
        while world.busy_machine().is_none() {
            world.run_until(world.now + 500);
        }
        let id = world.busy_machine().expect("a machine with tasks");
        world.cloud.down = cloud_down;
        let agent = world.agents.get_mut(&id).expect("its agent");
        agent.unreachable_until = u64::MAX;
        let starts = agent.starts;
        world.run_until(world.now + 45_000);
        match world.agents.get(&id) {
            None => assert!(!cloud_down),
            Some(agent) => {
                assert!(cloud_down, "the machine was not returned");
                assert_eq!(
                    agent.starts, starts,
                    "a task was started on the unreachable machine"
                );
            }
        }
        world.cloud.down = false;
        world.run_until(300_000);
        assert_eq!(unfinished(&world), Vec::<String>::new());
    }
}

/// Returns a report without tasks.
fn report(machine: &MachineId, incarnation: u64, seq: u64) -> StatusReport {
    StatusReport {
        machine: machine.clone(),
        addr: "10.2.0.1:1".into(),
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: false,
        incarnation: Incarnation(incarnation),
        seq: Seq(seq),
        token: FencingToken(1),
        reclaim_in_s: None,
        tasks: Vec::new(),
    }
}

/// Reports that can't be correct are answered at once and change nothing: reports from machines that were not rented,
/// older than the last known one, with a machine type and zone that don't exist, with a token that was never issued, or
/// with tasks that were never submitted.
#[test]
fn invalid_reports_are_answered_and_change_nothing() {
    let mut world = World::with_scenario(550, Scenario::default());
    world.run_until(40_000);
    let known = world.agents.keys().next().cloned().expect("a machine");
    let unrented = MachineId::from("vm-999999");
    let unknown_job: JobId = "wk-424242".parse().expect("an id");
    let mut unknown_type_and_zone = report(&unrented, 3, 1);
    unknown_type_and_zone.machine_type = "m-none".into();
    unknown_type_and_zone.zone = "nowhere".into();
    let mut unknown_token = report(&known, 900, 1);
    unknown_token.token = FencingToken(1 << 60);
    let mut unknown_tasks = report(&MachineId::from("vm-999998"), 1, 1);
    unknown_tasks.tasks = vec![TaskStatus {
        task: unknown_job.task(7),
        attempt: rudderreel_wire::ids::Attempt(9),
        state: TaskState::Running,
        cause: None,
        saved: None,
    }];
    for invalid in [
        report(&unrented, 1, 1),
        report(&known, 0, 0),
        unknown_type_and_zone,
        unknown_token,
        unknown_tasks,
    ] {
        for node in 0..3 {
            let status = world.inject_report(node, invalid.clone());
            assert!([200, 421, 503].contains(&status), "{status}");
        }
    }
    world.run_until(300_000);
    assert_eq!(unfinished(&world), Vec::<String>::new());
}

/// Returns an answer of the store that lists no items.
fn empty_page() -> StoreAnswer {
    StoreAnswer::Page(Page {
        items: Vec::new(),
        more: false,
        revision: Version(7),
    })
}

/// After its watch has lost its position in an outage, a node must read everything again as soon as the store answers,
/// and open a watch. A node used to try once only, and then missed every later change.
#[test]
fn lost_watch_is_reopened_once_the_store_answers() {
    let mut world = World::with_scenario(560, Scenario::default());
    let mut core = Node::new(world.settings_of(0));
    // Feeds inputs to the node and answers its calls; returns whether it opens a watch within 200 steps.
    let opens_watch =
        |core: &mut Node, world: &mut World, first: Input, store_answers: bool| -> bool {
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
                            let store_answer = if store_answers && list {
                                empty_page()
                            } else {
                                StoreAnswer::Refused
                            };
                            let at = world.clock_of(0);
                            outputs.extend(core.step(
                                Input::Store {
                                    call: id,
                                    sent_at: at.time,
                                    answer: store_answer,
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
    let watches = opens_watch(&mut core, &mut world, Input::Tick, true);
    assert!(watches, "the node opened no watch");
    let stays_closed = !opens_watch(&mut core, &mut world, Input::WatchLost, false);
    assert!(
        stays_closed,
        "a watch was opened while the store refuses all calls"
    );
    let watches = opens_watch(&mut core, &mut world, Input::Tick, true);
    assert!(watches, "the node opened no watch after the outage");
}

/// Users submit more jobs than there is room for: a steady flow of small ones, most of them from one team. The large
/// array and the large gang must start nevertheless, and so must the other team's jobs, also when leaders restart
/// meanwhile: the wait counts from submission.
#[test]
fn large_jobs_and_the_smaller_team_start_under_overload() {
    for (seed, leader_restarts) in [(300, false), (301, false), (302, true)] {
        let scenario = Scenario {
            jobs: 1_000,
            crowd: true,
            user_interval_ms: 64,
            ..Scenario::default()
        };
        let mut world = World::with_scenario(seed, scenario);
        for at in (30..420).step_by(30) {
            world.run_until(at * 1_000);
            if leader_restarts {
                if let Some(leader) = world.leader() {
                    world.restart_quickly(leader);
                }
            }
        }
        assert!(world.jobs.values().any(|t| t.spec.kind == Kind::Gang));
        world.check_served();
    }
}

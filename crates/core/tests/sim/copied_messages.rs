//! Messages that were carried out and answered arrive once more: start commands above all, which an agent carries out
//! as long as token and incarnation match.

use super::cancellations_in_outages::{replicas, run_until_jobs_are_running, scripted_scenario};
use super::run_with_random_faults;
use super::world::{Scenario, UserAction, World};
use rudderreel_core::AdminRequest;
use rudderreel_wire::admin::Versioned;
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::{JobSpec, JobState, Kind, Priority};

/// Time within which a job's tasks start, end or stop when there are no faults.
const SETTLED_WITHIN_MS: u64 = 20_000;
/// Time after a copy by which its effect is over or known to the leader.
const EFFECT_WITHIN_MS: u64 = 30_000;
/// Time for which idle machines are kept, in seconds.
const KEEP_IDLE_S: f64 = 600.0;
/// Number of nodes, and whether reports are forwarded.
const CLUSTERS: [(usize, bool); 3] = [(3, false), (5, false), (5, true)];

/// What happens between the end of an attempt and the arrival of the copy.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Interlude {
    Nothing,
    Pause(u64),
    LeaderRestarts,
    MachinesRestart,
}

const INTERLUDES: [Interlude; 5] = [
    Interlude::Nothing,
    Interlude::Pause(1_000),
    Interlude::Pause(60_000),
    Interlude::LeaderRestarts,
    Interlude::MachinesRestart,
];

fn play_interlude(world: &mut World, interlude: Interlude) {
    match interlude {
        Interlude::Nothing => {}
        Interlude::Pause(ms) => world.run_until(world.now + ms),
        Interlude::LeaderRestarts => {
            let leader = world.leader().expect("a leader");
            world.restart_quickly(leader);
            world.run_until(world.now + SETTLED_WITHIN_MS);
        }
        Interlude::MachinesRestart => {
            world.affect_some_agents(1.0, |agent| agent.reboot());
            world.run_until(world.now + 1_000);
        }
    }
}

/// Keeps idle machines, so that copies of calls find their agents.
fn keep_idle_machines(world: &mut World) {
    let (_, present) = world.admin(0, AdminRequest::Settings);
    let mut replacement: Versioned = serde_json::from_value(present).expect("settings");
    replacement.settings.keep_idle_s = KEEP_IDLE_S;
    let request = AdminRequest::ReplaceSettings(Box::new(replacement));
    assert_eq!(world.admin(0, request).0, 200);
}

/// Runs the world until a condition holds. The world stops within milliseconds of that.
fn run_until_holds(world: &mut World, holds: impl Fn(&World) -> bool) {
    let latest = world.now + SETTLED_WITHIN_MS;
    let from = world.now;
    while !holds(world) {
        assert!(world.now < latest, "it does not come about from {from} on");
        world.run_until(world.now + 1);
    }
}

/// Returns whether no agent knows a task of a job any more.
fn is_forgotten(world: &World, id: &JobId) -> bool {
    let mut tasks = world.agents.values().flat_map(|agent| agent.tasks.values());
    !tasks.any(|task| task.task.job == *id)
}

fn array(n: u32, tasks: u32, priority: Priority) -> JobSpec {
    JobSpec {
        kind: Kind::Array,
        priority,
        ..replicas(n, tasks)
    }
}

fn submit(world: &mut World, spec: JobSpec) -> JobId {
    let id = spec.id.clone();
    world.add_job(spec);
    world.user_asks(0, &id, UserAction::Submit);
    id
}

/// Lets every call with a start of the job arrive once more, and checks that none of them starts a task.
fn check_copies_start_nothing(world: &mut World, id: &JobId) {
    assert!(
        world.deliver_copies_of_starts(id) > 0,
        "no start of {id} went by a direct call"
    );
    assert!(world.copied_calls.arrived > 0, "no copied call has arrived");
    world.run_until(world.now + EFFECT_WITHIN_MS);
    world.check_copied_calls();
}

#[test]
fn copy_of_a_carried_out_start_does_not_run_a_cancelled_task_again() {
    for (nodes, spread) in CLUSTERS {
        for (n, interlude) in INTERLUDES.into_iter().enumerate() {
            println!("{nodes} nodes, {spread}, {interlude:?}");
            let (mut world, ids, _) = run_until_jobs_are_running(1_700 + n as u64, nodes, spread);
            keep_idle_machines(&mut world);
            let id = &ids[0];
            world.user_asks(0, id, UserAction::Cancel);
            run_until_holds(&mut world, |world| {
                world.jobs[id].cancelled_at.is_some() && is_forgotten(world, id)
            });
            play_interlude(&mut world, interlude);
            check_copies_start_nothing(&mut world, id);
            assert_eq!(world.on_machines(id), 0);
        }
    }
}

#[test]
fn copy_of_a_carried_out_start_does_not_run_a_completed_task_again() {
    for (nodes, spread) in CLUSTERS {
        for (n, interlude) in INTERLUDES.into_iter().enumerate() {
            println!("{nodes} nodes, {spread}, {interlude:?}");
            let (mut world, _, _) = run_until_jobs_are_running(1_710 + n as u64, nodes, spread);
            keep_idle_machines(&mut world);
            let id = submit(&mut world, array(9, 2, Priority::Normal));
            run_until_holds(&mut world, |world| {
                world.results.get(&id).is_some_and(|done| done.len() == 2)
                    && is_forgotten(world, &id)
            });
            play_interlude(&mut world, interlude);
            check_copies_start_nothing(&mut world, &id);
        }
    }
}

/// Time that each task runs where tasks are moved, in milliseconds.
const LONG_RUN_MS: u64 = 300_000;

/// Returns a world in which tasks of a job were evicted and run in a new attempt on another machine, and the former
/// machine has room for them again.
fn run_until_evicted_tasks_run_elsewhere(seed: u64, nodes: usize, spread: bool) -> (World, JobId) {
    let scenario = Scenario {
        machines: 3,
        run_ms: Some((LONG_RUN_MS, 0)),
        ..scripted_scenario(nodes, spread)
    };
    let long = |spec: JobSpec| JobSpec {
        estimate_s: LONG_RUN_MS as f64 / 1e3,
        ..spec
    };
    let mut world = World::with_scenario(seed, scenario);
    world.run_until(16_000);
    keep_idle_machines(&mut world);
    let other = submit(&mut world, long(array(1, 4, Priority::Normal)));
    run_until_holds(&mut world, |world| world.on_machines(&other) == 4);
    let evicted = submit(&mut world, long(array(2, 8, Priority::Low)));
    run_until_holds(&mut world, |world| world.on_machines(&evicted) == 8);
    let urgent = submit(&mut world, long(array(3, 4, Priority::High)));
    run_until_holds(&mut world, |world| world.on_machines(&urgent) == 4);
    world.user_asks(0, &other, UserAction::Cancel);
    run_until_holds(&mut world, |world| world.on_machines(&evicted) == 8);
    world.user_asks(0, &urgent, UserAction::Cancel);
    run_until_holds(&mut world, |world| is_forgotten(world, &urgent));
    (world, evicted)
}

#[test]
fn copy_of_a_carried_out_start_does_not_run_a_moved_task_in_two_places() {
    for (nodes, spread) in CLUSTERS {
        for (n, interlude) in INTERLUDES.into_iter().enumerate() {
            println!("{nodes} nodes, {spread}, {interlude:?}");
            let seed = 1_720 + n as u64;
            let (mut world, id) = run_until_evicted_tasks_run_elsewhere(seed, nodes, spread);
            play_interlude(&mut world, interlude);
            check_copies_start_nothing(&mut world, &id);
        }
    }
}

/// Runs a world with random faults in which messages of all kinds are copied, and checks that no copied call has
/// started a task.
pub fn run_with_faults(seed: u64, nodes: usize, spread: bool) -> World {
    let scenario = Scenario {
        nodes,
        spread,
        copied_messages: true,
        jobs: 40,
        ..Scenario::default()
    };
    let world = run_with_random_faults(seed, scenario);
    world.check_copied_calls();
    world
}

#[test]
fn rules_hold_when_messages_that_were_carried_out_arrive_once_more() {
    // A run in which the cloud is away throughout the faults has no calls to copy.
    let arrived: u32 = (1_730..1_734)
        .flat_map(|seed| {
            [
                run_with_faults(seed, 3, false),
                run_with_faults(seed, 5, true),
            ]
        })
        .map(|world| world.copied_calls.arrived)
        .sum();
    assert!(arrived > 0, "no copied call has arrived");
}

#[test]
fn task_that_is_on_its_machine_again_after_its_exit_is_stopped() {
    for (nodes, spread) in CLUSTERS {
        let (mut world, ids, _) = run_until_jobs_are_running(1_740, nodes, spread);
        let id = &ids[0];
        world.user_asks(0, id, UserAction::Cancel);
        run_until_holds(&mut world, |world| {
            world.jobs[id].last == Some(JobState::Cancelled) && is_forgotten(world, id)
        });
        world.force_starts_once_more(id);
        assert!(world.on_machines(id) > 0 || !is_forgotten(&world, id));
        world.run_until(world.now + SETTLED_WITHIN_MS / 2);
        assert_eq!(world.on_machines(id), 0);
        assert!(is_forgotten(&world, id));
    }
}

/// Time within which a machine that is not heard is returned, and its tasks run elsewhere.
const REPLACED_WITHIN_MS: u64 = 60_000;

/// Number of messages that an agent has sent before it loses its counters. After few of them its reports soon count as
/// new again; after many it is not heard any more.
const SENT_BEFORE: [u64; 2] = [0, 100_000];

/// Each old copy matches the incarnation and token of such an agent, so nothing may rely on its reports.
#[test]
fn tasks_of_a_machine_that_lost_its_counters_run_again_and_never_in_two_places() {
    for (nodes, spread) in CLUSTERS {
        for sent_before in SENT_BEFORE {
            println!("{nodes} nodes, {spread}, {sent_before} messages");
            let (mut world, ids, _) = run_until_jobs_are_running(1_745, nodes, spread);
            let machine = world.busy_machine().expect("a machine with tasks");
            (world.agents.get_mut(&machine).expect("its agent")).skip_sequence_numbers(sent_before);
            world.run_until(world.now + 5_000);
            let now = world.now;
            (world.agents.get_mut(&machine).expect("its agent")).lose_counters(now);
            let on_others = |world: &World| {
                (world.agents.iter())
                    .filter(|(id, _)| **id != machine)
                    .flat_map(|(_, agent)| agent.tasks.values())
                    .filter(|task| task.on_machine())
                    .count()
            };
            let left = on_others(&world);
            while sent_before > 0 && world.agents.contains_key(&machine) {
                assert_eq!(on_others(&world), left, "a task was started elsewhere");
                assert!(world.now < now + REPLACED_WITHIN_MS, "it is not returned");
                world.run_until(world.now + 1);
            }
            world.run_until(now + REPLACED_WITHIN_MS);
            for id in &ids {
                assert_eq!(world.on_machines(id), 2, "{id} runs again");
            }
        }
    }
}

/// Number of short tasks that run on one machine, and the CPUs that each takes.
const SHORT_TASKS: u32 = 1_500;
const SHORT_TASK_CPUS: f64 = 0.1;
/// Time that a short task runs, in milliseconds.
const SHORT_RUN_MS: u64 = 1_000;
/// Time within which the short tasks end, however they are started, in milliseconds.
const SHORT_TASKS_WITHIN_MS: u64 = 600_000;

/// Attempts that wait to be forgotten must not make a report longer than the protocol allows, which the world checks.
#[test]
fn thousands_of_short_tasks_on_one_machine_make_no_report_too_long() {
    for (nodes, spread) in CLUSTERS {
        let scenario = Scenario {
            machines: 1,
            run_ms: Some((SHORT_RUN_MS, 0)),
            ..scripted_scenario(nodes, spread)
        };
        let mut world = World::with_scenario(1_750, scenario);
        world.run_until(16_000);
        let spec = JobSpec {
            cpus: SHORT_TASK_CPUS,
            memory_gb: SHORT_TASK_CPUS,
            estimate_s: SHORT_RUN_MS as f64 / 1e3,
            ..array(1, SHORT_TASKS, Priority::Normal)
        };
        let submitted_at = world.now;
        let id = submit(&mut world, spec);
        while world.jobs[&id].last != Some(JobState::Done) {
            assert!(world.now < submitted_at + SHORT_TASKS_WITHIN_MS);
            world.user_asks(0, &id, UserAction::Status);
            world.run_until(world.now + 100);
        }
        println!(
            "{nodes} nodes, {spread}: {SHORT_TASKS} tasks on one machine, done after {} ms, longest report {} bytes",
            world.now - submitted_at,
            world.longest_report_bytes
        );
    }
}

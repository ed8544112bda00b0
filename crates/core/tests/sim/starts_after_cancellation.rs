//! Start commands that a leader would send after a user was told that the job is cancelled.
//!
//! Another node confirms the cancellation. The leader does not learn of it, but may still start tasks by its lease.

use super::cancellations_in_outages::{
    replicas, request_until_confirmed, run_until_jobs_are_running, AnswerPath, ANSWER_PATHS,
};
use super::world::{UserAction, World};
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::{Kind, Priority};

/// Time within which a submitted job is started.
const START_WITHIN_MS: u64 = 10_000;
/// Time within which a user is told of a cancellation: the lease of a leader that can't be reached, and a retry.
const CONFIRMED_WITHIN_MS: u64 = 5_000;
/// Duration of the cut.
const CUT_MS: u64 = 12_000;
/// Time after which a node no longer counts a leader as reachable whose heartbeats it does not receive.
const LEADER_UNHEARD_AFTER_MS: u64 = 1_700;

/// Time after which a node that the store refuses forwards its users' requests.
const STORE_SILENCE_NOTICED_AFTER_MS: u64 = 1_500;

/// Whether the node that confirms the cancellation has heard the leader shortly before.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LeaderContact {
    Recent,
    Lost,
}

/// Submits an array at a node, and returns its id once a start command was decided on.
pub fn submit_and_wait_for_start(world: &mut World, tasks: u32, node: usize) -> JobId {
    let mut spec = replicas(9, tasks);
    (spec.kind, spec.priority) = (Kind::Array, Priority::Normal);
    let id = spec.id.clone();
    world.add_job(spec);
    let started_before = world.start_commands;
    world.user_asks(node, &id, UserAction::Submit);
    let latest = world.now + START_WITHIN_MS;
    while world.start_commands == started_before {
        assert!(world.now < latest, "no start command was sent for {id}");
        world.run_until(world.now + 1);
    }
    id
}

/// Submits an array of one task and returns its id once its start command was sent. The command does not reach the
/// agent, so the leader repeats it with each answer to the agent's reports.
fn submit_job_whose_start_is_repeated(world: &mut World, node: usize, until: u64) -> JobId {
    for agent in world.agents.values_mut() {
        agent.unreachable_until = until;
    }
    submit_and_wait_for_start(world, 1, node)
}

/// Cuts the leader off from the store and the other nodes while it repeats a start, and cancels the job at another
/// node, which has to confirm the cancellation in time.
fn cancel_while_leader_is_cut(seed: u64, nodes: usize, path: AnswerPath, contact: LeaderContact) {
    let (mut world, _, leader) = run_until_jobs_are_running(seed, nodes, false);
    let end = world.now + START_WITHIN_MS + CUT_MS;
    let answering_node = (leader + 1) % nodes;
    if path == AnswerPath::ForwardedCancellation {
        world.cut_from_store(answering_node, end);
        world.run_until(world.now + STORE_SILENCE_NOTICED_AFTER_MS);
    }
    if contact == LeaderContact::Lost {
        world.cut_from_peers(leader, end);
        world.run_until(world.now + LEADER_UNHEARD_AFTER_MS);
    }
    let id = submit_job_whose_start_is_repeated(&mut world, leader, end);
    let is_cancelled_elsewhere = matches!(
        path,
        AnswerPath::StatusRequest | AnswerPath::RepeatedSubmission
    );
    if is_cancelled_elsewhere {
        world.cancel_without_waiting((leader + 2) % nodes, &id);
    }
    world.cut_from_all_but_agents(leader, end);
    let latest = world.now + CONFIRMED_WITHIN_MS;
    request_until_confirmed(&mut world, answering_node, &id, path, latest);
    world.run_until(end);
    world.check_starts();
    world.end_faults();
    world.run_until(world.now + 60_000);
    assert_eq!(world.on_machines(&id), 0);
}

/// The leader's own acknowledgement was awaited for 150 ms, and not at all if the leader was not heard. After that a
/// majority sufficed, although the leader may start tasks for 3 s after it last read the changes.
#[test]
fn cut_off_leader_starts_no_task_after_the_cancellation_was_confirmed() {
    for (n, path) in ANSWER_PATHS.into_iter().enumerate() {
        for nodes in [3, 5] {
            for contact in [LeaderContact::Recent, LeaderContact::Lost] {
                let seed = 1_500 + n as u64;
                println!("seed {seed}, {nodes} nodes, {path:?}, {contact:?}");
                cancel_while_leader_is_cut(seed, nodes, path, contact);
            }
        }
    }
}

/// Time for which direct calls wait in the leader's process.
const CALL_WAIT_MS: u64 = 1_000;

/// A direct call with a start waited in the leader's process for a free thread. Meanwhile the leader learned that the
/// job is cancelled, and acknowledged that, so that the user was told; then the call was sent. The same happened if the
/// leader stepped down while the call waited.
#[test]
fn queued_start_is_not_sent_after_the_cancellation_was_confirmed() {
    for seed in 1_510..1_514 {
        for steps_down in [false, true] {
            println!("seed {seed}, steps down: {steps_down}");
            let nodes = 3;
            let (mut world, _, leader) = run_until_jobs_are_running(seed, nodes, false);
            world.delay_direct_calls(leader, world.now + START_WITHIN_MS);
            let id = submit_and_wait_for_start(&mut world, 1, leader);
            world.delay_direct_calls(leader, world.now + CALL_WAIT_MS);
            if steps_down {
                world.end_leases();
            }
            let latest = world.now + CONFIRMED_WITHIN_MS;
            let answering_node = (leader + 1) % nodes;
            let path = AnswerPath::Cancellation;
            request_until_confirmed(&mut world, answering_node, &id, path, latest);
            world.run_until(world.now + CUT_MS);
            world.check_starts();
            assert_eq!(world.on_machines(&id), 0);
        }
    }
}

//! Processes that are paused while their clocks run on, without and with other faults.

use super::cancellations_in_outages::run_until_jobs_are_running;
use super::run_with_random_faults;
use super::starts_after_cancellation::submit_and_wait_for_start;
use super::world::Fault::{self, *};
use super::world::{Scenario, UserAction, World};
use rudderreel_wire::ids::JobId;

/// Time by which the pause of the leader exceeds the time for which cancelled tasks may remain.
const PAUSE_BEYOND_CANCEL_MS: u64 = 4_000;
/// Time between the end of the store's outage and the end of the leader's pause.
const OUTAGE_ENDS_BEFORE_RESUME_MS: u64 = 50;

/// Repeats a cancellation at a node until it is confirmed. Panics if that has not happened by `until`.
fn cancel_until_confirmed(world: &mut World, node: usize, id: &JobId, until: u64) {
    while world.jobs[id].cancelled_at.is_none() && world.now < until {
        world.user_asks(node, id, UserAction::Cancel);
        world.run_until(world.now + 100);
    }
    assert!(
        world.jobs[id].cancelled_at.is_some(),
        "no answer says that {id} is cancelled"
    );
}

/// A leader's process was paused for 56 s while the store was down intermittently, for one or two seconds at a time, so
/// that the leader's lease never expired there and no other node could be elected. Meanwhile the other nodes confirmed
/// cancellations, which a majority knew. After the pause the leader renewed its lease within milliseconds, but its
/// watch, whose call had timed out, was opened again only 0.3 s later. In between the leader took the tasks of the
/// cancelled jobs for lost, placed and started them again, and stopped them only when the watch had caught up. As
/// logged: the lease was renewed with cache_age_ms=56832; 21 ms later followed "start sent" with lease_left_ms=2967
/// and cache_revision=323, while the job had been cancelled at revision 328.
#[test]
fn resumed_leader_starts_no_task_of_a_cancelled_job() {
    for seed in 1_300..1_320 {
        for nodes in [3, 5] {
            println!("seed {seed}, {nodes} nodes");
            pause_leader_and_cancel(seed, nodes);
        }
    }
}

fn pause_leader_and_cancel(seed: u64, nodes: usize) {
    let (mut world, ids, leader) = run_until_jobs_are_running(seed, nodes, false);
    let pause_ends = world.now + world.cancel_ms() + PAUSE_BEYOND_CANCEL_MS;
    world.pause(leader, pause_ends);
    world.begin_intermittent_outage(pause_ends);
    let cancelling_node = (leader + 1) % nodes;
    // The leader's open watch holds the first change; the leader has received none of the later ones when it resumes.
    for id in &ids[..2] {
        cancel_until_confirmed(&mut world, cancelling_node, id, pause_ends);
    }
    world.run_until(pause_ends - OUTAGE_ENDS_BEFORE_RESUME_MS);
    world.end_intermittent_outage();
    world.run_until(pause_ends);
    assert_eq!(
        world.leader_by_store(),
        Some(leader),
        "the paused leader's lease has expired"
    );
    world.run_until(pause_ends + 10_000);
    world.check_starts();
    world.end_faults();
    world.run_until(world.now + 100_000);
    for id in &ids[..2] {
        assert_eq!(world.on_machines(id), 0);
    }
    assert_eq!(
        world.on_machines(&ids[2]),
        2,
        "the job that was not cancelled runs again"
    );
}

/// A leader's process was paused between the step that decided on a start and the sending of the command. Right
/// afterwards another node confirmed the cancellation of the job. Then the store was down for the whole pause, and
/// other nodes stood in for the leader, so that the agents' leases were renewed under the same token. When the process
/// resumed it sent the command unchanged, and the agent, whose token and incarnation still matched, carried it out
/// long after the task had to be gone. The start had been checked correctly, but the time was not checked again before
/// the command was sent.
#[test]
fn start_command_delayed_by_a_pause_is_not_sent() {
    for seed in 1_400..1_412 {
        println!("seed {seed}");
        pause_while_starting(seed);
    }
}

fn pause_while_starting(seed: u64) {
    let nodes = 5;
    let (mut world, _, leader) = run_until_jobs_are_running(seed, nodes, false);
    let id = submit_and_wait_for_start(&mut world, 2, leader);
    let pause_ends = world.now + world.cancel_ms() + PAUSE_BEYOND_CANCEL_MS;
    world.pause(leader, pause_ends);
    let cancelling_node = (leader + 1) % nodes;
    cancel_until_confirmed(&mut world, cancelling_node, &id, pause_ends);
    world.store.set_down(true, world.now);
    world.run_until(pause_ends + 5_000);
    world.end_faults();
    world.run_until(world.now + 60_000);
    assert_eq!(world.on_machines(&id), 0);
}

/// The same fault without a pause: a leader's watch gets no answer, and no other node reaches the leader, while its
/// lease is renewed all the time. The leader used to keep answering agents, so that the tasks of a cancelled job kept
/// running: a renewed lease does not show which changes were committed meanwhile. The leader must read the changes
/// itself.
#[test]
fn leader_with_a_hanging_watch_keeps_no_task_of_a_cancelled_job() {
    for (seed, nodes) in [(1_420, 3), (1_421, 5)] {
        let (mut world, ids, leader) = run_until_jobs_are_running(seed, nodes, false);
        let end = world.now + world.cancel_ms() + PAUSE_BEYOND_CANCEL_MS;
        world.hang_watch(leader, end);
        world.cut_from_peers(leader, end);
        let cancelling_node = (leader + 1) % nodes;
        cancel_until_confirmed(&mut world, cancelling_node, &ids[0], end);
        world.run_until(end);
        assert_eq!(
            world.leader_by_store(),
            Some(leader),
            "the leader was replaced"
        );
        assert_eq!(world.on_machines(&ids[0]), 0);
        assert_eq!(
            world.on_machines(&ids[1]),
            2,
            "the other job no longer runs"
        );
        world.check_starts();
    }
}

/// Sets of faults that are injected together, each with pauses.
const FAULT_SETS: [&[Fault]; 6] = [
    &[LeaderPauses, NodePauses],
    &[LeaderPauses, StoreDownIntermittently, JobsCancelled],
    &[
        SeveralNodesPause,
        StoreDownIntermittently,
        JobsCancelled,
        RapidStatusRequests,
    ],
    &[
        LeaderPauses,
        StoreRefusesLeader,
        StoreDown,
        StoreRecovers,
        JobsCancelled,
    ],
    &[
        LeaderPauses,
        LateWrites,
        LostAnswers,
        LeaderCrashes,
        JobsCancelled,
        JobsCancelledAtCompletion,
    ],
    &[
        SeveralNodesPause,
        NodePauses,
        NodeCutFromPeers,
        LeaderReachesOnlyAgents,
        MachinesPartitioned,
        MachinesUnreachable,
        LateReports,
        JobsCancelled,
    ],
];

/// Runs a scenario with pauses. The seed determines the other faults, and whether reports are forwarded.
pub fn run_with_faults(seed: u64, nodes: usize) {
    let scenario = Scenario {
        nodes,
        spread: seed / FAULT_SETS.len() as u64 % 2 == 1,
        fault_kinds: FAULT_SETS[(seed % FAULT_SETS.len() as u64) as usize].to_vec(),
        jobs: 40,
        ..Scenario::default()
    };
    run_with_random_faults(seed, scenario);
}

/// Runs two seeds per set of faults; `many_seeds` runs more by hand.
#[test]
fn rules_hold_while_processes_are_paused() {
    for seed in 0..FAULT_SETS.len() as u64 * 2 {
        for nodes in [3, 5] {
            run_with_faults(seed, nodes);
        }
    }
}

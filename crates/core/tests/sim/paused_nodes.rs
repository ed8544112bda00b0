//! Processes that stand still while their clocks run on, alone and together with other faults.

use super::cancellations_in_outages::{play_until_running, replicas};
use super::day;
use super::world::Fault::{self, *};
use super::world::{Scenario, UserAction, World};
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::{Kind, Priority};

/// How much longer than cancelled tasks may remain the leader stands still.
const PAUSE_BEYOND_CANCEL_MS: u64 = 4_000;
/// A job that was submitted is started within this time.
const START_WITHIN_MS: u64 = 10_000;
/// The store answers again shortly before it goes on.
const OUTAGE_ENDS_BEFORE_MS: u64 = 50;

/// Cancels a job at a node until its user has been told.
fn cancel_until_told(world: &mut World, node: usize, id: &JobId, until: u64) {
    while world.jobs[id].cancelled_at.is_none() && world.now < until {
        world.user_asks(node, id, UserAction::Cancel);
        world.run_until(world.now + 100);
    }
    assert!(
        world.jobs[id].cancelled_at.is_some(),
        "the user was not told that {id} is cancelled"
    );
}

/// A leader's process stood still for 56 s, and meanwhile the store was down in spells of one or two seconds, so that
/// the leader's lease never ran out there and no other node could win. Users cancelled jobs at the other nodes, which
/// a majority knew, and were told so. When the process went on it renewed its lease within milliseconds, while its
/// watch, whose call had run out of time, began again only 0.3 s later. In between it took the tasks of the cancelled
/// jobs for lost, placed them anew and started them; it stopped them when the watch had caught up. Log lines of
/// such a leader settled it: it renewed its lease with cache_age_ms=56832, and 21 ms later came "start sent" with
/// lease_left_ms=2967 and cache_revision=323, while the job had been cancelled at revision 328.
#[test]
fn a_leader_that_stood_still_starts_no_task_of_a_cancelled_job() {
    for seed in 1_300..1_320 {
        for nodes in [3, 5] {
            println!("seed {seed}, {nodes} nodes");
            pause_leader_and_cancel(seed, nodes);
        }
    }
}

fn pause_leader_and_cancel(seed: u64, nodes: usize) {
    let (mut world, ids, leader) = play_until_running(seed, nodes, false);
    let pause_ends = world.now + world.cancel_ms() + PAUSE_BEYOND_CANCEL_MS;
    world.pause(leader, pause_ends);
    world.begin_outage_spells(pause_ends);
    let canceller = (leader + 1) % nodes;
    // The leader's open watch holds the first change; of the next ones it has heard nothing when it goes on.
    for id in &ids[..2] {
        cancel_until_told(&mut world, canceller, id, pause_ends);
    }
    world.run_until(pause_ends - OUTAGE_ENDS_BEFORE_MS);
    world.end_outage_spells();
    world.run_until(pause_ends);
    assert_eq!(
        world.leader_by_store(),
        Some(leader),
        "its lease has run out"
    );
    world.run_until(pause_ends + 10_000);
    world.check_starts();
    world.end_faults();
    world.run_until(world.now + 100_000);
    for id in &ids[..2] {
        assert_eq!(world.on_machines(id), 0);
    }
    assert_eq!(world.on_machines(&ids[2]), 2, "others run again");
}

/// A leader's process stopped between the step that decided on a start and the sending of it. Its user cancelled the job
/// at another node right afterwards and was told so; then the store was down for the whole pause, and other nodes stood
/// in for the leader, so that the agents' leases went on under the same token. When the process went on it sent the
/// start as it was, and the agent, whose token and incarnation still matched, carried it out long after the task had to
/// be gone. The check of a start was right when it was made, and nothing looked at the time again before the sending.
#[test]
fn a_start_that_was_held_up_in_the_process_is_not_sent_late() {
    for seed in 1_400..1_412 {
        println!("seed {seed}");
        pause_while_starting(seed);
    }
}

fn pause_while_starting(seed: u64) {
    let nodes = 5;
    let (mut world, _, leader) = play_until_running(seed, nodes, false);
    let mut spec = replicas(9, 2);
    (spec.kind, spec.priority) = (Kind::Array, Priority::Normal);
    let id = spec.id.clone();
    world.add_job(spec);
    let started_before = world.start_commands;
    world.user_asks(leader, &id, UserAction::Submit);
    let latest = world.now + START_WITHIN_MS;
    while world.start_commands == started_before {
        assert!(world.now < latest, "no start is sent");
        world.run_until(world.now + 1);
    }
    let pause_ends = world.now + world.cancel_ms() + PAUSE_BEYOND_CANCEL_MS;
    world.pause(leader, pause_ends);
    let canceller = (leader + 1) % nodes;
    cancel_until_told(&mut world, canceller, &id, pause_ends);
    world.store.set_down(true, world.now);
    world.run_until(pause_ends + 5_000);
    world.end_faults();
    world.run_until(world.now + 60_000);
    assert_eq!(world.on_machines(&id), 0);
}

/// The same flaw without any pause: the watch of a leader gets no answer, and no other node reaches the leader, while its
/// lease is renewed all the time. It went on answering agents and kept the tasks of a cancelled job running, since its
/// lease said nothing of what had been committed meanwhile. Now it reads the changes itself.
#[test]
fn a_leader_whose_watch_hangs_keeps_no_task_of_a_cancelled_job() {
    for (seed, nodes) in [(1_420, 3), (1_421, 5)] {
        let (mut world, ids, leader) = play_until_running(seed, nodes, false);
        let end = world.now + world.cancel_ms() + PAUSE_BEYOND_CANCEL_MS;
        world.hang_watch(leader, end);
        world.cut_from_peers(leader, end);
        let canceller = (leader + 1) % nodes;
        cancel_until_told(&mut world, canceller, &ids[0], end);
        world.run_until(end);
        assert_eq!(world.leader_by_store(), Some(leader), "it leads on");
        assert_eq!(world.on_machines(&ids[0]), 0);
        assert_eq!(world.on_machines(&ids[1]), 2, "others run on");
        world.check_starts();
    }
}

/// What comes together with pauses.
const DAYS: [&[Fault]; 6] = [
    &[LeaderPauses, NodePauses],
    &[LeaderPauses, StoreDownInSpells, JobsCancelled],
    &[
        SeveralNodesPause,
        StoreDownInSpells,
        JobsCancelled,
        RapidStatusRequests,
    ],
    &[
        LeaderPauses,
        StoreRefusesLeader,
        StoreDown,
        StoreBack,
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

/// Plays a day with pauses; which other faults come, and whether reports are forwarded, follows from the seed.
pub fn play(seed: u64, nodes: usize) {
    let scenario = Scenario {
        nodes,
        spread: seed / DAYS.len() as u64 % 2 == 1,
        fault_kinds: DAYS[(seed % DAYS.len() as u64) as usize].to_vec(),
        jobs: 40,
        ..Scenario::default()
    };
    day(seed, scenario);
}

/// A short soak; `many_seeds` plays more by hand.
#[test]
fn the_rules_hold_while_processes_stand_still() {
    for seed in 0..DAYS.len() as u64 * 2 {
        for nodes in [3, 5] {
            play(seed, nodes);
        }
    }
}

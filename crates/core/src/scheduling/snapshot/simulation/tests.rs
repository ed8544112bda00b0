use super::*;
use crate::scheduling::statement::Statement;
use crate::testing::{add_live_machine, add_running_task, job_of, leader, NOW};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rudderreel_wire::ids::MachineId;

/// Returns a leader with eight machines in two zones and a few jobs of one whole CPU each on them.
fn fleet(rng: &mut StdRng) -> Leader {
    let mut leader = leader();
    let machines: Vec<MachineId> = (0..8)
        .map(|n| add_live_machine(&mut leader, &format!("vm-{n}"), ["a", "b"][n % 2]))
        .collect();
    for n in 0..6 {
        let kind = ["sweep", "standing", "gang"][rng.random_range(0..3)];
        let team = ["red", "blue"][rng.random_range(0..2)];
        let priority = ["low", "prod"][rng.random_range(0..2)];
        let job = job_of(n, kind, team, priority, 1, 1.0);
        let machine = &machines[rng.random_range(0..machines.len())];
        add_running_task(&mut leader, &job, 0, machine);
    }
    leader
}

/// Returns every part of a snapshot that an action can see.
fn visible_state(leader: &Leader, snapshot: &Snapshot) -> String {
    let quota_statuses: Vec<String> = (0..leader.policy.teams.nodes.len())
        .map(|node| format!("{:?}", snapshot.quota_status(node)))
        .collect();
    let jobs = leader.jobs.values().map(|job| {
        let placed = snapshot.placed_count(&job.spec.id);
        let by_zone: u32 = snapshot.tasks_by_zone(&job.spec.id).iter().sum();
        (placed, by_zone)
    });
    let jobs: Vec<(usize, u32)> = jobs.collect();
    let replicas = |job: &Job| -> Vec<u32> {
        (snapshot.candidates.iter())
            .map(|candidate| candidate.replicas_of(&job.spec.id))
            .collect()
    };
    let replicas: Vec<Vec<u32>> = leader.jobs.values().map(replicas).collect();
    let machines: Vec<_> = (snapshot.candidates.iter())
        .map(|machine| {
            (
                machine.free,
                machine.preemptible,
                machine.replica_count,
                machine.fetching_images.clone(),
            )
        })
        .collect();
    format!("{quota_statuses:?} {jobs:?} {replicas:?} {machines:?}")
}

#[test]
fn simulated_changes_are_reverted_exactly() {
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..200 {
        let mut leader = fleet(&mut rng);
        let waiting = job_of(50, "standing", "red", "normal", 6, 1.0);
        leader.jobs.insert(waiting.spec.id.clone(), waiting.clone());
        let mut snapshot = Snapshot::take(&leader, NOW);
        let before = visible_state(&leader, &snapshot);
        let victims: Vec<Victim> = (snapshot.candidates.iter().enumerate())
            .flat_map(|(candidate_index, candidate)| {
                let tasks = &leader.fleet.machines[&candidate.id].tasks;
                tasks
                    .iter()
                    .map(move |placed| Victim::new(candidate_index, placed))
            })
            .filter(|_| rng.random_bool(0.5))
            .collect();
        for victim in &victims {
            snapshot.evict(&leader, victim);
            assert!(snapshot.is_evicted(&victim.task, victim.attempt));
        }
        let mut statement = Statement::default();
        for index in 0..waiting.spec.tasks {
            let candidate_index = rng.random_range(0..snapshot.candidates.len());
            statement.place(&leader, &mut snapshot, &waiting, index, candidate_index);
        }
        assert_ne!(visible_state(&leader, &snapshot), before);
        statement.discard(&leader, &mut snapshot, &waiting);
        for victim in victims.iter().rev() {
            snapshot.restore(&leader, victim);
            assert!(!snapshot.is_evicted(&victim.task, victim.attempt));
        }
        assert_eq!(visible_state(&leader, &snapshot), before);
    }
}

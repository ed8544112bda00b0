use super::*;
use crate::testing::{add_live_machine, add_running_task, job_of, leader, NOW};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rudderreel_wire::ids::TaskId;
use std::collections::BTreeMap;

/// Returns a crowded fleet: one team uses much of it, with gangs and single tasks, and the other team waits with a
/// gang that needs whole machines of one zone.
fn crowded_fleet(rng: &mut StdRng) -> (Leader, Job) {
    let mut leader = leader();
    let machines: Vec<MachineId> = (0..rng.random_range(8..24))
        .map(|n| add_live_machine(&mut leader, &format!("vm-{n:02}"), ["a", "b"][n % 2]))
        .collect();
    let quota = f64::from(rng.random_range(2..6u32)) * 4.0;
    for node in leader.policy.teams.nodes.iter_mut().skip(1) {
        node.quota[0] = quota;
    }
    let mut free = machines;
    for n in 0..rng.random_range(3..16) {
        let gang = rng.random_bool(0.5);
        let tasks = if gang { rng.random_range(2..6) } else { 1 };
        if free.len() < tasks as usize {
            break;
        }
        let kind = if gang { "gang" } else { "sweep" };
        let cpus = if gang {
            4.0
        } else {
            f64::from(rng.random_range(1..5u32))
        };
        let team = if rng.random_bool(0.85) { "red" } else { "blue" };
        let running = job_of(n, kind, team, "normal", tasks, cpus);
        for index in 0..tasks {
            let position = rng.random_range(0..free.len());
            let machine = free.remove(position);
            add_running_task(&mut leader, &running, index, &machine);
        }
    }
    let tasks = rng.random_range(2..5);
    let waiting = job_of(99, "gang", "blue", "normal", tasks, 4.0);
    leader.jobs.insert(waiting.spec.id.clone(), waiting.clone());
    (leader, waiting)
}

/// Returns the CPUs that a team's tasks use, summed over every machine, without the tasks in `without`.
fn used(leader: &Leader, team: &str, without: &BTreeSet<TaskId>) -> i64 {
    let tasks = leader.fleet.machines.values().flat_map(|m| &m.tasks);
    tasks
        .filter(|placed| placed.spec.as_ref().is_some_and(|s| s.team == team.into()))
        .filter(|placed| !without.contains(&placed.task))
        .map(|placed| placed.need.cpus)
        .sum()
}

/// Returns the number of tasks of a gang that a zone has room for if the tasks in `without` are stopped.
fn room_for(leader: &Leader, job: &Job, zone: &str, without: &BTreeSet<TaskId>) -> u32 {
    (leader.fleet.machines.values())
        .filter(|m| m.zone == zone.into())
        .map(|m| {
            let mut free = m.capacity;
            for placed in m
                .tasks
                .iter()
                .filter(|placed| !without.contains(&placed.task))
            {
                free -= placed.need;
            }
            free.fit_count(&job.need)
        })
        .sum()
}

/// The decisions for a gang, and the state that they were based on.
struct Outcome<'a> {
    leader: &'a Leader,
    gang: &'a Job,
    /// Fair shares of the two teams before the decisions, in CPUs.
    share_of_red: f64,
    share_of_blue: f64,
    stopped: BTreeSet<TaskId>,
    placements: Vec<Placement>,
}

impl<'a> Outcome<'a> {
    fn of(leader: &'a Leader, gang: &'a Job) -> Self {
        let mut snapshot = Snapshot::take(leader, NOW);
        let share_of = |team: &str| {
            let team = leader.policy.teams.find(&team.into()).expect("a team");
            snapshot.quota_status(team).fair_share[0]
        };
        let (share_of_red, share_of_blue) = (share_of("red"), share_of("blue"));
        let mut scenario = Scenario::default();
        reclaim_gangs(leader, &mut snapshot, &[gang], &mut scenario);
        let evictions = scenario.evictions.into_iter();
        Self {
            leader,
            gang,
            share_of_red,
            share_of_blue,
            stopped: evictions.map(|eviction| eviction.task).collect(),
            placements: scenario.placements,
        }
    }

    /// Checks that the gang is placed whole in one zone, and that no zone had room for it before the evictions.
    /// Returns the zone.
    fn check_placements(&self) -> &str {
        let tasks = self.gang.spec.tasks;
        assert_eq!(self.placements.len() as u32, tasks);
        let zones: BTreeSet<&str> = (self.placements.iter())
            .map(|p| self.leader.fleet.machines[&p.machine].zone.as_str())
            .collect();
        assert_eq!(zones.len(), 1, "the gang must be in one zone");
        let zone = zones.first().copied().unwrap_or_default();
        let room = room_for(self.leader, self.gang, zone, &self.stopped);
        assert!(room >= tasks, "the zone must have room for the gang");
        let no_tasks = BTreeSet::new();
        assert!(["a", "b"]
            .iter()
            .all(|z| room_for(self.leader, self.gang, z, &no_tasks) < tasks));
        zone
    }

    /// Checks that all victims are of the other team, are stopped whole, and are needed.
    fn check_victims(&self, zone: &str) {
        let mut groups: BTreeMap<&JobId, BTreeSet<TaskId>> = BTreeMap::new();
        for task in &self.stopped {
            let victim = &self.leader.jobs[&task.job];
            assert_eq!(
                victim.spec.team,
                "red".into(),
                "victims must be of the other team"
            );
            groups.entry(&task.job).or_default().insert(task.clone());
        }
        for (id, tasks) in &groups {
            let job = &self.leader.jobs[*id];
            assert_eq!(
                tasks.len() as u32,
                job.spec.tasks,
                "jobs must be stopped whole"
            );
            let others: BTreeSet<TaskId> = self.stopped.difference(tasks).cloned().collect();
            let room = room_for(self.leader, self.gang, zone, &others);
            assert!(room < self.gang.spec.tasks, "{id} was stopped without need");
        }
    }

    /// Checks that the victims' team stays at or above its fair share, and the gang's team within its own.
    fn check_shares(&self) {
        let capacity = self.leader.policy.capacity_of(&"m4".into()).cpus;
        let cpus = |milli: i64| milli as f64 * 4.0 / capacity as f64;
        let red = used(self.leader, "red", &self.stopped);
        assert!(
            cpus(red) >= self.share_of_red - 1e-6,
            "the victims' team must stay at or above its fair share"
        );
        let need = self.gang.need.times(self.gang.spec.tasks).cpus;
        let blue = used(self.leader, "blue", &BTreeSet::new()) + need;
        assert!(
            cpus(blue) <= self.share_of_blue + 1e-6,
            "the gang's team must stay within its fair share"
        );
    }
}

/// Checks the decisions against a direct computation: what is stopped, if anything, is borrowed, stopped whole and
/// needed, and then the whole gang fits into one zone. Returns whether anything was stopped.
fn check(leader: &Leader, gang: &Job) -> bool {
    let outcome = Outcome::of(leader, gang);
    if outcome.stopped.is_empty() {
        assert!(outcome.placements.is_empty());
        return false;
    }
    let zone = outcome.check_placements();
    outcome.check_victims(zone);
    outcome.check_shares();
    true
}

#[test]
fn victims_of_a_gang_are_borrowed_whole_and_needed() {
    let mut rng = StdRng::seed_from_u64(32);
    let runs_with_evictions = (0..5_000)
        .filter(|_| {
            let (leader, job) = crowded_fleet(&mut rng);
            check(&leader, &job)
        })
        .count();
    assert!(
        runs_with_evictions > 50,
        "room was made in only {runs_with_evictions} runs"
    );
}

fn evicted(leader: &Leader, job: &Job) -> BTreeSet<JobId> {
    let mut snapshot = Snapshot::take(leader, NOW);
    let mut scenario = Scenario::default();
    reclaim_gangs(leader, &mut snapshot, &[job], &mut scenario);
    let jobs = scenario.evictions.into_iter().map(|e| e.task.job);
    jobs.collect()
}

/// A single task is chosen first, and then a gang that makes enough room alone: the task must be spared. And when the
/// gang that was stopped waits in turn, it must not be able to take the room back.
#[test]
fn unneeded_victims_are_spared_and_room_is_not_reclaimed_back() {
    let mut leader = leader();
    let ids: Vec<MachineId> = (0..8)
        .map(|n| add_live_machine(&mut leader, &format!("vm-{n}"), ["a", "b"][n / 4]))
        .collect();
    let quotas = [("red", 4.0), ("blue", 12.0)];
    for (team, quota) in quotas {
        let leaf = leader.policy.teams.find(&team.into()).expect("a team");
        leader.policy.teams.nodes[leaf].quota[0] = quota;
    }
    // The team has borrowed more than is needed, because its limit was tightened.
    let red = leader.policy.teams.find(&"red".into()).expect("a team");
    leader.policy.teams.nodes[red].limit[0] = 16.0;
    let single = |n: u32| job_of(n, "sweep", "red", "normal", 1, 4.0);
    let borrowing_gang = job_of(2, "gang", "red", "normal", 3, 4.0);
    add_running_task(&mut leader, &single(1), 0, &ids[0]);
    (0..3).for_each(|i| add_running_task(&mut leader, &borrowing_gang, i, &ids[1 + i as usize]));
    (4..8).for_each(|i| add_running_task(&mut leader, &single(i as u32), 0, &ids[i]));
    let waiting = job_of(99, "gang", "blue", "normal", 3, 4.0);
    leader.jobs.insert(waiting.spec.id.clone(), waiting.clone());
    let stopped = evicted(&leader, &waiting);
    assert_eq!(stopped, BTreeSet::from([borrowing_gang.spec.id.clone()]));
    for id in &ids[1..4] {
        leader
            .fleet
            .machines
            .get_mut(id)
            .expect("a machine")
            .tasks
            .clear();
    }
    leader
        .jobs
        .insert(borrowing_gang.spec.id.clone(), borrowing_gang.clone());
    (0..3).for_each(|i| add_running_task(&mut leader, &waiting, i, &ids[1 + i as usize]));
    assert_eq!(evicted(&leader, &borrowing_gang), BTreeSet::new());
}

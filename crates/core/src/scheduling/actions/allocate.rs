//! Allocate: places waiting tasks on free room.
//!
//! Teams that use less than their fair share go first, and among them jobs in the order of the queue (priority, then
//! overdue jobs, then the least work left). Non-preemptible work runs only within quota, which is handed out first,
//! so it is allocated before work that can also borrow. Equivalent tasks are decided as a class: one refusal holds
//! for all tasks of the same class in this cycle.

use super::gang_reservation::reserve_for_gangs;
use super::predicates::log_exclusions;
use super::scoring::{best_machine, rank_machines, task_slots, ImagePreference, RankedMachine};
use super::task_class::TaskClass;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::{has_zone_rules, Snapshot};
use crate::scheduling::statement::{Placement, Statement};
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::Kind;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Number of tasks of a job that are placed before its team's saturation is considered again.
const TASKS_PER_TURN: usize = 16;

/// The part of the work that is allocated.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Tier {
    NonPreemptible,
    Preemptible,
}

/// Allocates non-preemptible work.
pub fn allocate_non_preemptible(
    leader: &Leader,
    snapshot: &mut Snapshot,
    waiting: &[&Job],
    images: ImagePreference,
) -> Vec<Placement> {
    let queues = TeamQueues::new(leader, snapshot, waiting, Tier::NonPreemptible);
    allocate(leader, snapshot, queues, images)
}

/// Allocates preemptible work, after all non-preemptible work, including that which was placed without its image
/// cached. Otherwise that work would find no room left on machines that have just come up.
pub fn allocate_preemptible(
    leader: &Leader,
    snapshot: &mut Snapshot,
    waiting: &[&Job],
) -> Vec<Placement> {
    snapshot.reserve_for_arrivals(leader);
    reserve_for_gangs(leader, snapshot, waiting);
    let queues = TeamQueues::new(leader, snapshot, waiting, Tier::Preemptible);
    allocate(leader, snapshot, queues, ImagePreference::Any)
}

/// Waiting jobs by team, each team's in queue order.
struct TeamQueues<'a> {
    by_team: BTreeMap<usize, VecDeque<&'a Job>>,
    /// Position of each job in the queue of all waiting jobs.
    rank: HashMap<&'a JobId, usize>,
}

impl<'a> TeamQueues<'a> {
    fn new(leader: &Leader, snapshot: &Snapshot, waiting: &[&'a Job], tier: Tier) -> Self {
        let mut by_team: BTreeMap<usize, VecDeque<&Job>> = BTreeMap::new();
        for &job in waiting {
            let is_placed = snapshot.placed_count(&job.spec.id) >= job.startable_tasks() as usize;
            let in_tier = job.is_preemptible() == (tier == Tier::Preemptible);
            if is_placed || !in_tier {
                continue;
            }
            if let Some(team) = leader.policy.teams.find(&job.spec.team) {
                by_team.entry(team).or_default().push_back(job);
            }
        }
        let rank = (waiting.iter().enumerate())
            .map(|(rank, job)| (&job.spec.id, rank))
            .collect();
        Self { by_team, rank }
    }

    /// Returns the team whose turn it is, and its first job: teams below their fair share, or whose first job is
    /// overdue, come first; then the position of the job in the queue of all waiting jobs decides.
    fn next(&self, leader: &Leader, snapshot: &Snapshot) -> Option<(usize, &'a Job)> {
        (self.by_team.iter())
            .filter_map(|(&team, queue)| Some((team, *queue.front()?)))
            .min_by_key(|(team, job)| {
                let is_overdue = leader.is_overdue(job, snapshot.now.wall);
                let is_over_share = snapshot.saturation(*team) >= 1.0;
                let rank = self.rank.get(&job.spec.id).copied();
                (is_over_share && !is_overdue, rank)
            })
    }

    /// Removes the first job of a team's queue.
    fn pop(&mut self, team: usize) {
        if let Some(queue) = self.by_team.get_mut(&team) {
            queue.pop_front();
        }
    }
}

fn allocate(
    leader: &Leader,
    snapshot: &mut Snapshot,
    mut queues: TeamQueues,
    images: ImagePreference,
) -> Vec<Placement> {
    let mut refused: HashSet<TaskClass> = HashSet::new();
    let mut placed = Vec::new();
    while let Some((team, job)) = queues.next(leader, snapshot) {
        let class = TaskClass::of(job, snapshot.now.time);
        if refused.contains(&class) {
            queues.pop(team);
            continue;
        }
        let placements = place_batch(leader, snapshot, job, images);
        let has_more = job.startable_tasks() as usize > snapshot.placed_count(&job.spec.id);
        let found_no_more_room =
            placements.is_empty() || (placements.len() < TASKS_PER_TURN && has_more);
        if found_no_more_room && snapshot.allows_one_more(leader, job) {
            log_exclusions(leader, snapshot, job);
            refused.insert(class);
        }
        placed.extend(placements);
        if found_no_more_room || !has_more {
            queues.pop(team);
        }
    }
    placed
}

/// Places a batch of tasks of a job; a gang is placed whole or not at all.
fn place_batch(
    leader: &Leader,
    snapshot: &mut Snapshot,
    job: &Job,
    images: ImagePreference,
) -> Vec<Placement> {
    match job.spec.kind {
        Kind::Gang => place_gang(leader, snapshot, job),
        Kind::Array if !has_zone_rules(&job.spec) => place_equivalent(leader, snapshot, job),
        Kind::Array | Kind::Service => place_one_by_one(leader, snapshot, job, images),
    }
}

/// Places tasks one by one, because each placement changes where the next task may go.
fn place_one_by_one(
    leader: &Leader,
    snapshot: &mut Snapshot,
    job: &Job,
    images: ImagePreference,
) -> Vec<Placement> {
    let already_placed = snapshot.placed_count(&job.spec.id);
    let mut statement = Statement::default();
    for index in job.next_startable(already_placed, TASKS_PER_TURN) {
        if !snapshot.allows_one_more(leader, job) {
            break;
        }
        let Some(candidate_index) = best_machine(leader, snapshot, job, images) else {
            break;
        };
        statement.place(leader, snapshot, job, index, candidate_index);
    }
    statement.commit()
}

/// Places equivalent tasks: machines are ranked once and filled one after the other.
fn place_equivalent(leader: &Leader, snapshot: &mut Snapshot, job: &Job) -> Vec<Placement> {
    let already_placed = snapshot.placed_count(&job.spec.id);
    let indexes = job.next_startable(already_placed, TASKS_PER_TURN);
    let slots = task_slots(rank_machines(leader, snapshot, job, None));
    let mut statement = Statement::default();
    for (index, candidate_index) in indexes.into_iter().zip(slots) {
        if !snapshot.allows_one_more(leader, job) {
            break;
        }
        statement.place(leader, snapshot, job, index, candidate_index);
    }
    statement.commit()
}

/// Places a gang whole or not at all. A gang that must be in one zone is tried in each zone, and is placed in the
/// zone where most of its machines have the image.
fn place_gang(leader: &Leader, snapshot: &mut Snapshot, gang: &Job) -> Vec<Placement> {
    let Some(ranked) = zone_with_fewest_fetches(leader, snapshot, gang) else {
        return Vec::new();
    };
    let mut statement = Statement::default();
    for (index, candidate_index) in (0..gang.spec.tasks).zip(task_slots(ranked)) {
        if !snapshot.allows_one_more(leader, gang) {
            break;
        }
        statement.place(leader, snapshot, gang, index, candidate_index);
    }
    let placements = statement.commit_if_whole(leader, snapshot, gang, gang.spec.tasks);
    placements.unwrap_or_default()
}

/// Returns the ranked machines of the zone with room for the whole gang where the fewest machines must fetch its
/// image.
fn zone_with_fewest_fetches(
    leader: &Leader,
    snapshot: &Snapshot,
    gang: &Job,
) -> Option<Vec<RankedMachine>> {
    let image = snapshot.image(&gang.spec.image);
    let fetches = |ranked: &Vec<RankedMachine>| {
        (ranked.iter().take(gang.spec.tasks as usize))
            .filter(|machine| !snapshot.candidates[machine.candidate_index].has_image(image))
            .count()
    };
    (snapshot.zone_choices(&gang.spec).into_iter())
        .map(|zone| rank_machines(leader, snapshot, gang, zone))
        .filter(|ranked| {
            let slots: u64 = ranked.iter().map(|machine| u64::from(machine.tasks)).sum();
            slots >= u64::from(gang.spec.tasks)
        })
        .min_by_key(fetches)
}

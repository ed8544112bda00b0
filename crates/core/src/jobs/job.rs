//! The leader's state of one job.
//!
//! ```text
//!            known ──► Active: waits for dependencies       (ready_since is None)
//!                         │ last dependency is done         update_readiness
//!                         ▼
//!                      Active: ready                        tasks may be started
//!                         │ first task runs                 has_started
//!                         ▼
//!                      Active: started ──────────┐
//!                         │ all tasks done       │ cancelled by its owner or with a dependency
//!                         ▼                      │
//!                      Active: completion is     │ (also from each earlier state)
//!                         │ being committed      │
//!              committed  ▼                      ▼
//!                      Finished               Cancelled     remaining tasks are stopped
//!                         └──────────┬───────────┘
//!                                    ▼
//!                     removed once none of its tasks may be on a machine
//! ```
//!
//! **Invariants.** Each task is done, or in `placements` while it may be on some machine, or unplaced. A task is placed
//! again only after [`Job::unplace`]. A job is never both done and cancelled: the store's transaction decides, and the
//! first commit wins. `recorded_done` is the part of `done` that the placement log contains or is being sent.

use crate::jobs::failures::Failures;
use crate::store::records::SegmentId;
use crate::task_set::TaskSet;
use crate::units::{Resources, Span, Time, Wall};
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::{Attempt, JobId, MachineId, Version};
use rudderreel_wire::job::{JobSpec, Kind, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time without room after which a job may use any room that it fits in. Users count a job as left waiting after 90 s.
const ANY_ROOM_AFTER: Span = Span(60_000);
/// Time without room after which any machine may be rented for a job. Users count a job that does not begin within four
/// minutes as not served, and a machine takes a while to boot.
const ANY_MACHINE_AFTER: Span = Span(120_000);

/// The stage of a job's life cycle (see the module documentation).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStage {
    /// The job is neither done nor cancelled.
    Active,
    /// The job was cancelled at this time; its remaining tasks are being stopped.
    Cancelled(Wall),
    /// The job is done, but some of its tasks may still be on machines and count for its team: a gang is done when the
    /// first of its tasks reports completion.
    Finished,
}

/// Urgency of a job, including what it inherits from the jobs that depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectiveUrgency {
    /// The highest priority among the job and the jobs that depend on it.
    pub priority: Priority,
    /// Latest completion time with which the job and all jobs that depend on it meet their deadlines.
    pub deadline: Option<Wall>,
}

/// The leader's state of a job. A done job is kept only while any of its tasks may be on a machine.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// Version of the job's record in the store.
    pub version: Version,
    /// Time of submission.
    pub submitted: Wall,
    /// Direct dependencies that are not done.
    pub unmet_dependencies: BTreeSet<JobId>,
    /// Time since which all dependencies are done; `None` while any is not.
    pub ready_since: Option<Wall>,
    /// Priority and deadline, including what the job inherits from the jobs that depend on it.
    pub urgency: EffectiveUrgency,
    /// Stage of the life cycle.
    pub stage: JobStage,
    /// Resources that one task needs.
    pub need: Resources,
    /// Indexes of the tasks that are done.
    pub done: TaskSet,
    /// The machines and attempts, by task index, where each task may be: every placement that is not surely gone.
    pub placements: BTreeMap<u32, Vec<(MachineId, Attempt)>>,
    /// Earliest time of the next start, after failures.
    pub retry_at: Time,
    /// Evidence from the job's failures.
    pub failures: Failures,
    /// Time since which the job has found no room, although its team's limits allow another task; none if it has found
    /// some since.
    without_room_since: Option<Time>,
    /// Whether tasks of the job were placed on machines that it would have left to other work.
    pub uses_any_room: bool,
    /// Tasks that are neither done nor in `placements`.
    unplaced: TaskSet,
    /// Number of entries in `placements`: a machine counts once for each task and attempt that may be on it.
    placement_count: u32,
    /// Done tasks whose completion is recorded in the placement log or being recorded.
    pub recorded_done: TaskSet,
    /// The newest segment, which contains all of the job's recorded progress.
    pub segment: SegmentId,
    /// Whether `done` holds more than is recorded or being recorded.
    pub has_unrecorded_progress: bool,
    /// Whether a commit of the job's completion is in flight.
    pub completion_in_flight: bool,
    /// Whether any of the job's tasks has ever run, as far as this leader knows.
    pub has_started: bool,
    /// The longest run time of a completed task, in seconds.
    pub longest_run_s: f64,
}

impl Job {
    /// Creates the state of a job that has just become known.
    pub fn new(spec: JobSpec, version: Version, submitted: Wall) -> Self {
        let ready = spec.dependencies.is_empty();
        Self {
            need: Resources::of_task(&spec),
            unmet_dependencies: spec.dependencies.iter().cloned().collect(),
            ready_since: ready.then_some(submitted),
            urgency: own_urgency(&spec, submitted),
            unplaced: TaskSet::below(spec.tasks),
            spec: Arc::new(spec),
            version,
            submitted,
            stage: JobStage::Active,
            done: TaskSet::default(),
            placements: BTreeMap::new(),
            retry_at: Time(0),
            failures: Failures::default(),
            without_room_since: None,
            uses_any_room: false,
            placement_count: 0,
            recorded_done: TaskSet::default(),
            segment: SegmentId::NONE,
            has_unrecorded_progress: false,
            completion_in_flight: false,
            has_started: false,
            longest_run_s: 0.0,
        }
    }

    /// Returns whether the job is neither done nor cancelled.
    pub fn is_active(&self) -> bool {
        self.stage == JobStage::Active
    }

    /// Returns whether all dependencies are done. Before that, no task of the job is started or counted as waiting.
    pub fn is_ready(&self) -> bool {
        self.ready_since.is_some()
    }

    /// Returns the time since which the job waits for capacity; time spent waiting for dependencies does not count.
    pub fn waiting_since(&self) -> Wall {
        self.ready_since.unwrap_or(self.submitted)
    }

    /// Returns the job's own priority and deadline, without anything inherited.
    pub fn own_urgency(&self) -> EffectiveUrgency {
        own_urgency(&self.spec, self.submitted)
    }

    /// Returns the expected time from ready to done: fetching the image on the slowest machine type, then the owner's
    /// estimate.
    pub fn expected_span(&self, catalog: &Catalog) -> Span {
        Span::secs(self.spec.estimate_s + catalog.slowest_fetch_s(self.spec.image_gb))
    }

    /// Returns whether all tasks are done; a service is never complete.
    pub fn is_complete(&self) -> bool {
        self.spec.kind != Kind::Service && self.done.len() >= self.spec.tasks
    }

    /// Returns how many unplaced tasks may be started.
    pub fn startable_tasks(&self) -> u32 {
        if !self.is_ready() {
            return 0;
        }
        let unplaced = self.unplaced.len();
        let placed = self.spec.tasks.saturating_sub(unplaced + self.done.len());
        self.startable_of(unplaced, placed)
    }

    /// Records that a task is done.
    pub fn finish(&mut self, index: u32) {
        self.done.insert(index);
        self.unplaced.remove(index);
    }

    /// Records that a task has completed, with its run time if that is known. A gang is done when the first of its
    /// tasks reports completion.
    pub fn task_completed(&mut self, index: u32, ran: Option<Span>) {
        self.has_started = true;
        self.has_unrecorded_progress = true;
        self.longest_run_s = self.longest_run_s.max(ran.unwrap_or_default().as_secs());
        if self.spec.kind == Kind::Gang {
            (0..self.spec.tasks).for_each(|task| self.finish(task));
        } else {
            self.finish(index);
        }
    }

    /// Returns the indexes of the next tasks that may be started: at most `max_tasks`, without the first `skip`.
    pub fn next_startable(&self, skip: usize, max_tasks: usize) -> Vec<u32> {
        let startable = (self.startable_tasks() as usize).saturating_sub(skip);
        self.unplaced
            .iter()
            .skip(skip)
            .take(max_tasks.min(startable))
            .collect()
    }

    /// Records that a task may be on a machine.
    pub fn place(&mut self, index: u32, machine: &MachineId, attempt: Attempt) {
        self.unplaced.remove(index);
        let places = self.placements.entry(index).or_default();
        if !places.iter().any(|(m, a)| m == machine && *a == attempt) {
            places.push((machine.clone(), attempt));
            self.placement_count += 1;
        }
    }

    /// Returns whether a task may be on a machine other than `machine`, or in an attempt other than `attempt`.
    pub fn may_be_elsewhere(&self, index: u32, machine: &MachineId, attempt: Attempt) -> bool {
        (self.placements.get(&index))
            .is_some_and(|places| places.iter().any(|(m, a)| m != machine || *a != attempt))
    }

    /// Records that an attempt of a task is surely no longer on a machine.
    pub fn unplace(&mut self, index: u32, machine: &MachineId, attempt: Attempt) {
        let Some(places) = self.placements.get_mut(&index) else {
            return;
        };
        let before = places.len();
        places.retain(|(m, a)| !(m == machine && *a == attempt));
        self.placement_count -= (before - places.len()) as u32;
        if places.is_empty() {
            self.placements.remove(&index);
            if !self.done.contains(index) && index < self.spec.tasks {
                self.unplaced.insert(index);
            }
        }
    }

    /// Records whether a scheduling cycle has found no room for the job although its team's limits allow another task.
    pub fn record_room_search(&mut self, found_none: bool, now: Time) {
        self.without_room_since = match self.without_room_since {
            Some(since) if found_none => Some(since),
            _ => found_none.then_some(now),
        };
    }

    /// Returns whether the last scheduling cycle has found no room for the job although its team's limits allow another
    /// task.
    pub fn is_without_room(&self) -> bool {
        self.without_room_since.is_some()
    }

    /// Returns whether the job has found no room for so long that it may use any that it fits in, also room that it
    /// would leave to other work.
    pub fn takes_any_room(&self, now: Time) -> bool {
        self.is_without_room_for(ANY_ROOM_AFTER, now)
    }

    /// Returns whether the job has found no room for so long that any machine may be rented for it.
    pub fn takes_any_new_machine(&self, now: Time) -> bool {
        self.is_without_room_for(ANY_MACHINE_AFTER, now)
    }

    fn is_without_room_for(&self, span: Span, now: Time) -> bool {
        (self.without_room_since).is_some_and(|since| now - since >= span)
    }

    /// Returns how many placements may exist: a machine counts once for each task and attempt that may be on it.
    pub fn placement_count(&self) -> u32 {
        self.placement_count
    }

    /// Returns whether tasks of the job may be evicted to free capacity. Production work may not, and in exchange runs
    /// only within its team's quota.
    pub fn is_preemptible(&self) -> bool {
        !is_non_preemptible(&self.spec)
    }

    /// Returns whether the completion of every done task is recorded or being recorded.
    pub fn is_progress_recorded(&self) -> bool {
        self.recorded_done.len() == self.done.len()
    }

    /// Restores the progress that a segment records: ranges of done tasks, with both ends included.
    pub fn restore_progress(&mut self, segment: SegmentId, ranges: &[(u32, u32)]) {
        self.segment = self.segment.max(segment);
        self.has_started = true;
        if !ranges.is_empty() {
            self.failures.mark_proven();
        }
        let last = self.spec.tasks.saturating_sub(1);
        for &(from, to) in ranges {
            for index in from..=to.min(last) {
                self.finish(index);
                self.recorded_done.insert(index);
            }
        }
    }
}

fn own_urgency(spec: &JobSpec, submitted: Wall) -> EffectiveUrgency {
    let deadline = spec.deadline_s.map(Span::secs);
    EffectiveUrgency {
        priority: spec.priority,
        deadline: deadline.map(|span| Wall(submitted.0.saturating_add(span.0))),
    }
}

/// Returns whether the job has production priority, so that its tasks are never evicted to free capacity.
pub fn is_non_preemptible(spec: &JobSpec) -> bool {
    spec.priority == Priority::Production
}

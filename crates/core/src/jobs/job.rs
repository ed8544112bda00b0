//! A job as the leader sees it.
//!
//! ```text
//!            known ──► Active: waits for dependencies       (ready_since is none)
//!                         │ the last one is done            update_readiness
//!                         ▼
//!                      Active: ready                        its tasks may be started
//!                         │ the first task runs             has_started
//!                         ▼
//!                      Active: started ──────────┐
//!                         │ all tasks done       │ its owner, or a cancelled dependency
//!                         ▼                      │
//!                      Active: completion is     │ (also from each state before)
//!                         │ being committed      │
//!              committed  ▼                      ▼
//!                      Finished               Cancelled     what may be left of it is stopped
//!                         └──────────┬───────────┘
//!                                    ▼
//!                     forgotten, once nothing of it may be on a machine
//! ```
//!
//! **Invariants.** Each task is done, or in `placements` while it may be on some machine, or unplaced. A task is placed
//! again only after [`Job::unplace`]. Done and cancelled exclude one another: the store's transaction decides, and the
//! first commit wins. `recorded_done` is the part of `done` that the placement log has, or is being sent.

use crate::jobs::failures::Failures;
use crate::store::records::SegmentId;
use crate::task_set::TaskSet;
use crate::units::{Resources, Span, Time, Wall};
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::{Attempt, JobId, MachineId, Version};
use rudderreel_wire::job::{JobSpec, Kind, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Whether a job's work goes on (see the module's page).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStage {
    /// It is neither done nor cancelled.
    Active,
    /// It is cancelled, since this moment; what is left of it is being stopped.
    Cancelled(Wall),
    /// It is done, but some of its tasks may still be on machines and count for its team: a gang is done when the first
    /// of its tasks says so.
    Finished,
}

/// The urgency of a job, for its own sake and for that of the jobs that need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectiveUrgency {
    /// The highest priority among them.
    pub priority: Priority,
    /// When it has to be done for all of them to meet their deadlines.
    pub deadline: Option<Wall>,
}

/// A job as the leader sees it. Done jobs are kept only while tasks of them may be on machines.
#[derive(Clone, Debug)]
pub struct Job {
    /// The submission.
    pub spec: Arc<JobSpec>,
    /// The version of its record.
    pub version: Version,
    /// When it was submitted.
    pub submitted: Wall,
    /// Jobs that it depends on and that are not done.
    pub unmet_dependencies: BTreeSet<JobId>,
    /// Since when all that it depends on is done; none while something is not.
    pub ready_since: Option<Wall>,
    /// Its priority and deadline, with what it inherits from the jobs that need it.
    pub urgency: EffectiveUrgency,
    /// Whether its work goes on.
    pub stage: JobStage,
    /// What one task takes.
    pub need: Resources,
    /// Tasks that are done.
    pub done: TaskSet,
    /// By task: the machines that it may be on. Everything that is not surely gone.
    pub placements: BTreeMap<u32, Vec<(MachineId, Attempt)>>,
    /// No start before this moment, after failures.
    pub retry_at: Time,
    /// What its failures show.
    pub failures: Failures,
    /// Tasks that are neither done nor anywhere.
    unplaced: TaskSet,
    /// How many machines its tasks may be on, each counted for each task.
    placement_count: u32,
    /// Tasks that are done and recorded, or being recorded.
    pub recorded_done: TaskSet,
    /// The newest segment, which names all of its recorded progress.
    pub segment: SegmentId,
    /// Whether `done` holds more than is recorded or being recorded.
    pub has_unrecorded_progress: bool,
    /// Whether a commit of its completion is open.
    pub completion_open: bool,
    /// Whether any of its tasks ever ran, as far as this leader knows.
    pub has_started: bool,
    /// The longest run time of a completed task, in seconds.
    pub longest_run_s: f64,
}

impl Job {
    /// A job that has just become known.
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
            placement_count: 0,
            recorded_done: TaskSet::default(),
            segment: SegmentId::NONE,
            has_unrecorded_progress: false,
            completion_open: false,
            has_started: false,
            longest_run_s: 0.0,
        }
    }

    /// Whether it is neither done nor cancelled.
    pub fn is_active(&self) -> bool {
        self.stage == JobStage::Active
    }

    /// Whether all that it depends on is done. Before that, none of its tasks is started or counted as waiting.
    pub fn is_ready(&self) -> bool {
        self.ready_since.is_some()
    }

    /// Since when it waits for capacity: the time that it waited for dependencies does not count.
    pub fn waiting_since(&self) -> Wall {
        self.ready_since.unwrap_or(self.submitted)
    }

    /// Its urgency for its own sake.
    pub fn own_urgency(&self) -> EffectiveUrgency {
        own_urgency(&self.spec, self.submitted)
    }

    /// How long it takes once it is ready, by its owner's estimate, with its image fetched first.
    pub fn expected_span(&self, catalog: &Catalog) -> Span {
        Span::secs(self.spec.estimate_s + catalog.slowest_fetch_s(self.spec.image_gb))
    }

    /// Whether all its tasks are done.
    pub fn is_complete(&self) -> bool {
        self.spec.kind != Kind::Service && self.done.len() >= self.spec.tasks
    }

    /// How many unplaced tasks may be started.
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

    /// A task has completed after running for some time, as far as that is known. A gang is done when the first of
    /// its tasks says so.
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

    /// The next tasks that may be started: at most `most`, without the first `skip` ones.
    pub fn next_startable(&self, skip: usize, most: usize) -> Vec<u32> {
        let startable = (self.startable_tasks() as usize).saturating_sub(skip);
        self.unplaced
            .iter()
            .skip(skip)
            .take(most.min(startable))
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

    /// Whether a task may be on another machine than one, or in another attempt.
    pub fn may_be_elsewhere(&self, index: u32, machine: &MachineId, attempt: Attempt) -> bool {
        (self.placements.get(&index))
            .is_some_and(|places| places.iter().any(|(m, a)| m != machine || *a != attempt))
    }

    /// Records that a task is surely not on a machine any more.
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

    /// How many machines its tasks may be on, each counted for each task.
    pub fn placement_count(&self) -> u32 {
        self.placement_count
    }

    /// Whether its tasks may be evicted to make room. Production work is not, and in exchange runs only within its
    /// team's quota.
    pub fn is_preemptible(&self) -> bool {
        !is_non_preemptible(&self.spec)
    }

    /// Whether everything that is done is recorded or being recorded.
    pub fn is_all_recorded(&self) -> bool {
        self.recorded_done.len() == self.done.len()
    }

    /// Restores the progress that a segment records: ranges of done tasks, both ends included.
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

/// Whether a job's tasks are never evicted to make room: those of production priority.
pub fn is_non_preemptible(spec: &JobSpec) -> bool {
    spec.priority == Priority::Production
}

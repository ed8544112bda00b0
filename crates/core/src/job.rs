//! A job as the leader sees it.

use crate::records::PageId;
use crate::units::{Resources, Span, Time, Wall};
use rudderreel_wire::ids::{Attempt, JobId, MachineId, Version};
use rudderreel_wire::job::{JobSpec, Kind, Priority};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Whether a job's work goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It is neither done nor cancelled.
    Active,
    /// Its user withdrew it; what is left of it is being stopped.
    Cancelled(Wall),
    /// It is done, but some of its tasks may still be somewhere and count for its team: a gang is
    /// done when the first of its tasks says so.
    Finished,
}

/// Where a job stands among others.
pub type Order = (Reverse<Priority>, bool, u64, Wall, JobId);

/// A job as the leader sees it. Done jobs are not kept.
#[derive(Clone, Debug)]
pub struct Job {
    /// The submission.
    pub spec: Arc<JobSpec>,
    /// The version of its record.
    pub version: Version,
    /// When it was submitted.
    pub submitted: Wall,
    /// Whether its work goes on.
    pub stage: Stage,
    /// What one task takes.
    pub need: Resources,
    /// Tasks that are done.
    pub done: BTreeSet<u32>,
    /// Where tasks may be: everything that is not surely gone.
    pub places: BTreeMap<u32, Vec<(MachineId, Attempt)>>,
    /// No start before this moment, after failures.
    pub not_before: Time,
    /// Failures in a row, with no success since.
    pub errors: u32,
    /// Tasks that are placed and not done.
    open: u32,
    /// The newest page that names all of its recorded progress.
    pub page: PageId,
    /// Whether `done` holds more than is recorded or being recorded.
    pub progress_dirty: bool,
    /// Whether a commit of its completion is open.
    pub committing: bool,
    /// Whether any of its tasks ever ran, as far as this leader knows.
    pub begun: bool,
    /// The longest run time of a completed task, in seconds.
    pub longest_run_s: f64,
}

impl Job {
    /// A job that has just become known.
    pub fn new(spec: JobSpec, version: Version, submitted: Wall) -> Self {
        Self {
            need: Resources::of_task(&spec),
            spec: Arc::new(spec),
            version,
            submitted,
            stage: Stage::Active,
            done: BTreeSet::new(),
            places: BTreeMap::new(),
            not_before: Time(0),
            errors: 0,
            open: 0,
            page: PageId::NONE,
            progress_dirty: false,
            committing: false,
            begun: false,
            longest_run_s: 0.0,
        }
    }

    /// Whether it may start tasks.
    pub fn is_active(&self) -> bool {
        self.stage == Stage::Active
    }

    /// Whether all its tasks are done.
    pub fn is_complete(&self) -> bool {
        self.spec.kind != Kind::Service && self.done.len() as u32 >= self.spec.tasks
    }

    /// Where it stands among waiting jobs: by priority, then what has waited too long for its first
    /// start, then the one with the least work left. Users count jobs that are done in time, and in
    /// a rush one large job costs many small ones their time, but not the other way round. Without
    /// the second part a large job would never begin while small ones keep coming.
    pub fn order(&self, overdue: bool) -> Order {
        let tasks = f64::from(self.spec.tasks.saturating_sub(self.done.len() as u32));
        let left = (tasks * self.spec.estimate_s.max(0.0) * 1000.0) as u64;
        (
            Reverse(self.spec.priority),
            !overdue,
            if overdue { self.submitted.0 } else { left },
            self.submitted,
            self.spec.id.clone(),
        )
    }

    /// Whether it has waited too long for its first start.
    pub fn is_overdue(&self, now: Wall, patience: Span) -> bool {
        !self.begun && self.places.is_empty() && now.0 > self.submitted.0 + patience.0
    }

    /// How many tasks are neither done nor anywhere.
    pub fn free_tasks(&self) -> u32 {
        (self.spec.tasks)
            .saturating_sub(self.done.len() as u32)
            .saturating_sub(self.open)
    }

    /// Notes that a task is done.
    pub fn finish(&mut self, index: u32) {
        if self.done.insert(index) && self.places.contains_key(&index) {
            self.open -= 1;
        }
    }

    /// The first tasks that are neither done nor anywhere, at most `most`.
    pub fn next_free(&self, most: usize) -> Vec<u32> {
        (0..self.spec.tasks)
            .filter(|i| !self.done.contains(i) && !self.places.contains_key(i))
            .take(most)
            .collect()
    }

    /// Notes that a task may be on a machine.
    pub fn place(&mut self, index: u32, machine: &MachineId, attempt: Attempt) {
        if !self.places.contains_key(&index) && !self.done.contains(&index) {
            self.open += 1;
        }
        let places = self.places.entry(index).or_default();
        if !places.iter().any(|p| p.0 == *machine && p.1 == attempt) {
            places.push((machine.clone(), attempt));
        }
    }

    /// Notes that a task is surely not on a machine any more.
    pub fn unplace(&mut self, index: u32, machine: &MachineId, attempt: Attempt) {
        if let Some(places) = self.places.get_mut(&index) {
            places.retain(|p| !(p.0 == *machine && p.1 == attempt));
            if places.is_empty() {
                self.places.remove(&index);
                if !self.done.contains(&index) {
                    self.open -= 1;
                }
            }
        }
    }

    /// How many tasks may be somewhere, each counted as often as it may be.
    pub fn placed(&self) -> u32 {
        self.places.values().map(Vec::len).sum::<usize>() as u32
    }

    /// Whether it may be evicted to make room. Work at priority 100 or above is not, and in
    /// exchange runs only within its team's quota.
    pub fn evictable(&self) -> bool {
        !is_firm(&self.spec)
    }

    /// Its progress as it is recorded.
    pub fn progress_ranges(&self) -> Vec<(u32, u32)> {
        let mut done: Vec<(u32, u32)> = Vec::new();
        for &i in &self.done {
            match done.last_mut() {
                Some((_, end)) if *end + 1 == i => *end = i,
                _ => done.push((i, i)),
            }
        }
        done
    }

    /// Takes in recorded progress.
    pub fn learn_progress(&mut self, page: PageId, ranges: &[(u32, u32)]) {
        self.page = self.page.max(page);
        self.begun = true;
        let last = self.spec.tasks.saturating_sub(1);
        for &(from, to) in ranges {
            for index in from..=to.min(last) {
                self.finish(index);
            }
        }
    }
}

/// Whether work is never evicted to make room: at priority 100 or above.
pub fn is_firm(spec: &JobSpec) -> bool {
    spec.priority == Priority::Production
}

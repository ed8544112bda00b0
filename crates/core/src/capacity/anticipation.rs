//! Predicts which jobs will be ready by the time a machine could be up.
//!
//! A machine takes about as long to boot as a stage of a pipeline takes to run. Room for a job is therefore planned
//! while its dependencies still run, but not before all of their tasks run: until then it is unknown when they end, and
//! a machine that waits for them would cost money without being used.

use crate::fleet::PlacedTask;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::units::{Now, Span, Time};

/// A task that has exceeded its owner's estimate is expected to run on for this fraction of its run time so far.
const OVERRUN_FRACTION: f64 = 0.3;

impl Leader {
    /// Iterates over the active jobs that wait for dependencies and will probably be ready within a time span.
    pub fn nearly_ready(&self, within: Span, now: Now) -> impl Iterator<Item = &Job> {
        let is_ready_soon = move |job: &&Job| {
            let ready_in = self.expected_ready_in(job, now.time);
            ready_in.is_some_and(|span| span <= within)
        };
        (self.jobs.values())
            .filter(|job| job.is_active() && !job.is_ready())
            .filter(is_ready_soon)
    }

    /// Returns the time until all dependencies of a job will probably be done; `None` if that can't be predicted for
    /// one of them, because a task has yet to be started or is not on its machine.
    fn expected_ready_in(&self, job: &Job, now: Time) -> Option<Span> {
        let spans = job.unmet_dependencies.iter().map(|id| {
            let dependency = self.jobs.get(id)?;
            self.expected_done_in(dependency, now)
        });
        spans.collect::<Option<Vec<Span>>>()?.into_iter().max()
    }

    /// Returns the time until a job will probably be done; `None` if the job is not ready, a task has yet to be
    /// started, or a placed task is not on its machine.
    fn expected_done_in(&self, job: &Job, now: Time) -> Option<Span> {
        if !job.is_ready() || job.startable_tasks() > 0 {
            return None;
        }
        let mut longest = Span(0);
        for (index, places) in &job.placements {
            let task = job.spec.id.task(*index);
            for (machine, attempt) in places {
                let on_machine = &self.fleet.machines.get(machine)?.tasks;
                let placed = (on_machine.iter())
                    .find(|placed| placed.task == task && placed.attempt == *attempt)?;
                longest = longest.max(expected_end_in(job, placed, now));
            }
        }
        Some(longest)
    }
}

/// Returns the time until a task will probably end.
fn expected_end_in(job: &Job, placed: &PlacedTask, now: Time) -> Span {
    let ran_s = (placed.running_since).map_or(0.0, |since| (now - since).as_secs());
    let remaining_s = job.spec.estimate_s - ran_s;
    Span::secs(remaining_s.max(ran_s * OVERRUN_FRACTION))
}

#[cfg(test)]
mod tests;

//! Jobs that will be ready by the time a machine could be up.
//!
//! A machine takes about as long to boot as a stage of a pipeline takes to run. So room for a job is
//! planned while what it depends on still runs, but not before all of that runs: until then nothing
//! is known of when it ends, and a machine that waits for it would cost money for nothing.

use crate::fleet::machine::PlacedTask;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::units::{Now, Span, Time};

/// What has run longer than its owner thought will run for this part of that time more.
const OVERRUN: f64 = 0.3;

impl Leader {
    /// Jobs that wait for others, and will probably be ready within a span.
    pub fn nearly_ready(&self, within: Span, now: Now) -> impl Iterator<Item = &Job> {
        let soon = move |job: &&Job| {
            let ready_in = self.ready_in(job, now.time);
            ready_in.is_some_and(|span| span <= within)
        };
        (self.jobs.values())
            .filter(|j| j.is_active() && !j.is_ready())
            .filter(soon)
    }

    /// In what time all that a job depends on will probably be done; none if some of that has yet to
    /// be started.
    fn ready_in(&self, job: &Job, now: Time) -> Option<Span> {
        let spans = job.unmet_dependencies.iter().map(|id| {
            let dependency = self.jobs.get(id)?;
            self.done_in(dependency, now)
        });
        spans.collect::<Option<Vec<Span>>>()?.into_iter().max()
    }

    fn done_in(&self, job: &Job, now: Time) -> Option<Span> {
        if !job.is_ready() || job.startable_tasks() > 0 {
            return None;
        }
        let mut longest = Span(0);
        for (index, places) in &job.placements {
            for (machine, attempt) in places {
                let task = job.spec.id.task(*index);
                let entry = (self.fleet.machines.get(machine)?.tasks.iter())
                    .find(|e| e.task == task && e.attempt == *attempt)?;
                longest = longest.max(ends_in(job, entry, now));
            }
        }
        Some(longest)
    }
}

/// In what time a task will probably end.
fn ends_in(job: &Job, entry: &PlacedTask, now: Time) -> Span {
    let estimate = job.spec.estimate_s;
    let ran = entry
        .running_since
        .map_or(0.0, |since| (now - since).as_secs());
    Span::secs((estimate - ran).max(ran * OVERRUN))
}

#[cfg(test)]
mod tests;

//! The queue of waiting jobs, ordered by priority, then overdue jobs first, then by the least work left (see
//! [`Job::queue_order`]).

use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::units::{Now, Span, Wall};
use rudderreel_wire::job::Kind;

/// Waiting time after which a job that has not started yet is overdue and goes before other jobs of its priority,
/// whatever its size. Users count a job that does not begin within four minutes as not served, and it takes a while
/// until room for a large job is free.
const OVERDUE_AFTER: Span = Span(80_000);

impl Leader {
    /// Returns the jobs that have tasks to start, in queue order.
    pub fn waiting_jobs(&self, now: Now) -> Vec<&Job> {
        let mut jobs: Vec<&Job> = (self.jobs.values())
            .filter(|job| job.is_active() && job.retry_at <= now.time && job.startable_tasks() > 0)
            .filter(|job| job.spec.kind != Kind::Gang || job.placements.is_empty())
            .collect();
        jobs.sort_by_cached_key(|job| job.queue_order(self.is_overdue(job, now.wall)));
        jobs
    }

    /// Returns whether a job has waited too long for its first start and therefore goes before others. A gang of
    /// several tasks counts as overdue once room is reserved for it, which happens early enough for the gang to be
    /// done in time.
    pub fn is_overdue(&self, job: &Job, now: Wall) -> bool {
        match job.spec.kind {
            Kind::Gang if job.spec.tasks > 1 => {
                self.schedule.gang_reservations.contains(&job.spec.id)
            }
            _ => job.is_overdue(now, OVERDUE_AFTER),
        }
    }

    /// Returns whether a job must start on a machine that has its image cached: the users' objective for its start is
    /// shorter than the slowest fetch of the image.
    pub fn needs_cached_image(&self, job: &Job) -> bool {
        if job.is_preemptible() {
            return false;
        }
        let fetch = Span::secs(self.policy.catalog.slowest_fetch_s(job.spec.image_gb));
        (self.policy.start_objectives.get(&job.spec.class)).is_some_and(|within| *within < fetch)
    }
}

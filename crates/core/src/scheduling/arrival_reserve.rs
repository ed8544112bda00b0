//! Room that is kept free for urgent services that may arrive before a machine could boot for them.

use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::units::{Now, Resources, Span};
use rudderreel_wire::ids::Image;
use rudderreel_wire::job::Kind;
use std::collections::BTreeSet;

/// Length of the window in which arrivals are counted.
const ARRIVAL_WINDOW: Span = Span(120_000);
/// Number of standard deviations added to the mean number of arrivals.
const RESERVE_DEVIATIONS: f64 = 2.0;

/// Room to be kept free for urgent tasks of one size.
#[derive(Clone, Debug)]
pub struct ArrivalReserve {
    /// Resources of one task.
    pub need: Resources,
    /// Number of tasks that may arrive.
    pub tasks: u32,
    /// Images that these tasks may need.
    pub images: BTreeSet<Image>,
}

impl Leader {
    /// Returns the room to keep free for urgent services that may arrive before a machine could boot: for each task
    /// size as many tasks as arrive on average in the time that a machine takes to boot, by the recent arrivals, plus
    /// two standard deviations (arrivals are assumed to be a Poisson process). The sum is multiplied by the policy's
    /// reserve factor.
    pub fn arrival_reserves(&self, now: Now) -> Vec<ArrivalReserve> {
        let boot_s = self.policy.catalog.slowest_boot_s();
        let mut reserves = self.recent_urgent_arrivals(boot_s, now);
        for reserve in &mut reserves {
            let mean = f64::from(reserve.tasks) * boot_s / ARRIVAL_WINDOW.as_secs();
            let max_arrivals = mean + RESERVE_DEVIATIONS * mean.sqrt();
            reserve.tasks = (self.policy.reserve_factor * max_arrivals).ceil() as u32;
        }
        reserves
    }

    /// Counts the tasks of urgent services that arrived within the window, by task size. Older services add no tasks,
    /// but their images are included.
    fn recent_urgent_arrivals(&self, boot_s: f64, now: Now) -> Vec<ArrivalReserve> {
        let mut arrivals: Vec<ArrivalReserve> = Vec::new();
        for job in self.jobs.values() {
            if !self.is_urgent_service(job, boot_s) {
                continue;
            }
            let age = job.waiting_since().until(now.wall);
            let tasks = if age > ARRIVAL_WINDOW {
                0
            } else {
                job.spec.tasks
            };
            let image = job.spec.image.clone();
            match arrivals.iter_mut().find(|known| known.need == job.need) {
                Some(known) => {
                    known.tasks += tasks;
                    known.images.insert(image);
                }
                None => arrivals.push(ArrivalReserve {
                    need: job.need,
                    tasks,
                    images: BTreeSet::from([image]),
                }),
            }
        }
        arrivals
    }

    /// Returns whether a job is a service whose start objective is shorter than the boot time of a machine.
    fn is_urgent_service(&self, job: &Job, boot_s: f64) -> bool {
        job.spec.kind == Kind::Service
            && job.is_active()
            && job.is_ready()
            && !job.is_preemptible()
            && (self.policy.start_objectives.get(&job.spec.class))
                .is_some_and(|within| within.as_secs() < boot_s)
    }
}

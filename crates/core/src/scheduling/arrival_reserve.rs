//! Room to be kept free for urgent services that may arrive before a machine could boot for them.

use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::units::{Now, Resources, Span};
use rudderreel_wire::ids::Image;
use rudderreel_wire::job::Kind;
use std::collections::BTreeSet;

/// Arrivals are counted over so long.
const ARRIVAL_WINDOW: Span = Span(120_000);
/// So many standard deviations are kept beyond the mean number of arrivals.
const RESERVE_DEVIATIONS: f64 = 2.0;

/// Room to be kept for urgent tasks of one size.
#[derive(Clone, Debug)]
pub struct ArrivalReserve {
    /// What one task takes.
    pub need: Resources,
    /// How many may arrive.
    pub tasks: u32,
    /// The images that they may need.
    pub images: BTreeSet<Image>,
}

impl Leader {
    /// Room for urgent services that may arrive before a machine could be had: for each size as many tasks as
    /// arrived lately in the time that a machine takes to boot, and two standard deviations more (arrivals are
    /// taken for a Poisson process).
    pub fn reserve_for_arrivals(&self, now: Now) -> Vec<ArrivalReserve> {
        let boot_s = self.policy.catalog.slowest_boot_s();
        let mut reserves = self.recent_urgent_arrivals(boot_s, now);
        for reserve in &mut reserves {
            let mean = f64::from(reserve.tasks) * boot_s / ARRIVAL_WINDOW.as_secs();
            let most = mean + RESERVE_DEVIATIONS * mean.sqrt();
            reserve.tasks = (self.policy.reserve_factor * most).ceil() as u32;
        }
        reserves
    }

    /// Tasks of urgent services that arrived within the window, by size. Older services add none, but their
    /// images are kept room for.
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

    /// Whether a job is a service whose users want it started sooner than a machine boots.
    fn is_urgent_service(&self, job: &Job, boot_s: f64) -> bool {
        job.spec.kind == Kind::Service
            && job.is_active()
            && job.is_ready()
            && !job.is_preemptible()
            && (self.policy.start_objectives.get(&job.spec.class))
                .is_some_and(|within| within.as_secs() < boot_s)
    }
}

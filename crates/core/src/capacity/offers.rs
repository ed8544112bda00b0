//! Offers of the cloud, their prices, and the cheapest offer for a job.

use super::bin_packing::{Bins, GpuPreference, TasksByZone};
use crate::cloud::scale_out_requests::InstanceOffer;
use crate::jobs::job::Job;
use crate::jobs::node_affinity::{satisfies_node_affinity, usable_machine_types};
use crate::leader::Leader;
use crate::scheduling::actions::should_avoid_gpus;
use crate::units::{Resources, Time};
use rudderreel_wire::cloud::MachineType;
use rudderreel_wire::ids::Zone;

/// Fraction that is added to an offer's price for each upcoming machine in its zone when offers are compared, so that
/// machines at equal prices are spread over the zones.
const SURCHARGE_FRACTION_PER_MACHINE: f64 = 0.001;
/// A machine is cheap if the most expensive one costs at least this many times as much.
const CHEAP_RATIO: f64 = 32.0;

/// An offer with the price of a machine divided by the number of a job's tasks that it holds.
pub(super) struct PricedOffer {
    pub(super) offer: InstanceOffer,
    pub(super) price_per_task: f64,
}

impl Leader {
    /// Returns all zones of the catalog, sorted.
    pub(crate) fn zones(&self) -> Vec<Zone> {
        let mut zones: Vec<Zone> = (self.policy.catalog.types.iter())
            .flat_map(|machine_type| machine_type.zones.iter().cloned())
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// Returns the cheapest offer for a job in a zone.
    pub(super) fn cheapest_offer_in(
        &self,
        job: &Job,
        zone: &Zone,
        now: Time,
    ) -> Option<PricedOffer> {
        (self.priced_offers(job, now).into_iter())
            .filter(|priced| priced.offer.zone == *zone)
            .min_by(|one, other| one.price_per_task.total_cmp(&other.price_per_task))
    }

    /// Returns the cheapest offer for a job in any zone that may hold more of its tasks.
    pub(super) fn cheapest_offer(
        &self,
        job: &Job,
        upcoming: &Bins,
        zones: &TasksByZone,
        now: Time,
    ) -> Option<InstanceOffer> {
        let spread_price = |priced: &PricedOffer| {
            let machines = f64::from(upcoming.machines_in(&priced.offer.zone));
            priced.price_per_task * (1.0 + SURCHARGE_FRACTION_PER_MACHINE * machines)
        };
        (self.priced_offers(job, now).into_iter())
            .filter(|priced| zones.in_zone(&priced.offer.zone) < job.spec.zone_cap())
            .map(|priced| (spread_price(&priced), priced.offer))
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, offer)| offer)
    }

    /// Returns whether a job stays off new machines with GPUs. It does if it could run without them, until it has found
    /// no other room for long.
    pub(super) fn gpu_preference(&self, job: &Job, now: Time) -> GpuPreference {
        if should_avoid_gpus(self, job) && !job.takes_any_new_machine(now) {
            GpuPreference::Avoid
        } else {
            GpuPreference::Any
        }
    }

    /// Returns the offers that a job may use and that may be requested, with their prices.
    fn priced_offers(&self, job: &Job, now: Time) -> Vec<PricedOffer> {
        let gpus = self.gpu_preference(job, now);
        let mut found = Vec::new();
        for machine_type in &self.policy.catalog.types {
            let capacity = Resources::of_machine(machine_type);
            let tasks = capacity.fit_count(&job.need);
            if tasks == 0 || (gpus == GpuPreference::Avoid && capacity.gpus > 0) {
                continue;
            }
            for offer in offers_of(machine_type) {
                let Some(price) = price(machine_type, offer.spot) else {
                    continue;
                };
                if self.may_request(job, &offer, now) {
                    found.push(PricedOffer {
                        offer,
                        price_per_task: price / f64::from(tasks),
                    });
                }
            }
        }
        found
    }

    /// Returns whether an offer may be requested for a job. A machine in a partitioned zone could not report.
    fn may_request(&self, job: &Job, offer: &InstanceOffer, now: Time) -> bool {
        self.scale_out.may_request(offer, now)
            && !self.fleet.partitioned_zones.contains(&offer.zone)
            && satisfies_node_affinity(&job.spec, &offer.machine_type, &offer.zone, offer.spot)
    }

    /// Returns whether the cheapest machine for a job costs so little compared with the most expensive type that all of
    /// the job's tasks may run at once.
    pub(super) fn runs_cheaply(&self, job: &Job) -> bool {
        let lowest_price = usable_machine_types(&self.policy.catalog, &job.spec, &job.need)
            .map(|machine_type| machine_type.price)
            .fold(f64::INFINITY, f64::min);
        lowest_price * CHEAP_RATIO <= self.policy.catalog.highest_price()
    }
}

/// Iterates over the offers of a machine type: in each zone, spot and on demand.
fn offers_of(machine_type: &MachineType) -> impl Iterator<Item = InstanceOffer> + '_ {
    machine_type.zones.iter().flat_map(|zone| {
        [true, false].map(|spot| InstanceOffer {
            machine_type: machine_type.name.clone(),
            zone: zone.clone(),
            spot,
        })
    })
}

/// Returns the spot or on-demand price of a machine type; `None` if it is not offered in that market.
pub(super) fn price(machine_type: &MachineType, spot: bool) -> Option<f64> {
    if spot {
        machine_type.spot_price
    } else {
        Some(machine_type.price)
    }
}

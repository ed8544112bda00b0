//! Scale-out: upcoming machines, and requests for more.

use super::bin_packing::{Bin, Bins};
use crate::cloud::scale_out_requests::{InstanceOffer, WantedMachines};
use crate::fleet::Machine;
use crate::leader::Leader;
use crate::units::{Now, Span, Wall};
use std::collections::BTreeMap;

/// Minimum for the limit on open requests; the limit is the number of calls a second that the cloud accepts, if that is
/// higher.
const MIN_OPEN_REQUESTS: usize = 5;
/// Multiple of the usual boot time after which a booting machine no longer counts as upcoming.
const LATE_BOOT_FACTOR: f64 = 1.3;

impl Leader {
    /// Requests wanted machines, as far as the limit on open requests allows.
    pub(super) fn request_machines(&mut self, wanted: BTreeMap<InstanceOffer, WantedMachines>) {
        let max_open = MIN_OPEN_REQUESTS.max(self.cloud_calls_per_s as usize);
        self.scale_out.request(wanted, max_open, self.term.epoch());
    }

    /// Returns the upcoming machines: those that are booting, and those that were requested.
    pub(super) fn upcoming_machines(&self, now: Now) -> Bins {
        let mut counts: BTreeMap<InstanceOffer, u32> = BTreeMap::new();
        let machines = self.fleet.machines.values();
        for machine in machines.filter(|machine| self.is_booting_in_time(machine, now.wall)) {
            *counts.entry(InstanceOffer::from(machine)).or_default() += 1;
        }
        for request in self.scale_out.open_requests() {
            *counts.entry(InstanceOffer::from(request)).or_default() += request.count;
        }
        (counts.into_iter())
            .map(|(offer, machines)| Bin::upcoming(self, offer, machines))
            .collect()
    }

    /// Returns whether a machine is booting, is neither retired nor being returned, and does not boot late.
    fn is_booting_in_time(&self, machine: &Machine, now: Wall) -> bool {
        machine.last_heard_at.is_none()
            && machine.retire_reason.is_none()
            && machine.return_requested_at.is_none()
            && !self.boots_late(machine, now)
    }

    /// Returns whether a machine's age has reached the usual boot time multiplied by [`LATE_BOOT_FACTOR`].
    fn boots_late(&self, machine: &Machine, now: Wall) -> bool {
        (self.policy.machine_type(&machine.machine_type)).is_some_and(|machine_type| {
            Leader::machine_age(machine, now) >= Span::secs(machine_type.boot_s * LATE_BOOT_FACTOR)
        })
    }
}

#[cfg(test)]
mod tests;

//! Scale-out: machines that are coming, and requests for more.

use super::bin_packing::{Bin, Bins};
use crate::cloud::scale_out_requests::{InstanceOffer, WantedMachines};
use crate::fleet::Machine;
use crate::leader::Leader;
use crate::units::{Now, Span, Wall};
use std::collections::BTreeMap;

/// Requests that may be open at once, or as many as the cloud takes calls a second if that is more.
const MIN_OPEN_REQUESTS: usize = 5;
/// A machine that boots for so many times the usual is not counted on any more.
const LATE_BOOT_FACTOR: f64 = 1.3;

impl Leader {
    /// Requests wanted machines, as far as the cloud takes calls.
    pub(super) fn request_machines(&mut self, wanted: BTreeMap<InstanceOffer, WantedMachines>) {
        let max_open = MIN_OPEN_REQUESTS.max(self.cloud_calls_per_s as usize);
        self.scale_out.request(wanted, max_open, self.term.epoch());
    }

    /// Machines that are coming: they boot, or were requested.
    pub(super) fn coming_machines(&self, now: Now) -> Bins {
        let mut counts: BTreeMap<InstanceOffer, u32> = BTreeMap::new();
        let machines = self.fleet.machines.values();
        for machine in machines.filter(|machine| self.is_booting_in_time(machine, now.wall)) {
            *counts.entry(InstanceOffer::from(machine)).or_default() += 1;
        }
        for request in self.scale_out.open_requests() {
            *counts.entry(InstanceOffer::from(request)).or_default() += request.count;
        }
        (counts.into_iter())
            .map(|(offer, machines)| Bin::coming(self, offer, machines))
            .collect()
    }

    /// Whether a machine boots, and does so no longer than it may take.
    fn is_booting_in_time(&self, machine: &Machine, now: Wall) -> bool {
        machine.last_heard_at.is_none()
            && machine.retire_reason.is_none()
            && machine.return_requested_at.is_none()
            && !self.boots_late(machine, now)
    }

    /// Whether a machine has booted for longer than it may take.
    fn boots_late(&self, machine: &Machine, now: Wall) -> bool {
        (self.policy.machine_type(&machine.machine_type)).is_some_and(|machine_type| {
            Leader::machine_age(machine, now) >= Span::secs(machine_type.boot_s * LATE_BOOT_FACTOR)
        })
    }
}

#[cfg(test)]
mod tests;

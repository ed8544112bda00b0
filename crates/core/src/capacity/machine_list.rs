//! Applies the cloud's machine list, whose pages may be older than the leader's state.

use crate::fleet::{Machine, MachineDescription, RetireReason};
use crate::leader::Leader;
use crate::units::{Now, Wall};
use rudderreel_wire::cloud::{ListedMachine, ListedState};

const MS_PER_S: f64 = 1000.0;

impl Leader {
    /// Applies a page of the machine list: adds unknown machines, unless they were returned, and retires those that the
    /// cloud lists as failed.
    pub(crate) fn apply_cloud_list(&mut self, listed: &[ListedMachine], now: Now) {
        for found in listed {
            if self.fleet.is_returned(&found.id) {
                continue;
            }
            let capacity = self.policy.capacity_of(&found.machine_type);
            let machine = (self.fleet.machines.entry(found.id.clone())).or_insert_with(|| {
                Machine::new(MachineDescription {
                    id: found.id.clone(),
                    machine_type: found.machine_type.clone(),
                    zone: found.zone.clone(),
                    is_spot: found.spot,
                    capacity,
                    known_since: requested_at(found, now),
                })
            });
            if machine.addr.is_none() {
                machine.addr = found.addr.clone();
            }
            if found.state == ListedState::Failed {
                machine.retire(RetireReason::Failed);
            }
        }
    }
}

/// Returns the time when a listed machine was requested.
fn requested_at(found: &ListedMachine, now: Now) -> Wall {
    let age_ms = (found.age_s.max(0.0) * MS_PER_S) as u64;
    Wall(now.wall.0.saturating_sub(age_ms))
}

//! Lifecycle of machines on the leader: a machine is added when it becomes known, cleared once its lease has expired,
//! and forgotten once it was returned.
//!
//! Safety: a machine's tasks count as gone only when its lease has surely expired for all leaders (see
//! [`Machine::is_lease_expired`]) or the cloud has confirmed the machine's return. Until then each of these tasks
//! occupies its room and counts as running, so that no task can run twice.

use crate::fleet::Machine;
use crate::leader::Leader;
use crate::units::{Now, Span, Wall};
use rudderreel_wire::ids::MachineId;

impl Leader {
    /// Clears machines whose leases have surely expired: their agents have ended all tasks.
    pub fn expire_leases(&mut self, now: Now) {
        let lease = self.agent_timings.lease;
        let old_leaders_fenced_at = self.term.old_leaders_fenced_at();
        let expired: Vec<MachineId> = (self.fleet.machines.values())
            .filter(|machine| !machine.tasks.is_empty())
            .filter(|machine| machine.is_lease_expired(now.time, lease, old_leaders_fenced_at))
            .map(|machine| machine.id.clone())
            .collect();
        for id in expired {
            log::info!("lease expired machine={id}");
            self.clear_machine(&id, now);
        }
    }

    /// Records that every task on a machine is surely gone.
    pub fn clear_machine(&mut self, id: &MachineId, now: Now) {
        let machine = self.fleet.machines.get_mut(id);
        let gone = machine.map(Machine::take_tasks).unwrap_or_default();
        for (task, attempt) in gone {
            self.task_lost(id, &task, attempt, now);
        }
    }

    /// Removes a machine that is surely gone.
    pub fn forget_machine(&mut self, id: &MachineId, now: Now) {
        self.clear_machine(id, now);
        self.request_cycle(now.time);
        self.fleet.remove_returned(id);
    }

    /// Adds a machine that became known by other means than a status report, unless it was returned.
    pub fn add_machine(&mut self, machine: Machine) {
        self.placement_log.mark_unrecorded();
        if !self.fleet.is_returned(&machine.id) {
            (self.fleet.machines.entry(machine.id.clone())).or_insert(machine);
        }
    }

    /// Returns whether any machine is expected to come up.
    pub fn is_booting(&self) -> bool {
        (self.fleet.machines.values())
            .any(|machine| machine.last_heard_at.is_none() && machine.return_requested_at.is_none())
    }

    /// Returns the age of a machine by the time of day.
    pub fn machine_age(machine: &Machine, wall: Wall) -> Span {
        machine.known_since.until(wall)
    }
}

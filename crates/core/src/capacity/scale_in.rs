//! Scale-in: which machines are returned to the cloud, and what its list shows.

use crate::cloud::scale_out_requests::InstanceOffer;
use crate::fleet::machine::Machine;
use crate::leader::Leader;
use crate::units::{Now, Span, Time};
use rudderreel_wire::cloud::{ListedMachine, ListedState, MACHINES_PER_RETURN};
use rudderreel_wire::ids::{Attempt, JobId, MachineId, TypeName, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// The cloud charges a machine for so long at least.
const LEAST_CHARGE: Span = Span(60_000);
/// A machine that costs so many times less than the dearest is kept idle as long as that one; one that
/// costs still less, longer in proportion, up to so many times.
const KEEP_RATIO: f64 = 5.0;
const KEEP_MOST: f64 = 9.0;
/// Why idle machines are returned.
pub(crate) const IDLE: &str = "idle";

impl Leader {
    /// Machines to return now: idle ones once they have been paid for, stuck and silent ones.
    pub(crate) fn machines_to_return(&mut self, now: Now) -> Vec<MachineId> {
        let boots: BTreeMap<TypeName, Span> = (self.policy.catalog.types.iter())
            .map(|t| (t.name.clone(), Span::secs(t.boot_s * 4.0 + 30.0)))
            .collect();
        let spare_only = self.spare_only();
        let keeps = self.keep_times();
        let partitioned_zones: BTreeSet<Zone> =
            self.fleet.partitioned_zones.keys().cloned().collect();
        let lost = self.machines_declared_dead(now.time);
        let (led, lease) = (now.time - self.term.elected_at, self.agent_timings.lease);
        let mut names = Vec::new();
        for machine in self.fleet.machines.values_mut() {
            let age = Leader::age(machine, now.wall);
            let boot = (boots.get(&machine.machine_type).copied()).unwrap_or(Span(180_000));
            if let Some(why) = lost.get(&machine.id) {
                machine.retire_reason.get_or_insert(why);
            }
            // This leader may not have been told yet that a machine of an earlier one is up.
            if machine.last_heard_at.is_none() && age > boot && led > Span(lease.0 * 2) {
                machine.retire_reason.get_or_insert("never came up");
            }
            let keep = (keeps
                .get(&(machine.machine_type.clone(), machine.is_spot))
                .copied())
            .unwrap_or(self.policy.idle_retention);
            // Behind a cut it can't be used, and is not idle for that.
            let idle = !partitioned_zones.contains(&machine.zone) && machine.tasks.is_empty()
                || spare_only.contains(&machine.id);
            if !idle {
                machine.idle_since = None;
            } else {
                let since = *machine.idle_since.get_or_insert(now.time);
                if machine.last_heard_at.is_some() && age > LEAST_CHARGE && now.time - since > keep
                {
                    machine.retire_reason.get_or_insert(IDLE);
                }
            }
            let asked = machine
                .return_requested_at
                .is_some_and(|t| now.time - t < Span(5_000));
            let urgent = machine.retire_reason.is_some_and(|why| why != IDLE);
            let due = machine.retire_reason.is_some() && (urgent || machine.tasks.is_empty());
            if due && !asked && names.len() < MACHINES_PER_RETURN {
                names.push(machine.id.clone());
            }
        }
        names
    }

    /// How long idle machines are kept, by type and kind: the cheaper beside the dearest that the
    /// cloud has, the longer. Next to machines with GPUs the rest cost next to nothing, and the next
    /// job has to wait for a boot if they are gone.
    fn keep_times(&self) -> BTreeMap<(TypeName, bool), Span> {
        let most = self.policy.catalog.most_dear();
        let kinds = (self.policy.catalog.types.iter())
            .flat_map(|t| [(t, false, Some(t.price)), (t, true, t.spot_price)]);
        kinds
            .filter_map(|(t, spot, price)| {
                let times = (most / price?.max(1e-9) / KEEP_RATIO).clamp(1.0, KEEP_MOST);
                let keep = (self.policy.idle_retention.0 as f64 * times) as u64;
                Some(((t.name.clone(), spot), Span(keep)))
            })
            .collect()
    }

    pub(crate) fn record_return_request(&mut self, names: &[MachineId], now: Now) {
        for id in names {
            if let Some(machine) = self.fleet.machines.get_mut(id) {
                machine.return_requested_at = Some(now.time);
                log::info!("returning {id}: {}", machine.retire_reason.unwrap_or(""));
            }
        }
    }

    pub(crate) fn record_return(&mut self, id: &MachineId) {
        if let Some(machine) = self.fleet.machines.get(id) {
            self.scale_out.came_free(&InstanceOffer {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.is_spot,
            });
        }
    }

    /// Machines with GPUs on which only evictable work without any runs: it was let in beside GPU
    /// work that has ended, and is not worth the machine.
    fn spare_only(&self) -> BTreeSet<MachineId> {
        let spare = |m: &&Machine| {
            m.capacity.gpus > 0
                && !m.tasks.is_empty()
                && m.tasks.iter().all(|e| {
                    let job = self.jobs.get(&e.task.job);
                    !e.occupies_capacity()
                        || job.is_some_and(|j| {
                            j.need.gpus == 0
                                && j.is_preemptible()
                                && self.policy.fits_without_gpus(&j.spec, &j.need)
                        })
                })
        };
        (self.fleet.machines.values().filter(spare))
            .map(|m| m.id.clone())
            .collect()
    }

    /// Stops what is left on machines that are to be returned once they are empty.
    pub fn stop_tasks_on_retired(&mut self, now: Time) {
        let left: Vec<(MachineId, JobId, Attempt)> = (self.fleet.machines.values())
            .filter(|m| m.retire_reason == Some(IDLE))
            .flat_map(|m| m.tasks.iter().map(move |e| (m, e)))
            .filter(|(_, e)| e.occupies_capacity() && e.stop.is_none())
            .map(|(m, e)| (m.id.clone(), e.task.job.clone(), e.attempt))
            .collect();
        for (machine, job, attempt) in left {
            let grace = self.jobs.get(&job).map_or(0.0, |j| j.spec.save_s);
            self.stop_attempt_on(
                &machine,
                &job,
                attempt,
                grace,
                "its machine is returned",
                now,
            );
        }
    }

    /// Takes in a page of the machine list, which may be older than what is known.
    pub(crate) fn apply_cloud_list(&mut self, listed: &[ListedMachine], now: Now) {
        for found in listed {
            if self.fleet.returned.contains_key(&found.id) {
                continue;
            }
            let room = self.policy.capacity_of(&found.machine_type);
            let since = now
                .wall
                .0
                .saturating_sub((found.age_s.max(0.0) * 1000.0) as u64);
            let machine = self
                .fleet
                .machines
                .entry(found.id.clone())
                .or_insert_with(|| {
                    let (t, z) = (found.machine_type.clone(), found.zone.clone());
                    let since = crate::units::Wall(since);
                    Machine::new(found.id.clone(), t, z, found.spot, room, since)
                });
            machine.in_cloud_list = true;
            if machine.addr.is_none() {
                machine.addr = found.addr.clone();
            }
            if found.state == ListedState::Failed {
                machine.retire_reason.get_or_insert("failed");
            }
        }
    }
}

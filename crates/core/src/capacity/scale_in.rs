//! Scale-in: which machines are returned to the cloud, and when.
//!
//! A machine is first marked with the reason for which it is retired; from then on it gets nothing new. One that is
//! idle is returned once it is empty, any other at once. Everything on a machine counts as running until the cloud has
//! confirmed the return (see [`machine_lifecycle`](crate::scheduling::machine_lifecycle)).

use super::offers::price;
use crate::cloud::scale_out_requests::InstanceOffer;
use crate::fleet::{Machine, RetireReason, Stop, StopReason};
use crate::leader::Leader;
use crate::scheduling::actions::should_avoid_gpus;
use crate::units::{Now, Span, Time};
use rudderreel_wire::cloud::MACHINES_PER_RETURN;
use rudderreel_wire::ids::{Attempt, JobId, MachineId, TypeName, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// The cloud charges a machine for so long at least.
const MIN_CHARGED_TIME: Span = Span(60_000);
/// A machine that costs so many times less than the dearest is kept idle as long as that one; one that costs still
/// less, longer in proportion.
const RETENTION_PRICE_RATIO: f64 = 5.0;
/// A cheap machine is kept idle so many times as long at most.
const MAX_RETENTION_FACTOR: f64 = 9.0;
/// Prices count as so much at least.
const MIN_PRICE: f64 = 1e-9;
/// A machine that has not reported after so many times the usual boot, and so many seconds more, is stuck.
const STUCK_BOOT_FACTOR: f64 = 4.0;
const STUCK_BOOT_MARGIN_S: f64 = 30.0;
/// The same for a machine of which the type is not known.
const STUCK_BOOT_OF_UNKNOWN_TYPE: Span = Span(180_000);
/// A leader retires stuck machines after so many leases: it may not have heard yet that a machine is up which an
/// earlier leader requested.
const LEASES_BEFORE_STUCK: u64 = 2;
/// A return without an answer is repeated after so long.
const RETURN_RETRY_INTERVAL: Span = Span(5_000);

/// Whether machines must be returned at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// Some may hold what must not go on.
    Now,
    /// All are idle.
    CanWait,
}

/// Machines to be returned in one call.
pub(crate) struct MachinesToReturn {
    pub(crate) machines: Vec<MachineId>,
    pub(crate) urgency: Urgency,
}

/// What decides about scale-in, at one moment.
struct ScaleInPolicy {
    now: Now,
    /// By type: after so long without a status report a machine is stuck.
    stuck_after: BTreeMap<TypeName, Span>,
    /// By type and whether it is a spot instance: how long an idle machine is kept.
    retention: BTreeMap<(TypeName, bool), Span>,
    default_retention: Span,
    partitioned_zones: BTreeSet<Zone>,
    /// Machines with GPUs that count as idle although something runs there.
    misused: BTreeSet<MachineId>,
    /// Machines that were declared dead, and why.
    dead: BTreeMap<MachineId, RetireReason>,
    /// Whether the leader has led for long enough to know that a machine is stuck.
    knows_stuck_machines: bool,
}

impl ScaleInPolicy {
    fn new(leader: &Leader, now: Now) -> Self {
        let led_for = now.time - leader.term.elected_at();
        let stuck_after = (leader.policy.catalog.types.iter())
            .map(|machine_type| {
                let limit_s = machine_type.boot_s * STUCK_BOOT_FACTOR + STUCK_BOOT_MARGIN_S;
                (machine_type.name.clone(), Span::secs(limit_s))
            })
            .collect();
        Self {
            now,
            stuck_after,
            retention: leader.idle_retention(),
            default_retention: leader.policy.idle_retention,
            partitioned_zones: (leader.fleet.partitioned_zones.iter())
                .map(|(zone, _)| zone.clone())
                .collect(),
            misused: leader.misused_gpu_machines(),
            dead: leader.machines_declared_dead(now.time),
            knows_stuck_machines: led_for
                > Span(leader.agent_timings.lease.0 * LEASES_BEFORE_STUCK),
        }
    }

    /// Marks a machine as retired if it is dead, stuck, or has been idle for long enough.
    fn update_retirement(&self, machine: &mut Machine) {
        let age = Leader::machine_age(machine, self.now.wall);
        if let Some(reason) = self.dead.get(&machine.id) {
            machine.retire(*reason);
        }
        if machine.last_heard_at.is_none() && self.knows_stuck_machines {
            let limit = self.stuck_after.get(&machine.machine_type).copied();
            if age > limit.unwrap_or(STUCK_BOOT_OF_UNKNOWN_TYPE) {
                machine.retire(RetireReason::NeverCameUp);
            }
        }
        if !self.is_idle(machine) {
            machine.idle_since = None;
            return;
        }
        let idle_for = self.now.time - *machine.idle_since.get_or_insert(self.now.time);
        let is_paid_for = machine.last_heard_at.is_some() && age > MIN_CHARGED_TIME;
        if is_paid_for && idle_for > self.retention_of(machine) {
            machine.retire(RetireReason::Idle);
        }
    }

    /// A machine in a partitioned zone can't be used, and is not idle for that.
    fn is_idle(&self, machine: &Machine) -> bool {
        let is_reachable = !self.partitioned_zones.contains(&machine.zone);
        (is_reachable && machine.tasks.is_empty()) || self.misused.contains(&machine.id)
    }

    fn retention_of(&self, machine: &Machine) -> Span {
        let kind = (machine.machine_type.clone(), machine.is_spot);
        let retention = self.retention.get(&kind).copied();
        retention.unwrap_or(self.default_retention)
    }

    /// Whether a retired machine is to be returned now, unless that was asked for a moment ago.
    fn is_due(&self, machine: &Machine) -> bool {
        let is_asked = (machine.return_requested_at)
            .is_some_and(|at| self.now.time - at < RETURN_RETRY_INTERVAL);
        let may_go = is_urgent(machine) || machine.tasks.is_empty();
        machine.retire_reason.is_some() && may_go && !is_asked
    }
}

/// Whether a machine is retired for another reason than that it is idle.
fn is_urgent(machine: &Machine) -> bool {
    (machine.retire_reason).is_some_and(|reason| !reason.waits_until_empty())
}

impl Leader {
    /// Machines to return now: idle ones once they have been paid for, stuck and dead ones.
    pub(crate) fn machines_to_return(&mut self, now: Now) -> MachinesToReturn {
        let policy = ScaleInPolicy::new(self, now);
        let mut machines = Vec::new();
        let mut urgency = Urgency::CanWait;
        for machine in self.fleet.machines.values_mut() {
            policy.update_retirement(machine);
            if policy.is_due(machine) && machines.len() < MACHINES_PER_RETURN {
                machines.push(machine.id.clone());
                if is_urgent(machine) {
                    urgency = Urgency::Now;
                }
            }
        }
        MachinesToReturn { machines, urgency }
    }

    /// How long idle machines are kept: the cheaper beside the dearest that the cloud has, the longer. Next to
    /// machines with GPUs the rest cost next to nothing, and the next job has to wait for a boot if they are gone.
    fn idle_retention(&self) -> BTreeMap<(TypeName, bool), Span> {
        let highest_price = self.policy.catalog.most_dear();
        let kinds = (self.policy.catalog.types.iter())
            .flat_map(|machine_type| [(machine_type, false), (machine_type, true)]);
        kinds
            .filter_map(|(machine_type, spot)| {
                let price = price(machine_type, spot)?.max(MIN_PRICE);
                let factor = highest_price / price / RETENTION_PRICE_RATIO;
                let factor = factor.clamp(1.0, MAX_RETENTION_FACTOR);
                let retention = (self.policy.idle_retention.0 as f64 * factor) as u64;
                Some(((machine_type.name.clone(), spot), Span(retention)))
            })
            .collect()
    }

    /// Machines with GPUs on which only preemptible work runs that could do without: it was let in beside work on the
    /// GPUs that has ended, and is not worth the machine.
    fn misused_gpu_machines(&self) -> BTreeSet<MachineId> {
        let is_worthless = |id: &JobId| {
            (self.jobs.get(id))
                .is_some_and(|job| job.is_preemptible() && should_avoid_gpus(self, job))
        };
        (self.fleet.machines.values())
            .filter(|machine| machine.capacity.gpus > 0 && !machine.tasks.is_empty())
            .filter(|machine| {
                (machine.tasks.iter())
                    .all(|placed| !placed.occupies_capacity() || is_worthless(&placed.task.job))
            })
            .map(|machine| machine.id.clone())
            .collect()
    }

    /// Notes that the return of machines is being asked for.
    pub(crate) fn record_return_request(&mut self, machines: &[MachineId], now: Now) {
        for id in machines {
            if let Some(machine) = self.fleet.machines.get_mut(id) {
                machine.return_requested_at = Some(now.time);
                let reason = machine.retire_reason.map_or("", RetireReason::as_str);
                log::info!("scale-in requested machine={id} reason={reason:?}");
            }
        }
    }

    /// Notes that the cloud has a machine back.
    pub(crate) fn record_return(&mut self, id: &MachineId) {
        if let Some(machine) = self.fleet.machines.get(id) {
            self.scale_out.forget_refusal(&InstanceOffer::from(machine));
        }
    }

    /// Stops what is left on machines that are to be returned as idle once they are empty.
    pub fn stop_tasks_on_retired(&mut self, now: Time) {
        let left: Vec<(MachineId, JobId, Attempt)> = (self.fleet.machines.values())
            .filter(|machine| machine.retire_reason == Some(RetireReason::Idle))
            .flat_map(|machine| machine.tasks.iter().map(move |placed| (machine, placed)))
            .filter(|(_, placed)| placed.occupies_capacity() && placed.stop.is_none())
            .map(|(machine, placed)| (machine.id.clone(), placed.task.job.clone(), placed.attempt))
            .collect();
        for (machine, job, attempt) in left {
            let grace_s = self.jobs.get(&job).map_or(0.0, |job| job.spec.save_s);
            let stop = Stop::with_grace(StopReason::MachineReturned, grace_s, now);
            self.stop_attempt_on(&machine, &job, attempt, stop);
        }
    }
}

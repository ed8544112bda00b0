//! Scale-in: which machines are returned to the cloud, and when.
//!
//! A machine is first marked as retired, with a reason; from then on no new tasks are placed on it. A machine that is
//! retired as idle is returned once it is empty, any other at once. All tasks on a machine count as running until the
//! cloud has confirmed the return (see [`machine_lifecycle`](crate::scheduling::machine_lifecycle)).

use super::offers::price;
use crate::cloud::scale_out_requests::InstanceOffer;
use crate::fleet::{Machine, RetireReason, Stop, StopReason};
use crate::leader::Leader;
use crate::scheduling::actions::should_avoid_gpus;
use crate::units::{Now, Span, Time};
use rudderreel_wire::cloud::MAX_MACHINES_PER_SCALE_IN;
use rudderreel_wire::ids::{Attempt, JobId, MachineId, TypeName, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum time that the cloud charges for a machine.
const MIN_CHARGED_TIME: Span = Span(60_000);
/// Price ratio up to which idle machines are kept equally long: a machine type that is cheaper than the most expensive
/// one by more than this factor is kept longer, in proportion.
const RETENTION_PRICE_RATIO: f64 = 5.0;
/// Maximum factor by which the idle retention of cheap machines is extended.
const MAX_RETENTION_FACTOR: f64 = 9.0;
/// Minimum that is assumed for a price, to avoid division by zero.
const MIN_PRICE: f64 = 1e-9;
/// A machine without a status report is stuck after its usual boot time multiplied by this factor, plus
/// [`STUCK_BOOT_MARGIN_S`].
const STUCK_BOOT_FACTOR: f64 = 4.0;
/// Time that is added to the multiplied boot time, in seconds.
const STUCK_BOOT_MARGIN_S: f64 = 30.0;
/// Time after which a machine of an unknown type without a status report is stuck.
const STUCK_BOOT_OF_UNKNOWN_TYPE: Span = Span(180_000);
/// A leader retires stuck machines only after it has led for longer than this number of lease durations: until then it
/// may not have received a status report of a machine that is up and that an earlier leader requested.
const LEASES_BEFORE_STUCK: u64 = 2;
/// Time after which a return that has not been answered is repeated.
const RETURN_RETRY_INTERVAL: Span = Span(5_000);

/// Urgency of a return of machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReturnUrgency {
    /// The return must be requested at once, since a machine may run tasks that must be stopped.
    Immediate,
    /// All machines are idle, so the return may be delayed.
    CanWait,
}

/// Machines to be returned in one call to the cloud.
pub(crate) struct MachinesToReturn {
    pub(crate) machines: Vec<MachineId>,
    pub(crate) urgency: ReturnUrgency,
}

/// The conditions for scale-in at one point in time.
struct ScaleInPolicy {
    now: Now,
    /// By machine type, the age after which a machine without a status report is stuck.
    stuck_after: BTreeMap<TypeName, Span>,
    /// By machine type and whether it is a spot instance, the idle time after which a machine is released.
    retention: BTreeMap<(TypeName, bool), Span>,
    default_retention: Span,
    partitioned_zones: BTreeSet<Zone>,
    /// Machines with GPUs that count as idle although tasks run on them.
    underused_gpu_machines: BTreeSet<MachineId>,
    /// Machines that were declared dead, with the reason.
    dead: BTreeMap<MachineId, RetireReason>,
    /// Whether the leader has led for long enough to know which machines are stuck.
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
            underused_gpu_machines: leader.underused_gpu_machines(),
            dead: leader.machines_declared_dead(now.time),
            knows_stuck_machines: led_for
                > Span(leader.agent_timings.lease.0 * LEASES_BEFORE_STUCK),
        }
    }

    /// Marks a machine as retired if it is dead, stuck, or has been paid for and idle for long enough.
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

    /// Returns whether a machine is idle: it is empty, or one of `underused_gpu_machines`. An empty machine in a
    /// partitioned zone does not count as idle, because it can't be used.
    fn is_idle(&self, machine: &Machine) -> bool {
        let is_reachable = !self.partitioned_zones.contains(&machine.zone);
        (is_reachable && machine.tasks.is_empty())
            || self.underused_gpu_machines.contains(&machine.id)
    }

    fn retention_of(&self, machine: &Machine) -> Span {
        let kind = (machine.machine_type.clone(), machine.is_spot);
        let retention = self.retention.get(&kind).copied();
        retention.unwrap_or(self.default_retention)
    }

    /// Returns whether the return of a machine is to be requested now: it is retired, urgent or empty, and its return
    /// was not requested within the last [`RETURN_RETRY_INTERVAL`].
    fn is_due(&self, machine: &Machine) -> bool {
        let is_recently_requested = (machine.return_requested_at)
            .is_some_and(|at| self.now.time - at < RETURN_RETRY_INTERVAL);
        let may_be_returned = is_urgent(machine) || machine.tasks.is_empty();
        machine.retire_reason.is_some() && may_be_returned && !is_recently_requested
    }
}

/// Returns whether a machine is retired for a reason other than being idle.
fn is_urgent(machine: &Machine) -> bool {
    (machine.retire_reason).is_some_and(|reason| !reason.waits_until_empty())
}

impl Leader {
    /// Marks machines as retired: dead ones, stuck ones, and those that have been paid for and idle for long enough.
    /// Returns those whose return is to be requested now, at most [`MAX_MACHINES_PER_SCALE_IN`].
    pub(crate) fn machines_to_return(&mut self, now: Now) -> MachinesToReturn {
        let policy = ScaleInPolicy::new(self, now);
        let mut machines = Vec::new();
        let mut urgency = ReturnUrgency::CanWait;
        for machine in self.fleet.machines.values_mut() {
            policy.update_retirement(machine);
            if policy.is_due(machine) && machines.len() < MAX_MACHINES_PER_SCALE_IN {
                machines.push(machine.id.clone());
                if is_urgent(machine) {
                    urgency = ReturnUrgency::Immediate;
                }
            }
        }
        MachinesToReturn { machines, urgency }
    }

    /// Returns the idle time after which machines are released, by type and whether they are spot instances. The
    /// cheaper a machine is compared with the most expensive type of the cloud, the longer it is kept: machines without
    /// GPUs cost next to nothing compared with those with GPUs, and the next job has to wait for a boot if they are
    /// gone.
    fn idle_retention(&self) -> BTreeMap<(TypeName, bool), Span> {
        let highest_price = self.policy.catalog.highest_price();
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

    /// Returns the machines with GPUs on which only preemptible work runs that could run without GPUs. It was placed
    /// there next to GPU work that has since ended, and does not justify the cost of the machine. Work that found no
    /// other room is left where it is.
    fn underused_gpu_machines(&self) -> BTreeSet<MachineId> {
        let is_preemptible_without_gpus = |id: &JobId| {
            (self.jobs.get(id)).is_some_and(|job| {
                job.is_preemptible() && !job.uses_any_room && should_avoid_gpus(self, job)
            })
        };
        (self.fleet.machines.values())
            .filter(|machine| machine.capacity.gpus > 0 && !machine.tasks.is_empty())
            .filter(|machine| {
                (machine.tasks.iter()).all(|placed| {
                    !placed.occupies_capacity() || is_preemptible_without_gpus(&placed.task.job)
                })
            })
            .map(|machine| machine.id.clone())
            .collect()
    }

    /// Records that the return of machines is being requested.
    pub(crate) fn record_return_request(&mut self, machines: &[MachineId], now: Now) {
        for id in machines {
            if let Some(machine) = self.fleet.machines.get_mut(id) {
                machine.return_requested_at = Some(now.time);
                let reason = machine.retire_reason.map_or("", RetireReason::as_str);
                log::info!("scale-in requested machine={id} reason={reason:?}");
            }
        }
    }

    /// Records that the cloud has confirmed the return of a machine.
    pub(crate) fn record_return(&mut self, id: &MachineId) {
        if let Some(machine) = self.fleet.machines.get(id) {
            self.scale_out.forget_refusal(&InstanceOffer::from(machine));
        }
    }

    /// Stops the remaining tasks on machines that are retired as idle and will be returned once they are empty.
    pub fn stop_tasks_on_retired(&mut self, now: Time) {
        let remaining: Vec<(MachineId, JobId, Attempt)> = (self.fleet.machines.values())
            .filter(|machine| machine.retire_reason == Some(RetireReason::Idle))
            .flat_map(|machine| machine.tasks.iter().map(move |placed| (machine, placed)))
            .filter(|(_, placed)| placed.occupies_capacity() && placed.stop.is_none())
            .map(|(machine, placed)| (machine.id.clone(), placed.task.job.clone(), placed.attempt))
            .collect();
        for (machine, job, attempt) in remaining {
            let grace_s = self.jobs.get(&job).map_or(0.0, |job| job.spec.save_s);
            let stop = Stop::with_grace(StopReason::MachineReturned, grace_s, now);
            self.stop_attempt_on(&machine, &job, attempt, stop);
        }
    }
}

//! Machines that are silent, that hear nothing, or that lie behind a cut.
//!
//! Returning a machine is the fastest proof that what was on it is gone, so one that is surely lost
//! is returned soon. It costs all that runs there, so nothing is concluded when it may as well be
//! this node that hears or reaches nobody, or a whole zone that is cut off: there work goes on as
//! long as its leases last, and returning the machines would end what the cut does not.

use crate::fleet::machine::{Machine, PlacedTask};
use crate::jobs::job::is_non_preemptible;
use crate::leader::Leader;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{MachineId, Zone};
use std::collections::BTreeMap;

/// A machine that has missed a report is given up when its worker has left so many probes
/// unanswered.
const PROBES: u32 = 2;
/// One that is heard, or has not missed a report yet, is given up only when it has left so many
/// unanswered: when it is heard, for half a lease.
const DEAF: u32 = 3;
/// And when it is not heard, for so long.
const UNANSWERED: Span = Span(1_200);
/// If nobody has answered a direct call for so long, it is not known whether any would.
const CONTROL: Span = Span(2_000);
/// Troubles come to many machines at once. When one is found silent, for so long those that run
/// what can't wait are asked, too, if they were not heard just now.
const SUSPICION: Span = Span(3_000);
const JUST_NOW: Span = Span(1_500);
/// Probes that may be under way at once, and one more for so many machines: of a large fleet hundreds
/// may hang at once, and each is asked several times.
const UNDER_WAY: usize = 64;
const MACHINES_PER_PROBE: usize = 16;
/// A zone with at least so many machines is taken for cut off when all of them have missed a report;
/// one with many already when none was heard for so long, or for so many times the usual pause
/// between their reports.
const ZONE: usize = 4;
const MANY: usize = 24;
const ZONE_SILENT: Span = Span(1_000);
const PAUSES: u64 = 10;
/// A worker waits 4 s for an answer and one more before it tries another node.
const SEEKING: Span = Span(6_500);
/// Machines behind a cut are kept for so many leases.
const KEPT: u64 = 4;

impl Leader {
    /// A machine that was not heard for so long has missed a report.
    fn report_timeout(&self) -> Span {
        Span(self.agent_timings.report_interval.0 * 5 / 4 + 500)
    }

    /// A machine that was not heard for so long is silent. A worker whose node is gone or cut off
    /// waits for its answer, finds another node and reports again, which takes this long without
    /// anything being wrong with it.
    pub(crate) fn silence_timeout(&self) -> Span {
        Span(
            (self.agent_timings.report_interval.0 * 3 / 2 + SEEKING.0)
                .min(self.agent_timings.lease.0 * 3 / 4 + 1_000),
        )
    }

    /// Whether most machines that were ever heard were heard lately, and some this moment: if not,
    /// it is rather this node that is cut off. Zones that are cut off don't count.
    fn hears_most_machines(&self, now: Time) -> bool {
        let up: Vec<Time> = (self.fleet.machines.values())
            .filter(|m| !self.fleet.partitioned_zones.contains_key(&m.zone))
            .filter_map(|m| m.last_heard_at)
            .collect();
        let heard = |within: u64| up.iter().filter(|&&t| now - t < Span(within)).count();
        heard(self.agent_timings.report_interval.0 * 3 / 2 + 500) * 3 >= up.len() * 2
            && heard(self.agent_timings.report_interval.0 / 2 + 100) * 5 >= up.len()
    }

    /// Notes which zones are cut off: of all machines there that should report none does.
    pub fn detect_partitioned_zones(&mut self, now: Time) {
        // By zone: machines that should report, all, and when one was last heard.
        let mut zones: BTreeMap<&Zone, (usize, usize, Time)> = BTreeMap::new();
        for m in self
            .fleet
            .machines
            .values()
            .filter(|m| m.return_requested_at.is_none())
        {
            // What an earlier leader has started tasks on was up.
            let due = m.last_heard_at.is_some() || !m.tasks.is_empty();
            let heard = m.last_heard_at.unwrap_or(self.term.elected_at());
            let (dues, all, last) = zones.entry(&m.zone).or_insert((0, 0, heard));
            *dues += usize::from(due);
            *all += 1;
            *last = heard.max(*last);
        }
        let due: usize = zones.values().map(|(dues, ..)| dues).sum();
        let partitioned_zones = |(zone, (dues, all, last)): &(&&Zone, &(usize, usize, Time))| {
            // One that was cut off is until some machine is heard again, also if all that was on
            // them is gone.
            let was = self.fleet.partitioned_zones.contains_key(**zone);
            let silent = self.zone_silence(if was { *all } else { *dues });
            (was || *dues >= ZONE)
                && now - *last > silent
                && (was || self.heard_elsewhere(zone, silent, due - dues, now))
        };
        let mut partitioned_zones: BTreeMap<Zone, Time> = (zones.iter().filter(partitioned_zones))
            .map(|(zone, (.., last))| ((*zone).clone(), *last))
            .collect();
        let heard: Vec<Zone> = (zones.iter())
            .filter(|(zone, (.., last))| {
                *last > self.term.elected_at() && !partitioned_zones.contains_key(**zone)
            })
            .map(|(zone, _)| (*zone).clone())
            .collect();
        if partitioned_zones.len() == zones.len() {
            // If none is heard anywhere it is this node.
            partitioned_zones.clear();
        }
        for (zone, since) in &mut partitioned_zones {
            let before = self
                .fleet
                .partitioned_zones
                .get(zone)
                .or(self.fleet.previously_partitioned_zones.get(zone));
            *since = before.map_or(*since, |t| *t.min(since));
            if !self.fleet.partitioned_zones.contains_key(zone) {
                log::info!("zone {zone} is cut off");
            }
        }
        let late = self.report_timeout();
        for (zone, since) in self
            .fleet
            .partitioned_zones
            .iter()
            .filter(|(z, _)| !partitioned_zones.contains_key(*z))
        {
            log::info!("zone {zone} is no longer cut off");
            if now - *since > late {
                self.fleet.healed_zones.insert(zone.clone(), now);
            }
        }
        // What an earlier leader noticed is over where somebody is heard.
        self.fleet
            .previously_partitioned_zones
            .retain(|zone, _| !heard.contains(zone));
        self.fleet.partitioned_zones = partitioned_zones;
    }

    /// Of a zone with so many machines that should report something is heard within this time.
    fn zone_silence(&self, machines: usize) -> Span {
        if machines < MANY {
            // They may all report at about the same moment.
            return self.report_timeout();
        }
        ZONE_SILENT.max(Span(
            PAUSES * self.agent_timings.report_interval.0 / machines as u64,
        ))
    }

    /// Whether a third of the reports that other zones should send within a time came. After a
    /// take-over all workers report at once, and then nobody for a while.
    fn heard_elsewhere(&self, zone: &Zone, within: Span, due: usize, now: Time) -> bool {
        let heard = (self.fleet.machines.values())
            .filter(|m| m.zone != *zone && m.last_heard_at.is_some_and(|t| now - t < within))
            .count();
        heard as u64 * 3 * self.agent_timings.report_interval.0
            >= due as u64 * within.0.min(self.agent_timings.report_interval.0)
    }

    /// Whether a machine behind a cut should be returned. When the leases there have run out, the
    /// leader that heard of it last knows that nothing runs there any more. One that took over since
    /// can't tell for a lease more; if replicas may run elsewhere, a return is the sooner proof.
    fn is_declared_dead_in_partition(&self, m: &Machine, since: Time, now: Time) -> bool {
        let healed_zones = self
            .zones()
            .into_iter()
            .filter(|z| !self.fleet.partitioned_zones.contains_key(z));
        let healed_zones: Vec<Zone> = healed_zones.collect();
        let movable = |e: &PlacedTask| {
            e.occupies_capacity()
                && e.spec.as_ref().is_some_and(|s| {
                    let zones = match &s.zone {
                        Some(zone) => u32::from(healed_zones.contains(zone)),
                        None => healed_zones.len() as u32,
                    };
                    is_non_preemptible(s) && zones.saturating_mul(s.zone_cap()) >= s.tasks
                })
        };
        let over = |leases: u64| {
            now > since + Span(self.agent_timings.lease.0 * leases).with_drift() + Span(1_000)
        };
        // For a while it is kept although nothing runs there: when the cut ends it is wanted at once.
        over(KEPT) || over(1) && m.tasks.iter().any(movable)
    }

    /// Machines that are surely lost or can't be commanded, and why.
    pub fn machines_declared_dead(&self, now: Time) -> BTreeMap<MachineId, &'static str> {
        let hears = self.hears_most_machines(now);
        let reaches = now - self.fleet.last_direct_answer_at < CONTROL;
        (self.fleet.machines.values())
            .filter_map(|m| {
                let why = match self.fleet.partitioned_zones.get(&m.zone) {
                    Some(since) => (self.is_declared_dead_in_partition(m, *since, now))
                        .then_some("behind a cut"),
                    None => self.why_declared_dead(m, hears, reaches, now),
                };
                Some((m.id.clone(), why?))
            })
            .collect()
    }

    /// When a machine was last heard. After a cut its reports count as late only from then on.
    fn heard(&self, m: &Machine) -> Option<Time> {
        let healed_zones = self.fleet.healed_zones.get(&m.zone).copied();
        m.last_heard_at
            .map(|t| healed_zones.map_or(t, |healed_zones| healed_zones.max(t)))
    }

    fn why_declared_dead(
        &self,
        m: &Machine,
        hears: bool,
        reaches: bool,
        now: Time,
    ) -> Option<&'static str> {
        let deaf_for = m.unreachable_since.map_or(Span(0), |t| now - t);
        let Some(last) = self.heard(m) else {
            // What an earlier leader had it run may be gone with it: it is asked by the address
            // that the cloud lists.
            let asked = m.unanswered_calls > PROBES && deaf_for > UNANSWERED;
            return (asked
                && hears
                && reaches
                && now - self.term.elected_at() > self.report_timeout())
            .then_some("does not answer");
        };
        // A leader that hears most, or reaches some, can tell; else it may be this node.
        let silent = now - last;
        let missed = m.unanswered_calls >= PROBES && silent > self.report_timeout();
        let hung =
            m.unanswered_calls >= DEAF && deaf_for > UNANSWERED && silent > deaf_for + UNANSWERED;
        if hears && silent > self.silence_timeout() {
            Some("silent")
        } else if hears && reaches && (missed || hung) {
            Some("does not answer")
        } else if reaches
            && m.unanswered_calls >= DEAF
            && deaf_for > Span(self.agent_timings.lease.0 / 2)
        {
            // It is heard, but nothing reaches it: what it runs can't be stopped.
            Some("does not hear")
        } else if m.is_lease_expired(
            now,
            Span(self.agent_timings.lease.0 * 2),
            self.term.old_leaders_fenced_at(),
        ) {
            Some("silent for long")
        } else {
            None
        }
    }

    /// Machines whose workers have missed a report, or left a call unanswered: they are probed,
    /// those first that run what can't wait. If nobody has answered a call for a while, some that
    /// were heard are called too: it may be this node that reaches nobody.
    pub fn machines_to_probe(&self, now: Time) -> Vec<MachineId> {
        let late = self.report_timeout();
        let callable = |m: &&Machine| {
            m.return_requested_at.is_none()
                && !m.direct_call_open
                && m.next_direct_call_at <= now
                && !self.fleet.partitioned_zones.contains_key(&m.zone)
        };
        let suspicious = now < self.fleet.suspect_until;
        // A machine that should stop something is asked at once if that may be gone already: until it
        // has acknowledged this leader nothing it leaves out is proven gone.
        let stops = |m: &Machine| {
            m.acknowledged_epoch != self.term.epoch()
                && m.tasks
                    .iter()
                    .any(|e| e.stop.is_some() && e.occupies_capacity())
        };
        let doubtful = |m: &&Machine| match self.heard(m) {
            Some(last) => {
                let just_now = suspicious && now - last > JUST_NOW && m.runs_non_preemptible();
                m.unanswered_calls > 0 || now - last > late || just_now || stops(m)
            }
            None => {
                let due = stops(m) || now - self.term.elected_at() > late;
                m.addr.is_some() && !m.tasks.is_empty() && due
            }
        };
        let open = (self.fleet.machines.values())
            .filter(|m| m.direct_call_open)
            .count();
        let mut found: Vec<&Machine> = (self.fleet.machines.values())
            .filter(|m| callable(m) && doubtful(m))
            .collect();
        found.sort_by_key(|m| !m.runs_non_preemptible());
        let under_way = UNDER_WAY.max(self.fleet.machines.len() / MACHINES_PER_PROBE);
        found.truncate(under_way.saturating_sub(open));
        let mut found: Vec<MachineId> = found.into_iter().map(|m| m.id.clone()).collect();
        if !found.is_empty() && now - self.fleet.last_direct_answer_at > CONTROL {
            let sure = (self.fleet.machines.values())
                .filter(|m| m.last_heard_at.is_some() && callable(m) && !doubtful(m));
            found.extend(sure.take(3).map(|m| m.id.clone()));
        }
        found
    }

    /// A worker has left a call unanswered. If it has missed a report, others may be lost as well.
    pub fn direct_call_unanswered(&mut self, id: &MachineId, now: Time) {
        let late = self.report_timeout();
        self.fleet.unanswered_calls += 1;
        let Some(machine) = self.fleet.machines.get_mut(id) else {
            return;
        };
        machine.call_unanswered(now);
        let wait = 100 << machine.unanswered_calls.min(5);
        machine.next_direct_call_at = now + Span(wait);
        let missed = machine.last_heard_at.is_some_and(|t| now - t > late);
        if missed && !self.fleet.partitioned_zones.contains_key(&machine.zone) {
            self.fleet.suspect_until = now + SUSPICION;
        }
    }
}

#[cfg(test)]
mod tests;

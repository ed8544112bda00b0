//! Machines that are silent, that hear nothing, or that lie behind a cut.
//!
//! Returning a machine is the fastest proof that what was on it is gone, so one that is surely lost
//! is returned soon. It costs all that runs there, so nothing is concluded when it may as well be
//! this node that hears or reaches nobody, or a whole zone that is cut off: there work goes on as
//! long as its leases last, and returning the machines would end what the cut does not.

use crate::lead::Lead;
use crate::possession::Machine;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{MachineId, Zone};
use std::collections::{BTreeMap, BTreeSet};

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
/// Probes that may be under way at once.
const UNDER_WAY: usize = 64;
/// A zone with at least so many machines is taken for cut off when none of them was heard for so
/// long, or for so many times the usual pause between their reports.
const ZONE: usize = 4;
const ZONE_SILENT: Span = Span(1_000);
const PAUSES: u64 = 6;

impl Lead {
    /// A machine that was not heard for so long has missed a report.
    fn late(&self) -> Span {
        Span(self.report.0 * 5 / 4 + 500)
    }

    /// A machine that was not heard for so long has missed several reports.
    fn silence(&self) -> Span {
        Span((self.report.0 * 3).min(self.lease.0 * 3 / 4) + 1_000)
    }

    /// Whether most machines that were ever heard were heard lately, and some this moment: if not,
    /// it is rather this node that is cut off. Zones that are cut off don't count.
    fn hears(&self, now: Time) -> bool {
        let up: Vec<Time> = (self.machines.values())
            .filter(|m| !self.dark.contains(&m.zone))
            .filter_map(|m| m.last_heard)
            .collect();
        let heard = |within: u64| up.iter().filter(|&&t| now - t < Span(within)).count();
        heard(self.report.0 * 3 / 2 + 500) * 3 >= up.len() * 2
            && heard(self.report.0 / 2 + 100) * 5 >= up.len()
    }

    /// Notes which zones are cut off: of all machines there that should report none does.
    pub fn find_dark_zones(&mut self, now: Time) {
        let mut zones: BTreeMap<&Zone, (usize, Time)> = BTreeMap::new();
        let mut newest = self.since;
        for m in self.machines.values() {
            // What an earlier leader has started tasks on was up.
            if m.last_heard.is_none() && m.entries.is_empty() || m.returning.is_some() {
                continue;
            }
            let heard = m.last_heard.unwrap_or(self.since);
            newest = newest.max(heard);
            let (count, last) = zones.entry(&m.zone).or_insert((0, heard));
            *count += 1;
            *last = heard.max(*last);
        }
        let dark = |(count, last): &(usize, Time)| {
            let pause = PAUSES * self.report.0 / (*count).max(1) as u64;
            *count >= ZONE && now - *last > ZONE_SILENT.max(Span(pause))
        };
        let dark: BTreeSet<Zone> = (zones.iter())
            .filter(|(_, zone)| dark(zone))
            .map(|(zone, _)| (*zone).clone())
            .collect();
        // If none is heard anywhere it is this node.
        let dark = if dark.len() == zones.len() {
            BTreeSet::new()
        } else {
            dark
        };
        for zone in dark.difference(&self.dark) {
            log::info!("zone {zone} is cut off");
        }
        for zone in self.dark.difference(&dark) {
            log::info!("zone {zone} is no longer cut off");
            self.lit.insert(zone.clone(), now);
        }
        self.dark = dark;
    }

    /// Machines that are surely lost or can't be commanded, and why.
    pub fn lost(&self, now: Time) -> BTreeMap<MachineId, &'static str> {
        let hears = self.hears(now);
        let reaches = now - self.last_reaction < CONTROL;
        (self.machines.values())
            .filter(|m| !self.dark.contains(&m.zone))
            .filter_map(|m| Some((m.id.clone(), self.why_lost(m, hears, reaches, now)?)))
            .collect()
    }

    /// When a machine was last heard. After a cut its reports count as late only from then on.
    fn heard(&self, m: &Machine) -> Option<Time> {
        let lit = self.lit.get(&m.zone).copied();
        m.last_heard.map(|t| lit.map_or(t, |lit| lit.max(t)))
    }

    fn why_lost(&self, m: &Machine, hears: bool, reaches: bool, now: Time) -> Option<&'static str> {
        let deaf_for = m.deaf_since.map_or(Span(0), |t| now - t);
        let Some(last) = self.heard(m) else {
            // What an earlier leader had it run may be gone with it: it is asked by the address
            // that the cloud lists.
            let asked = m.unanswered > PROBES && deaf_for > UNANSWERED;
            return (asked && hears && reaches && now - self.since > self.late())
                .then_some("does not answer");
        };
        // A leader that hears most, or reaches some, can tell; else it may be this node.
        let silent = now - last;
        let missed = m.unanswered >= PROBES && silent > self.late();
        let hung = m.unanswered >= DEAF && deaf_for > UNANSWERED && silent > deaf_for + UNANSWERED;
        if hears && silent > self.silence() {
            Some("silent")
        } else if hears && reaches && (missed || hung) {
            Some("does not answer")
        } else if reaches && m.unanswered >= DEAF && deaf_for > Span(self.lease.0 / 2) {
            // It is heard, but nothing reaches it: what it runs can't be stopped.
            Some("does not hear")
        } else if m.lease_surely_over(now, Span(self.lease.0 * 2), self.fence) {
            Some("silent for long")
        } else {
            None
        }
    }

    /// Machines whose workers have missed a report, or left a call unanswered: they are probed,
    /// those first that run what can't wait. If nobody has answered a call for a while, some that
    /// were heard are called too: it may be this node that reaches nobody.
    pub fn overdue(&self, now: Time) -> Vec<MachineId> {
        let late = self.late();
        let callable = |m: &&Machine| {
            m.returning.is_none()
                && !m.direct_open
                && m.direct_after <= now
                && !self.dark.contains(&m.zone)
        };
        let suspicious = now < self.suspicion;
        let doubtful = |m: &&Machine| match self.heard(m) {
            Some(last) => {
                let just_now = suspicious && now - last > JUST_NOW && m.holds_firm();
                m.unanswered > 0 || now - last > late || just_now
            }
            None => m.addr.is_some() && !m.entries.is_empty() && now - self.since > late,
        };
        let open = (self.machines.values()).filter(|m| m.direct_open).count();
        let mut found: Vec<&Machine> = (self.machines.values())
            .filter(|m| callable(m) && doubtful(m))
            .collect();
        found.sort_by_key(|m| !m.holds_firm());
        found.truncate(UNDER_WAY.saturating_sub(open));
        let mut found: Vec<MachineId> = found.into_iter().map(|m| m.id.clone()).collect();
        if !found.is_empty() && now - self.last_reaction > CONTROL {
            let sure = (self.machines.values())
                .filter(|m| m.last_heard.is_some() && callable(m) && !doubtful(m));
            found.extend(sure.take(3).map(|m| m.id.clone()));
        }
        found
    }

    /// A worker has left a call unanswered. If it has missed a report, others may be lost as well.
    pub fn did_not_answer(&mut self, id: &MachineId, now: Time) {
        let late = self.late();
        self.unanswered += 1;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.did_not_react(now);
        let wait = 100 << machine.unanswered.min(5);
        machine.direct_after = now + Span(wait);
        let missed = machine.last_heard.is_some_and(|t| now - t > late);
        if missed && !self.dark.contains(&machine.zone) {
            self.suspicion = now + SUSPICION;
        }
    }
}

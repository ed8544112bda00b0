//! Detects zones that are partitioned from this node: all machines there that should report are silent.
//!
//! Such silence is no failure of the machines. If nobody at all is heard, it is this node that is cut off, and no
//! zone is said to be partitioned.

use crate::fleet::Fleet;
use crate::leader::Leader;
use crate::units::{Span, Time};
use rudderreel_wire::ids::Zone;
use std::collections::BTreeMap;

/// A zone is partitioned only if at least so many machines there should report.
const MIN_MACHINES_OF_PARTITIONED_ZONE: usize = 4;
/// In a zone with so many machines, a silence of less than a report interval shows something.
const MIN_MACHINES_FOR_EARLY_DETECTION: usize = 24;
/// The least silence of such a zone that counts, and how many times the usual pause between two reports from there.
const MIN_ZONE_SILENCE: Span = Span(1_000);
const PAUSES_OF_ZONE_SILENCE: u64 = 10;

/// What was heard of a zone.
struct ZoneReports {
    /// Machines that should report.
    expected: usize,
    /// All machines that are not being returned.
    machines: usize,
    /// When one of them was last heard, or when this leader was elected.
    last_heard_at: Time,
}

impl Leader {
    /// Finds out which zones are partitioned.
    pub fn detect_partitioned_zones(&mut self, now: Time) {
        let zones = reports_by_zone(&self.fleet, self.term.elected_at());
        let mut detected = self.silent_zones(&zones, now);
        let heard: Vec<Zone> = (zones.iter())
            .filter(|(zone, reports)| {
                reports.last_heard_at > self.term.elected_at() && !detected.contains_key(**zone)
            })
            .map(|(zone, _)| (*zone).clone())
            .collect();
        if detected.len() == zones.len() {
            // If nobody is heard anywhere it is this node that is cut off.
            detected.clear();
        }
        let report_timeout = self.report_timeout();
        (self.fleet.partitioned_zones).update(detected, &heard, report_timeout, now);
    }

    /// Zones of which nothing was heard for too long, and since when.
    fn silent_zones(
        &self,
        zones: &BTreeMap<&Zone, ZoneReports>,
        now: Time,
    ) -> BTreeMap<Zone, Time> {
        let expected_in_all: usize = zones.values().map(|reports| reports.expected).sum();
        let is_silent = |zone: &Zone, reports: &ZoneReports| {
            // A partition lasts until some machine is heard again, also if all that ran there is gone.
            let was_partitioned = self.fleet.partitioned_zones.contains(zone);
            let machines = if was_partitioned {
                reports.machines
            } else {
                reports.expected
            };
            let max_silence = self.max_zone_silence(machines);
            let expected_elsewhere = expected_in_all - reports.expected;
            (was_partitioned || reports.expected >= MIN_MACHINES_OF_PARTITIONED_ZONE)
                && now - reports.last_heard_at > max_silence
                && (was_partitioned
                    || self.hears_other_zones(zone, max_silence, expected_elsewhere, now))
        };
        (zones.iter())
            .filter(|(zone, reports)| is_silent(zone, reports))
            .map(|(zone, reports)| ((*zone).clone(), reports.last_heard_at))
            .collect()
    }

    /// How long nothing may be heard of a zone with so many machines that should report.
    fn max_zone_silence(&self, machines: usize) -> Span {
        if machines < MIN_MACHINES_FOR_EARLY_DETECTION {
            // They may all report at about the same moment.
            return self.report_timeout();
        }
        MIN_ZONE_SILENCE.max(Span(
            PAUSES_OF_ZONE_SILENCE * self.agent_timings.report_interval.0 / machines as u64,
        ))
    }

    /// Whether a third of the reports came that other zones should send within a time. After a failover all agents
    /// report at once, and then nobody for a while.
    fn hears_other_zones(&self, zone: &Zone, within: Span, expected: usize, now: Time) -> bool {
        let heard = (self.fleet.machines.values())
            .filter(|machine| machine.zone != *zone && machine.is_heard_within(within, now))
            .count();
        let interval = self.agent_timings.report_interval.0;
        heard as u64 * 3 * interval >= expected as u64 * within.0.min(interval)
    }
}

fn reports_by_zone(fleet: &Fleet, elected_at: Time) -> BTreeMap<&Zone, ZoneReports> {
    let mut zones: BTreeMap<&Zone, ZoneReports> = BTreeMap::new();
    let kept = (fleet.machines.values()).filter(|machine| machine.return_requested_at.is_none());
    for machine in kept {
        // What an earlier leader has started tasks on was up.
        let is_expected = machine.last_heard_at.is_some() || !machine.tasks.is_empty();
        let heard_at = machine.last_heard_at.unwrap_or(elected_at);
        let reports = zones.entry(&machine.zone).or_insert(ZoneReports {
            expected: 0,
            machines: 0,
            last_heard_at: heard_at,
        });
        reports.expected += usize::from(is_expected);
        reports.machines += 1;
        reports.last_heard_at = reports.last_heard_at.max(heard_at);
    }
    zones
}

//! Detects zones that are partitioned from this node: all machines there that should report are silent.
//!
//! Such silence is not a failure of the machines. If no machine of any zone is heard from, it is this node that is cut
//! off, and no zone counts as partitioned.

use crate::fleet::Fleet;
use crate::leader::Leader;
use crate::units::{Span, Time};
use rudderreel_wire::ids::Zone;
use std::collections::BTreeMap;

/// Minimum number of machines that should report from a zone for the zone to count as partitioned.
const MIN_MACHINES_OF_PARTITIONED_ZONE: usize = 4;
/// Minimum number of machines in a zone for a silence of less than a report interval to be significant.
const MIN_MACHINES_FOR_EARLY_DETECTION: usize = 24;
/// Minimum silence of such a zone that is significant.
const MIN_ZONE_SILENCE: Span = Span(1_000);
/// Minimum silence of such a zone that is significant, as a multiple of the mean time between two reports from there.
const ZONE_SILENCE_IN_REPORT_GAPS: u64 = 10;

/// The status reports from a zone.
struct ZoneReports {
    /// Number of machines that should report.
    expected: usize,
    /// Number of all machines that are not being returned.
    machines: usize,
    /// Time at which one of them was last heard from, or at which this leader was elected.
    last_heard_at: Time,
}

impl Leader {
    /// Updates the set of partitioned zones.
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
            // If no machine of any zone is heard from, it is this node that is cut off.
            detected.clear();
        }
        let report_timeout = self.report_timeout();
        (self.fleet.partitioned_zones).update(detected, &heard, report_timeout, now);
    }

    /// Returns the zones from which nothing was heard for too long, each with the time since which.
    fn silent_zones(
        &self,
        zones: &BTreeMap<&Zone, ZoneReports>,
        now: Time,
    ) -> BTreeMap<Zone, Time> {
        let expected_in_all: usize = zones.values().map(|reports| reports.expected).sum();
        let is_silent = |zone: &Zone, reports: &ZoneReports| {
            // A partition lasts until some machine is heard from again, also if all tasks that ran there are gone.
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
                    || self.hears_from_other_zones(zone, max_silence, expected_elsewhere, now))
        };
        (zones.iter())
            .filter(|(zone, reports)| is_silent(zone, reports))
            .map(|(zone, reports)| ((*zone).clone(), reports.last_heard_at))
            .collect()
    }

    /// Returns the time for which nothing may be heard from a zone with this many machines that should report.
    fn max_zone_silence(&self, machines: usize) -> Span {
        if machines < MIN_MACHINES_FOR_EARLY_DETECTION {
            // All of these machines may report at about the same time.
            return self.report_timeout();
        }
        MIN_ZONE_SILENCE.max(Span(
            ZONE_SILENCE_IN_REPORT_GAPS * self.agent_timings.report_interval.0 / machines as u64,
        ))
    }

    /// Returns whether at least a third of the reports arrived that the machines of other zones should send within a
    /// time. After a failover all agents report at once, and then none for a while.
    fn hears_from_other_zones(
        &self,
        zone: &Zone,
        within: Span,
        expected: usize,
        now: Time,
    ) -> bool {
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
        // A machine on which an earlier leader has started tasks was up.
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

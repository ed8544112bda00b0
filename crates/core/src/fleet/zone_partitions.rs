//! Zones that are partitioned from this node, and those that lately were.
//!
//! Which zones are is found out by `agents::zone_partitions`. In a partitioned zone work goes on as long as the
//! agents' leases last, and its machines are neither probed nor given work.

use crate::units::{Span, Time};
use rudderreel_wire::ids::Zone;
use std::collections::BTreeMap;

/// The zones that are partitioned, and since when.
#[derive(Default, Debug)]
pub struct ZonePartitions {
    /// By zone: when a machine there was last heard, by this leader or, if that is known, an earlier one.
    silent_since: BTreeMap<Zone, Time>,
    /// The same, as an earlier leader saw it, as long as this one has heard of nobody there.
    seen_by_earlier_leader: BTreeMap<Zone, Time>,
    /// When partitions ended that lasted longer than a report interval.
    healed_at: BTreeMap<Zone, Time>,
}

impl ZonePartitions {
    /// Whether a zone is partitioned.
    pub fn contains(&self, zone: &Zone) -> bool {
        self.silent_since.contains_key(zone)
    }

    /// Since when nothing was heard of a partitioned zone.
    pub fn silent_since(&self, zone: &Zone) -> Option<Time> {
        self.silent_since.get(zone).copied()
    }

    /// When a zone's last long partition ended.
    pub fn healed_at(&self, zone: &Zone) -> Option<Time> {
        self.healed_at.get(zone).copied()
    }

    /// The partitioned zones, with the time since when nothing was heard of each.
    pub fn iter(&self) -> impl Iterator<Item = (&Zone, Time)> {
        self.silent_since.iter().map(|(zone, since)| (zone, *since))
    }

    /// Takes over what an earlier leader saw.
    pub fn set_seen_by_earlier_leader(&mut self, zones: BTreeMap<Zone, Time>) {
        self.seen_by_earlier_leader = zones;
    }

    /// Replaces the partitioned zones by those that were detected now. `heard`: zones that this leader has heard of.
    /// A partition that lasted less than `report_timeout` made no report late.
    pub fn update(
        &mut self,
        mut detected: BTreeMap<Zone, Time>,
        heard: &[Zone],
        report_timeout: Span,
        now: Time,
    ) {
        for (zone, since) in &mut detected {
            let earlier = (self.silent_since.get(zone)).or(self.seen_by_earlier_leader.get(zone));
            *since = earlier.map_or(*since, |earlier| (*earlier).min(*since));
            if !self.silent_since.contains_key(zone) {
                log::info!("zone partitioned zone={zone}");
            }
        }
        for (zone, since) in &self.silent_since {
            if detected.contains_key(zone) {
                continue;
            }
            log::info!("zone healed zone={zone}");
            if now - *since > report_timeout {
                self.healed_at.insert(zone.clone(), now);
            }
        }
        self.seen_by_earlier_leader
            .retain(|zone, _| !heard.contains(zone));
        self.silent_since = detected;
    }
}

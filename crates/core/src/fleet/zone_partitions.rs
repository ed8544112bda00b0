//! Zones that are partitioned from this node, and those whose partition has ended.
//!
//! Partitions are detected by `agents::zone_partitions`. In a partitioned zone tasks keep running as long as the
//! agents' leases last, and its machines are neither probed nor given work.

use crate::units::{Span, Time};
use rudderreel_wire::ids::Zone;
use std::collections::BTreeMap;

/// The zones that are partitioned, and the times since which nothing was heard from them.
#[derive(Default, Debug)]
pub struct ZonePartitions {
    /// By zone: time at which a machine there was last heard from, by this leader or, if that is known, an earlier one.
    silent_since: BTreeMap<Zone, Time>,
    /// The same, as seen by an earlier leader, as long as this leader has heard from no machine there.
    seen_by_earlier_leader: BTreeMap<Zone, Time>,
    /// By zone: time at which the last partition ended that lasted longer than the report timeout.
    healed_at: BTreeMap<Zone, Time>,
}

impl ZonePartitions {
    /// Returns whether a zone is partitioned.
    pub fn contains(&self, zone: &Zone) -> bool {
        self.silent_since.contains_key(zone)
    }

    /// Returns the time since which nothing was heard from a partitioned zone.
    pub fn silent_since(&self, zone: &Zone) -> Option<Time> {
        self.silent_since.get(zone).copied()
    }

    /// Returns the time at which a zone's last long partition ended.
    pub fn healed_at(&self, zone: &Zone) -> Option<Time> {
        self.healed_at.get(zone).copied()
    }

    /// Returns the partitioned zones, each with the time since which nothing was heard from it.
    pub fn iter(&self) -> impl Iterator<Item = (&Zone, Time)> {
        self.silent_since.iter().map(|(zone, since)| (zone, *since))
    }

    /// Sets the partitioned zones that an earlier leader saw, each with the time since which it heard nothing.
    pub fn set_seen_by_earlier_leader(&mut self, zones: BTreeMap<Zone, Time>) {
        self.seen_by_earlier_leader = zones;
    }

    /// Replaces the partitioned zones by those that were detected now. `heard`: zones that this leader has heard from.
    /// A partition that lasted no longer than `report_timeout` made no report late.
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

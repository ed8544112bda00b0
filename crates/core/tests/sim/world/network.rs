//! The network: message delays, and which nodes and zones can reach each other.

use super::*;

impl World {
    /// Draws the delay of a message in milliseconds.
    pub(super) fn message_delay(&mut self) -> u64 {
        if self.random_faults && self.rng.random_bool(0.01) {
            return self.rng.random_range(200..900);
        }
        if self.now < self.slow_links_until {
            return self.rng.random_range(100..400);
        }
        self.rng.random_range(1..6)
    }

    /// Returns whether two nodes can reach each other.
    pub(super) fn connected(&self, a: usize, b: usize) -> bool {
        let pair = [(a, b), (b, a)];
        !self.cut_pairs.iter().any(|cut| pair.contains(cut))
            && !self.partitioned(zone_of(a), zone_of(b))
            && self.now >= self.nodes[a].cut_from_peers_until
            && self.now >= self.nodes[b].cut_from_peers_until
    }

    /// Returns whether exactly one of two zones is the partitioned zone.
    pub(super) fn partitioned(&self, a: &str, b: &str) -> bool {
        let partitioned_zone = self.partitioned_zone.filter(|(_, until)| self.now < *until);
        partitioned_zone.is_some_and(|(zone, _)| (a == zone) != (b == zone))
    }
}

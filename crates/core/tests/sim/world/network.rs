//! The network: delays, and who can reach whom.

use super::*;

impl World {
    pub(super) fn hop(&mut self) -> u64 {
        if self.random_faults && self.rng.random_bool(0.01) {
            return self.rng.random_range(200..900);
        }
        if self.now < self.slow_links_until {
            return self.rng.random_range(100..400);
        }
        self.rng.random_range(1..6)
    }

    pub(super) fn connected(&self, a: usize, b: usize) -> bool {
        let pair = [(a, b), (b, a)];
        !self.cut_pairs.iter().any(|cut| pair.contains(cut))
            && !self.apart(zone_of(a), zone_of(b))
            && self.now >= self.nodes[a].cut_from_peers_until
            && self.now >= self.nodes[b].cut_from_peers_until
    }

    /// Whether a cut zone lies between two places.
    pub(super) fn apart(&self, a: &str, b: &str) -> bool {
        let partitioned_zone = self.partitioned_zone.filter(|(_, until)| self.now < *until);
        partitioned_zone.is_some_and(|(zone, _)| (a == zone) != (b == zone))
    }
}

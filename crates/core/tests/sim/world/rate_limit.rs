//! A limit of requests a second, as the store and the cloud enforce it.

/// A limit of so many a second.
#[derive(Default)]
pub(super) struct RateLimit {
    full_at: u64,
}

impl RateLimit {
    /// Takes so many requests if they are within the limit. Bursts of a second's worth are.
    pub(super) fn take(&mut self, n: u64, per_s: u64, now: u64) -> bool {
        let cost = n * 1_000 / per_s;
        let from = self.full_at.max(now);
        let fits = from + cost <= now + 1_000;
        if fits {
            self.full_at = from + cost;
        }
        fits
    }
}

//! A limit of requests per second, as the store enforces it.

/// A rate limit that allows bursts of one second's worth of requests.
#[derive(Default)]
pub(super) struct RateLimit {
    /// Theoretical arrival time of the next request (generic cell rate algorithm), in milliseconds.
    theoretical_arrival: u64,
}

impl RateLimit {
    /// Accepts `n` requests if they are within the limit of `per_s` requests per second, and returns whether they are.
    /// Bursts of one second's worth of requests are within the limit.
    pub(super) fn try_take(&mut self, n: u64, per_s: u64, now: u64) -> bool {
        let cost = n * 1_000 / per_s;
        let from = self.theoretical_arrival.max(now);
        let fits = from + cost <= now + 1_000;
        if fits {
            self.theoretical_arrival = from + cost;
        }
        fits
    }
}

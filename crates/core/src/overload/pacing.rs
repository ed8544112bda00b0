//! Keeps the leader's long steps to a part of the time.
//!
//! A look through all machines and a cycle take a few milliseconds of a whole core in a large fleet. On a node
//! with a small part of a core that is a tenth of a second and more, and something always calls for the next
//! one. Reports, heartbeats and users wait behind them, so each is followed by a pause in proportion to the
//! time that the last one took. On a node that is fast enough the pause is over before the next is due.

use crate::units::{Span, Time};

/// Steps of the leader that take long in a large fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongStep {
    /// A look through machines and jobs.
    Review,
    /// A look with a cycle.
    Cycle,
}

/// A pause after a look lasts as long as the look did: half of the time is left for what waits.
const REVIEW_PAUSE: u64 = 1;
/// After a cycle it lasts twice as long.
const CYCLE_PAUSE: u64 = 2;
/// No pause is longer, or a slow node would stop deciding.
const LONGEST_PAUSE: Span = Span(1_000);

/// A node that is behind (see `backlog`) answers first, and looks and decides only so often.
const REVIEW_BEHIND: Span = Span(500);
const CYCLE_BEHIND: Span = Span(2_000);

/// When the leader's long steps may follow.
#[derive(Default)]
pub(crate) struct Pacing {
    /// What the current step did.
    current: Option<LongStep>,
    review_after: Time,
    cycle_after: Time,
    /// When the last ones began.
    reviewed: Time,
    decided: Time,
}

impl Pacing {
    /// Whether a look may begin.
    pub fn may_review(&self, now: Time, behind: bool) -> bool {
        now >= self.review_after && (!behind || now >= self.reviewed + REVIEW_BEHIND)
    }

    /// Whether a cycle may begin.
    pub fn may_cycle(&self, now: Time, behind: bool) -> bool {
        now >= self.cycle_after && (!behind || now >= self.decided + CYCLE_BEHIND)
    }

    /// Notes that the current step does this.
    pub fn begin(&mut self, step: LongStep, now: Time) {
        self.current = Some(step);
        match step {
            LongStep::Review => self.reviewed = now,
            LongStep::Cycle => self.decided = now,
        }
    }

    /// What the current step did, if it was long.
    pub fn current(&self) -> Option<LongStep> {
        self.current
    }

    /// Notes how long the step took that has just ended.
    pub fn ended(&mut self, at: Time, took: Span) {
        let pause = |times: u64| Span(took.0.saturating_mul(times)).min(LONGEST_PAUSE);
        match self.current.take() {
            Some(LongStep::Cycle) => {
                self.review_after = at + pause(REVIEW_PAUSE);
                self.cycle_after = at + pause(CYCLE_PAUSE);
            }
            Some(LongStep::Review) => self.review_after = at + pause(REVIEW_PAUSE),
            None => {}
        }
    }
}

#[cfg(test)]
mod tests;

//! Keeps the leader's long steps to a part of the time.
//!
//! A reconcile pass over all machines and a scheduling cycle take a few milliseconds of a whole core in a large fleet.
//! On a node with a small part of a core that is a tenth of a second and more, and something always calls for the next
//! one. Status reports, heartbeats and users wait behind them, so each is followed by a pause in proportion to the time
//! that the last one took. On a node that is fast enough the pause is over before the next is due.

use crate::units::{Span, Time};

/// Steps of the leader that take long in a large fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongStep {
    /// A reconcile pass over machines and jobs.
    Reconcile,
    /// A reconcile pass with a scheduling cycle.
    Cycle,
}

/// The pause after a reconcile pass, in times of what it took: half of the time is left for what waits.
const RECONCILE_PAUSE_FACTOR: u64 = 1;
/// The pause after a cycle, in times of what it took.
const CYCLE_PAUSE_FACTOR: u64 = 2;
/// No pause is longer, or a slow node would stop deciding.
const MAX_PAUSE: Span = Span(1_000);

/// A node that is behind (see [`backlog`](super::backlog)) answers first, and begins reconcile passes only so often.
const RECONCILE_INTERVAL_BEHIND: Span = Span(500);
/// How often a node that is behind begins cycles.
const CYCLE_INTERVAL_BEHIND: Span = Span(2_000);

/// When the leader's long steps may follow.
#[derive(Default)]
pub(crate) struct Pacing {
    /// What the current step did, if it is long.
    current: Option<LongStep>,
    reconcile: StepPacing,
    cycle: StepPacing,
}

/// When one kind of long step may follow.
#[derive(Default)]
struct StepPacing {
    last_begun_at: Time,
    paused_until: Time,
}

impl StepPacing {
    fn may_begin(&self, now: Time, behind: bool, interval_behind: Span) -> bool {
        now >= self.paused_until && (!behind || now >= self.last_begun_at + interval_behind)
    }

    /// Begins the pause after a step that took so long.
    fn pause(&mut self, ended_at: Time, took: Span, factor: u64) {
        let pause = Span(took.0.saturating_mul(factor));
        self.paused_until = ended_at + pause.min(MAX_PAUSE);
    }
}

impl Pacing {
    /// Whether a reconcile pass may begin.
    pub fn may_reconcile(&self, now: Time, behind: bool) -> bool {
        (self.reconcile).may_begin(now, behind, RECONCILE_INTERVAL_BEHIND)
    }

    /// Whether a cycle may begin.
    pub fn may_cycle(&self, now: Time, behind: bool) -> bool {
        (self.cycle).may_begin(now, behind, CYCLE_INTERVAL_BEHIND)
    }

    /// Notes what the current step does. A cycle is part of a reconcile pass that has begun before.
    pub fn begin(&mut self, step: LongStep, now: Time) {
        self.current = Some(step);
        match step {
            LongStep::Reconcile => self.reconcile.last_begun_at = now,
            LongStep::Cycle => self.cycle.last_begun_at = now,
        }
    }

    /// What the current step did, if it was long.
    pub fn current(&self) -> Option<LongStep> {
        self.current
    }

    /// Notes how long the step took that has just ended.
    pub fn ended(&mut self, at: Time, took: Span) {
        let Some(step) = self.current.take() else {
            return;
        };
        self.reconcile.pause(at, took, RECONCILE_PAUSE_FACTOR);
        if step == LongStep::Cycle {
            self.cycle.pause(at, took, CYCLE_PAUSE_FACTOR);
        }
    }
}

#[cfg(test)]
mod tests;

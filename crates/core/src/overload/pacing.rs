//! Limits the leader's long steps to a fraction of the time.
//!
//! In a large fleet a reconcile pass over all machines or a scheduling cycle takes a few milliseconds of a whole core.
//! On a node with a small share of a core that is a tenth of a second or more, and the next one is always due. Status
//! reports, heartbeats and users' requests wait meanwhile, so each long step is followed by a pause in proportion to
//! its duration. On a node that is fast enough the pause is over before the next long step is due.

use crate::units::{Span, Time};

/// A step of the leader that takes long in a large fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongStep {
    /// A reconcile pass over machines and jobs.
    Reconcile,
    /// A reconcile pass that includes a scheduling cycle.
    Cycle,
}

/// Pause after a reconcile pass, as a multiple of its duration: half of the time is left for waiting inputs.
const RECONCILE_PAUSE_FACTOR: u64 = 1;
/// Pause after a cycle until the next one, as a multiple of its duration.
const CYCLE_PAUSE_FACTOR: u64 = 2;
/// Upper bound of a pause. With longer pauses, a slow node would stop making decisions.
const MAX_PAUSE: Span = Span(1_000);

/// Minimum time between the beginnings of two reconcile passes on a node that is behind (see
/// [`backlog`](super::backlog)). Such a node answers its inputs first.
const RECONCILE_INTERVAL_BEHIND: Span = Span(500);
/// Minimum time between the beginnings of two cycles on a node that is behind.
const CYCLE_INTERVAL_BEHIND: Span = Span(2_000);

/// Decides when the leader may begin its next long step.
#[derive(Default)]
pub(crate) struct Pacing {
    /// Kind of the current step, if it is a long one.
    current: Option<LongStep>,
    reconcile: StepPacing,
    cycle: StepPacing,
}

/// Times that determine when the next long step of one kind may begin.
#[derive(Default)]
struct StepPacing {
    last_begun_at: Time,
    paused_until: Time,
}

impl StepPacing {
    fn may_begin(&self, now: Time, behind: bool, interval_behind: Span) -> bool {
        now >= self.paused_until && (!behind || now >= self.last_begun_at + interval_behind)
    }

    /// Begins the pause after a step that ended at `ended_at` and took `took`.
    fn pause(&mut self, ended_at: Time, took: Span, factor: u64) {
        let pause = Span(took.0.saturating_mul(factor));
        self.paused_until = ended_at + pause.min(MAX_PAUSE);
    }
}

impl Pacing {
    /// Returns whether a reconcile pass may begin.
    pub fn may_reconcile(&self, now: Time, behind: bool) -> bool {
        (self.reconcile).may_begin(now, behind, RECONCILE_INTERVAL_BEHIND)
    }

    /// Returns whether a cycle may begin.
    pub fn may_cycle(&self, now: Time, behind: bool) -> bool {
        (self.cycle).may_begin(now, behind, CYCLE_INTERVAL_BEHIND)
    }

    /// Records that the current step is a long one, and of which kind. A cycle is part of a reconcile pass whose
    /// beginning has already been recorded.
    pub fn begin(&mut self, step: LongStep, now: Time) {
        self.current = Some(step);
        match step {
            LongStep::Reconcile => self.reconcile.last_begun_at = now,
            LongStep::Cycle => self.cycle.last_begun_at = now,
        }
    }

    /// Returns the kind of the current step, if it is a long one.
    pub fn current(&self) -> Option<LongStep> {
        self.current
    }

    /// Records the end and the duration of the current step.
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

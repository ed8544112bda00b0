//! Direct calls to agents: the rate at which they may be made, and whether any agent answers them.
//!
//! A direct call starts a task sooner than the answer to the agent's next status report would. Each call costs a
//! connection, so their rate is bounded. When more calls are due than that allows, commands that can wait are sent
//! with the answer to the report.

use crate::units::{Span, Time};

/// Rate of direct calls, per second, that is allowed for a fleet of any size.
const BASE_CALLS_PER_S: f64 = 50.0;
/// Number of machines that raise the rate by one call per second: hundreds of starts are waiting for a zone whose
/// partition has ended, and agents of a large fleet report less often.
const MACHINES_PER_CALL_PER_S: f64 = 10.0;
/// Number of unanswered calls that, after [`NO_ANSWER_TIMEOUT`] without any answer, shows that this node reaches no
/// agent.
const MIN_UNANSWERED_CALLS: u32 = 3;
/// Time without any answer that, with [`MIN_UNANSWERED_CALLS`], shows that this node reaches no agent.
const NO_ANSWER_TIMEOUT: Span = Span(3_000);

/// A token bucket that bounds the rate of direct calls. It holds the tokens of one second.
#[derive(Debug)]
pub struct DirectCallBudget {
    tokens: f64,
    refilled_at: Time,
}

impl DirectCallBudget {
    /// Returns a budget that holds one second of calls at the base rate.
    pub fn new(now: Time) -> Self {
        Self {
            tokens: BASE_CALLS_PER_S,
            refilled_at: now,
        }
    }

    /// Returns the rate of calls, per second, that is allowed for a fleet of this many machines.
    pub fn calls_per_s(machines: usize) -> f64 {
        BASE_CALLS_PER_S + machines as f64 / MACHINES_PER_CALL_PER_S
    }

    /// Adds the tokens earned since the last refill, and returns whether a call may be made now.
    pub fn has_token(&mut self, calls_per_s: f64, now: Time) -> bool {
        let earned = (now - self.refilled_at).as_secs() * calls_per_s;
        self.tokens = (self.tokens + earned).min(calls_per_s);
        self.refilled_at = now;
        self.tokens >= 1.0
    }

    /// Removes the token of a call that is made.
    pub fn take_token(&mut self) {
        self.tokens -= 1.0;
    }
}

/// The outcomes of direct calls to all agents, which show whether this node itself is connected to agents.
#[derive(Debug)]
pub struct AgentReachability {
    /// Time at which any agent last answered a direct call.
    last_answer_at: Time,
    /// Number of direct calls since then that were not answered.
    unanswered_calls: u32,
}

impl AgentReachability {
    /// Returns the state of a node that has not called any agent yet.
    pub fn new(now: Time) -> Self {
        Self {
            last_answer_at: now,
            unanswered_calls: 0,
        }
    }

    /// Records that an agent has answered a direct call.
    pub fn call_answered(&mut self, now: Time) {
        self.last_answer_at = now;
        self.unanswered_calls = 0;
    }

    /// Records that an agent has not answered a direct call.
    pub fn call_unanswered(&mut self) {
        self.unanswered_calls += 1;
    }

    /// Returns the time for which no agent has answered a call.
    pub fn since_last_answer(&self, now: Time) -> Span {
        now - self.last_answer_at
    }

    /// Returns whether no agent has answered a call for a while, although several calls were made.
    pub fn reaches_no_agent(&self, now: Time) -> bool {
        self.unanswered_calls >= MIN_UNANSWERED_CALLS
            && self.since_last_answer(now) > NO_ANSWER_TIMEOUT
    }
}

#[cfg(test)]
mod tests;

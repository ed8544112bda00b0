//! Direct calls to agents: how many may be made, and whether any agent answers them.
//!
//! A direct call makes a start sooner than the answer to the agent's next status report would. Each costs a
//! connection, so their rate is bounded; in a rush, what can wait is sent with the answer to the report.

use crate::units::{Span, Time};

/// Direct calls a second that may always be made.
const BASE_CALLS_PER_S: f64 = 50.0;
/// And one more a second for so many machines: a zone that is healed has hundreds of starts waiting, and agents of
/// a large fleet report less often.
const MACHINES_PER_CALL_PER_S: f64 = 10.0;
/// So many calls without an answer, over so long, show that this node reaches no agent.
const UNANSWERED_CALLS_TO_DOUBT: u32 = 3;
const UNANSWERED_TIME_TO_DOUBT: Span = Span(3_000);

/// A token bucket that bounds the rate of direct calls. It holds one second's worth.
#[derive(Debug)]
pub struct DirectCallBudget {
    tokens: f64,
    refilled_at: Time,
}

impl DirectCallBudget {
    /// A budget with its base rate of calls.
    pub fn new(now: Time) -> Self {
        Self {
            tokens: BASE_CALLS_PER_S,
            refilled_at: now,
        }
    }

    /// How many calls a second a fleet of so many machines may get.
    pub fn calls_per_s(machines: usize) -> f64 {
        BASE_CALLS_PER_S + machines as f64 / MACHINES_PER_CALL_PER_S
    }

    /// Adds what was earned since, and returns whether a call may be made now.
    pub fn has_token(&mut self, calls_per_s: f64, now: Time) -> bool {
        let earned = (now - self.refilled_at).as_secs() * calls_per_s;
        self.tokens = (self.tokens + earned).min(calls_per_s);
        self.refilled_at = now;
        self.tokens >= 1.0
    }

    /// Takes the token of a call that is made.
    pub fn take_token(&mut self) {
        self.tokens -= 1.0;
    }
}

/// What the outcomes of direct calls to all agents show of this node's own connection.
#[derive(Debug)]
pub struct AgentReachability {
    /// When any agent last answered a direct call.
    last_answer_at: Time,
    /// How many direct calls have had no answer since.
    unanswered_calls: u32,
}

impl AgentReachability {
    /// Of a node that has not called any agent yet.
    pub fn new(now: Time) -> Self {
        Self {
            last_answer_at: now,
            unanswered_calls: 0,
        }
    }

    /// An agent has answered.
    pub fn call_answered(&mut self, now: Time) {
        self.last_answer_at = now;
        self.unanswered_calls = 0;
    }

    /// An agent has not answered.
    pub fn call_unanswered(&mut self) {
        self.unanswered_calls += 1;
    }

    /// How long no agent has answered a call.
    pub fn since_last_answer(&self, now: Time) -> Span {
        now - self.last_answer_at
    }

    /// Whether no agent has answered a call for a while, although several were called.
    pub fn reaches_no_agent(&self, now: Time) -> bool {
        self.unanswered_calls >= UNANSWERED_CALLS_TO_DOUBT
            && self.since_last_answer(now) > UNANSWERED_TIME_TO_DOUBT
    }
}

#[cfg(test)]
mod tests;

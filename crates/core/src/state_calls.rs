//! Calls to the state service: what each is for, and how many may go out.

use crate::io::{CallId, Output, StateCall};
use crate::units::Time;
use std::collections::{HashMap, VecDeque};

/// How soon a call may go out when requests are short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Leases and elections.
    Lease,
    /// What a user waits for.
    User,
    /// The leader's bookkeeping.
    Books,
}

/// Keeps this node's part of the state service's limits with one bucket of tokens.
pub struct StateCalls<P> {
    next: u64,
    rate: f64,
    tokens: f64,
    filled: Time,
    queues: [VecDeque<(StateCall, P)>; 3],
    open: HashMap<CallId, P>,
}

/// Calls that may be open at once: more would only queue up in the shell.
const MAX_OPEN: usize = 12;

impl<P> StateCalls<P> {
    /// `rate` is how many calls a second this node may make.
    pub fn new(rate: f64) -> Self {
        Self {
            next: 0,
            rate,
            tokens: rate / 2.0,
            filled: Time(0),
            queues: Default::default(),
            open: HashMap::new(),
        }
    }

    /// Queues a call.
    pub fn call(&mut self, urgency: Urgency, call: StateCall, purpose: P) {
        self.queues[urgency as usize].push_back((call, purpose));
    }

    /// Whether more of users' calls wait than can go out within a second: one more would be answered
    /// too late.
    pub fn is_behind(&self) -> bool {
        self.queues[Urgency::User as usize].len() as f64 > self.rate.max(1.0)
    }

    /// The purpose of a call that has been answered.
    pub fn finish(&mut self, id: CallId) -> Option<P> {
        self.open.remove(&id)
    }

    /// Lets out what may go out now.
    pub fn pump(&mut self, now: Time, out: &mut Vec<Output>) {
        self.tokens += (now - self.filled).as_secs() * self.rate;
        self.tokens = self.tokens.min(self.rate / 2.0 + 1.0);
        self.filled = now;
        for (level, queue) in self.queues.iter_mut().enumerate() {
            // Leases may use the last tokens; the rest leaves some for them.
            let floor = level as f64;
            while self.tokens >= 1.0 + floor && self.open.len() < MAX_OPEN + 4 - 2 * level {
                let Some((call, purpose)) = queue.pop_front() else {
                    break;
                };
                self.tokens -= 1.0;
                self.next += 1;
                self.open.insert(CallId(self.next), purpose);
                out.push(Output::State(CallId(self.next), call));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What can't be asked for in time must be refused at once, not queued without bound.
    #[test]
    fn users_calls_do_not_pile_up() {
        let mut calls = StateCalls::new(5.0);
        let mut queued = 0;
        while !calls.is_behind() {
            calls.call(Urgency::User, StateCall::Get("pub/job/wk-1".into()), ());
            queued += 1;
        }
        assert_eq!(queued, 6);
        let mut out = Vec::new();
        calls.pump(Time(2_000), &mut out);
        assert!(!out.is_empty() && !calls.is_behind());
    }
}

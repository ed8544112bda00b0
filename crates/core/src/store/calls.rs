//! Calls to the state service: what each is for, and how many may go out.

use crate::io::{CallId, Output, StoreCall};
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
    Placements,
}

/// Keeps this node's part of the state service's limits with one bucket of tokens.
pub struct StoreCalls<P> {
    next: u64,
    rate: f64,
    tokens: f64,
    filled: Time,
    queues: [VecDeque<(StoreCall, P)>; 3],
    open: HashMap<CallId, P>,
    /// Whose turn it is when both users' calls and the leader's wait.
    placements_next: bool,
}

/// Calls that may be open at once: more would only queue up in the shell.
const MAX_OPEN: usize = 12;

impl<P> StoreCalls<P> {
    /// `rate` is how many calls a second this node may make.
    pub fn new(rate: f64) -> Self {
        Self {
            next: 0,
            rate,
            tokens: rate / 2.0,
            filled: Time(0),
            queues: Default::default(),
            open: HashMap::new(),
            placements_next: false,
        }
    }

    /// This node's part has changed: how many calls a second it may make now.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// How many calls a second this node may make.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Queues a call.
    pub fn call(&mut self, urgency: Urgency, call: StoreCall, purpose: P) {
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
        while let Some((call, purpose)) = self.next_call() {
            self.tokens -= 1.0;
            self.next += 1;
            self.open.insert(CallId(self.next), purpose);
            out.push(Output::State(CallId(self.next), call));
        }
    }

    /// The next call that may go out. Leases may use the last tokens. Users' calls and the leader's
    /// take turns: whichever always went first could keep the other waiting for ever. (A leader that
    /// got many questions once read its log back for 690 s, and nothing ran meanwhile.)
    fn next_call(&mut self) -> Option<(StoreCall, P)> {
        let (tokens, open) = (self.tokens, self.open.len());
        if tokens >= 1.0 && open < MAX_OPEN + 4 {
            if let Some(call) = self.queues[Urgency::Lease as usize].pop_front() {
                return Some(call);
            }
        }
        if tokens < 2.0 || open >= MAX_OPEN {
            return None;
        }
        let (users, placements) = (Urgency::User as usize, Urgency::Placements as usize);
        let order = if self.placements_next {
            [placements, users]
        } else {
            [users, placements]
        };
        let level = order.into_iter().find(|l| !self.queues[*l].is_empty())?;
        self.placements_next = level == users;
        self.queues[level].pop_front()
    }
}

#[cfg(test)]
mod tests;

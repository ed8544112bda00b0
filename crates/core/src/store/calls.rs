//! Calls to the store that wait to be sent, or for their answers.
//!
//! The store accepts a limited number of requests per second from all nodes together. Each node keeps to its share of
//! that with a token bucket. Calls wait in one queue for each priority; the purpose of each is kept until it is
//! answered.

use crate::io::{CallId, Output, StoreCall};
use crate::units::Time;
use std::collections::{HashMap, VecDeque};

/// The priority of a call, by who waits for it. It decides which calls are sent first if tokens are short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// Calls for leases and elections: they are sent first, and may use the last tokens.
    Lease,
    /// Calls that a user or the cache waits for. They take turns with the leader's calls.
    User,
    /// The leader's commits, and the reads of a failover. They take turns with users' calls.
    Leader,
}

/// Number of priorities.
const PRIORITIES: usize = 3;
/// Number of calls that may be open at once: more would only queue up outside this crate.
const MAX_OPEN: usize = 12;
/// Number of calls for leases that may be open beyond `MAX_OPEN`.
const EXTRA_OPEN_FOR_LEASES: usize = 4;
/// Number of tokens that other calls leave for leases.
const TOKENS_KEPT_FOR_LEASES: f64 = 1.0;
/// Capacity of the token bucket in seconds of calls; it holds one token more.
const MAX_BURST_S: f64 = 0.5;
/// Maximum time, in seconds, that sending all queued calls of users may take. With more calls the wait is too long.
const MAX_QUEUED_S: f64 = 1.0;

/// A token bucket: tokens are added at a steady rate up to a maximum, and each call takes one.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens_per_s: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    fn new(tokens_per_s: f64) -> Self {
        Self {
            tokens_per_s,
            tokens: tokens_per_s * MAX_BURST_S,
            refilled_at: Time(0),
        }
    }

    fn refill(&mut self, now: Time) {
        self.tokens += (now - self.refilled_at).as_secs() * self.tokens_per_s;
        self.tokens = self.tokens.min(self.tokens_per_s * MAX_BURST_S + 1.0);
        self.refilled_at = now;
    }

    /// Returns whether a call may take a token and leave at least `kept` tokens.
    fn can_take_leaving(&self, kept: f64) -> bool {
        self.tokens >= 1.0 + kept
    }

    fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// The calls of a node to the store. `P` is the type of a call's purpose.
pub struct StoreCalls<P> {
    last_id: u64,
    bucket: TokenBucket,
    queues: [VecDeque<(StoreCall, P)>; PRIORITIES],
    open: HashMap<CallId, P>,
    /// Whether it is the turn of the leader's calls when both users' calls and the leader's wait.
    is_leaders_turn: bool,
}

impl<P> StoreCalls<P> {
    /// Creates empty queues. `calls_per_s` is the number of calls per second that this node may make.
    pub fn new(calls_per_s: f64) -> Self {
        Self {
            last_id: 0,
            bucket: TokenBucket::new(calls_per_s),
            queues: Default::default(),
            open: HashMap::new(),
            is_leaders_turn: false,
        }
    }

    /// Sets the number of calls per second that this node may make, after its share of the limit has changed.
    pub fn set_rate(&mut self, calls_per_s: f64) {
        self.bucket.tokens_per_s = calls_per_s;
    }

    /// Returns the number of calls per second that this node may make.
    pub fn rate(&self) -> f64 {
        self.bucket.tokens_per_s
    }

    /// Queues a call.
    pub fn enqueue(&mut self, priority: CallPriority, call: StoreCall, purpose: P) {
        self.queues[priority as usize].push_back((call, purpose));
    }

    /// Returns whether more users' calls wait than can be sent in time: one more would be answered too late.
    pub fn is_behind(&self) -> bool {
        let max_queued = self.rate().max(1.0) * MAX_QUEUED_S;
        self.queues[CallPriority::User as usize].len() as f64 > max_queued
    }

    /// Closes a call that has been answered. Returns its purpose, if the call was open.
    pub fn complete(&mut self, id: CallId) -> Option<P> {
        self.open.remove(&id)
    }

    /// Sends the calls that may be sent now.
    pub fn send_due(&mut self, now: Time, out: &mut Vec<Output>) {
        self.bucket.refill(now);
        while let Some((call, purpose)) = self.next_call() {
            self.bucket.take();
            self.last_id += 1;
            let id = CallId(self.last_id);
            self.open.insert(id, purpose);
            out.push(Output::Store(id, call));
        }
    }

    /// Takes the next call that may be sent now off its queue.
    fn next_call(&mut self) -> Option<(StoreCall, P)> {
        let open = self.open.len();
        if open < MAX_OPEN + EXTRA_OPEN_FOR_LEASES && self.bucket.can_take_leaving(0.0) {
            if let Some(call) = self.queues[CallPriority::Lease as usize].pop_front() {
                return Some(call);
            }
        }
        if open < MAX_OPEN && self.bucket.can_take_leaving(TOKENS_KEPT_FOR_LEASES) {
            return self.next_of_users_and_leader();
        }
        None
    }

    /// Takes the next of users' calls and the leader's, which take turns: calls that always went first could starve
    /// the others. (A leader that received many user requests once took 690 s to recover its state, and nothing ran
    /// meanwhile.)
    fn next_of_users_and_leader(&mut self) -> Option<(StoreCall, P)> {
        let order = if self.is_leaders_turn {
            [CallPriority::Leader, CallPriority::User]
        } else {
            [CallPriority::User, CallPriority::Leader]
        };
        let waits = |priority: &CallPriority| !self.queues[*priority as usize].is_empty();
        let priority = order.into_iter().find(waits)?;
        self.is_leaders_turn = priority == CallPriority::User;
        self.queues[priority as usize].pop_front()
    }
}

#[cfg(test)]
mod tests;

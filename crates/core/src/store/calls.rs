//! Calls to the store that wait to go out, or for their answers.
//!
//! The store takes a limited number of requests a second from all nodes together, and each node keeps to its part of
//! that by a token bucket. Calls wait in one queue for each priority; what each is for is kept until its answer comes.

use crate::io::{CallId, Output, StoreCall};
use crate::units::Time;
use std::collections::{HashMap, VecDeque};

/// Who waits for a call, which decides when it goes out if tokens are short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// Leases and elections: they go first, and may use the last tokens.
    Lease,
    /// What a user or the cache waits for. It takes turns with the leader's calls.
    User,
    /// The leader's commits, and the reads of a failover. They take turns with users' calls.
    Leader,
}

/// How many priorities there are.
const PRIORITIES: usize = 3;
/// Calls that may be open at once: more would only queue up in the shell.
const MAX_OPEN: usize = 12;
/// Calls for leases that may be open beyond that.
const EXTRA_OPEN_FOR_LEASES: usize = 4;
/// Tokens that other calls leave for leases.
const TOKENS_KEPT_FOR_LEASES: f64 = 1.0;
/// The tokens that gather at most are worth so many seconds of calls, and one more.
const MAX_BURST_S: f64 = 0.5;
/// More users' calls than go out in so many seconds are too many to wait.
const MAX_QUEUED_S: f64 = 1.0;

/// A token bucket: tokens come at a steady rate, each call takes one, and only so many gather.
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

    /// Whether a call may take a token and leave so many.
    fn can_take_leaving(&self, kept: f64) -> bool {
        self.tokens >= 1.0 + kept
    }

    fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// The calls of a node to the store. `P` says what a call is for.
pub struct StoreCalls<P> {
    last_id: u64,
    bucket: TokenBucket,
    queues: [VecDeque<(StoreCall, P)>; PRIORITIES],
    open: HashMap<CallId, P>,
    /// Whose turn it is when both users' calls and the leader's wait.
    is_leaders_turn: bool,
}

impl<P> StoreCalls<P> {
    /// `calls_per_s` is how many calls a second this node may make.
    pub fn new(calls_per_s: f64) -> Self {
        Self {
            last_id: 0,
            bucket: TokenBucket::new(calls_per_s),
            queues: Default::default(),
            open: HashMap::new(),
            is_leaders_turn: false,
        }
    }

    /// This node's part of the limit has changed: how many calls a second it may make now.
    pub fn set_rate(&mut self, calls_per_s: f64) {
        self.bucket.tokens_per_s = calls_per_s;
    }

    /// How many calls a second this node may make.
    pub fn rate(&self) -> f64 {
        self.bucket.tokens_per_s
    }

    /// Queues a call.
    pub fn enqueue(&mut self, priority: CallPriority, call: StoreCall, purpose: P) {
        self.queues[priority as usize].push_back((call, purpose));
    }

    /// Whether more of users' calls wait than can go out in time: one more would be answered too late.
    pub fn is_behind(&self) -> bool {
        let most = self.rate().max(1.0) * MAX_QUEUED_S;
        self.queues[CallPriority::User as usize].len() as f64 > most
    }

    /// A call has been answered; returns what it was for.
    pub fn complete(&mut self, id: CallId) -> Option<P> {
        self.open.remove(&id)
    }

    /// Sends the calls that may go out now.
    pub fn send_due(&mut self, now: Time, out: &mut Vec<Output>) {
        self.bucket.refill(now);
        while let Some((call, purpose)) = self.next_call() {
            self.bucket.take();
            self.last_id += 1;
            let id = CallId(self.last_id);
            self.open.insert(id, purpose);
            out.push(Output::State(id, call));
        }
    }

    /// The next call that may go out.
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

    /// Users' calls and the leader's take turns: whichever always went first could keep the other waiting for ever.
    /// (A leader that got many questions once took 690 s to recover its state, and nothing ran meanwhile.)
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

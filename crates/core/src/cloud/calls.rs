//! Calls to the cloud, within its limit.

use crate::io::{CallId, CloudCall, Output};
use crate::units::{Span, Time};
use rudderreel_wire::cloud::{Rent, MACHINES_PER_PAGE};
use rudderreel_wire::ids::MachineId;
use std::collections::{HashMap, VecDeque};

/// The part of the calls to the cloud that the list may take.
const LIST_PART: f64 = 0.25;

/// Calls to the cloud, within its limit.
pub struct CloudCalls {
    next: u64,
    rate: f64,
    tokens: f64,
    filled: Time,
    queue: VecDeque<(CloudCall, PendingCloudCall)>,
    open: HashMap<CallId, PendingCloudCall>,
    /// No calls before this moment, after a refusal.
    pub after: Time,
    /// When the list is due.
    pub next_list: Time,
    /// When the catalog is due.
    pub next_catalog: Time,
    /// When idle machines may be returned: many at once, for calls are few.
    pub(crate) next_return: Time,
}

/// What a call to the cloud is for.
#[derive(Clone, Debug)]
pub enum PendingCloudCall {
    /// Read the machine types.
    Catalog,
    /// Rent.
    Rent(Rent),
    /// Return machines.
    Return(Vec<MachineId>),
    /// Read a page of the list, after a machine.
    List(Option<MachineId>),
}

impl CloudCalls {
    /// `rate` is how many calls a second may be made.
    pub fn new(rate: f64) -> Self {
        Self {
            next: 0,
            rate,
            tokens: rate.max(1.0),
            filled: Time(0),
            queue: VecDeque::new(),
            open: HashMap::new(),
            after: Time(0),
            next_list: Time(0),
            next_catalog: Time(0),
            next_return: Time(0),
        }
    }

    /// Queues a call.
    pub fn call(&mut self, call: CloudCall, step: PendingCloudCall) {
        self.queue.push_back((call, step));
    }

    /// What an answered call was for.
    pub fn finish(&mut self, id: CallId) -> Option<PendingCloudCall> {
        self.open.remove(&id)
    }

    /// Forgets what has not gone out.
    pub fn clear(&mut self) {
        self.queue.clear();
        self.open.clear();
    }

    pub(crate) fn pump(&mut self, now: Time, out: &mut Vec<Output>) {
        // Bursts worth two seconds are allowed; one call is left for what the cloud counts otherwise.
        self.tokens += (now - self.filled).as_secs() * self.rate;
        self.tokens = self.tokens.min((self.rate * 2.0 - 1.0).max(1.0));
        self.filled = now;
        while self.tokens >= 1.0 && now >= self.after && self.open.len() < 3 {
            let Some((call, step)) = self.queue.pop_front() else {
                return;
            };
            self.tokens -= 1.0;
            self.next += 1;
            self.open.insert(CallId(self.next), step);
            out.push(Output::Cloud(CallId(self.next), call));
        }
    }

    /// In what time a fleet of a size may be listed once, so that its pages take a part of the calls.
    pub(crate) fn listing_span(&self, machines: usize) -> Span {
        let pages = machines.div_ceil(MACHINES_PER_PAGE).max(1);
        Span::secs(pages as f64 / (self.rate * LIST_PART))
    }

    pub(crate) fn has(&self, wanted: impl Fn(&PendingCloudCall) -> bool) -> bool {
        self.open.values().any(&wanted) || self.queue.iter().any(|(_, s)| wanted(s))
    }
}

//! The queue of calls to the cloud, which limits the rate of calls and the number of open, that is unanswered, calls.

use crate::io::{CallId, CloudCall, Output};
use crate::units::{Span, Time};
use rudderreel_wire::cloud::{MachineNames, ScaleOutRequest, MACHINES_PER_PAGE};
use rudderreel_wire::ids::MachineId;
use std::collections::{HashMap, VecDeque};

/// Maximum fraction of the calls to the cloud that reading the machine list may use.
const MAX_LIST_FRACTION: f64 = 0.25;
/// Maximum number of calls that are open at the same time.
const MAX_OPEN_CALLS: usize = 3;
/// Maximum size of a burst, as seconds of calls at the rate limit.
const BURST_S: f64 = 2.0;
/// Number of calls of a burst that are kept in reserve, because the cloud may count calls differently.
const BURST_MARGIN: f64 = 1.0;

/// A call to the cloud that is queued or open.
#[derive(Clone, Debug)]
pub enum PendingCloudCall {
    /// Read the machine types.
    Catalog,
    /// Request machines.
    ScaleOut(ScaleOutRequest),
    /// Return machines.
    ScaleIn(Vec<MachineId>),
    /// Read the page of the machine list that follows this machine; the first page if there is none.
    List(Option<MachineId>),
}

impl PendingCloudCall {
    /// Returns the call to be sent.
    fn to_call(&self) -> CloudCall {
        match self {
            Self::Catalog => CloudCall::Catalog,
            Self::ScaleOut(request) => CloudCall::ScaleOut(request.clone()),
            Self::ScaleIn(machines) => CloudCall::ScaleIn(MachineNames {
                machines: machines.clone(),
            }),
            Self::List(after) => CloudCall::List(after.clone()),
        }
    }
}

/// Queued and open calls to the cloud.
pub struct CloudCalls {
    /// Id of the last call that was sent.
    last_id: u64,
    /// Rate limit of the cloud, in calls a second.
    calls_per_s: f64,
    /// Number of calls that may be made now (token bucket).
    tokens: f64,
    tokens_counted_at: Time,
    /// Calls that have not been sent.
    queue: VecDeque<PendingCloudCall>,
    /// Calls that have been sent and not been answered.
    open: HashMap<CallId, PendingCloudCall>,
    /// No calls are sent before this time.
    paused_until: Time,
    /// Time of the next reading of the machine list.
    pub(crate) next_list: Time,
    /// Time of the next reading of the machine types.
    pub(crate) next_catalog: Time,
    /// Earliest time of the next return of idle machines.
    pub(crate) next_return: Time,
}

impl CloudCalls {
    /// Creates an empty queue that makes at most `calls_per_s` calls a second after a burst.
    pub fn new(calls_per_s: f64) -> Self {
        Self {
            last_id: 0,
            calls_per_s,
            tokens: calls_per_s.max(1.0),
            tokens_counted_at: Time(0),
            queue: VecDeque::new(),
            open: HashMap::new(),
            paused_until: Time(0),
            next_list: Time(0),
            next_catalog: Time(0),
            next_return: Time(0),
        }
    }

    /// Queues a call.
    pub fn enqueue(&mut self, call: PendingCloudCall) {
        self.queue.push_back(call);
    }

    /// Removes and returns an open call that has been answered; `None` if it was discarded.
    pub fn take_answered(&mut self, id: CallId) -> Option<PendingCloudCall> {
        self.open.remove(&id)
    }

    /// Discards all calls, and schedules reading the catalog and the machine list for now.
    pub(crate) fn restart(&mut self, now: Time) {
        self.clear();
        self.next_catalog = now;
        self.next_list = now;
    }

    /// Discards all calls, including those that have been sent.
    pub fn clear(&mut self) {
        self.queue.clear();
        self.open.clear();
    }

    /// Sends no calls before `until`, after the cloud has refused a call. An earlier pause is never shortened.
    pub(crate) fn pause_until(&mut self, until: Time) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Sends queued calls, as far as the rate limit, the limit on open calls and a pause allow.
    pub(crate) fn send_queued(&mut self, now: Time, out: &mut Vec<Output>) {
        self.refill_tokens(now);
        while self.tokens >= 1.0 && now >= self.paused_until && self.open.len() < MAX_OPEN_CALLS {
            let Some(pending) = self.queue.pop_front() else {
                return;
            };
            self.tokens -= 1.0;
            self.last_id += 1;
            let id = CallId(self.last_id);
            out.push(Output::Cloud(id, pending.to_call()));
            self.open.insert(id, pending);
        }
    }

    fn refill_tokens(&mut self, now: Time) {
        let burst = (self.calls_per_s * BURST_S - BURST_MARGIN).max(1.0);
        self.tokens += (now - self.tokens_counted_at).as_secs() * self.calls_per_s;
        self.tokens = self.tokens.min(burst);
        self.tokens_counted_at = now;
    }

    /// Returns the shortest interval between two readings of the list of `machines` machines with which reading its
    /// pages uses at most [`MAX_LIST_FRACTION`] of the calls.
    pub(crate) fn min_listing_interval(&self, machines: usize) -> Span {
        let pages = machines.div_ceil(MACHINES_PER_PAGE).max(1);
        Span::secs(pages as f64 / (self.calls_per_s * MAX_LIST_FRACTION))
    }

    /// Returns whether any queued or open call satisfies `predicate`.
    pub(crate) fn has_pending(&self, predicate: impl Fn(&PendingCloudCall) -> bool) -> bool {
        self.open.values().any(&predicate) || self.queue.iter().any(predicate)
    }
}

#[cfg(test)]
mod tests;

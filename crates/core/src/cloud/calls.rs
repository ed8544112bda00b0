//! The queue of calls to the cloud: within its rate limit, and only a few open at a time.

use crate::io::{CallId, CloudCall, Output};
use crate::units::{Span, Time};
use rudderreel_wire::cloud::{MachineNames, Rent, MACHINES_PER_PAGE};
use rudderreel_wire::ids::MachineId;
use std::collections::{HashMap, VecDeque};

/// The part of the calls to the cloud that reading the machine list may take.
const LIST_FRACTION: f64 = 0.25;
/// Calls that may be open at a time.
const MAX_OPEN_CALLS: usize = 3;
/// Bursts worth so many seconds of calls are allowed.
const BURST_S: f64 = 2.0;
/// One call of a burst is left for what the cloud counts otherwise.
const BURST_MARGIN: f64 = 1.0;

/// What a call to the cloud is for.
#[derive(Clone, Debug)]
pub enum PendingCloudCall {
    /// Read the machine types.
    Catalog,
    /// Request machines.
    ScaleOut(Rent),
    /// Return machines.
    ScaleIn(Vec<MachineId>),
    /// Read a page of the machine list, after a machine.
    List(Option<MachineId>),
}

impl PendingCloudCall {
    /// The call to be sent.
    fn to_call(&self) -> CloudCall {
        match self {
            Self::Catalog => CloudCall::Catalog,
            Self::ScaleOut(request) => CloudCall::Rent(request.clone()),
            Self::ScaleIn(machines) => CloudCall::Return(MachineNames {
                machines: machines.clone(),
            }),
            Self::List(after) => CloudCall::List(after.clone()),
        }
    }
}

/// Calls to the cloud, within its rate limit.
pub struct CloudCalls {
    last_id: u64,
    calls_per_s: f64,
    /// Calls that may be made now (token bucket).
    tokens: f64,
    tokens_counted_at: Time,
    queue: VecDeque<PendingCloudCall>,
    open: HashMap<CallId, PendingCloudCall>,
    paused_until: Time,
    /// When the machine list is to be read next.
    pub(crate) next_list: Time,
    /// When the machine types are to be read next.
    pub(crate) next_catalog: Time,
    /// When idle machines may be returned next.
    pub(crate) next_return: Time,
}

impl CloudCalls {
    /// A queue that makes so many calls a second at most.
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

    /// Takes out what an answered call was for; none if that has been forgotten.
    pub fn take_answered(&mut self, id: CallId) -> Option<PendingCloudCall> {
        self.open.remove(&id)
    }

    /// Forgets all calls, and reads the catalog and the machine list as soon as possible.
    pub(crate) fn restart(&mut self, now: Time) {
        self.clear();
        self.next_catalog = now;
        self.next_list = now;
    }

    /// Forgets all calls, those included that have gone out.
    pub fn clear(&mut self) {
        self.queue.clear();
        self.open.clear();
    }

    /// Makes no calls before a moment, after a refusal.
    pub(crate) fn pause_until(&mut self, until: Time) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Sends queued calls, as far as the rate limit allows.
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

    /// In what time a fleet of a size may be listed once, so that its pages take their part of the calls.
    pub(crate) fn listing_span(&self, machines: usize) -> Span {
        let pages = machines.div_ceil(MACHINES_PER_PAGE).max(1);
        Span::secs(pages as f64 / (self.calls_per_s * LIST_FRACTION))
    }

    /// Whether a call like this is queued or open.
    pub(crate) fn has_pending(&self, is_wanted: impl Fn(&PendingCloudCall) -> bool) -> bool {
        self.open.values().any(&is_wanted) || self.queue.iter().any(is_wanted)
    }
}

#[cfg(test)]
mod tests;

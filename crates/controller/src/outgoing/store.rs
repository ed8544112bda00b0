//! Calls to the store. Calls about this node's lease have threads of their own.

use crate::clients::http_client::{http_client, CallLimits};
use crate::clients::store::call_store;
use crate::clock::Clock;
use crate::input_queues::InputSender;
use crate::startup_error::StartupError;
use crate::threads::{spawn_pool, PoolSize, ThreadRole};
use crossbeam_channel::Sender;
use rudderreel_core::units::Time;
use rudderreel_core::{CallId, Input, StoreAnswer, StoreCall};
use std::net::SocketAddrV4;
use std::time::Duration;

/// One thread for each call that the core usually has open. The core always has fewer calls open than the queue holds.
const CALL_POOL: PoolSize = PoolSize {
    threads: 12,
    queue: 256,
};
const LEASE_POOL: PoolSize = PoolSize {
    threads: 2,
    queue: 256,
};
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Queues of calls to the store.
pub(super) struct StoreQueues {
    pub(super) calls: Sender<(CallId, StoreCall)>,
    pub(super) leases: Sender<(CallId, StoreCall)>,
}

impl StoreQueues {
    pub(super) fn start(
        addr: SocketAddrV4,
        clock: Clock,
        core: &InputSender,
    ) -> Result<Self, StartupError> {
        let start = |role: ThreadRole, size: PoolSize| {
            let client = http_client(CallLimits::new(CONNECT_TIMEOUT, CALL_TIMEOUT));
            spawn_pool(role, size, core, move |(id, call)| {
                let sent = clock.time();
                let answer = call_store(&client, addr, &call);
                Some(Input::Store {
                    call: id,
                    sent_at: sent,
                    answer,
                })
            })
        };
        Ok(Self {
            calls: start(ThreadRole::StoreCalls, CALL_POOL)?,
            leases: start(ThreadRole::LeaseCalls, LEASE_POOL)?,
        })
    }

    /// Queues a call. If the queue is full, returns the input that answers it as refused.
    pub(super) fn send(&self, id: CallId, call: StoreCall, now: Time) -> Option<Input> {
        let queue = if is_about_lease(&call) {
            &self.leases
        } else {
            &self.calls
        };
        let is_queued = queue.try_send((id, call)).is_ok();
        (!is_queued).then_some(Input::Store {
            call: id,
            sent_at: now,
            answer: StoreAnswer::Refused,
        })
    }
}

/// Returns whether a call concerns a lease of this node, or reads what a leader must have read to act by its lease.
fn is_about_lease(call: &StoreCall) -> bool {
    matches!(
        call,
        StoreCall::AcquireLease(_)
            | StoreCall::RenewLease(_)
            | StoreCall::EndLease(_)
            | StoreCall::Changes(..)
    )
}

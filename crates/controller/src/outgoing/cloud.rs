//! Calls to the cloud.

use crate::clients::cloud::call_cloud;
use crate::clients::http_client::{http_client, CallLimits};
use crate::input_queues::InputSender;
use crate::startup_error::StartupError;
use crate::threads::{spawn_pool, PoolSize, ThreadRole};
use crossbeam_channel::Sender;
use rudderreel_core::{CallId, CloudAnswer, CloudCall, Input};
use std::net::SocketAddrV4;
use std::time::Duration;

/// The core has at most three open calls, so each has a thread.
const POOL: PoolSize = PoolSize {
    threads: 3,
    queue: 256,
};
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Queue of calls to the cloud.
pub(super) struct CloudQueue(pub(super) Sender<(CallId, CloudCall)>);

impl CloudQueue {
    pub(super) fn start(addr: SocketAddrV4, core: &InputSender) -> Result<Self, StartupError> {
        let client = http_client(CallLimits::new(CONNECT_TIMEOUT, CALL_TIMEOUT));
        let sender = spawn_pool(ThreadRole::CloudCalls, POOL, core, move |(id, call)| {
            Some(Input::Cloud(id, call_cloud(&client, addr, &call)))
        })?;
        Ok(Self(sender))
    }

    /// Queues a call. If the queue is full, returns the input that answers it as refused.
    pub(super) fn send(&self, id: CallId, call: CloudCall) -> Option<Input> {
        let is_queued = self.0.try_send((id, call)).is_ok();
        (!is_queued).then_some(Input::Cloud(id, CloudAnswer::Refused))
    }
}

//! The deterministic state machine of a rudderreel node.
//!
//! It has no clock, socket, thread or randomness of its own: [`Node::step`] takes an input and the current time, and
//! returns the messages, store and cloud calls and answers that the caller is to send.
#![forbid(unsafe_code)]
#![cfg_attr(not(test), warn(clippy::too_many_lines))]

mod agents;
mod api;
mod cache;
mod capacity;
mod cloud;
mod dispatch;
mod fleet;
mod io;
mod jobs;
mod leader;
mod leadership;
mod metrics;
mod node;
mod overload;
mod placement_log;
mod scheduling;
mod store;
mod task_set;
mod teams;
#[cfg(test)]
mod testing;
pub mod units;

pub use crate::io::{
    AdminRequest, CallId, CloudAnswer, CloudCall, DirectOutcome, Input, Output, ReqId,
    RequestOrigin, StartRevocation, StoreAnswer, StoreCall, UserRequest, Value,
};
pub use crate::node::Node;
pub use crate::overload::fleet_limits::{ConnectionLimits, FleetLimits};
pub use crate::overload::pacing::LongStep;
pub use crate::overload::processor_share::ProcessorShare;

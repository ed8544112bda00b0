//! The state machine of rudderreel. It has no clock, socket, thread or randomness of its own:
//! [`Node::step`] takes an input and the time, and returns what to send, write and answer.
#![forbid(unsafe_code)]

mod acceptance;
mod actions;
mod admin;
mod anticipation;
mod backlog;
mod cancellations;
mod fault_attribution;
mod placement_log;

mod capacity;
mod cascade;
mod confirmation;
mod demand;
mod dependencies;
mod election;
mod failure_detection;
mod fair_share;
mod fleet_limits;
mod io;
mod job;
mod job_cache;
mod leader;
mod make_way;
mod members;
mod pacing;
mod pipelines;
mod placement_tracking;
mod processor_share;
mod records;
mod recovery;
mod report_forwarding;
mod reports;
mod snapshot;
mod state_calls;
mod statement;
mod store_limits;
mod task_set;
#[cfg(test)]
mod testing;
mod tree;
pub mod units;
mod user_requests;
mod version_gate;
mod workers;

mod commands;
mod cycle;
mod node;
pub use crate::node::Node;
pub use admin::AdminRequest;
pub use fleet_limits::{ConnectionLimits, FleetLimits};
pub use io::{
    CallId, CloudAnswer, CloudCall, DirectOutcome, Input, Output, ReqId, StoreAnswer, StoreCall,
    UserRequest, Value,
};
pub use pacing::LongStep;
pub use processor_share::ProcessorShare;

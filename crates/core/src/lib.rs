//! The state machine of rudderreel. It has no clock, socket, thread or randomness of its own:
//! [`Core::step`] takes an input and the time, and returns what to send, write and answer.
#![forbid(unsafe_code)]

mod acceptance;
mod actions;
mod admin;
mod anticipation;
mod blame;
mod books;
mod cancellations;

mod capacity;
mod cascade;
mod confirmation;
mod demand;
mod dependencies;
mod directory;
mod election;
mod fair_share;
mod io;
mod job;
mod lead;
mod members;
mod pipelines;
mod possession;
mod reads;
mod records;
mod recovery;
mod relay;
mod reports;
mod silence;
mod snapshot;
mod state_calls;
mod statement;
mod store_limits;
mod task_set;
#[cfg(test)]
mod testing;
mod tree;
pub mod units;
mod workers;

mod commands;
mod core;
mod cycle;
pub use crate::core::Core;
pub use admin::AdminRequest;
pub use io::{
    CallId, CloudAnswer, CloudCall, DirectOutcome, Input, Output, ReqId, StateAnswer, StateCall,
    UserRequest, Value,
};

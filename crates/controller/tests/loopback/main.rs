//! Tests of real controller processes on loopback, with stand-ins for the store, the cloud and the agents.

mod agents;
mod controller;
mod costs;
mod fleet;
mod history;
mod stand_ins;
mod team_limits;

// The stand-ins are those of the simulated world, which uses more of their functions.
#[allow(dead_code)]
#[path = "../../../core/tests/sim/world/cloud.rs"]
mod cloud;
#[path = "../../../core/tests/sim/world/rate_limit.rs"]
mod rate_limit;
#[allow(dead_code)]
#[path = "../../../core/tests/sim/world/store.rs"]
mod store;

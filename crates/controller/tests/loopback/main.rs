//! Real controllers on loopback, with stand-ins for the services outside.

mod agents;
mod controller;
mod costs;
mod fleet;
mod history;
mod stand_ins;
mod team_limits;

// The same stand-ins as those of the simulated world, which uses more of them.
#[allow(dead_code)]
#[path = "../../../core/tests/sim/world/cloud.rs"]
mod cloud;
#[path = "../../../core/tests/sim/world/rate_limit.rs"]
mod rate_limit;
#[allow(dead_code)]
#[path = "../../../core/tests/sim/world/store.rs"]
mod store;

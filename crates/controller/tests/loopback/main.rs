//! Real controllers on loopback, with stand-ins for the services outside.

mod controller;
mod costs;
mod fleet;
mod history;
mod stand_ins;
// The same stand-ins as those of the simulated world, which uses more of them.
#[allow(dead_code)]
#[path = "../../../core/tests/sim/stores.rs"]
mod stores;
mod team_limits;
mod workers;

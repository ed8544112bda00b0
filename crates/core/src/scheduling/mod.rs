pub mod actions;
pub mod cycle;
pub mod snapshot;
pub mod statement;

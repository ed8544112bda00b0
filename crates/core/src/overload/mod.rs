pub mod backlog;
pub mod fleet_limits;
pub mod pacing;
pub mod processor_share;

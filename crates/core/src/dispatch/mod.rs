pub mod commands;
pub mod direct_calls;

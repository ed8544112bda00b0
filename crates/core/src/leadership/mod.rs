pub mod election;
pub mod term;
pub mod version_gate;

pub mod election;
pub mod peers;
pub mod term;
pub mod version_gate;

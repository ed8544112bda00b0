pub mod election;
pub mod membership;
pub mod recovery;
pub mod term;
pub mod transfer;
pub mod version_gate;

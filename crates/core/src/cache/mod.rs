pub mod dependencies;
pub mod job_cache;
pub mod leader_slot;

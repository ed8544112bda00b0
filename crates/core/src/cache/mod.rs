pub mod dependencies;
pub mod job_cache;

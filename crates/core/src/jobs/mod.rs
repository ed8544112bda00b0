pub mod effective_urgency;
pub mod failures;
pub mod job;
pub mod job_table;

pub mod effective_urgency;
pub mod job;
pub mod job_table;

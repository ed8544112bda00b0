//! Jobs as the leader knows them: their state, progress, dependencies and failures.
//!
//! **What it owns.** The [`job_table::JobTable`] with every job that is not done, and those that are done or cancelled
//! while tasks of them may still be on machines. `readiness` and `effective_urgency` derive from the dependency graph
//! which jobs may start and how urgent each is; `cascade` decides which jobs are recorded as cancelled because a
//! dependency is; `failures` is the evidence against a job.
//!
//! **In and out.** Records of the store go in by way of the job cache; `agents` reports starts and exits, `scheduling`
//! places and stops tasks, the node commits completions and cancellations.

pub(crate) mod cascade;
pub mod effective_urgency;
pub mod failures;
pub mod job;
pub mod job_table;
pub mod queue_order;
pub mod readiness;

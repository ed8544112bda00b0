//! The leader's view of jobs: state, progress, dependencies and failures.
//!
//! The [`job_table::JobTable`] owns every job that is neither done nor cancelled, and each done or cancelled job while
//! any of its tasks may still be on a machine. `readiness` and `effective_urgency` derive from the dependency graph
//! which jobs may start and how urgent each is. `cascade` selects the jobs to be recorded as cancelled because a
//! dependency is cancelled. `failures` holds the evidence against a job. `node_affinity` says which
//! machines a job may use.
//!
//! Job records reach the table through the job cache. `agents` reports starts and exits, `scheduling` places and stops
//! tasks, and the node commits completions and cancellations.

pub(crate) mod cascade;
pub mod effective_urgency;
pub mod failures;
pub mod job;
pub mod job_table;
pub mod node_affinity;
pub mod queue_order;
pub mod readiness;

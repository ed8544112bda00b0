//! Scheduling: which waiting task starts on which machine, and what is stopped for it.
//!
//! The design follows the article "KAI Scheduler Deep Dive"; the terms *snapshot*, *action*, *statement*,
//! *reclaim*, *preempt*, *consolidation*, *fair share* and *saturation* are used as there. A [`cycle`] freezes
//! the leader's state into a [`snapshot`], runs the [`actions`] against it through [`statement`]s, and then
//! applies what they decided.
//!
//! * In: the machines, jobs and policy that the [`Leader`](crate::leader::Leader) holds, and the time.
//! * Out: placements and stops noted on the machines of the leader ([`placements`]). Nothing is sent from here:
//!   starts go out only after the placement log has recorded them (see `placement_log` and `dispatch`).
//! * Invariant: a task is placed only on room that is free, or that tasks stopped in the same cycle will free;
//!   quotas, limits and zone rules are checked in the snapshot, and again before each start in `dispatch`.
//!
//! Beside the cycle stand the passes over machines and jobs that the leader makes between cycles: ended jobs are
//! stopped ([`ended_jobs`]), machines that the cloud reclaims are drained ([`spot_reclaim`]), and machines whose
//! leases have expired are cleared ([`machine_lifecycle`]).

pub mod actions;
pub mod arrival_reserve;
pub mod cycle;
pub mod ended_jobs;
pub mod job_queue;
pub mod job_records;
pub mod machine_lifecycle;
pub mod placements;
pub mod snapshot;
pub mod spot_reclaim;
pub mod statement;

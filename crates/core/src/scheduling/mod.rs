//! Scheduling: decides on which machine each waiting task starts, and which running tasks are stopped to make room.
//!
//! The design follows the article "KAI Scheduler Deep Dive", whose sections the modules cite; the terms *snapshot*,
//! *action*, *statement*, *reclaim*, *preempt*, *consolidation*, *fair share* and *saturation* have the same meaning
//! as in that article. A [`cycle`] takes a [`snapshot`] of the leader's state, runs the [`actions`] on the snapshot
//! through [`statement`]s, and then applies their decisions.
//!
//! * Input: the machines, jobs and policy of the [`Leader`](crate::leader::Leader), and the current time.
//! * Output: placements and stops, recorded on the leader's machines ([`placements`]). This module sends nothing: a
//!   start is sent only after the placement log has recorded the placement (see `placement_log` and `dispatch`).
//! * Invariant: a task is placed only on free room, or on room that tasks stopped in the same cycle will free.
//!   Quotas, limits and zone rules are checked in the snapshot, and again before each start in `dispatch`.
//!
//! Between cycles the leader makes these passes over jobs and machines: it stops the tasks of ended jobs
//! ([`ended_jobs`]), drains machines that the cloud reclaims ([`spot_reclaim`]), and clears machines whose leases
//! have expired ([`machine_lifecycle`]).

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

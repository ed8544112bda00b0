//! This node's cache of the watched keys of the store: jobs, the leader's key, operators' settings, machine types.
//!
//! - [`job_cache`]: the jobs by id, and how a newer record replaces an older one.
//! - [`cache_sync`]: filling the cache by a listing; a watch keeps it current from then on.
//! - `watched_keys`: which key holds what.
//! - `leader_keys`: who leads, and who must not lead any more.
//! - [`cancellations`]: cancelled jobs by revision, for replication to the other nodes.
//! - [`dependencies`]: which jobs depend on which others.
//!
//! The cache may be out of date. What it says of a job's final state, done or cancelled, holds for good, so users may be
//! answered by it; everything else is confirmed with the store before a decision or an answer depends on it.

pub mod cache_sync;
pub mod cancellations;
pub mod dependencies;
pub mod job_cache;
mod leader_keys;
mod watched_keys;

//! This node's cache of the watched keys of the store: jobs, leader keys, cancellation watermarks, operators'
//! settings and machine types.
//!
//! - [`job_cache`]: the jobs by id, and how a newer record replaces an older one.
//! - [`cache_sync`]: filling the cache by a listing; a watch keeps it current from then on.
//! - `watched_keys`: decoding of the watched keys and their values.
//! - `leader_keys`: which node leads, and whether its version must not lead any more.
//! - [`cancellations`]: cancelled jobs by revision, for replication to the other nodes.
//! - [`dependencies`]: which jobs depend on which others.
//!
//! The cache may be out of date. A final state of a job in it, done or cancelled, never changes, so users may be
//! answered from it. Everything else is confirmed with the store before a decision or an answer depends on it.

pub mod cache_sync;
pub mod cancellations;
pub mod dependencies;
pub mod job_cache;
mod leader_keys;
mod watched_keys;

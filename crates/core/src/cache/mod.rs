//! This node's cache of the watched keys of the store: jobs, the leader's key, operators' settings, machine types.
//!
//! It is filled by a listing and kept current by a watch ([`cache_sync`]), so it may be out of date. What it says of
//! a job's final state, done or cancelled, holds for good; everything else has to be confirmed with the store
//! before a decision or an answer to a user depends on it.

pub mod cache_sync;
pub mod dependencies;
pub mod job_cache;
pub mod leader_slot;

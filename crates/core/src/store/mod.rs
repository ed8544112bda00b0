//! The store: the consensus-backed key-value service that all nodes share.
//!
//! - [`calls`]: calls that wait to go out, within this node's part of the rate limit, and what open ones are for.
//! - [`confirmation`]: how old what was read of it may be.
//! - [`limits`]: sizes and rates that every writer keeps to.
//! - [`periodic_call`]: calls that are repeated, such as the renewal of a lease.
//! - [`records`]: the keys, and the records that they hold.
//! - [`transactions`]: conditions and changes of commits.
//!
//! Keys, field names and values are read by other versions of this software: what stands in quotes here never changes.

pub mod calls;
pub mod confirmation;
pub mod limits;
pub mod periodic_call;
pub mod records;
pub mod transactions;

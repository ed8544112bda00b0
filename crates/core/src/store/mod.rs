//! The store: the consensus-backed key-value service that all nodes share.
//!
//! - [`calls`]: calls that wait to be sent within this node's share of the rate limit, and the purposes of open ones.
//! - [`confirmation`]: how old the cached data may be.
//! - [`limits`]: sizes and rates that every writer keeps to.
//! - [`periodic_call`]: calls that are repeated, such as the renewal of a lease.
//! - [`records`]: the keys, and the records that they hold.
//! - [`transactions`]: conditions and changes of commits.
//!
//! Other versions of this software read the keys, field names and values: the texts of keys and stored field names in
//! string literals never change.

pub mod calls;
pub mod confirmation;
pub mod limits;
pub mod periodic_call;
pub mod records;
pub mod transactions;

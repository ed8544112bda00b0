//! Who leads, and what a leader may do in its term.
//!
//! - [`election`]: campaigns for the leader's key, which hangs on a lease of the store; lease votes, by which a
//!   leader, or a node in its place, goes on answering agents in an outage of the store.
//! - [`term`]: what a leader holds for its term: lease, epoch (the fencing token), lease votes, acknowledgements.
//! - [`quorum`]: counting the answers of a majority, each of which is good for a limited time.
//! - [`version_gate`]: keeps older versions from leading once jobs depend on others.
//! - [`peers`]: what the other nodes say of themselves in their heartbeats.
//! - [`step_down_reason`]: why a term ends.
//!
//! These parts make no calls and hold no jobs or machines: they return the calls to make and say what follows from
//! the answers.

pub mod election;
pub mod peers;
pub mod quorum;
pub mod step_down_reason;
pub mod term;
pub mod version_gate;

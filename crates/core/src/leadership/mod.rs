//! Leader election, and what a leader may do during its term.
//!
//! - [`election`]: campaigns for the leader key, which is attached to a lease of the store; lease votes, which let a
//!   leader, or a node that stands in for it, keep answering agents in an outage of the store.
//! - [`term`]: what a leader holds for its term: lease, epoch, lease votes, acknowledgements.
//! - [`fencing_tokens`]: the tokens that a term reserves, by which agents refuse commands that were sent before.
//! - [`quorum`]: counts the answers of a majority, each of which is valid for a limited time.
//! - [`version_gate`]: keeps older versions from leading once jobs depend on others.
//! - [`peers`]: what the other nodes report about themselves in their heartbeats.
//! - [`step_down_reason`]: why a term ends.
//!
//! These modules make no calls and hold no jobs or machines: they return the calls to make, and what follows from
//! their answers.

pub mod election;
pub mod fencing_tokens;
pub mod peers;
pub mod quorum;
pub mod step_down_reason;
pub mod term;
pub mod version_gate;

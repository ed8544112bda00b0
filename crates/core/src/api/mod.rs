//! The requests of users and administrators, and the rules by which they are served.
//!
//! Any node answers any request. The modules here hold the rules. The handlers in `node` fetch the data that the
//! rules need, call them and carry out their decisions. The rules maintain three guarantees:
//!
//! - Answers about a job never go back to an older state: a final state may be answered from the cache, anything
//!   else is a linearizable read ([`read_confirmation`]).
//! - A job is accepted once, by a commit on the condition that it has no record yet ([`admission`]).
//! - No user is told that a job is cancelled while a node could still keep its tasks running
//!   ([`cancellation_replication`]).
//!
//! [`user_requests`] holds the requests that are being served, [`refusal`] the reasons for refusing a request, and
//! [`admin`] the administration API.

pub mod admin;
pub mod admission;
pub mod cancellation_replication;
pub mod read_confirmation;
pub mod refusal;
pub mod user_requests;

//! What users and administrators ask of a node.
//!
//! Any node answers any request. The parts here hold the rules; the handlers in `node` fetch what the parts need,
//! call them and carry out what they return. The rules guard three promises:
//!
//! - answers never go back: a final state may be told from the cache, anything else is a linearizable read
//!   ([`read_confirmation`]);
//! - a job is accepted once, by a commit on the condition that there is no record of it yet ([`admission`]);
//! - no user is told that a job is cancelled while a node could still keep its tasks running
//!   ([`cancellation_replication`]).
//!
//! [`user_requests`] holds the requests that are being served, [`refusal`] what is said of those that are not,
//! and [`admin`] the administration API.

pub mod admin;
pub mod admission;
pub mod cancellation_replication;
pub mod read_confirmation;
pub mod refusal;
pub mod user_requests;

//! Protocol types of rudderreel.
//!
//! Names in the code are the field's standard terms; the words that travel on the wire appear
//! only here, in serde renames. Unknown JSON fields are ignored everywhere.
#![forbid(unsafe_code)]

pub mod admin;
pub mod cloud;
pub mod ids;
pub mod job;
pub mod peer;
pub mod settings;
pub mod state;
pub mod worker;

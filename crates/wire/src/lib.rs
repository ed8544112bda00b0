//! Types of all messages that rudderreel's nodes exchange with each other and with other programs.
//!
//! Identifiers in the code are standard terms. The names on the wire appear only here, in serde renames. They must not
//! change: other programs use them, and stored records contain them. Unknown JSON fields are ignored everywhere.
//!
//! | module | parties | encoding |
//! | --- | --- | --- |
//! | [`job`] | users and nodes | JSON |
//! | [`admin`] | administrators and nodes | JSON |
//! | [`worker`] | agents on machines and nodes | JSON |
//! | [`state`] | nodes and the state service | JSON |
//! | [`cloud`] | nodes and the cloud | JSON |
//! | [`peer`] | nodes and nodes | `bitcode` |
//! | [`settings`] | the platform and a node (settings file) | TOML |
//!
//! [`ids`] contains the types of names, ids and versions that these modules share.
#![forbid(unsafe_code)]

pub mod admin;
pub mod cloud;
pub mod ids;
pub mod job;
pub mod peer;
pub mod settings;
pub mod state;
pub mod worker;

//! Types of everything that travels between rudderreel and others, or between its nodes.
//!
//! Names in the code are the field's standard terms; the words that travel on the wire appear only here, in serde
//! renames. They are fixed: other parties speak them, and stored records hold them. Unknown JSON fields are
//! ignored everywhere.
//!
//! | module | between | encoding |
//! | --- | --- | --- |
//! | [`job`] | users and nodes | JSON |
//! | [`admin`] | administrators and nodes | JSON |
//! | [`worker`] | agents on machines and nodes | JSON |
//! | [`state`] | nodes and the state service | JSON |
//! | [`cloud`] | nodes and the cloud | JSON |
//! | [`peer`] | nodes and nodes | `bitcode` |
//! | [`settings`] | the platform and a node, by its settings file | TOML |
//!
//! [`ids`] holds the names, numbers and versions that these share.
#![forbid(unsafe_code)]

pub mod admin;
pub mod cloud;
pub mod ids;
pub mod job;
pub mod peer;
pub mod settings;
pub mod state;
pub mod worker;

//! The API of the state service: a key-value store with revisions, compare-and-swap transactions, leases and a watch.
//! `V` is the type of a key's value.

use crate::ids::{LeaseId, Version};
use serde::{Deserialize, Serialize};

/// A condition of a transaction: the version that a key must have.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The version that the key must have; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub version: Version,
}

/// A change that a transaction makes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change<V> {
    /// Sets a key.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The key's new value.
        #[serde(rename = "data")]
        value: V,
        /// The lease at whose end the key is deleted, if any.
        #[serde(rename = "mooring", skip_serializing_if = "Option::is_none", default)]
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
    },
}

/// A transaction. If all conditions hold, all changes are applied atomically; otherwise none is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction<V> {
    /// Conditions that must all hold.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// Changes to apply.
    #[serde(
        rename = "apply",
        skip_serializing_if = "Vec::is_empty",
        default = "Vec::new"
    )]
    pub changes: Vec<Change<V>>,
}

/// The reply to a transaction, or to the read of a key that does not exist.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TransactionReply {
    /// The state service's revision.
    #[serde(rename = "logline")]
    pub revision: Version,
    /// Keys whose conditions failed; empty if the transaction was committed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A key with its value and version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item<V> {
    /// The key.
    pub key: String,
    /// The key's value.
    #[serde(rename = "data")]
    pub value: V,
    /// The key's version.
    #[serde(rename = "stamp")]
    pub version: Version,
    /// The lease at whose end the key is deleted, if any.
    #[serde(rename = "mooring", skip_serializing_if = "Option::is_none", default)]
    pub lease: Option<LeaseId>,
}

/// A page of a list of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page<V> {
    /// The keys with their values.
    #[serde(rename = "entries")]
    pub items: Vec<Item<V>>,
    /// Whether there are more pages.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
    /// The state service's revision.
    #[serde(rename = "logline")]
    pub revision: Version,
}

/// A change that a watch returns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event<V> {
    /// A key was set.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The key's new value.
        #[serde(rename = "data")]
        value: V,
        /// The key's new version.
        #[serde(rename = "stamp")]
        version: Version,
    },
    /// A key was deleted.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
        /// The revision of the deletion.
        #[serde(rename = "stamp")]
        version: Version,
    },
}

/// The reply to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Events<V> {
    /// The revision after which the next watch starts.
    #[serde(rename = "logline")]
    pub revision: Version,
    /// The changes.
    #[serde(rename = "log", default = "Vec::new")]
    pub events: Vec<Event<V>>,
}

/// A request for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live of the lease without a renewal, in milliseconds.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

/// The reply to a request for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lease {
    /// The lease's id.
    #[serde(rename = "mooring")]
    pub lease: LeaseId,
}

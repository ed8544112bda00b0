//! The interface of the state service: a key-value store with revisions, transactions by compare-and-swap, leases
//! and a watch. `V` is the type of a key's value.

use crate::ids::{LeaseId, Version};
use serde::{Deserialize, Serialize};

/// A condition of a transaction: the version that a key must have.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The version it must have; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: Version,
}

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change<V> {
    /// Sets a key.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// Its value.
        #[serde(rename = "data")]
        value: V,
        /// The lease with which the key is deleted, if any.
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

/// A transaction: its changes are carried out together if all its conditions hold, and otherwise none is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction<V> {
    /// The conditions.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// The changes.
    #[serde(
        rename = "apply",
        skip_serializing_if = "Vec::is_empty",
        default = "Vec::new"
    )]
    pub changes: Vec<Change<V>>,
}

/// Answer to a transaction, or to the read of a key that does not exist.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TransactionReply {
    /// The store's revision.
    #[serde(rename = "logline")]
    pub revision: Version,
    /// Keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item<V> {
    /// The key.
    pub key: String,
    /// Its value.
    #[serde(rename = "data")]
    pub value: V,
    /// Its version.
    #[serde(rename = "stamp")]
    pub version: Version,
    /// The lease with which the key is deleted, if any.
    #[serde(rename = "mooring", skip_serializing_if = "Option::is_none", default)]
    pub lease: Option<LeaseId>,
}

/// A page of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page<V> {
    /// The keys.
    #[serde(rename = "entries")]
    pub items: Vec<Item<V>>,
    /// Whether there are more.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
    /// The store's revision.
    #[serde(rename = "logline")]
    pub revision: Version,
}

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event<V> {
    /// A key was set.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// Its value.
        #[serde(rename = "data")]
        value: V,
        /// Its version.
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

/// What a watch returns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Events<V> {
    /// The revision after which the next watch starts.
    #[serde(rename = "logline")]
    pub revision: Version,
    /// The changes.
    #[serde(rename = "log", default = "Vec::new")]
    pub events: Vec<Event<V>>,
}

/// Asks for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// How long it lasts without a renewal.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lease {
    /// Its id.
    #[serde(rename = "mooring")]
    pub lease: LeaseId,
}

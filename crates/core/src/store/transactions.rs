//! Parts of transactions. A transaction compares the versions of keys (compare-and-swap), then makes all of its changes
//! or none.

use crate::io::Value;
use rudderreel_wire::ids::{LeaseId, Version};
use rudderreel_wire::state::{Change, Condition};
use serde::Serialize;

/// Returns the condition that a key has a version. Version 0 is that of a key that does not exist.
pub fn condition(key: String, version: Version) -> Condition {
    Condition { key, version }
}

/// Returns the change that sets a key.
pub fn put<T: Serialize>(key: String, value: &T) -> Change<Value> {
    put_with_optional_lease(key, value, None)
}

/// Returns the change that sets a key which is deleted when a lease ends.
pub fn put_with_lease<T: Serialize>(key: String, value: &T, lease: LeaseId) -> Change<Value> {
    put_with_optional_lease(key, value, Some(lease))
}

/// Returns the change that deletes a key.
pub fn delete(key: String) -> Change<Value> {
    Change::Delete { key }
}

fn put_with_optional_lease<T: Serialize>(
    key: String,
    value: &T,
    lease: Option<LeaseId>,
) -> Change<Value> {
    Change::Put {
        key,
        value: serde_json::to_value(value).unwrap_or_default(),
        lease,
    }
}

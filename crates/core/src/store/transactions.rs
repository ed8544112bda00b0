//! Parts of transactions: a transaction compares versions, then makes all of its changes or none.

use crate::io::Value;
use rudderreel_wire::ids::Version;
use rudderreel_wire::state::{Change, Condition};
use serde::Serialize;

/// The condition that a key has a version; version 0 is that of a key that does not exist.
pub fn condition(key: String, version: Version) -> Condition {
    Condition { key, version }
}

/// The change that sets a key.
pub fn put<T: Serialize>(key: String, value: &T) -> Change<Value> {
    Change::Put {
        key,
        value: serde_json::to_value(value).unwrap_or_default(),
        lease: None,
    }
}

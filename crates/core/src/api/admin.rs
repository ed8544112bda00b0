//! The administration API: the operators' settings, and views of the deployment for administrators.
//!
//! Any node answers requests for the settings and, while it does not lead, for its own overview. Requests for
//! information that only the leader has are forwarded to the leader. Each answer is a struct in a module of its own.
//! Lists are answered in pages or cut off after [`MAX_LISTED`] entries, and always contain the total number of
//! entries.
//!
//! Field names and texts in the answers are part of the documented API.

pub mod jobs;
pub mod machines;
pub mod overview;
pub mod settings;
pub mod stops;
pub mod teams;
pub mod wait_reason;

use serde::Serialize;

/// Maximum number of entries of a list in one answer.
pub(crate) const MAX_LISTED: usize = 200;

/// Returns an answer as JSON. Its fields are in alphabetical order, since `serde_json` sorts the keys of an object.
pub(crate) fn to_json(answer: &impl Serialize) -> String {
    serde_json::to_value(answer).unwrap_or_default().to_string()
}

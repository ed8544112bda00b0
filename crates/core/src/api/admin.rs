//! The administration API: operators' settings, and what administrators are shown.
//!
//! Any node answers for the settings and, while it does not lead, for the overview; what only the leader knows is
//! asked of it. Each answer is a struct in a module of its own. Lists are answered in pages or cut at
//! [`MAX_LISTED`], and always say how many entries there are in all.
//!
//! Names and texts in the answers are part of the documented API.

pub mod jobs;
pub mod machines;
pub mod overview;
pub mod settings;
pub mod stops;
pub mod teams;
pub mod wait_reason;

use serde::Serialize;

/// Entries of a list in one answer.
pub(crate) const MAX_LISTED: usize = 200;

/// An answer as JSON. Its fields stand in alphabetical order, as an object of `serde_json` keeps them.
pub(crate) fn to_json(answer: &impl Serialize) -> String {
    serde_json::to_value(answer).unwrap_or_default().to_string()
}

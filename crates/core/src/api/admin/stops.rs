//! The list of recently stopped tasks, with the reasons.

use crate::metrics::StopRecord;
use serde::Serialize;
use std::collections::VecDeque;

/// The most recent stops of tasks.
#[derive(Serialize)]
pub struct RecentStops<'a> {
    /// The stops, the oldest first.
    pub stops: &'a VecDeque<StopRecord>,
}

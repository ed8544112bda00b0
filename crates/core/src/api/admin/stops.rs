//! Tasks that were stopped lately, and why.

use crate::metrics::StopRecord;
use serde::Serialize;
use std::collections::VecDeque;

/// The list of stops, the oldest first.
#[derive(Serialize)]
pub struct RecentStops<'a> {
    /// The stops.
    pub stops: &'a VecDeque<StopRecord>,
}

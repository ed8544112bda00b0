//! Cancellation watermarks that nodes write when they can't reach one another.

use rudderreel_wire::ids::Version;
use serde::{Deserialize, Serialize};

/// A node's cancellation watermark, for nodes that it can't reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WatermarkRecord {
    /// Every cancellation committed up to this revision.
    #[serde(rename = "known_to")]
    pub cancellation_watermark: Version,
    /// The node asks the others to write their watermarks once they know everything up to here.
    #[serde(rename = "asks", default)]
    pub requested_watermark: Version,
}

//! Records of the cancellation watermarks that nodes write when they can't reach one another.

use rudderreel_wire::ids::Version;
use serde::{Deserialize, Serialize};

/// A node's cancellation watermark, stored for nodes that it can't reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WatermarkRecord {
    /// The node knows every cancellation that was committed up to this revision.
    #[serde(rename = "known_to")]
    pub cancellation_watermark: Version,
    /// The node requests that the others write their watermarks once they know every cancellation up to this revision.
    #[serde(rename = "asks", default)]
    pub requested_watermark: Version,
}

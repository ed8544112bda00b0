//! The keys of the store, and the records that they hold.
//!
//! | key | written by | holds |
//! | --- | --- | --- |
//! | `pub/job/<id>` | any node creates or cancels; the leader completes | submission and state |
//! | `pub/leader` | the leader, on its lease | who leads, and its epoch |
//! | `pub/admin` | any node, for an administrator | operators' settings |
//! | `epoch` | the leader | the last epoch that was assigned |
//! | `book/<segment>` | the leader, before a start is sent | tasks that may be on machines; tasks that are done |
//! | `pub/catalog` | the leader | machine types as last fetched, until jobs depend on others |
//! | `pub/machine-types` | the leader | machine types once jobs depend on others (see `leadership::version_gate`) |
//! | `pub/seat` | the leader, on its lease | who leads, and its epoch, once jobs depend on others |
//! | `pub/known/<node>` | that node, while links between nodes fail | its cancellation watermark |
//!
//! The text of the keys and the names of stored fields are fixed: other versions of this software read them.

mod jobs;
mod leaders;
mod segments;
mod watermarks;

pub use jobs::JobRecord;
#[cfg(test)]
pub use leaders::RECORD_FORMAT;
pub use leaders::{EpochRecord, LeaderKey, LeaderRecord, StoredLeader};
pub use segments::{SegmentId, SegmentMachine, SegmentRecord};
pub use watermarks::WatermarkRecord;

use rudderreel_wire::ids::JobId;

/// Prefix of the keys that every node watches.
pub const WATCHED_PREFIX: &str = "pub/";
/// Prefix of the jobs' keys.
pub const JOB_PREFIX: &str = "pub/job/";
/// The common leader key, which every version reads.
pub const LEADER_KEY: &str = "pub/leader";
/// The gated leader key, which leaders hold once jobs depend on others. Versions without support for dependencies don't
/// read it.
pub const GATED_LEADER_KEY: &str = "pub/seat";
/// The key of the operators' settings.
pub const ADMIN_SETTINGS_KEY: &str = "pub/admin";
/// The key of the last epoch that was assigned.
pub const EPOCH_KEY: &str = "epoch";
/// Prefix of the nodes' cancellation watermarks, which they write when they can't reach one another.
pub const WATERMARK_PREFIX: &str = "pub/known/";
/// Prefix of the segments of the leader's placement log.
pub const SEGMENT_PREFIX: &str = "book/";
/// The common key of the machine types, which every version reads.
pub const CATALOG_KEY: &str = "pub/catalog";
/// The gated key of the machine types, used once jobs depend on others. Versions without support for dependencies don't
/// read it.
pub const GATED_CATALOG_KEY: &str = "pub/machine-types";

/// Returns the key of a job.
pub fn job_key(id: &JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of a segment of the placement log.
pub fn segment_key(segment: SegmentId) -> String {
    format!("{SEGMENT_PREFIX}{:016x}", segment.0)
}

#[cfg(test)]
mod tests;

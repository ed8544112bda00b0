//! The record in which a node publishes its watermark in the store.
//!
//! Links between nodes may fail while each node reaches the store. A node whose users could not be told of a
//! cancellation then requests, in its own record, that the other nodes publish their watermarks. A node writes its
//! record only if it has to request or to publish a watermark, and at most once per [`WRITE_INTERVAL`].

use crate::store::records::WatermarkRecord;
use crate::units::{Span, Time};
use rudderreel_wire::ids::Version;

/// Minimum time between two writes of a node's record.
const WRITE_INTERVAL: Span = Span(1_000);

/// The watermark that a node has published, and the requests for watermarks that are not answered yet.
#[derive(Debug, Default)]
pub(super) struct WatermarkPublication {
    /// The other nodes are requested to publish their watermarks once these have reached this revision.
    requested_from_peers: Version,
    /// This node is requested by others to publish its watermark once it has reached this revision.
    requested_by_peers: Version,
    /// The record that was written last.
    published: WatermarkRecord,
    write: WriteState,
    next_write_at: Time,
}

/// Whether a write of the record is in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum WriteState {
    #[default]
    Idle,
    InProgress,
}

/// The outcome of a write of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was committed.
    Committed,
    /// The write was not committed, or its outcome is unknown. The record is written again when it is next needed.
    Failed,
}

impl WatermarkPublication {
    /// Requests the watermarks of the other nodes, since a user could not be told of the cancellation at a revision.
    pub(super) fn request_from_peers(&mut self, version: Version) {
        self.requested_from_peers = version.max(self.requested_from_peers);
    }

    /// Records that another node's record requests a watermark that has reached a revision.
    pub(super) fn requested_by_peer(&mut self, version: Version) {
        self.requested_by_peers = version.max(self.requested_by_peers);
    }

    /// Returns the record to write now, if any. It counts as published until its write fails.
    pub(super) fn write_due(&mut self, watermark: Version, now: Time) -> Option<WatermarkRecord> {
        let has_answer = self.requested_by_peers > self.published.cancellation_watermark
            && watermark >= self.requested_by_peers;
        let has_request = self.requested_from_peers > self.published.requested_watermark;
        let may_write = self.write == WriteState::Idle && now >= self.next_write_at;
        if !may_write || !(has_answer || has_request) {
            return None;
        }
        self.published = WatermarkRecord {
            cancellation_watermark: watermark,
            requested_watermark: self.requested_from_peers,
        };
        self.write = WriteState::InProgress;
        self.next_write_at = now + WRITE_INTERVAL;
        Some(self.published)
    }

    /// Records how the write has ended. After a failed write nothing counts as published.
    pub(super) fn write_ended(&mut self, outcome: WriteOutcome) {
        self.write = WriteState::Idle;
        if outcome == WriteOutcome::Failed {
            self.published = WatermarkRecord::default();
        }
    }
}

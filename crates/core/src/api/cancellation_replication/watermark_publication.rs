//! The record by which a node publishes its watermark in the state service.
//!
//! Links between nodes may fail while each of them reaches the state service. A node whose users could not be told
//! of a cancellation then asks, in its own record, that the others publish how far their watermarks are. A node
//! writes its record only if it has to ask or to answer, and not more often than [`WRITE_INTERVAL`].

use crate::store::records::WatermarkRecord;
use crate::units::{Span, Time};
use rudderreel_wire::ids::Version;

/// How often a node writes its record, at most.
const WRITE_INTERVAL: Span = Span(1_000);

/// What a node has published of its watermark, and what it has yet to.
#[derive(Debug, Default)]
pub(super) struct WatermarkPublication {
    /// The others are asked to publish that their watermarks have reached this revision.
    requested_from_peers: Version,
    /// Others ask the same of this node.
    requested_by_peers: Version,
    /// What was written last.
    published: WatermarkRecord,
    write: WriteState,
    next_write_at: Time,
}

/// The write of the record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum WriteState {
    #[default]
    Idle,
    InProgress,
}

/// How a write of the record has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was committed.
    Committed,
    /// It was not, or that is unknown. It is written again when it is next needed.
    Failed,
}

impl WatermarkPublication {
    /// A user could not be told of a cancellation: the others have to say whether they know it.
    pub(super) fn request_from_peers(&mut self, version: Version) {
        self.requested_from_peers = version.max(self.requested_from_peers);
    }

    /// Another node's record asks for a revision.
    pub(super) fn requested_by_peer(&mut self, version: Version) {
        self.requested_by_peers = version.max(self.requested_by_peers);
    }

    /// The record to write now, which counts as published until the write fails.
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

    /// The write has ended.
    pub(super) fn write_ended(&mut self, outcome: WriteOutcome) {
        self.write = WriteState::Idle;
        if outcome == WriteOutcome::Failed {
            self.published = WatermarkRecord::default();
        }
    }
}

//! The progress of a new leader in reading the state of its predecessors from the store.
//!
//! Jobs are read before the segments of the placement log, which refer to them. Until both have been read nothing is
//! decided; of the status reports that arrive before that, the newest of each machine is held.

use crate::fleet::MessageOrder;
use crate::store::records::{JOB_PREFIX, SEGMENT_PREFIX};
use crate::units::{Span, Time};
use rudderreel_wire::ids::MachineId;
use rudderreel_wire::worker::StatusReport;
use std::collections::BTreeMap;

/// Delay before a page that could not be read is requested again.
const PAGE_RETRY_INTERVAL: Span = Span(150);

/// A kind of record that is read page by page to recover the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoverySource {
    /// The jobs' records.
    Jobs,
    /// The segments of the placement log.
    Segments,
}

impl RecoverySource {
    /// Returns the prefix of the keys in the store that hold the records.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Jobs => JOB_PREFIX,
            Self::Segments => SEGMENT_PREFIX,
        }
    }

    /// Returns the source to read after this one.
    fn next(self) -> Option<Self> {
        match self {
            Self::Jobs => Some(Self::Segments),
            Self::Segments => None,
        }
    }
}

/// A page to read in the recovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryPage {
    /// The records that the page lists.
    pub source: RecoverySource,
    /// The key after which the page begins; none for the first page of the source.
    pub after: Option<String>,
}

impl RecoveryPage {
    /// Returns the first page of the recovery.
    pub fn first() -> Self {
        Self::first_of(RecoverySource::Jobs)
    }

    fn first_of(source: RecoverySource) -> Self {
        Self {
            source,
            after: None,
        }
    }

    /// Returns the page after this one; none if all state has been read. `last_key_if_more` is the last key of this
    /// page if the source has further pages.
    pub fn following(&self, last_key_if_more: Option<String>) -> Option<Self> {
        if last_key_if_more.is_some() {
            return Some(Self {
                source: self.source,
                after: last_key_if_more,
            });
        }
        self.source.next().map(Self::first_of)
    }
}

/// The progress of the recovery, and the status reports held until it is complete.
#[derive(Default)]
pub struct RecoveryProgress {
    is_complete: bool,
    /// A page that must be requested again, and the time at which to do so.
    retry: Option<(Time, RecoveryPage)>,
    /// The newest status report received so far from each machine.
    held_reports: BTreeMap<MachineId, StatusReport>,
}

impl RecoveryProgress {
    /// Returns whether all state has been read. Before that nothing is decided.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Holds a status report until all state has been read, unless a report of the same machine that is as new or newer
    /// is already held.
    pub fn hold_report(&mut self, report: &StatusReport) {
        let is_newer = (self.held_reports.get(&report.machine))
            .is_none_or(|held| MessageOrder::of(held) < MessageOrder::of(report));
        if is_newer {
            self.held_reports
                .insert(report.machine.clone(), report.clone());
        }
    }

    /// Records that a page could not be read. It is requested again after a delay, which limits the number of
    /// such calls in an outage.
    pub fn retry_later(&mut self, page: RecoveryPage, now: Time) {
        self.retry = Some((now + PAGE_RETRY_INTERVAL, page));
    }

    /// Returns the page to request again now, if there is one.
    pub fn take_due_retry(&mut self, now: Time) -> Option<RecoveryPage> {
        let (_, page) = self.retry.take_if(|(at, _)| now >= *at)?;
        Some(page)
    }

    /// Records that all state has been read, and returns the status reports that were held.
    pub fn complete(&mut self) -> Vec<StatusReport> {
        self.is_complete = true;
        std::mem::take(&mut self.held_reports)
            .into_values()
            .collect()
    }
}

#[cfg(test)]
mod tests;

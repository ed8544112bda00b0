//! How far a new leader has come in reading its predecessors' state from the store.
//!
//! Jobs are read before the segments of the placement log, which refer to them. Until both have been read nothing is
//! decided; status reports that come before are held, the newest of each machine.

use crate::fleet::MessageOrder;
use crate::store::records::{JOB_PREFIX, SEGMENT_PREFIX};
use crate::units::{Span, Time};
use rudderreel_wire::ids::MachineId;
use rudderreel_wire::worker::StatusReport;
use std::collections::BTreeMap;

/// A page that could not be read is asked for again after so long.
const PAGE_RETRY_INTERVAL: Span = Span(150);

/// What is read page by page to recover the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoverySource {
    /// The jobs' records.
    Jobs,
    /// The segments of the placement log.
    Segments,
}

impl RecoverySource {
    /// The prefix of its keys in the store.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Jobs => JOB_PREFIX,
            Self::Segments => SEGMENT_PREFIX,
        }
    }

    /// What is read after it.
    fn next(self) -> Option<Self> {
        match self {
            Self::Jobs => Some(Self::Segments),
            Self::Segments => None,
        }
    }
}

/// A page of the recovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryPage {
    /// What is being read.
    pub source: RecoverySource,
    /// The key that the page begins after; none for the first.
    pub after: Option<String>,
}

impl RecoveryPage {
    /// The first page of the recovery.
    pub fn first() -> Self {
        Self::first_of(RecoverySource::Jobs)
    }

    fn first_of(source: RecoverySource) -> Self {
        Self {
            source,
            after: None,
        }
    }

    /// The page after this one, whose last key is known if there are more of the same source; none if all is read.
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

/// What a new leader has read so far.
#[derive(Default)]
pub struct RecoveryProgress {
    is_complete: bool,
    /// A page that has to be asked for again, and when.
    retry: Option<(Time, RecoveryPage)>,
    /// The newest status report of each machine that came so far.
    held_reports: BTreeMap<MachineId, StatusReport>,
}

impl RecoveryProgress {
    /// Whether all state has been read. Before that nothing is decided.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Holds a status report until all state has been read, unless a newer one of its machine is held.
    pub fn hold_report(&mut self, report: &StatusReport) {
        let is_newer = (self.held_reports.get(&report.machine))
            .is_none_or(|held| MessageOrder::of(held) < MessageOrder::of(report));
        if is_newer {
            self.held_reports
                .insert(report.machine.clone(), report.clone());
        }
    }

    /// A page could not be read. It is asked for again, but not at once, or an outage would be filled with such calls.
    pub fn retry_later(&mut self, page: RecoveryPage, now: Time) {
        self.retry = Some((now + PAGE_RETRY_INTERVAL, page));
    }

    /// The page to ask for again now, if there is one.
    pub fn take_due_retry(&mut self, now: Time) -> Option<RecoveryPage> {
        let (_, page) = self.retry.take_if(|(at, _)| now >= *at)?;
        Some(page)
    }

    /// All state has been read; returns the status reports that were held.
    pub fn complete(&mut self) -> Vec<StatusReport> {
        self.is_complete = true;
        std::mem::take(&mut self.held_reports)
            .into_values()
            .collect()
    }
}

#[cfg(test)]
mod tests;

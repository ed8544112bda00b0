//! Confirms that what the cache says of unfinished jobs is fresh, before users are told.
//!
//! Requests that came in within a short while are confirmed as a class, with one commit that only
//! compares versions; it confirms only requests that arrived before it was sent. What a job depends on
//! and is not done is confirmed with it: if any of that is cancelled, so is the job. A set that is too
//! large for one transaction is confirmed in several: done and cancelled are final, so what was not
//! cancelled at a later transaction was not at an earlier one either.

use crate::api::user_requests::Waiting;
use crate::units::Time;
use rudderreel_wire::ids::{JobId, Version};
use std::collections::{BTreeMap, VecDeque};

/// Requests that wait for a confirmation.
#[derive(Default)]
pub struct Unconfirmed {
    pub(crate) queue: VecDeque<Waiting>,
    pub(crate) collecting_since: Option<Time>,
    /// When the next confirmation may go out.
    pub(crate) next: Time,
}

/// Requests that are being confirmed together.
#[derive(Clone, Debug, Default)]
pub struct Confirmation {
    /// What must be fresh.
    pub(crate) versions: BTreeMap<JobId, Version>,
    /// How many of these, in their order, earlier transactions have confirmed.
    pub(crate) confirmed: usize,
    /// How many the transaction that is under way compares.
    pub(crate) comparing: usize,
    pub(crate) members: Vec<Waiting>,
}

/// What a confirmation says of a job.
pub(crate) enum ReadResult {
    /// It is not final, and nothing that it depends on is cancelled.
    Fresh,
    /// It does not exist.
    Missing,
    /// It is final by now.
    Final,
    /// What it depends on is cancelled.
    CancelledBy(JobId),
    /// A job has to be read again first.
    Stale(JobId),
}

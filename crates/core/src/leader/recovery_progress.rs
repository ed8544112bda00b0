//! How far a new leader has come in reading the state back.

use crate::units::Time;
use rudderreel_wire::ids::MachineId;
use rudderreel_wire::worker::StatusReport;
use std::collections::BTreeMap;

/// A page of the recovery that could not be read and has to be asked for again.
#[derive(Clone, Debug)]
pub struct RecoveryRetry {
    /// When.
    pub at: Time,
    /// The prefix that is being read.
    pub prefix: &'static str,
    /// The key that the page begins after.
    pub after: Option<String>,
}

/// What a new leader has read back so far.
#[derive(Default)]
pub struct RecoveryProgress {
    /// Whether all state has been read back. Before that nothing is decided.
    pub is_complete: bool,
    /// A page that has to be asked for again.
    pub retry: Option<RecoveryRetry>,
    /// Newest status reports that came before that, by machine.
    pub early_reports: BTreeMap<MachineId, StatusReport>,
}

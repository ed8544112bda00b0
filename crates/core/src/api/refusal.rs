//! The reasons for refusing a request, and the answer to each of them.
//!
//! The HTTP status, text and retry delay of a refusal are defined here and nowhere else. The texts are part of the
//! documented API. A refusal with a retry delay is temporary: the request may be sent again unchanged.

use crate::api::admin::settings::SettingsError;
use crate::api::admission::NeverRuns;
use rudderreel_wire::ids::JobId;
use serde::Serialize;

/// HTTP status codes.
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const UNPROCESSABLE: u16 = 422;
const UNAVAILABLE: u16 = 503;
/// Delay in seconds after which a temporarily refused request may be sent again.
const RETRY_AFTER_S: u32 = 1;

/// The reason for refusing a request.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The calls for users that this node has queued or in flight use up all that the store admits, or too many
    /// requests wait for acknowledgements of cancellations.
    #[error("too many requests are open")]
    TooManyOpenRequests,
    /// The queue of reads to be confirmed is full, or the read was not taken from it in time.
    #[error("too many questions wait")]
    TooManyUnconfirmedReads,
    /// The queue of status reports to be forwarded is full.
    #[error("too many reports wait")]
    TooManyReports,
    /// The machine types are not known yet, so it can't be decided whether the job can run.
    #[error("the machine types are not known yet")]
    MachineTypesUnknown,
    /// The store does not serve this node.
    #[error("the state service does not answer")]
    StoreUnreachable,
    /// All attempts to serve the request, or the time for them, are used up.
    #[error("the state service did not answer in time")]
    StoreTimeout,
    /// The record can't be read by this version.
    #[error("unreadable record")]
    UnreadableRecord,
    /// The job's record is no longer in this node's cache.
    #[error("the job is not known here")]
    JobNotCached,
    /// No majority of the nodes has acknowledged the cancellation in time.
    #[error("too few nodes know of the cancellation yet")]
    CancellationNotReplicated,
    /// The leader has not acknowledged the cancellation, and may still start tasks without knowing it.
    #[error("the leader may not know of the cancellation yet")]
    CancellationUnknownToLeader,
    /// The submission was forwarded by a node whose version does not support dependencies, and may have lost them.
    #[error("the node that was asked knows no dependencies")]
    ForwarderOutdated,
    /// This node leads, but can't be certain of that at present.
    #[error("leading is in doubt")]
    LeadershipUncertain,
    /// This node must not answer the agent's status report.
    #[error("not entitled")]
    NotEntitled,
    /// The leader did not answer the status report that was forwarded to it.
    #[error("the leader does not answer")]
    LeaderUnreachable,
    /// Only the leader can answer the request, and no leader is known.
    #[error("no leader is known")]
    NoLeader,
    /// The change of the settings may have been committed, or may still be committed.
    #[error("the outcome is unknown: read them again")]
    SettingsOutcomeUnknown,
    /// The job was never accepted.
    #[error("no such job")]
    NoSuchJob,
    /// The submission names a dependency that was never accepted.
    #[error("the job depends on {0}, which was never accepted")]
    UnknownDependency(JobId),
    /// The job can never run.
    #[error(transparent)]
    NeverRuns(#[from] NeverRuns),
    /// The operators' settings are invalid.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// The operators' settings are larger than a value that the store accepts.
    #[error("the settings are larger than the state service stores")]
    SettingsTooLarge,
    /// The change of the operators' settings is based on an older version of them.
    #[error("the settings have changed meanwhile: read them again")]
    SettingsChanged,
}

/// The JSON body of a refusal.
#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

impl Refusal {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Self::InvalidSettings(_) | Self::SettingsTooLarge => BAD_REQUEST,
            Self::NoSuchJob => NOT_FOUND,
            Self::SettingsChanged => CONFLICT,
            Self::UnknownDependency(_) | Self::NeverRuns(_) => UNPROCESSABLE,
            _ => UNAVAILABLE,
        }
    }

    /// Returns the delay in seconds after which the request may be sent again; none if that would not help.
    pub fn retry_after_s(&self) -> Option<u32> {
        (self.status() == UNAVAILABLE).then_some(RETRY_AFTER_S)
    }

    /// Returns the body as JSON.
    pub fn body(&self) -> String {
        let error = self.to_string();
        crate::io::json(&ErrorBody { error })
    }
}

#[cfg(test)]
mod tests;

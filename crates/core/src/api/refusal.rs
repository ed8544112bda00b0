//! Every reason for which a request is not served, with what its sender is told.
//!
//! Status, text and the time to come back of a refusal stand here and nowhere else. The texts are part of the
//! documented API. A refusal with a time to come back is temporary: the request may be sent again as it is.

use crate::api::admin::settings::SettingsError;
use crate::api::admission::NeverRuns;
use rudderreel_wire::ids::JobId;
use serde::Serialize;

/// Statuses of HTTP.
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const UNPROCESSABLE: u16 = 422;
const UNAVAILABLE: u16 = 503;
/// When to send a request again that was refused for now.
const RETRY_AFTER_S: u32 = 1;

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The calls that this node has under way for users take all that the state service admits.
    #[error("too many requests are open")]
    TooManyOpenRequests,
    /// The queue of reads to be confirmed is full, or it was not this one's turn in time.
    #[error("too many questions wait")]
    TooManyUnconfirmedReads,
    /// The queue of status reports to be forwarded is full.
    #[error("too many reports wait")]
    TooManyReports,
    /// Without the machine types it can't be decided whether a job can run.
    #[error("the machine types are not known yet")]
    MachineTypesUnknown,
    /// The state service does not serve this node.
    #[error("the state service does not answer")]
    StoreUnreachable,
    /// All attempts are used up, or the time for them.
    #[error("the state service did not answer in time")]
    StoreTimeout,
    /// A record that this version can't read.
    #[error("unreadable record")]
    UnreadableRecord,
    /// The job's record is not in this node's cache any more.
    #[error("the job is not known here")]
    JobNotCached,
    /// No majority of the nodes has acknowledged a cancellation in time.
    #[error("too few nodes know of the cancellation yet")]
    CancellationNotReplicated,
    /// A node of a version without dependencies forwarded a submission.
    #[error("the node that was asked knows no dependencies")]
    ForwarderOutdated,
    /// This node leads, but can't be sure of that at the moment.
    #[error("leading is in doubt")]
    LeadershipUncertain,
    /// This node may not answer agents.
    #[error("not entitled")]
    NotEntitled,
    /// The leader gave no answer to what was forwarded to it.
    #[error("the leader does not answer")]
    LeaderUnreachable,
    /// Only the leader can answer, and none is known.
    #[error("no leader is known")]
    NoLeader,
    /// A change of the settings may have been committed, or may yet be.
    #[error("the outcome is unknown: read them again")]
    SettingsOutcomeUnknown,
    /// The job was never accepted.
    #[error("no such job")]
    NoSuchJob,
    /// A submission names a dependency that was never accepted.
    #[error("the job depends on {0}, which was never accepted")]
    UnknownDependency(JobId),
    /// The job can never run.
    #[error(transparent)]
    NeverRuns(#[from] NeverRuns),
    /// Operators' settings that can't be.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// Operators' settings that the state service would not store.
    #[error("the settings are larger than the state service stores")]
    SettingsTooLarge,
    /// A change of the operators' settings names an older version.
    #[error("the settings have changed meanwhile: read them again")]
    SettingsChanged,
}

/// The JSON body of a refusal.
#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

impl Refusal {
    /// The HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Self::InvalidSettings(_) | Self::SettingsTooLarge => BAD_REQUEST,
            Self::NoSuchJob => NOT_FOUND,
            Self::SettingsChanged => CONFLICT,
            Self::UnknownDependency(_) | Self::NeverRuns(_) => UNPROCESSABLE,
            _ => UNAVAILABLE,
        }
    }

    /// When to send the request again, in seconds; none if that would not help.
    pub fn retry_after_s(&self) -> Option<u32> {
        (self.status() == UNAVAILABLE).then_some(RETRY_AFTER_S)
    }

    /// The JSON body.
    pub fn body(&self) -> String {
        let error = self.to_string();
        crate::io::json(&ErrorBody { error })
    }
}

#[cfg(test)]
mod tests;

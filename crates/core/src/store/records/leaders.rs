//! The records of the leader's keys and of the epoch.

use super::{GATED_LEADER_KEY, LEADER_KEY};
use crate::io::Value;
use rudderreel_wire::ids::{Epoch, LeaseId, NodeName, Version};
use serde::{Deserialize, Serialize};

/// What this version understands of the records: 2 since jobs may depend on others. A leader's record
/// without it is that of a version that knows no dependencies.
pub const RECORD_FORMAT: u32 = 2;

/// Which of two keys a leader holds. Every write of a leader depends on the version of that key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaderKey {
    /// The one that every version reads.
    #[default]
    Common,
    /// The one behind the version gate.
    Gated,
}

impl LeaderKey {
    /// Both keys.
    pub const ALL: [Self; 2] = [Self::Common, Self::Gated];

    /// The leader's key of this name, if it is one.
    pub fn of_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|key| key.name() == name)
    }

    /// The key's name in the store.
    pub fn name(self) -> &'static str {
        match self {
            Self::Common => LEADER_KEY,
            Self::Gated => GATED_LEADER_KEY,
        }
    }
}

/// Who leads, as the leader's key holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node that leads.
    pub node: NodeName,
    /// Its epoch, the fencing token.
    pub epoch: Epoch,
    /// The lease that the key hangs on.
    pub lease: LeaseId,
    /// What its version understands of the records; 0 for versions that know no dependencies.
    #[serde(skip_serializing_if = "is_zero", default)]
    pub format: u32,
    /// Whether the key was taken off its lease for good, since the leader's key is another one now (see
    /// `version_gate`). Then this is the last leader that held it.
    #[serde(skip_serializing_if = "std::ops::Not::not", default)]
    pub superseded: bool,
}

impl LeaderRecord {
    /// The record of a leader of this version.
    pub fn new(node: NodeName, epoch: Epoch, lease: LeaseId) -> Self {
        Self {
            node,
            epoch,
            lease,
            format: RECORD_FORMAT,
            superseded: false,
        }
    }

    /// The record that stays in the common key when leaders hold the gated one from now on. `lease` is the lease that has
    /// to be ended before another node is elected, if there is one.
    pub fn tombstone(&self, lease: Option<LeaseId>) -> Self {
        Self {
            lease: lease.unwrap_or(NO_LEASE),
            superseded: true,
            ..self.clone()
        }
    }

    /// The lease that has to be ended before another node is elected in place of a superseded leader.
    pub fn lease_to_end(&self) -> Option<LeaseId> {
        (self.superseded && self.lease != NO_LEASE).then_some(self.lease)
    }

    /// Whether its version knows dependencies.
    pub fn knows_dependencies(&self) -> bool {
        self.format >= RECORD_FORMAT
    }

    /// Reads a record, if it is one.
    pub fn deserialize_from(value: &Value) -> Option<Self> {
        serde_json::from_value(value.clone()).ok()
    }
}

/// A leader's record with the version of the key that holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredLeader {
    /// The version of the key.
    pub version: Version,
    /// The record.
    pub record: LeaderRecord,
}

/// No lease of the store has this id.
const NO_LEASE: LeaseId = LeaseId(0);

fn is_zero(format: &u32) -> bool {
    *format == 0
}

/// The last epoch given out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The epoch.
    pub epoch: Epoch,
}

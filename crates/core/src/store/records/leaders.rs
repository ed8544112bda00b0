//! The records of the leader keys and of the epoch.

use super::{GATED_LEADER_KEY, LEADER_KEY};
use crate::io::Value;
use rudderreel_wire::ids::{Epoch, LeaseId, NodeName, Version};
use serde::{Deserialize, Serialize};

/// The latest record format that this version understands: 2 since jobs may depend on others. A leader's record without
/// a format is that of a version without support for dependencies.
pub const RECORD_FORMAT: u32 = 2;

/// One of the two keys of which a leader holds one. Every write of a leader is conditional on the version of that key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaderKey {
    /// The key that every version reads.
    #[default]
    Common,
    /// The key behind the version gate.
    Gated,
}

impl LeaderKey {
    /// Both keys.
    pub const ALL: [Self; 2] = [Self::Common, Self::Gated];

    /// Returns the leader key with a name, if the name is that of a leader key.
    pub fn of_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|key| key.name() == name)
    }

    /// Returns the key's name in the store.
    pub fn name(self) -> &'static str {
        match self {
            Self::Common => LEADER_KEY,
            Self::Gated => GATED_LEADER_KEY,
        }
    }
}

/// The record that a leader key holds: which node leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node that leads.
    pub node: NodeName,
    /// The leader's epoch, which is its highest fencing token.
    pub epoch: Epoch,
    /// The lease with whose end the key is deleted.
    pub lease: LeaseId,
    /// The latest record format that the leader's version understands; 0 for versions without support for dependencies.
    #[serde(skip_serializing_if = "is_zero", default)]
    pub format: u32,
    /// Whether the key was permanently detached from its lease, since leaders hold the other key now (see
    /// `version_gate`). Then this is the record of the last leader that held the key.
    #[serde(skip_serializing_if = "std::ops::Not::not", default)]
    pub superseded: bool,
}

impl LeaderRecord {
    /// Creates the record of a leader of this version.
    pub fn new(node: NodeName, epoch: Epoch, lease: LeaseId) -> Self {
        Self {
            node,
            epoch,
            lease,
            format: RECORD_FORMAT,
            superseded: false,
        }
    }

    /// Returns the record that stays in the common key once leaders hold the gated one. `lease` is the lease that has
    /// to be ended before another node is elected, if there is one.
    pub fn tombstone(&self, lease: Option<LeaseId>) -> Self {
        Self {
            lease: lease.unwrap_or(NO_LEASE),
            superseded: true,
            ..self.clone()
        }
    }

    /// Returns the lease that has to be ended before another node is elected in place of a superseded leader, if
    /// there is one.
    pub fn lease_to_end(&self) -> Option<LeaseId> {
        (self.superseded && self.lease != NO_LEASE).then_some(self.lease)
    }

    /// Returns whether the leader's version supports dependencies.
    pub fn supports_dependencies(&self) -> bool {
        self.format >= RECORD_FORMAT
    }

    /// Decodes a record; `None` if the value is not a leader record.
    pub fn deserialize_from(value: &Value) -> Option<Self> {
        serde_json::from_value(value.clone()).ok()
    }
}

/// A leader's record with the version of the key that holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredLeader {
    /// The version of the key.
    pub version: Version,
    /// The leader's record.
    pub record: LeaderRecord,
}

/// Stands for no lease: no lease of the store has this id.
const NO_LEASE: LeaseId = LeaseId(0);

fn is_zero(format: &u32) -> bool {
    *format == 0
}

/// The record of the last epoch that was assigned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The last epoch that was assigned.
    pub epoch: Epoch,
}

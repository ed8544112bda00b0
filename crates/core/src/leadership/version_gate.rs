//! The version gate keeps processes of versions without support for dependencies away from jobs that have dependencies.
//!
//! After a rolling upgrade a process may restart with the previous version. It would start dependents too early, report
//! them as queued after they are cancelled, and admit submissions without their dependencies. The gate does not rely on
//! such a process never being started. Its code can't be changed, so the gate works through what that code reads:
//!
//! - It can't read the record of an unfinished job that has dependencies (see [`crate::store::records`]), so it neither
//!   starts such a job nor answers the job's user with anything but 503.
//! - It campaigns only when the common leader key does not exist. Once a job depends on another, the leader moves to
//!   the gated key, which such a version does not read, and leaves the common key in the store permanently. If a
//!   process of such a version leads at that time, any other node supersedes it (see [`super::election`]).
//! - It admits no submission before it has read the machine types, which only a leader requests from the cloud. The
//!   leader moves them, too, to a key that such a version does not read.
//! - A submission that it forwards to a newer node, because the store refuses its calls, has lost its dependencies.
//!   Newer nodes name the dependencies even if there are none, and refuse a submission that does not name them.
//!
//! While no job depends on another, all versions may serve requests and lead in the same cluster.

use super::term::Term;
use crate::io::Value;
use crate::store::records::{
    LeaderKey, LeaderRecord, CATALOG_KEY, GATED_CATALOG_KEY, GATED_LEADER_KEY, LEADER_KEY,
};
use crate::store::transactions::{condition, delete, put, put_with_lease};
use crate::units::{Span, Time};
use rudderreel_wire::ids::Version;
use rudderreel_wire::state::Transaction;

/// Delay before a commit that moves the leader key and had no usable answer is sent again.
pub const KEY_MOVE_RETRY_INTERVAL: Span = Span(200);

/// The step that a leader has reached in closing the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionGateStep {
    /// No step is in progress.
    Idle,
    /// The commit that moves the leader key is in flight. Until its outcome is known nothing else is committed: any
    /// commit that depends on the key may fail.
    MovingKey,
    /// The commit that moves the leader key had no usable answer: it may have been carried out, or may yet be. It is
    /// sent again at this time; at most one of all attempts is carried out.
    RetryKeyMoveAt(Time),
    /// The commit that moves the leader key failed, possibly because an earlier attempt was carried out. The gated
    /// key is read to find out.
    VerifyingKey,
    /// The commit that moves the machine types is in flight.
    MovingCatalog,
}

impl VersionGateStep {
    /// Returns whether the key that every write depends on may be changing.
    pub fn is_key_changing(self) -> bool {
        matches!(
            self,
            Self::MovingKey | Self::RetryKeyMoveAt(_) | Self::VerifyingKey
        )
    }

    /// Returns whether the next step of closing the gate may begin. `is_needed` tells whether jobs depend on others.
    pub fn may_advance(self, is_needed: bool, now: Time) -> bool {
        match self {
            Self::Idle => is_needed,
            Self::RetryKeyMoveAt(at) => now >= at,
            Self::MovingKey | Self::VerifyingKey | Self::MovingCatalog => false,
        }
    }
}

impl Term {
    /// Returns whether this leader still holds the key that versions without support for dependencies read.
    pub fn holds_common_key(&self) -> bool {
        self.key() == LeaderKey::Common
    }

    /// Returns the commit that moves the leader key. Once it is carried out, late writes that depend on the common
    /// key fail, and are sent again with a condition on the gated key.
    pub fn key_move_commit(&self, record: &LeaderRecord) -> Transaction<Value> {
        Transaction {
            conditions: vec![
                self.key_condition(),
                condition(GATED_LEADER_KEY.into(), Version(0)),
            ],
            changes: vec![
                put(LEADER_KEY.into(), &record.tombstone(None)),
                put_with_lease(GATED_LEADER_KEY.into(), record, self.lease_id()),
            ],
        }
    }

    /// Returns the commit that moves the machine types to the gated key. If they are too large, `machine_types` is
    /// none, and null is stored.
    pub fn catalog_move_commit(&self, machine_types: &Option<Value>) -> Transaction<Value> {
        Transaction {
            conditions: vec![self.key_condition()],
            changes: vec![
                put(GATED_CATALOG_KEY.into(), machine_types),
                delete(CATALOG_KEY.into()),
            ],
        }
    }
}

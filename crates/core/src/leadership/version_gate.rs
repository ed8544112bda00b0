//! The version gate keeps processes of versions that know no dependencies away from jobs that have some.
//!
//! After a rolling upgrade a process may come back with the version before. It would start dependents too early, call
//! them queued after they are cancelled, and admit submissions without their dependencies. That nobody starts it is not
//! relied on. Its code can't be changed, so the gate is made of what it reads:
//!
//! - It can't read the record of an unfinished job that has dependencies (see [`crate::store::records`]), so it neither
//!   starts such a job nor answers its user anything but 503.
//! - It campaigns only when the common leader's key is gone. Once a job depends on another, the leader moves to the
//!   gated key, which such a version does not read, and leaves the common one behind for good. If a process of such a
//!   version leads at that moment, any other node supersedes it (see [`super::election`]).
//! - It admits no submission before it has read the machine types, which only a leader asks the cloud for. The leader
//!   moves them to a key that such a version does not read, too.
//! - A submission that it forwards to a newer node, since the store refuses it, has lost its dependencies. Newer nodes
//!   name them even if there are none, and refuse one that does not.
//!
//! While nothing depends on anything all versions serve and lead together.

use super::term::Term;
use crate::io::Value;
use crate::store::records::{
    LeaderKey, LeaderRecord, CATALOG_KEY, GATED_CATALOG_KEY, GATED_LEADER_KEY, LEADER_KEY,
};
use crate::store::transactions::{condition, delete, put, put_with_lease};
use crate::units::{Span, Time};
use rudderreel_wire::ids::Version;
use rudderreel_wire::state::Transaction;

/// A commit that moves the leader's key and had no usable answer is sent again after so long.
pub const KEY_MOVE_RETRY_INTERVAL: Span = Span(200);

/// What a leader is doing to close the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionGateStep {
    /// Nothing.
    Idle,
    /// The commit that moves the leader's key is open. Until its outcome is known nothing else is
    /// committed: whatever depends on the key may fail.
    MovingKey,
    /// That commit had no usable answer: it may have been carried out, or may yet be. It is sent again
    /// at this moment; of all tries one at most is carried out.
    RetryKeyMoveAt(Time),
    /// It failed: perhaps since an earlier try was carried out, which the key shows.
    VerifyingKey,
    /// The commit that moves the machine types is open.
    MovingCatalog,
}

impl VersionGateStep {
    /// Whether the key that every write depends on may be changing.
    pub fn is_key_changing(self) -> bool {
        matches!(
            self,
            Self::MovingKey | Self::RetryKeyMoveAt(_) | Self::VerifyingKey
        )
    }

    /// Whether the next step of closing the gate may begin. `is_needed` says whether jobs depend on others.
    pub fn may_advance(self, is_needed: bool, now: Time) -> bool {
        match self {
            Self::Idle => is_needed,
            Self::RetryKeyMoveAt(at) => now >= at,
            Self::MovingKey | Self::VerifyingKey | Self::MovingCatalog => false,
        }
    }
}

impl Term {
    /// Whether this leader still holds the key that versions without dependencies read.
    pub fn holds_common_key(&self) -> bool {
        self.key() == LeaderKey::Common
    }

    /// The commit that moves the leader's key. Late writes that depend on the common one fail from then
    /// on, and are sent again by the other.
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

    /// The commit that moves the machine types; null is stored if they are too large.
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

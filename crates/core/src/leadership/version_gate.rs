//! Keeps processes of versions that know no dependencies away from jobs that have some.
//!
//! After a rolling upgrade a process may come back with the version before. It would start dependents
//! too early, call them queued after they are cancelled, and accept submissions without their
//! dependencies. That nobody starts it is not relied on. Its code can't be changed, so the gate is made
//! of what it reads:
//!
//! - It can't read the record of an unfinished job that has dependencies (see `records`), so it neither
//!   starts such a job nor tells its user anything but 503.
//! - It campaigns only when the common leader's key is gone. Once a job depends on another, the leader
//!   moves to a key that such a version does not read, and leaves the common one behind for good. If a
//!   process of such a version leads at that moment, any other node supersedes it (see `election`).
//! - It accepts no submission before it has read the machine types, which only a leader asks the cloud
//!   for. The leader moves them to a key that such a version does not read, too.
//! - A submission that it passes on to a newer node, since the state service refuses it, has lost its
//!   dependencies. Newer nodes name them even if there are none, and refuse one that does not.
//!
//! While nothing depends on anything all versions serve and lead together.

use super::term::Term;
use crate::io::Value;
use crate::store::records::{LeaderRecord, GATED_LEADER_KEY, LEADER_KEY};
use crate::store::transactions::{condition, put};
use crate::units::Time;
use rudderreel_wire::ids::Version;
use rudderreel_wire::state::{Change, Transaction};

/// What a leader is doing to close the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionGateStep {
    /// Nothing.
    Idle,
    /// The commit that moves the leader's key is open. Until its outcome is known nothing else is
    /// committed: whatever depends on the key may fail.
    ChangingKey,
    /// That commit had no usable answer: it may have been carried out, or may yet be. It is sent again
    /// then; of all tries one at most is carried out.
    ChangingKeyAgain(Time),
    /// It failed: perhaps since an earlier try was carried out, which the key shows.
    ReadingKey,
    /// The commit that moves the machine types is open.
    MovingCatalog,
}

impl VersionGateStep {
    /// Whether the key that every write depends on may be changing.
    pub fn is_changing_key(self) -> bool {
        matches!(
            self,
            Self::ChangingKey | Self::ChangingKeyAgain(_) | Self::ReadingKey
        )
    }
}

impl Term {
    /// The commit that moves the leader's key. Late writes that depend on the common one fail from then
    /// on, and are sent again by the other.
    pub(crate) fn change_key(&self, record: &LeaderRecord) -> Transaction<Value> {
        Transaction {
            conditions: vec![
                self.key_condition(),
                condition(GATED_LEADER_KEY.into(), Version(0)),
            ],
            changes: vec![
                put(LEADER_KEY.into(), &record.tombstone(None)),
                Change::Put {
                    key: GATED_LEADER_KEY.into(),
                    value: serde_json::to_value(record).unwrap_or_default(),
                    lease: Some(self.lease_id),
                },
            ],
        }
    }
}

//! The commits that change the leader or its epoch.

use crate::io::Value;
use crate::store::records::{
    EpochRecord, LeaderKey, LeaderRecord, StoredLeader, EPOCH_KEY, LEADER_KEY,
};
use crate::store::transactions::{condition, put, put_with_lease};
use rudderreel_wire::ids::Version;
use rudderreel_wire::state::Transaction;

/// Returns the commit that detaches the key of an outdated leader from its lease. The version of the key changes, so no
/// write of that leader is carried out after the commit.
pub(super) fn supersede(leader: &StoredLeader) -> Transaction<Value> {
    let tombstone = leader.record.tombstone(Some(leader.record.lease));
    Transaction {
        conditions: vec![condition(LEADER_KEY.into(), leader.version)],
        changes: vec![put(LEADER_KEY.into(), &tombstone)],
    }
}

/// Returns the commit that sets the leader key and the epoch, by which a node wins an election or a leader bumps its
/// epoch.
pub fn epoch_change(
    key: LeaderKey,
    record: &LeaderRecord,
    key_version: Version,
    epoch_version: Version,
) -> Transaction<Value> {
    let epoch = EpochRecord {
        epoch: record.epoch,
    };
    Transaction {
        conditions: vec![
            condition(key.name().into(), key_version),
            condition(EPOCH_KEY.into(), epoch_version),
        ],
        changes: vec![
            put_with_lease(key.name().into(), record, record.lease),
            put(EPOCH_KEY.into(), &epoch),
        ],
    }
}

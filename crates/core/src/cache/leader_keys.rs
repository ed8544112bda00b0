//! The cached leader keys: which node leads, and whether its version may keep leading (see `leadership::version_gate`).

use super::job_cache::JobCache;
use crate::leadership::election::LeaderKeyState;
use crate::store::records::{LeaderKey, LeaderRecord, StoredLeader};
use rudderreel_wire::ids::{LeaseId, Version};

/// Cached state of one leader key.
#[derive(Debug, Default)]
struct CachedLeaderKey {
    /// The leader that the key holds, if it is known to hold one.
    leader: Option<StoredLeader>,
    /// The newest revision at which the key's state is known.
    revision: Version,
}

/// The two leader keys, of which leaders hold one.
#[derive(Debug, Default)]
pub(super) struct LeaderKeys {
    /// The key that every version reads.
    common: CachedLeaderKey,
    /// The key behind the version gate.
    gated: CachedLeaderKey,
}

impl LeaderKeys {
    fn cached(&self, key: LeaderKey) -> &CachedLeaderKey {
        match key {
            LeaderKey::Common => &self.common,
            LeaderKey::Gated => &self.gated,
        }
    }

    fn cached_mut(&mut self, key: LeaderKey) -> &mut CachedLeaderKey {
        match key {
            LeaderKey::Common => &mut self.common,
            LeaderKey::Gated => &mut self.gated,
        }
    }

    /// Updates a key unless a newer revision of it is known.
    fn update(&mut self, key: LeaderKey, revision: Version, leader: Option<StoredLeader>) {
        let cached = self.cached_mut(key);
        if revision >= cached.revision {
            cached.revision = revision;
            cached.leader = leader;
        }
    }

    /// Removes the leader that holds a lease.
    fn forget(&mut self, lease: LeaseId) {
        for cached in [&mut self.common, &mut self.gated] {
            cached.leader.take_if(|leader| leader.record.lease == lease);
        }
    }

    /// Returns the superseded leader that the common key holds once leaders hold the gated one.
    fn superseded(&self) -> Option<&StoredLeader> {
        let leader = self.common.leader.as_ref();
        leader.filter(|leader| leader.record.superseded)
    }

    /// Returns the key that leaders hold.
    fn current(&self) -> LeaderKey {
        match self.superseded() {
            Some(_) => LeaderKey::Gated,
            None => LeaderKey::Common,
        }
    }
}

impl JobCache {
    /// Returns the record of the current leader, if one is known.
    pub fn leader(&self) -> Option<&LeaderRecord> {
        self.stored_leader().map(|leader| &leader.record)
    }

    fn stored_leader(&self) -> Option<&StoredLeader> {
        let key = self.leader_keys.current();
        self.leader_keys.cached(key).leader.as_ref()
    }

    /// Returns the superseded leader that the common key holds once leaders hold the gated one.
    pub(super) fn superseded_leader(&self) -> Option<&StoredLeader> {
        self.leader_keys.superseded()
    }

    /// Returns the state of the leader key as this node knows it.
    pub fn leader_key_state(&self) -> LeaderKeyState<'_> {
        match self.stored_leader() {
            None => LeaderKeyState::Vacant {
                superseded: self.superseded_leader(),
            },
            Some(leader) if self.is_outdated(&leader.record) => LeaderKeyState::Outdated(leader),
            Some(_) => LeaderKeyState::Held(self.leader_keys.current()),
        }
    }

    /// Returns whether a leader's version must not lead any more: it does not support dependencies, and they are in
    /// use.
    fn is_outdated(&self, record: &LeaderRecord) -> bool {
        !record.supports_dependencies() && self.dependencies_in_use()
    }

    /// Updates a leader key with what it held at a revision.
    pub fn update_leader(
        &mut self,
        key: LeaderKey,
        revision: Version,
        leader: Option<StoredLeader>,
    ) {
        self.leader_keys.update(key, revision, leader);
    }

    /// Updates a leader key with what a read of that key alone returned. The revision of such a read is not known.
    pub fn update_leader_read(&mut self, key: LeaderKey, leader: Option<StoredLeader>) {
        let known_at = self.leader_keys.cached(key).revision;
        let revision = leader.as_ref().map_or(known_at, |leader| leader.version);
        self.leader_keys.update(key, revision, leader);
    }

    /// Records that this node has moved its leader key from the common to the gated one, by a commit at a version.
    pub fn record_leader_key_move(&mut self, version: Version, record: LeaderRecord) {
        let superseded = StoredLeader {
            version,
            record: record.tombstone(None),
        };
        let leader = StoredLeader { version, record };
        self.update_leader(LeaderKey::Common, version, Some(superseded));
        self.update_leader(LeaderKey::Gated, version, Some(leader));
    }

    /// Removes the leader of a term of this node that has ended: its key is deleted, or will be.
    pub fn forget_leader(&mut self, lease: LeaseId) {
        self.leader_keys.forget(lease);
    }
}

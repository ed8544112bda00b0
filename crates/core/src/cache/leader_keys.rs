//! Who leads, as the cache knows it, and whether that leader may go on (see `leadership::version_gate`).

use super::job_cache::JobCache;
use crate::leadership::election::LeaderSlot;
use crate::store::records::{LeaderKey, LeaderRecord, StoredLeader};
use rudderreel_wire::ids::{LeaseId, Version};

/// A leader's key as it is known.
#[derive(Debug, Default)]
struct HeldKey {
    /// What it holds.
    leader: Option<StoredLeader>,
    /// The newest revision at which it is known.
    seen: Version,
}

/// The two keys of which leaders hold one.
#[derive(Debug, Default)]
pub(super) struct LeaderKeys {
    /// The one that every version reads.
    common: HeldKey,
    /// The one behind the version gate.
    gated: HeldKey,
}

impl LeaderKeys {
    fn held(&self, key: LeaderKey) -> &HeldKey {
        match key {
            LeaderKey::Common => &self.common,
            LeaderKey::Gated => &self.gated,
        }
    }

    fn held_mut(&mut self, key: LeaderKey) -> &mut HeldKey {
        match key {
            LeaderKey::Common => &mut self.common,
            LeaderKey::Gated => &mut self.gated,
        }
    }

    fn update(&mut self, key: LeaderKey, revision: Version, leader: Option<StoredLeader>) {
        let held = self.held_mut(key);
        if revision >= held.seen {
            held.seen = revision;
            held.leader = leader;
        }
    }

    fn forget(&mut self, lease: LeaseId) {
        for held in [&mut self.common, &mut self.gated] {
            held.leader.take_if(|leader| leader.record.lease == lease);
        }
    }

    /// What the common key holds, once leaders hold the gated one.
    fn superseded(&self) -> Option<&StoredLeader> {
        let leader = self.common.leader.as_ref();
        leader.filter(|leader| leader.record.superseded)
    }

    /// Which key leaders hold.
    fn current(&self) -> LeaderKey {
        match self.superseded() {
            Some(_) => LeaderKey::Gated,
            None => LeaderKey::Common,
        }
    }
}

impl JobCache {
    /// Who leads.
    pub fn leader(&self) -> Option<&LeaderRecord> {
        self.stored_leader().map(|leader| &leader.record)
    }

    fn stored_leader(&self) -> Option<&StoredLeader> {
        let key = self.leader_keys.current();
        self.leader_keys.held(key).leader.as_ref()
    }

    /// What the common key holds, once leaders hold the gated one.
    pub(super) fn superseded_leader(&self) -> Option<&StoredLeader> {
        self.leader_keys.superseded()
    }

    /// The leader's key as it is known here.
    pub fn leader_slot(&self) -> LeaderSlot<'_> {
        match self.stored_leader() {
            None => LeaderSlot::Vacant {
                superseded: self.superseded_leader(),
            },
            Some(leader) if self.is_outdated(&leader.record) => LeaderSlot::Outdated(leader),
            Some(_) => LeaderSlot::Held(self.leader_keys.current()),
        }
    }

    /// Whether a leader is of a version that must not lead any more.
    fn is_outdated(&self, record: &LeaderRecord) -> bool {
        !record.knows_dependencies() && self.dependencies_in_use()
    }

    /// Takes over what a leader's key holds, as read at a revision.
    pub fn update_leader(
        &mut self,
        key: LeaderKey,
        revision: Version,
        leader: Option<StoredLeader>,
    ) {
        self.leader_keys.update(key, revision, leader);
    }

    /// Takes over what a leader's key holds, as it was read by itself, at a revision that is not known.
    pub fn update_leader_read(&mut self, key: LeaderKey, leader: Option<StoredLeader>) {
        let seen = self.leader_keys.held(key).seen;
        let revision = leader.as_ref().map_or(seen, |leader| leader.version);
        self.leader_keys.update(key, revision, leader);
    }

    /// This node has moved its leader's key to the gated one, by a commit at a version.
    pub fn record_leader_key_move(&mut self, version: Version, record: LeaderRecord) {
        let superseded = StoredLeader {
            version,
            record: record.tombstone(None),
        };
        let leader = StoredLeader { version, record };
        self.update_leader(LeaderKey::Common, version, Some(superseded));
        self.update_leader(LeaderKey::Gated, version, Some(leader));
    }

    /// A term of this node has ended: the leader's key is gone, or will be.
    pub fn forget_leader(&mut self, lease: LeaseId) {
        self.leader_keys.forget(lease);
    }
}

use super::*;
use crate::cache::job_cache::JobCache;
use crate::leadership::election::{LeaderKeyState, LEADER_LEASE_TTL};
use crate::store::records::{LeaderKey, StoredLeader, LEADER_KEY, RECORD_FORMAT};
use crate::testing::{leader, node, NOW};
use rudderreel_wire::ids::{Epoch, LeaseId};

/// Returns a node that has just become the leader and whose cache is complete.
fn leading_node() -> Node {
    let mut node = node();
    node.job_cache.set_complete(true);
    node.leader = Some(leader());
    node
}

/// A superseded leader may continue to act for a whole lease by its own clock, so nothing is concluded from leases
/// before that time has passed.
#[test]
fn older_leaders_count_as_fenced_only_after_a_superseded_one_has_surely_stopped() {
    let fenced_at = |node: &mut Node| {
        node.update_old_leaders_fenced_at(NOW.time);
        node.leader
            .as_ref()
            .and_then(|leader| leader.term.old_leaders_fenced_at())
    };
    let mut alone = leading_node();
    let before = fenced_at(&mut alone).expect("a moment");
    assert!(before < NOW.time + LEADER_LEASE_TTL);
    let mut after = leading_node();
    after.job_cache.set_dependencies_seen();
    assert!(fenced_at(&mut after).expect("a moment") > NOW.time + LEADER_LEASE_TTL);
    let mut unread = leading_node();
    unread.job_cache.set_complete(false);
    assert!(fenced_at(&mut unread).expect("a moment") > NOW.time + LEADER_LEASE_TTL);
}

/// While no job depends on another, leaders of both versions are accepted; once one does, only leaders of the newer
/// version are.
#[test]
fn leaders_without_dependency_support_are_outdated_only_once_jobs_have_dependencies() {
    let record = |format: u32| LeaderRecord {
        format,
        ..LeaderRecord::new("n1".into(), Epoch(4), LeaseId(1))
    };
    let mut cache = JobCache::default();
    let stored = |version: u64, record: LeaderRecord| {
        let version = Version(version);
        Some(StoredLeader { version, record })
    };
    cache.update_leader(LeaderKey::Common, Version(3), stored(3, record(0)));
    assert!(matches!(
        cache.leader_key_state(),
        LeaderKeyState::Held(LeaderKey::Common)
    ));
    cache.set_dependencies_seen();
    assert!(matches!(
        cache.leader_key_state(),
        LeaderKeyState::Outdated(leader) if leader.version == Version(3)
    ));
    let tombstone = record(0).tombstone(Some(LeaseId(1)));
    cache.update_leader(LeaderKey::Common, Version(5), stored(5, tombstone));
    assert!(matches!(
        cache.leader_key_state(),
        LeaderKeyState::Vacant { superseded: Some(leader) } if leader.version == Version(5)
    ));
    let new = stored(6, record(RECORD_FORMAT));
    cache.update_leader(LeaderKey::Gated, Version(6), new);
    assert!(matches!(
        cache.leader_key_state(),
        LeaderKeyState::Held(LeaderKey::Gated)
    ));
}

/// The commit that moves the key is repeated if its outcome is unknown. If the repeated commit fails, an earlier
/// attempt may have been carried out; then the leader continues to lead with the gated key.
#[test]
fn a_leader_detects_that_an_earlier_key_move_was_committed() {
    let mut node = leading_node();
    node.job_cache.set_dependencies_seen();
    node.close_version_gate(NOW);
    node.version_gate_answered(StoreAnswer::Unknown, NOW);
    let gate = |node: &Node| {
        node.leader
            .as_ref()
            .map(|leader| leader.term.version_gate())
    };
    assert!(gate(&node).is_some_and(VersionGateStep::is_key_changing));
    node.close_version_gate(NOW);
    assert!(
        matches!(gate(&node), Some(VersionGateStep::RetryKeyMoveAt(_))),
        "not at once"
    );
    let later = Now {
        time: NOW.time + KEY_MOVE_RETRY_INTERVAL,
        ..NOW
    };
    node.close_version_gate(later);
    node.version_gate_answered(StoreAnswer::Conflict(vec![LEADER_KEY.into()]), later);
    assert_eq!(gate(&node), Some(VersionGateStep::VerifyingKey));
    let lease = node.leader.as_ref().map(|leader| leader.term.lease_id());
    let record = LeaderRecord::new("n0".into(), Epoch(1), lease.expect("a lease"));
    let item = rudderreel_wire::state::Item {
        key: GATED_LEADER_KEY.into(),
        value: serde_json::to_value(record).expect("JSON"),
        version: Version(8),
        lease,
    };
    node.version_gate_answered(StoreAnswer::Found(item), later);
    let leader = node.leader.as_ref().expect("it still leads");
    assert_eq!(
        (leader.term.key(), leader.term.key_condition().version),
        (LeaderKey::Gated, Version(8))
    );
    // If the gated key is missing, the leader has lost its key.
    let mut lost = leading_node();
    lost.job_cache.set_dependencies_seen();
    lost.close_version_gate(NOW);
    lost.version_gate_answered(StoreAnswer::Conflict(vec![LEADER_KEY.into()]), NOW);
    lost.version_gate_answered(StoreAnswer::Missing, NOW);
    assert!(lost.leader.is_none());
}

use super::*;
use crate::election::LEASE;
use crate::records::RECORD_FORMAT;
use crate::testing::{core, lead, NOW};
use rudderreel_wire::ids::{Epoch, LeaseId};

/// A leader that has just won, on a node that has read everything.
fn leader() -> Core {
    let mut core = core();
    core.job_cache.complete = true;
    core.lead = Some(lead());
    core
}

/// A superseded leader may go on by its own clock, so nothing is concluded from leases before that is over.
#[test]
fn the_fence_comes_after_a_superseded_leader_has_surely_stopped() {
    let fence_of = |core: &mut Core| {
        core.note_fence(NOW.time);
        core.lead.as_ref().and_then(|lead| lead.fence)
    };
    let mut alone = leader();
    let before = fence_of(&mut alone).expect("a fence");
    assert!(before < NOW.time + LEASE);
    let mut after = leader();
    after.job_cache.dependencies_seen = true;
    assert!(fence_of(&mut after).expect("a fence") > NOW.time + LEASE);
    let mut unread = leader();
    unread.job_cache.complete = false;
    assert!(fence_of(&mut unread).expect("a fence") > NOW.time + LEASE);
}

/// While nothing depends on anything, leaders of both versions are left alone; then only newer ones are.
#[test]
fn who_leads_must_know_dependencies_only_once_there_are_some() {
    let record = |format: u32| LeaderRecord {
        format,
        ..LeaderRecord::new("n1".into(), Epoch(4), LeaseId(1))
    };
    let mut cache = JobCache::default();
    let old = Some((Version(3), record(0)));
    cache.learn_leader(LeaderKey::Common, Version(3), old);
    assert!(matches!(cache.seat(), Seat::Taken(LeaderKey::Common)));
    cache.dependencies_seen = true;
    assert!(matches!(cache.seat(), Seat::Outdated((Version(3), _))));
    let tombstone = record(0).tombstone(Some(LeaseId(1)));
    cache.learn_leader(LeaderKey::Common, Version(5), Some((Version(5), tombstone)));
    assert!(matches!(cache.seat(), Seat::Vacant(Some((Version(5), _)))));
    let new = Some((Version(6), record(RECORD_FORMAT)));
    cache.learn_leader(LeaderKey::Gated, Version(6), new);
    assert!(matches!(cache.seat(), Seat::Taken(LeaderKey::Gated)));
}

/// The commit that moves the key is repeated when its outcome is not known; if it fails then, an earlier
/// try was perhaps carried out, and the leader leads on by the other key.
#[test]
fn a_leader_finds_out_that_its_key_was_moved_after_all() {
    let mut core = leader();
    core.job_cache.dependencies_seen = true;
    core.close_version_gate(NOW);
    core.gate_answered(StateAnswer::Unknown, NOW);
    let gate = |core: &Core| core.lead.as_ref().map(|lead| lead.gate);
    assert!(gate(&core).is_some_and(GateStep::is_changing_key));
    core.close_version_gate(NOW);
    assert!(
        matches!(gate(&core), Some(GateStep::ChangingKeyAgain(_))),
        "not at once"
    );
    let later = Now {
        time: NOW.time + AGAIN,
        ..NOW
    };
    core.close_version_gate(later);
    core.gate_answered(StateAnswer::Conflict(vec![LEADER.into()]), later);
    assert_eq!(gate(&core), Some(GateStep::ReadingKey));
    let lease = core.lead.as_ref().map(|lead| lead.lease_id);
    let record = LeaderRecord::new("n0".into(), Epoch(1), lease.expect("a lease"));
    let item = rudderreel_wire::state::Item {
        key: SEAT.into(),
        value: serde_json::to_value(record).expect("JSON"),
        version: Version(8),
        lease,
    };
    core.gate_answered(StateAnswer::Found(item), later);
    let lead = core.lead.as_ref().expect("it leads on");
    assert_eq!((lead.key, lead.version), (LeaderKey::Gated, Version(8)));
    // Another's key there means that it has lost.
    let mut lost = leader();
    lost.job_cache.dependencies_seen = true;
    lost.close_version_gate(NOW);
    lost.gate_answered(StateAnswer::Conflict(vec![LEADER.into()]), NOW);
    lost.gate_answered(StateAnswer::Missing, NOW);
    assert!(lost.lead.is_none());
}

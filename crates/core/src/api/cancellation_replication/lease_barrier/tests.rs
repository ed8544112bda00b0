use super::*;
use crate::store::records::{LeaderKey, LeaderRecord, StoredLeader};
use crate::testing::NOW;
use rudderreel_wire::ids::Epoch;

const CANCELLED_AT: Version = Version(20);

/// Returns a cache that has reached a revision and names a leader.
fn cache(revision: Version, leader: &str, lease: u64) -> JobCache {
    let mut jobs = JobCache::default();
    jobs.set_complete(true);
    jobs.confirm(revision, NOW.time);
    let record = LeaderRecord::new(leader.into(), Epoch(1), LeaseId(lease));
    let version = Version(1);
    let leader = Some(StoredLeader { version, record });
    jobs.update_leader(LeaderKey::Common, version, leader);
    jobs
}

fn after(span: Span) -> Time {
    NOW.time + span
}

#[test]
fn the_leaders_knowledge_suffices_once_earlier_leaders_have_stopped() {
    let mut barrier = LeaseBarrier::default();
    let jobs = cache(CANCELLED_AT, "n1", 7);
    barrier.observe(&jobs, NOW.time);
    let early = after(Span(LeaseBarrier::span().0 - 1));
    assert_eq!(barrier.sole_leader(CANCELLED_AT, early), None);
    let late = after(LeaseBarrier::span());
    let leader = NodeName::from("n1");
    assert_eq!(barrier.sole_leader(CANCELLED_AT, late), Some(&leader));
    // The same node in a later term may have lost the election in between.
    barrier.observe(&cache(CANCELLED_AT, "n1", 8), late);
    assert_eq!(barrier.sole_leader(CANCELLED_AT, late), None);
}

/// The key may have named another leader by the time of the cancellation.
#[test]
fn a_leader_named_by_an_older_cache_does_not_suffice() {
    let mut barrier = LeaseBarrier::default();
    barrier.observe(&cache(Version(19), "n1", 7), NOW.time);
    let late = after(LeaseBarrier::span());
    assert_eq!(barrier.sole_leader(CANCELLED_AT, late), None);
    assert!(barrier.sole_leader(Version(19), late).is_some());
}

#[test]
fn no_leader_suffices_while_the_key_names_none() {
    let mut barrier = LeaseBarrier::default();
    let mut jobs = JobCache::default();
    jobs.set_complete(true);
    jobs.confirm(CANCELLED_AT, NOW.time);
    barrier.observe(&jobs, NOW.time);
    let late = after(LeaseBarrier::span());
    assert_eq!(barrier.sole_leader(CANCELLED_AT, late), None);
}

#[test]
fn a_revision_has_passed_a_lease_after_the_cache_reached_it() {
    let mut barrier = LeaseBarrier::default();
    barrier.observe(&cache(CANCELLED_AT, "n1", 7), NOW.time);
    // Later revisions of a busy store are sampled at intervals, and none of them counts too early.
    let mut revision = CANCELLED_AT;
    for ms in 1..LeaseBarrier::span().0 {
        revision.0 += 1;
        barrier.observe(&cache(revision, "n1", 7), after(Span(ms)));
        assert!(!barrier.has_passed(CANCELLED_AT), "after {ms} ms");
    }
    assert!(barrier.samples.len() as u64 <= LeaseBarrier::span().0 / SAMPLE_INTERVAL.0 + 1);
    barrier.observe(&cache(revision, "n1", 7), after(LeaseBarrier::span()));
    assert!(barrier.has_passed(CANCELLED_AT));
    assert!(!barrier.has_passed(Version(CANCELLED_AT.0 + 1)));
    // Revisions between two samples pass with the next one.
    let next_sample = LeaseBarrier::span() + SAMPLE_INTERVAL;
    barrier.observe(&cache(revision, "n1", 7), after(next_sample));
    let end = next_sample + LeaseBarrier::span();
    barrier.observe(&cache(revision, "n1", 7), after(end));
    assert!(barrier.has_passed(revision));
}

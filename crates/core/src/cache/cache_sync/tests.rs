use super::*;
use crate::store::records::{LeaderRecord, StoredLeader, LEADER_KEY};
use rudderreel_wire::ids::{Epoch, LeaseId};
use rudderreel_wire::state::Item;

const NOW: Time = Time(1_000_000);

fn page(revision: u64, items: Vec<Item<Value>>, more: bool) -> Page<Value> {
    Page {
        items,
        more,
        revision: Version(revision),
    }
}

fn leader_item() -> Item<Value> {
    let record = LeaderRecord::new("n1".into(), Epoch(4), LeaseId(1));
    Item {
        key: LEADER_KEY.into(),
        value: serde_json::to_value(record).expect("a value"),
        version: Version(3),
        lease: Some(LeaseId(1)),
    }
}

#[test]
fn a_failed_listing_is_begun_again_after_the_retry_interval() {
    let mut sync = CacheSync::default();
    assert!(sync.may_begin(NOW));
    sync.begin();
    assert!(!sync.may_begin(NOW));
    sync.retry_later(NOW);
    assert!(!sync.may_begin(NOW + Span(LISTING_RETRY_INTERVAL.0 - 1)));
    assert!(sync.may_begin(NOW + LISTING_RETRY_INTERVAL));
}

/// The watch begins at the revision of the first page: a change between two pages would be missed otherwise.
#[test]
fn the_revision_of_a_listing_is_that_of_its_first_page() {
    let first = page(7, Vec::new(), true);
    let mut listing = Listing::from_first_page(&first, NOW);
    let mut cache = JobCache::default();
    listing.apply(&first, &mut cache);
    listing.apply(&page(9, Vec::new(), false), &mut cache);
    assert_eq!(listing.revision(), Version(7));
}

#[test]
fn a_leader_key_on_an_earlier_page_is_kept_when_the_listing_ends() {
    let first = page(7, vec![leader_item()], true);
    let mut listing = Listing::from_first_page(&first, NOW);
    let mut cache = JobCache::default();
    listing.apply(&first, &mut cache);
    listing.apply(&page(7, Vec::new(), false), &mut cache);
    assert!(cache.leader().is_some());
}

#[test]
fn a_leader_key_that_no_page_holds_is_dropped_from_the_cache() {
    let record = LeaderRecord::new("n1".into(), Epoch(4), LeaseId(1));
    let mut cache = JobCache::default();
    cache.update_leader(
        LeaderKey::Common,
        Version(3),
        Some(StoredLeader {
            version: Version(3),
            record,
        }),
    );
    let only = page(7, Vec::new(), false);
    Listing::from_first_page(&only, NOW).apply(&only, &mut cache);
    assert!(cache.leader().is_none());
}

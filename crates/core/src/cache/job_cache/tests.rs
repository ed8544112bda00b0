use super::*;
use crate::units::Wall;
use rudderreel_wire::job::JobSpec;

fn spec(n: u32) -> JobSpec {
    let job = crate::testing::job(n, "sweep", "red", "normal");
    (*job.spec).clone()
}

fn id(n: u32) -> JobId {
    spec(n).id
}

/// A record that can't be read is counted and leaves the cached one unchanged.
#[test]
fn records_that_can_not_be_read_are_counted() {
    let mut cache = JobCache::default();
    cache.update_job(id(1), Version(3), JobRecord::queued(&spec(1), Wall(5)));
    let later = serde_json::json!({"state": "suspended", "submitted": 5});
    cache.apply_item("pub/job/wk-1", Version(4), &later);
    cache.apply_item("pub/seat", Version(4), &serde_json::json!([]));
    assert_eq!(cache.unreadable_records(), 2);
    assert_eq!(
        cache.job(&id(1)).map(|known| known.version),
        Some(Version(3))
    );
    assert!(cache.leader().is_none());
}

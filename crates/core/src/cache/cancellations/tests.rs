use super::*;
use rudderreel_wire::job::JobSpec;

fn spec(n: u32) -> JobSpec {
    let job = crate::testing::job(n, "sweep", "red", "normal");
    (*job.spec).clone()
}

fn id(n: u32) -> JobId {
    spec(n).id
}

fn cancelled(n: u32) -> JobRecord {
    let mut record = JobRecord::queued(&spec(n), Wall(5));
    record.state = JobState::Cancelled;
    record.cancelled = Some(Wall(9));
    record
}

/// Jobs that one transaction cancels have the same version, and all of them are sent to a node that lacks them. Guards
/// against sending only the last one to a node which then counts everything up to the revision as known.
#[test]
fn all_cancellations_of_one_revision_are_included() {
    let mut cache = JobCache::default();
    for n in 1..=3 {
        cache.update_job(id(n), Version(7), cancelled(n));
    }
    cache.update_job(id(4), Version(9), cancelled(4));
    let later = cache.cancelled_after(Version(6), 100);
    let jobs: Vec<&str> = later.jobs.iter().map(|c| c.job.as_str()).collect();
    assert_eq!(jobs, ["wk-1", "wk-2", "wk-3", "wk-4"]);
    assert_eq!(later.cut_after, None);
}

/// Cancellations that do not fit into one message are cut between revisions, never inside one: the node that receives
/// them counts everything up to a revision as known.
#[test]
fn cancellations_are_cut_between_revisions() {
    let mut cache = JobCache::default();
    for n in 1..=6 {
        cache.update_job(id(n), Version(10 + u64::from(n.div_ceil(2))), cancelled(n));
    }
    let later = cache.cancelled_after(Version(0), 3);
    assert_eq!((later.jobs.len(), later.cut_after), (2, Some(Version(11))));
    let rest = cache.cancelled_after(Version(11), 4);
    assert_eq!((rest.jobs.len(), rest.cut_after), (4, None));
    // The cancellations of one revision are never split, however many there are.
    let later = cache.cancelled_after(Version(0), 1);
    assert_eq!((later.jobs.len(), later.cut_after), (2, Some(Version(11))));
}

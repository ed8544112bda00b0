use super::*;
use crate::io::{ReqId, RequestOrigin, UserRequest};
use crate::store::records::JobRecord;
use crate::testing::{job, NOW};
use rudderreel_wire::job::{JobSpec, JobState};

const BUDGET: ConfirmationBudget = ConfirmationBudget {
    calls_per_s: 100.0,
    max_conditions: 2,
};

fn id(n: u32) -> JobId {
    job(n, "sweep", "red", "normal").spec.id.clone()
}

fn status_of(n: u32) -> PendingRequest {
    let request = UserRequest::Status(id(n));
    PendingRequest::new(ReqId(n.into()), request, RequestOrigin::Direct, NOW.time)
}

/// Returns a cache that holds unfinished jobs at version 5, each with its dependencies.
fn cache_of(jobs: &[(u32, &[u32])]) -> JobCache {
    let mut cache = JobCache::default();
    for (n, dependencies) in jobs {
        let mut spec = JobSpec::clone(&job(*n, "sweep", "red", "normal").spec);
        spec.dependencies = dependencies.iter().map(|n| id(*n)).collect();
        let record = JobRecord::queued(&spec, NOW.wall);
        cache.update_job(spec.id.clone(), Version(5), record);
    }
    cache
}

fn finish(cache: &mut JobCache, n: u32, state: JobState) {
    let mut record = cache.job(&id(n)).expect("a job").record.clone();
    record.state = state;
    cache.update_job(id(n), Version(6), record);
}

fn queue_of(reads: &[u32]) -> ConfirmationQueue {
    let mut queue = ConfirmationQueue::default();
    for n in reads {
        let pushed = queue.push(status_of(*n), BUDGET, NOW.time);
        pushed.expect("room in the queue");
    }
    queue
}

/// Returns the fresh versions of a batch of one read, after its versions were compared.
fn confirmed(cache: &JobCache, n: u32, failed_keys: &[String]) -> FreshVersions {
    let next = queue_of(&[n]).next_batch(cache, 8, NOW.time);
    let mut batch = next.batch.expect("a batch");
    batch.next_conditions(8);
    match batch.transaction_ended(failed_keys) {
        BatchProgress::Finished { fresh, .. } => fresh,
        BatchProgress::Unfinished(_) => panic!("all versions fit into one transaction"),
    }
}

#[test]
fn reads_are_collected_before_a_round_and_rounds_are_paced() {
    let mut queue = queue_of(&[1]);
    let collected = NOW.time + COLLECTION_TIME;
    assert!(!queue.begin_round(BUDGET, NOW.time));
    assert!(queue.begin_round(BUDGET, collected));
    queue.end_round(collected);
    // At 30 rounds per second the interval between rounds is longer than the collection time.
    let next_round = collected + Span::secs(1.0 / 30.0);
    assert!(!queue.begin_round(BUDGET, collected + COLLECTION_TIME));
    assert!(queue.begin_round(BUDGET, next_round));
}

#[test]
fn a_batch_holds_the_reads_that_fit_into_a_transaction_and_the_rest_waits() {
    let cache = cache_of(&[(1, &[]), (2, &[3]), (3, &[])]);
    let mut queue = queue_of(&[1, 2]);
    let first = queue.next_batch(&cache, 2, NOW.time);
    assert_eq!(first.batch.expect("a batch").versions.len(), 1);
    let second = queue.next_batch(&cache, 2, NOW.time);
    assert_eq!(second.batch.expect("a batch").versions.len(), 2);
}

#[test]
fn a_set_larger_than_a_transaction_is_compared_in_several() {
    let cache = cache_of(&[(1, &[2, 3]), (2, &[]), (3, &[])]);
    let next = queue_of(&[1]).next_batch(&cache, 2, NOW.time);
    let mut batch = next.batch.expect("a batch");
    assert_eq!(batch.next_conditions(2).len(), 2);
    let BatchProgress::Unfinished(mut batch) = batch.transaction_ended(&[]) else {
        panic!("one version has yet to be compared");
    };
    assert_eq!(batch.next_conditions(2).len(), 1);
    let progress = batch.transaction_ended(&[]);
    assert!(matches!(progress, BatchProgress::Finished { reads, .. } if reads.len() == 1));
}

#[test]
fn settled_reads_need_no_transaction() {
    let mut cache = cache_of(&[(1, &[]), (2, &[]), (3, &[2])]);
    finish(&mut cache, 1, JobState::Done);
    finish(&mut cache, 2, JobState::Cancelled);
    let next = queue_of(&[1, 3]).next_batch(&cache, 8, NOW.time);
    assert!(next.batch.is_none());
    let [SettledRead::Final(read), SettledRead::CancelledBy(dependent, dependency)] =
        &next.settled[..]
    else {
        panic!("{:?}", next.settled);
    };
    assert_eq!((read.job(), dependent.job()), (&id(1), &id(3)));
    assert_eq!(dependency, &id(2));
}

#[test]
fn overdue_reads_are_not_confirmed() {
    let late = NOW.time + REQUEST_TIMEOUT + Span(1);
    let next = queue_of(&[1]).next_batch(&cache_of(&[(1, &[])]), 8, late);
    assert!(next.batch.is_none());
    assert!(matches!(next.settled[..], [SettledRead::Overdue(_)]));
}

#[test]
fn a_read_is_fresh_if_all_compared_versions_were_as_cached() {
    let cache = cache_of(&[(1, &[2]), (2, &[])]);
    let fresh = confirmed(&cache, 1, &[]);
    assert_eq!(fresh.read(&id(1), &cache), ReadResult::Fresh);
    let stale = confirmed(&cache, 1, &[job_key(&id(2))]);
    assert_eq!(stale.read(&id(1), &cache), ReadResult::Stale(id(2)));
}

#[test]
fn a_job_without_a_key_is_missing() {
    let cache = JobCache::default();
    let fresh = confirmed(&cache, 1, &[]);
    assert_eq!(fresh.read(&id(1), &cache), ReadResult::Missing);
}

#[test]
fn a_read_reflects_later_changes_of_the_cache() {
    let mut cache = cache_of(&[(1, &[2]), (2, &[])]);
    let fresh = confirmed(&cache, 1, &[]);
    finish(&mut cache, 2, JobState::Cancelled);
    assert_eq!(fresh.read(&id(1), &cache), ReadResult::CancelledBy(id(2)));
    finish(&mut cache, 1, JobState::Cancelled);
    assert_eq!(fresh.read(&id(1), &cache), ReadResult::Final);
}

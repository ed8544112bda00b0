use super::*;
use crate::store::limits::StoreLimits;
use crate::store::records::JobRecord;
use crate::testing::job;
use proptest::prelude::*;
use rudderreel_wire::job::JobSpec;
use std::collections::BTreeSet;

/// Limits that no record in these tests reaches.
const LARGE_LIMITS: StoreLimits = StoreLimits {
    max_value_bytes: 1 << 20,
    max_operations: 100,
    requests_per_s: 100.0,
    writes_per_s: 100.0,
};

fn id(n: usize) -> JobId {
    format!("wk-{n}").parse().expect("a job id")
}

/// Returns the submission of a job that names others as its dependencies.
fn spec(n: usize, needs: &[usize]) -> JobSpec {
    let mut spec = (*job(n as u32, "sweep", "red", "normal").spec).clone();
    spec.dependencies = needs.iter().map(|&d| id(d)).collect();
    spec
}

/// Reference model of the dependencies, which searches everything again for each question.
#[derive(Clone, Default)]
struct Model {
    needs: Vec<Vec<usize>>,
    done: BTreeSet<usize>,
    cancelled: BTreeSet<usize>,
}

impl Model {
    /// Returns whether a job is cancelled, by its own record or because something that it needs is.
    fn is_cancelled(&self, n: usize) -> bool {
        let needs = &self.needs[n];
        !self.done.contains(&n)
            && (self.cancelled.contains(&n) || needs.iter().any(|&d| self.is_cancelled(d)))
    }

    /// Returns everything that a job needs, directly or through others, and that is not done.
    fn unfinished(&self, n: usize) -> BTreeSet<usize> {
        let open = self.needs[n].iter().filter(|d| !self.done.contains(d));
        open.flat_map(|&d| self.unfinished(d).into_iter().chain([d]))
            .collect()
    }

    fn is_ready(&self, n: usize) -> bool {
        self.needs[n].iter().all(|d| self.done.contains(d))
    }

    /// Returns the job's record as the store holds it.
    fn record(&self, n: usize) -> JobRecord {
        let spec = spec(n, &self.needs[n]);
        let record = JobRecord::queued(&spec, Wall(n as u64));
        if self.done.contains(&n) {
            JobRecord::done(spec.tasks, Wall(n as u64), Wall(1_000 + n as u64))
        } else if self.cancelled.contains(&n) {
            record.cancelled(Wall(5), None, &LARGE_LIMITS)
        } else {
            record
        }
    }
}

/// Generates jobs, each of which names some jobs before it, and a sequence of jobs that are completed or cancelled.
fn job_histories() -> impl Strategy<Value = (Vec<Vec<usize>>, Vec<(usize, bool)>)> {
    (2usize..14).prop_flat_map(|jobs| {
        let needs: Vec<_> = (0..jobs)
            .map(|n| proptest::collection::vec(0..n.max(1), 0..=n.min(4)))
            .collect();
        let ends = proptest::collection::vec((0..jobs, any::<bool>()), 0..12);
        (needs, ends)
    })
}

fn check(job_cache: &JobCache, model: &Model) -> Result<(), TestCaseError> {
    for n in 0..model.needs.len() {
        if model.done.contains(&n) || model.cancelled.contains(&n) {
            continue;
        }
        let found = job_cache.ancestry_of(&id(n));
        prop_assert_eq!(
            found.cancelled.is_some(),
            model.is_cancelled(n),
            "job {}",
            n
        );
        if found.cancelled.is_none() {
            let unfinished: BTreeSet<JobId> = found.unfinished.into_keys().collect();
            let expected: BTreeSet<JobId> = model.unfinished(n).into_iter().map(id).collect();
            prop_assert_eq!(unfinished, expected);
        }
        let needs: Vec<JobId> = model.needs[n].iter().map(|&d| id(d)).collect();
        let readiness = job_cache.readiness(&needs);
        prop_assert_eq!(readiness.unmet.is_empty(), model.is_ready(n));
        let direct = model.needs[n].iter().any(|d| model.cancelled.contains(d));
        prop_assert_eq!(
            job_cache.graph().awaiting_cascade().any(|j| *j == id(n)),
            direct
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Once the cache has received all records, it agrees with the reference model, whatever the history and the order
    /// in which the records were received.
    #[test]
    fn the_cache_agrees_with_the_reference_model((needs, ends) in job_histories(), order in any::<u64>()) {
        let jobs = needs.len();
        let mut needs = needs;
        needs[0].clear();
        let mut model = Model { needs, ..Model::default() };
        let mut job_cache = JobCache::default();
        // The records are received in an order other than that of the jobs.
        for k in 0..jobs {
            let n = (k * 7 + order as usize % jobs) % jobs;
            if !job_cache.contains_job(&id(n)) {
                job_cache.update_job(id(n), Version(1), model.record(n));
            }
        }
        for n in 0..jobs {
            job_cache.update_job(id(n), Version(1), model.record(n));
        }
        check(&job_cache, &model)?;
        for (step, (n, cancel)) in ends.into_iter().enumerate() {
            if model.done.contains(&n) || model.cancelled.contains(&n) {
                continue;
            }
            if cancel {
                model.cancelled.insert(n);
            } else if model.is_ready(n) {
                model.done.insert(n);
            } else {
                continue;
            }
            job_cache.update_job(id(n), Version(2 + step as u64), model.record(n));
            check(&job_cache, &model)?;
        }
    }
}

/// An unknown job may be in any state. It counts as unfinished with version 0, that of a missing key, so that a commit
/// conditional on this version fails if the job exists.
#[test]
fn an_unknown_dependency_counts_as_unfinished() {
    let mut job_cache = JobCache::default();
    job_cache.update_job(
        id(2),
        Version(4),
        JobRecord::queued(&spec(2, &[1]), Wall(0)),
    );
    let found = job_cache.ancestry_of(&id(2));
    assert_eq!(found.unfinished, BTreeMap::from([(id(1), Version(0))]));
    assert_eq!(job_cache.readiness(&[id(1)]).unmet, BTreeSet::from([id(1)]));
}

/// A peer may report a cancellation before the watch does, and without the submission.
#[test]
fn dependents_of_a_job_that_a_peer_says_is_cancelled_await_the_cascade() {
    let mut job_cache = JobCache::default();
    job_cache.update_job(id(1), Version(3), JobRecord::queued(&spec(1, &[]), Wall(0)));
    job_cache.update_job(
        id(2),
        Version(4),
        JobRecord::queued(&spec(2, &[1]), Wall(0)),
    );
    job_cache.update_cancelled(&rudderreel_wire::peer::CancelledJob {
        job: id(1).to_string(),
        version: Version(9),
        cancelled_ms: 7,
        submitted_ms: 0,
        tasks: 4,
    });
    assert_eq!(job_cache.ancestry_of(&id(2)).cancelled, Some(id(1)));
    assert_eq!(
        job_cache.graph().awaiting_cascade().collect::<Vec<_>>(),
        vec![&id(2)]
    );
}

/// A chain of a thousand jobs and a job with a thousand dependencies are searched without visiting a job twice.
#[test]
fn long_chains_and_wide_fans_are_followed_once() {
    let mut job_cache = JobCache::default();
    for n in 0..1_000 {
        let needs: Vec<usize> = (n > 0).then(|| n - 1).into_iter().collect();
        job_cache.update_job(
            id(n),
            Version(1),
            JobRecord::queued(&spec(n, &needs), Wall(0)),
        );
    }
    let all: Vec<usize> = (0..1_000).collect();
    job_cache.update_job(
        id(1_000),
        Version(1),
        JobRecord::queued(&spec(1_000, &all), Wall(0)),
    );
    assert_eq!(job_cache.ancestry_of(&id(999)).unfinished.len(), 999);
    assert_eq!(job_cache.ancestry_of(&id(1_000)).unfinished.len(), 1_000);
}

fn queued(n: usize, needs: &[usize]) -> JobRecord {
    JobRecord::queued(&spec(n, needs), Wall(0))
}

#[test]
fn a_job_that_is_done_is_no_dependent_any_more() {
    let mut job_cache = JobCache::default();
    job_cache.update_job(id(2), Version(1), queued(2, &[1]));
    let dependents = |cache: &JobCache| cache.graph().dependents_of(&id(1)).count();
    assert_eq!(dependents(&job_cache), 1);
    job_cache.update_job(id(2), Version(2), JobRecord::done(4, Wall(0), Wall(9)));
    assert_eq!(dependents(&job_cache), 0);
}

/// The submission of a job may be received after the cancellation of a job that it names.
#[test]
fn a_job_that_names_a_cancelled_one_awaits_the_cascade_until_its_own_record_is_written() {
    let mut job_cache = JobCache::default();
    let cancelled = queued(1, &[]).cancelled(Wall(5), None, &LARGE_LIMITS);
    job_cache.update_job(id(1), Version(1), cancelled);
    let dependent = queued(2, &[1]);
    job_cache.update_job(id(2), Version(2), dependent.clone());
    let awaiting = |cache: &JobCache| cache.graph().awaiting_cascade().count();
    assert_eq!(awaiting(&job_cache), 1);
    let by_cascade = dependent.cancelled(Wall(6), Some(&id(1)), &LARGE_LIMITS);
    job_cache.update_job(id(2), Version(3), by_cascade);
    assert_eq!(awaiting(&job_cache), 0);
}

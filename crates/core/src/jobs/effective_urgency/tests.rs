use super::*;
use crate::cache::job_cache::JobCache;
use crate::leader::Leader;
use crate::store::records::JobRecord;
use crate::testing::{job_of, leader, NOW};
use rudderreel_wire::ids::Version;
use rudderreel_wire::job::{JobSpec, Priority};

fn id(n: u32) -> JobId {
    format!("wk-{n}").parse().expect("a job id")
}

fn spec(n: u32, priority: &str, needs: &[u32], due_s: Option<f64>) -> JobSpec {
    let mut spec = (*job_of(n, "sweep", "red", priority, 1, 1.0).spec).clone();
    spec.dependencies = needs.iter().map(|&d| id(d)).collect();
    spec.deadline_s = due_s;
    spec
}

/// A leader and its job cache, which receive job records in the same way as from the node.
struct Pipeline {
    leader: Leader,
    job_cache: JobCache,
}

impl Pipeline {
    fn new() -> Self {
        let (leader, job_cache) = (leader(), JobCache::default());
        Self { leader, job_cache }
    }

    fn apply_record(&mut self, n: u32, version: u64, record: JobRecord) {
        self.job_cache
            .update_job(id(n), Version(version), record.clone());
        self.leader.update_job(&id(n), Version(version), &record);
        let catalog = &self.leader.policy.catalog;
        (self.leader.jobs).refresh_dependencies(&[id(n)], &self.job_cache, catalog, NOW);
    }

    fn submit(&mut self, spec: JobSpec) {
        let n = spec.id.as_str()[3..].parse().expect("a number");
        self.apply_record(n, 1, JobRecord::queued(&spec, NOW.wall));
    }

    fn urgency(&self, n: u32) -> EffectiveUrgency {
        self.leader.jobs[&id(n)].urgency
    }
}

/// Expected time of each job: 4 s by the owner's estimate, and 5 s to fetch the image.
const EXPECTED_SPAN: Span = Span(9_000);

#[test]
fn priority_and_deadline_of_the_last_job_are_inherited() {
    let mut p = Pipeline::new();
    p.submit(spec(1, "low", &[], None));
    p.submit(spec(2, "low", &[1], None));
    p.submit(spec(3, "normal", &[1], None));
    assert_eq!(p.urgency(1).priority, Priority::Normal);
    p.submit(spec(4, "urgent", &[2, 3], Some(100.0)));
    let due = NOW.wall + Span(100_000);
    for (n, stages_after) in [(4, 0), (3, 1), (2, 1), (1, 2)] {
        assert_eq!(p.urgency(n).priority, Priority::High, "job {n}");
        let finish_by = Wall(due.0 - stages_after * EXPECTED_SPAN.0);
        assert_eq!(p.urgency(n).deadline, Some(finish_by), "job {n}");
    }
    // Whether a job can be evicted, and whether it may exceed a quota, depends on its own priority only.
    assert!(p.leader.jobs[&id(1)].is_preemptible());
}

#[test]
fn nothing_is_inherited_from_a_cancelled_job() {
    let mut p = Pipeline::new();
    p.submit(spec(1, "low", &[], None));
    p.submit(spec(2, "urgent", &[1], Some(50.0)));
    assert_eq!(p.urgency(1).priority, Priority::High);
    let record = JobRecord::queued(&spec(2, "urgent", &[1], Some(50.0)), NOW.wall);
    let limits = p.leader.store_limits;
    p.apply_record(2, 2, record.cancelled(NOW.wall, None, &limits));
    assert_eq!(p.urgency(1).priority, Priority::Low);
    assert_eq!(p.urgency(1).deadline, None);
}

#[test]
fn a_job_is_not_startable_until_all_its_dependencies_are_done() {
    let mut p = Pipeline::new();
    p.submit(spec(1, "low", &[], None));
    p.submit(spec(2, "low", &[], None));
    p.submit(spec(3, "urgent", &[1, 2], None));
    let job = |p: &Pipeline| p.leader.jobs[&id(3)].clone();
    assert!(!job(&p).is_ready());
    assert_eq!(job(&p).startable_tasks(), 0);
    p.apply_record(1, 2, JobRecord::done(1, NOW.wall, NOW.wall + Span(3_000)));
    assert!(!job(&p).is_ready());
    p.apply_record(2, 2, JobRecord::done(1, NOW.wall, NOW.wall + Span(2_000)));
    assert!(job(&p).is_ready());
    assert_eq!(job(&p).startable_tasks(), 1);
    // The waiting time begins when the last dependency is done.
    assert_eq!(job(&p).waiting_since(), NOW.wall + Span(3_000));
}

/// Guards against visiting shared ancestors once per path: the number of paths doubles with each stage of this graph.
/// The last job is submitted late, and its urgency must propagate through the whole graph in bounded time.
#[test]
fn urgency_propagates_through_shared_ancestors_in_bounded_time() {
    let mut p = Pipeline::new();
    p.submit(spec(1, "low", &[], None));
    p.submit(spec(2, "low", &[], None));
    for n in (3..600).step_by(2) {
        p.submit(spec(n, "low", &[n - 2, n - 1], None));
        p.submit(spec(n + 1, "low", &[n - 2, n - 1], None));
    }
    p.submit(spec(1_000, "urgent", &[599, 600], Some(1_000.0)));
    assert_eq!(p.urgency(1).priority, Priority::High);
}

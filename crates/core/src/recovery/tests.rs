use super::*;
use crate::testing::{job, lead, NOW};

/// A new leader tried every task of a broken array again; now the log tells it. A later page that
/// does not name the job as suspected clears it.
#[test]
fn a_new_leader_knows_suspected_jobs() {
    let mut lead = lead();
    let job = job(1, "sweep", "red", "normal");
    let id = job.spec.id.clone();
    lead.jobs.insert(id.clone(), job);
    let page = |tries: &[u32]| PageRecord {
        done: vec![(id.clone(), Vec::new())],
        suspected: tries.iter().map(|n| (id.clone(), *n)).collect(),
        ..PageRecord::default()
    };
    lead.page_back(PageId(1), page(&[4]), NOW);
    assert_eq!(lead.jobs[&id].free_tasks(), 1);
    lead.page_back(PageId(2), page(&[]), NOW);
    assert_eq!(lead.jobs[&id].free_tasks(), 4);
    lead.page_back(PageId(1), page(&[4]), NOW);
    assert!(!lead.jobs[&id].is_suspected(), "an older page says nothing");
}

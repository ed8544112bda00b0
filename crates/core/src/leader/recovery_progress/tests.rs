use super::*;
use crate::testing::running_task_report;
use rudderreel_wire::ids::{Attempt, FencingToken, JobId, Seq};

const NOW: Time = Time(1_000_000);

#[test]
fn segments_are_read_after_all_pages_of_jobs() {
    let first = RecoveryPage::first();
    assert_eq!(first.source, RecoverySource::Jobs);
    let second = first
        .following(Some("pub/job/wk-7".into()))
        .expect("a page of jobs");
    assert_eq!(second.source, RecoverySource::Jobs);
    assert_eq!(second.after.as_deref(), Some("pub/job/wk-7"));
    let third = second.following(None).expect("a page of segments");
    assert_eq!(
        (third.source, &third.after),
        (RecoverySource::Segments, &None)
    );
    assert_eq!(third.following(None), None);
}

/// In an outage each retry is a call that delays other calls.
#[test]
fn a_page_that_was_not_read_is_requested_once_after_the_retry_interval() {
    let mut progress = RecoveryProgress::default();
    progress.retry_later(RecoveryPage::first(), NOW);
    let due = NOW + PAGE_RETRY_INTERVAL;
    assert_eq!(progress.take_due_retry(NOW), None);
    assert_eq!(progress.take_due_retry(due), Some(RecoveryPage::first()));
    assert_eq!(progress.take_due_retry(due), None);
}

#[test]
fn the_newest_report_of_a_machine_is_held_until_all_state_is_read() {
    let job: JobId = "wk-1".parse().expect("an id");
    let report = |seq: u64| {
        let machine = MachineId::from("vm-1");
        running_task_report(
            &machine,
            FencingToken(1),
            Seq(seq),
            &job.task(0),
            Attempt(1),
        )
    };
    let mut progress = RecoveryProgress::default();
    for seq in [1, 3, 2] {
        progress.hold_report(&report(seq));
    }
    assert!(!progress.is_complete());
    let held: Vec<Seq> = progress.complete().iter().map(|r| r.seq).collect();
    assert_eq!(held, [Seq(3)]);
    assert!(progress.is_complete());
}

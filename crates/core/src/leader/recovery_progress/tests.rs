use super::*;

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

/// In an outage each retry is a call that would keep others waiting.
#[test]
fn a_page_that_was_not_read_is_asked_for_once_after_the_retry_interval() {
    let mut progress = RecoveryProgress::default();
    progress.retry_later(RecoveryPage::first(), NOW);
    let due = NOW + PAGE_RETRY_INTERVAL;
    assert_eq!(progress.take_due_retry(NOW), None);
    assert_eq!(progress.take_due_retry(due), Some(RecoveryPage::first()));
    assert_eq!(progress.take_due_retry(due), None);
}

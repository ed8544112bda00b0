use super::*;
use crate::testing::{job, leader, NOW};

/// A done job that has no placements left is stored without its submission.
#[test]
fn a_job_that_is_done_is_stored_without_its_submission() {
    let array = job(1, "sweep", "red", "normal");
    assert_eq!(
        completed_record(&array, &leader().store_limits, NOW).spec,
        None
    );
}

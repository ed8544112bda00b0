use super::*;
use crate::io::{Output, ReqId, RequestOrigin, UserRequest};
use crate::testing::{settings, NOW};
use rudderreel_wire::settings::StateLimits;

/// Returns how many of `reads` status requests that arrive at once are refused, given the limits of the store.
fn refused(reads: u64, rps: f64, txn_ops: usize) -> usize {
    let mut settings = settings();
    settings.params.state = StateLimits {
        rps,
        txn_ops,
        ..settings.params.state
    };
    let mut node = Node::new(settings);
    for n in 0..reads {
        let id = format!("wk-{n:06}").parse().expect("an id");
        let read = PendingRequest::new(
            ReqId(n),
            UserRequest::Status(id),
            RequestOrigin::Direct,
            NOW.time,
        );
        node.queue_confirmation(read, NOW);
    }
    let refusal = |output: &Output| matches!(output, Output::Answer { status: 503, .. });
    node.out.iter().filter(|output| refusal(output)).count()
}

/// Two thousand reads could wait, however many the store allowed to be confirmed in time. When the status of all jobs
/// of a fleet of 4,000 was requested at once, the same requests were refused every time, and their jobs were counted as
/// forgotten.
#[test]
fn as_many_reads_are_queued_as_can_be_confirmed_in_time() {
    for reads in [4_000, 6_000] {
        assert_eq!(refused(reads, 600.0, 20), 0);
    }
    // Where few reads can be confirmed in time, the rest are refused at once.
    assert_eq!(refused(6_000, 20.0, 20), 4_000);
}

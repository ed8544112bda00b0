use super::*;
use crate::io::{Output, ReqId, RequestOrigin, UserRequest};
use crate::testing::{settings, NOW};
use rudderreel_wire::settings::StateLimits;

/// How many of some questions that come at once are refused, with limits of the state service.
fn refused(questions: u64, rps: f64, txn_ops: usize) -> usize {
    let mut settings = settings();
    settings.params.state = StateLimits {
        rps,
        txn_ops,
        ..settings.params.state
    };
    let mut node = Node::new(settings);
    for n in 0..questions {
        let id = format!("wk-{n:06}").parse().expect("an id");
        let waiting = PendingRequest::new(
            ReqId(n),
            UserRequest::Status(id),
            RequestOrigin::Direct,
            NOW.time,
        );
        node.queue_confirmation(waiting, NOW);
    }
    let refusal = |output: &Output| matches!(output, Output::Answer { status: 503, .. });
    node.out.iter().filter(|output| refusal(output)).count()
}

/// Two thousand questions might wait, however many the state service lets be confirmed in their time. When
/// the jobs of a fleet of 4,000 were all asked about at once, always the same ones were refused, and
/// counted as forgotten.
#[test]
fn as_many_questions_wait_as_can_be_confirmed_in_time() {
    for questions in [4_000, 6_000] {
        assert_eq!(refused(questions, 600.0, 20), 0);
    }
    // Where few can be confirmed the rest is told so at once.
    assert_eq!(refused(6_000, 20.0, 20), 4_000);
}

use super::*;
use rudderreel_core::{ReqId, UserRequest};

fn user(n: u64) -> Input {
    let id = "wk-000001".parse().expect("an id");
    Input::User(ReqId(n), UserRequest::Status(id))
}

fn batch(n: u64) -> Input {
    let reports = Vec::new();
    Input::ForwardedReports(
        ReqId(n),
        rudderreel_wire::peer::ForwardedReports { reports },
    )
}

/// Heartbeats and answers of the state service shared a queue with users' requests: a storm of those
/// held them up, and peers were told 503.
#[test]
fn control_inputs_pass_a_storm_of_users_and_reports() {
    let (queues, mut inputs) = queues(2_000);
    let users = (0..).take_while(|n| queues.offer(user(*n)).is_ok()).count();
    assert_eq!(users, USER_QUEUE, "users have a queue of their own");
    let reports = (0..)
        .take_while(|n| queues.offer(batch(*n)).is_ok())
        .count();
    assert_eq!(reports, 2_000, "reports too");
    for n in 0..100 {
        assert_eq!(queues.offer(Input::Health(ReqId(n))), Ok(()));
    }
    let taken: Vec<Queue> = (0..200)
        .map(|_| Queue::of(&inputs.next(Duration::ZERO).expect("an input").input))
        .collect();
    let count = |queue: Queue| taken.iter().filter(|q| **q == queue).count();
    assert_eq!(count(Queue::Control), 100);
    // Neither users nor reports wait for the other.
    assert!(
        count(Queue::Users) >= 40 && count(Queue::Reports) >= 40,
        "{taken:?}"
    );
}

#[test]
fn an_input_is_taken_from_any_queue() {
    let (queues, mut inputs) = queues(4);
    assert!(inputs.next(Duration::ZERO).is_none());
    for input in [user(1), batch(2), Input::Tick] {
        assert_eq!(queues.offer(input), Ok(()));
        assert!(inputs.next(Duration::ZERO).is_some());
    }
    assert!(inputs.next(Duration::ZERO).is_none());
}

fn arrived(input: Input, waited_ms: u64) -> Arrived {
    Arrived {
        input,
        waited: Duration::from_millis(waited_ms),
    }
}

/// A leader that was behind worked through batches and reports whose senders had long asked again, and so fell
/// further behind, until leases ran out.
#[test]
fn what_nobody_waits_for_any_more_is_not_worked_on() {
    assert_eq!(
        arrived(batch(7), BATCH_TIMEOUT.as_millis() as u64 + 1).given_up(),
        Some(ReqId(7))
    );
    assert_eq!(
        arrived(batch(7), BATCH_TIMEOUT.as_millis() as u64).given_up(),
        None
    );
    assert_eq!(arrived(user(8), 2_001).given_up(), Some(ReqId(8)));
    assert_eq!(arrived(user(8), 1_999).given_up(), None);
    // What keeps a rule is dealt with however late it is.
    for input in [Input::Health(ReqId(9)), Input::WatchLost, Input::Tick] {
        assert_eq!(arrived(input, 60_000).given_up(), None);
    }
    let id = "wk-000001".parse().expect("an id");
    let withdrawal = Input::User(ReqId(1), UserRequest::Cancel(id));
    assert_eq!(arrived(withdrawal, 60_000).given_up(), None);
}

/// How long an input has waited is told with it.
#[test]
fn the_wait_of_an_input_is_measured() {
    let (queues, mut inputs) = queues(4);
    assert_eq!(queues.offer(batch(1)), Ok(()));
    std::thread::sleep(Duration::from_millis(30));
    let arrived = inputs.next(Duration::ZERO).expect("an input");
    assert!(arrived.waited >= Duration::from_millis(30));
}

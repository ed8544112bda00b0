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

/// In a queue shared with users' requests, a burst of those would delay heartbeats and answers of the store, and peers
/// would get a 503.
#[test]
fn control_inputs_overtake_queued_user_requests_and_reports() {
    let (queues, mut inputs) = queues(2_000);
    let users = (0..).take_while(|n| queues.offer(user(*n)).is_ok()).count();
    assert_eq!(
        users, USER_QUEUE_CAPACITY,
        "users' requests have a queue of their own"
    );
    let reports = (0..)
        .take_while(|n| queues.offer(batch(*n)).is_ok())
        .count();
    assert_eq!(reports, 2_000, "status reports have a queue of their own");
    for n in 0..100 {
        assert_eq!(queues.offer(Input::Health(ReqId(n))), Ok(()));
    }
    let taken: Vec<Queue> = (0..200)
        .map(|_| Queue::of(&inputs.next(Duration::ZERO).expect("an input").input))
        .collect();
    let count = |queue: Queue| taken.iter().filter(|q| **q == queue).count();
    assert_eq!(count(Queue::Control), 100);
    // Neither users' requests nor status reports wait until the other queue is empty.
    assert!(
        count(Queue::Users) >= 40 && count(Queue::Reports) >= 40,
        "{taken:?}"
    );
}

#[test]
fn inputs_are_taken_from_every_queue() {
    let (queues, mut inputs) = queues(4);
    assert!(inputs.next(Duration::ZERO).is_none());
    for input in [user(1), batch(2), Input::Tick] {
        assert_eq!(queues.offer(input), Ok(()));
        assert!(inputs.next(Duration::ZERO).is_some());
    }
    assert!(inputs.next(Duration::ZERO).is_none());
}

fn received(input: Input, waited_ms: u64) -> ReceivedInput {
    ReceivedInput {
        input,
        waited: Duration::from_millis(waited_ms),
    }
}

/// A leader that was behind answered batches and reports whose senders had long repeated them, and so fell further
/// behind, until leases expired.
#[test]
fn requests_whose_sender_has_timed_out_expire() {
    assert_eq!(
        received(batch(7), BATCH_TIMEOUT.as_millis() as u64 + 1).expired_request(),
        Some(ReqId(7))
    );
    assert_eq!(
        received(batch(7), BATCH_TIMEOUT.as_millis() as u64).expired_request(),
        None
    );
    assert_eq!(received(user(8), 2_001).expired_request(), Some(ReqId(8)));
    assert_eq!(received(user(8), 1_999).expired_request(), None);
    // Inputs on which correctness depends never expire.
    for input in [Input::Health(ReqId(9)), Input::WatchLost, Input::Tick] {
        assert_eq!(received(input, 60_000).expired_request(), None);
    }
    let id = "wk-000001".parse().expect("an id");
    let cancellation = Input::User(ReqId(1), UserRequest::Cancel(id));
    assert_eq!(received(cancellation, 60_000).expired_request(), None);
}

/// An input is returned with the time that it has waited.
#[test]
fn the_queue_time_of_an_input_is_measured() {
    let (queues, mut inputs) = queues(4);
    assert_eq!(queues.offer(batch(1)), Ok(()));
    std::thread::sleep(Duration::from_millis(30));
    let received = inputs.next(Duration::ZERO).expect("an input");
    assert!(received.waited >= Duration::from_millis(30));
}

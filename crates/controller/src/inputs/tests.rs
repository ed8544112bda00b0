use super::*;
use rudderreel_core::{ReqId, UserRequest};

fn user(n: u64) -> Input {
    let id = "wk-000001".parse().expect("an id");
    Input::User(ReqId(n), UserRequest::Status(id))
}

fn batch(n: u64) -> Input {
    let reports = Vec::new();
    Input::Reports(ReqId(n), rudderreel_wire::peer::Reports { reports })
}

/// Heartbeats and answers of the state service shared a queue with users' requests: a storm of those
/// held them up, and peers were told 503.
#[test]
fn control_inputs_pass_a_storm_of_users_and_reports() {
    let (queues, mut inputs) = queues(2_000);
    let users = (0..).take_while(|n| queues.offer(user(*n)).is_ok()).count();
    assert_eq!(users, USERS, "users have a queue of their own");
    let reports = (0..)
        .take_while(|n| queues.offer(batch(*n)).is_ok())
        .count();
    assert_eq!(reports, 2_000, "reports too");
    for n in 0..100 {
        assert_eq!(queues.offer(Input::Health(ReqId(n))), Ok(()));
    }
    let taken: Vec<Queue> = (0..200)
        .map(|_| Queue::of(&inputs.next(Duration::ZERO).expect("an input")))
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

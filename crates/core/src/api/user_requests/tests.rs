use super::*;
use crate::testing::NOW;

fn job_id() -> JobId {
    "wk-000001".parse().expect("an id")
}

fn status_request(origin: RequestOrigin) -> PendingRequest {
    PendingRequest::new(ReqId(1), UserRequest::Status(job_id()), origin, NOW.time)
}

#[test]
fn a_request_is_forwarded_once_and_only_while_a_peer_has_time_for_it() {
    let direct = status_request(RequestOrigin::Direct);
    assert!(direct.may_be_forwarded(NOW.time + Span(999)));
    assert!(!direct.may_be_forwarded(NOW.time + Span(1_000)));
    let from_peer = status_request(RequestOrigin::Peer);
    assert!(!from_peer.may_be_forwarded(NOW.time));
}

#[test]
fn attempts_of_a_request_are_limited() {
    let mut request = status_request(RequestOrigin::Direct);
    for _ in 0..MAX_ATTEMPTS {
        assert!(request.begin_attempt());
    }
    assert!(!request.begin_attempt());
}

#[test]
fn a_request_is_overdue_after_its_timeout() {
    let request = status_request(RequestOrigin::Direct);
    assert!(!request.is_overdue(NOW.time + REQUEST_TIMEOUT));
    assert!(request.is_overdue(NOW.time + REQUEST_TIMEOUT + Span(1)));
}

/// An answer that is delayed beyond this finds nobody who waits for it.
#[test]
fn an_answer_may_be_delayed_only_while_the_requester_waits() {
    let cancellation = |origin| {
        let request = UserRequest::Cancel(job_id());
        PendingRequest::new(ReqId(1), request, origin, NOW.time)
    };
    let awaited_for = [
        (cancellation(RequestOrigin::Direct), 4_700),
        (status_request(RequestOrigin::Direct), 1_700),
        (cancellation(RequestOrigin::Peer), 300),
        (status_request(RequestOrigin::Peer), 300),
    ];
    for (request, ms) in awaited_for {
        assert!(request.is_awaited(NOW.time + Span(ms - 1)), "{request:?}");
        assert!(!request.is_awaited(NOW.time + Span(ms)), "{request:?}");
    }
}

#[test]
fn open_calls_are_limited_by_what_the_store_admits_within_the_timeout() {
    let mut requests = UserRequests::default();
    for _ in 0..MIN_CALL_LIMIT {
        assert!(requests.has_room(1.0));
        requests.call_begun();
    }
    assert!(!requests.has_room(1.0));
    assert!(requests.has_room(1_000.0));
    requests.call_ended();
    assert!(requests.has_room(1.0));
}

#[test]
fn only_the_first_answer_to_a_forwarded_request_counts() {
    let mut requests = UserRequests::default();
    requests.forward_begun(ReqId(1));
    requests.forward_begun(ReqId(2));
    assert!(requests.forward_ended(ReqId(1)));
    assert!(!requests.forward_ended(ReqId(1)));
    assert!(requests.forward_ended(ReqId(2)));
    assert!(!requests.forward_ended(ReqId(3)));
}

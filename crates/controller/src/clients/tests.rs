use super::cloud::is_no_capacity_error;
use super::http_client::{http_client, CallLimits};
use super::store::{call_store, store_answer};
use super::*;
use crate::http::{Response, Server, ServerLimits, ServerNumber};
use rudderreel_core::{StoreAnswer, StoreCall};
use rudderreel_wire::ids::Version;
use rudderreel_wire::state::Transaction;
use std::sync::Arc;
use std::time::Duration;

/// A response that cannot be parsed leaves the outcome unknown: the call may have been carried out.
#[test]
fn unreadable_responses_have_an_unknown_outcome() {
    let transaction = Transaction {
        conditions: Vec::new(),
        changes: Vec::new(),
    };
    let calls = [
        StoreCall::Get("pub/job/wk-1".into()),
        StoreCall::List("pub/".into(), None),
        StoreCall::Commit(transaction),
        StoreCall::AcquireLease(3_000),
        StoreCall::Changes("pub/".into(), Version(3)),
    ];
    for call in &calls {
        for body in [&b""[..], b"{", b"[]", b"{\"entries\":7}", &[0xff, 0xfe]] {
            let answer = store_answer(call, 200, body);
            assert!(matches!(answer, StoreAnswer::Unknown), "{call:?} {body:?}");
        }
        // These statuses mean that the call was not executed, whatever the body says.
        for status in [429, 503] {
            assert!(matches!(
                store_answer(call, status, b"x"),
                StoreAnswer::Refused
            ));
        }
    }
    // A lease that has ended is distinguished from a transaction that is too large.
    let ended = store_answer(&calls[2], 400, b"{\"error\":\"no such lease\"}");
    assert!(matches!(ended, StoreAnswer::NoSuchLease));
    let large = store_answer(&calls[2], 400, b"{\"error\":\"value too large\"}");
    assert!(matches!(large, StoreAnswer::Rejected));
    // The store no longer keeps the changes after the revision.
    let changes = calls.last().expect("a call");
    let too_old = store_answer(changes, 410, b"{}");
    assert!(matches!(too_old, StoreAnswer::Refused));
    let conflict = store_answer(&calls[2], 409, b"<html>");
    assert!(matches!(conflict, StoreAnswer::Unknown));
    assert!(
        !is_no_capacity_error(b"no capacity")
            && is_no_capacity_error(b"{\"error\":\"no capacity\"}")
    );
}

/// A page above the size limit must not be requested again with the same size, which would fail forever.
#[test]
fn a_page_above_the_size_limit_is_read_in_smaller_pages() {
    let limits = ServerLimits {
        connections: 16,
        agent_connections: 0,
        body_bytes: 100,
        buffered_bytes: 10_000,
    };
    let any = "127.0.0.1:0".parse().expect("an address");
    let (server, _) =
        Server::listen(any, ServerNumber(0), limits, Arc::default()).expect("a listening server");
    let addr = server.addr().expect("an address");
    std::thread::spawn(move || {
        server.serve(|_, request| {
            let long = !request.url.ends_with("most=20");
            let filler = " ".repeat(if long { MAX_RESPONSE_BYTES as usize } else { 0 });
            let text = format!("{{\"entries\":[],\"hasNext\":true,\"logline\":7{filler}}}");
            Some(Response::json(200, text.into_bytes()))
        });
    });
    let limits = CallLimits::new(Duration::from_secs(2), Duration::from_secs(20));
    let client = http_client(limits);
    let call = StoreCall::List("pub/".into(), None);
    match call_store(&client, addr, &call) {
        StoreAnswer::Page(page) => assert!(page.more && page.revision == Version(7)),
        other => panic!("{other:?}"),
    }
}

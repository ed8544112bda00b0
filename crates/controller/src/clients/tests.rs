use super::*;
use rudderreel_wire::state::Transaction;

/// An answer that can't be read says nothing: the call may have been carried out.
#[test]
fn garbled_answers_are_no_answers() {
    let transaction = Transaction {
        conditions: Vec::new(),
        changes: Vec::new(),
    };
    let calls = [
        StateCall::Get("pub/job/wk-1".into()),
        StateCall::List("pub/".into(), None),
        StateCall::Commit(transaction),
        StateCall::NewLease(3_000),
    ];
    for call in &calls {
        for body in [&b""[..], b"{", b"[]", b"{\"entries\":7}", &[0xff, 0xfe]] {
            let answer = state_answer(call, 200, body);
            assert!(matches!(answer, StateAnswer::Unknown), "{call:?} {body:?}");
        }
        // Not executed, whatever the body says.
        for status in [429, 503] {
            assert!(matches!(
                state_answer(call, status, b"x"),
                StateAnswer::Refused
            ));
        }
    }
    // A lease that has ended is told from a transaction that is too large.
    let ended = state_answer(&calls[2], 400, b"{\"error\":\"no such lease\"}");
    assert!(matches!(ended, StateAnswer::NoSuchLease));
    let large = state_answer(&calls[2], 400, b"{\"error\":\"value too large\"}");
    assert!(matches!(large, StateAnswer::Rejected));
    let conflict = state_answer(&calls[2], 409, b"<html>");
    assert!(matches!(conflict, StateAnswer::Unknown));
    assert!(!is_full(b"no capacity") && is_full(b"{\"error\":\"no capacity\"}"));
}

use super::*;
use rudderreel_wire::ids::{Epoch, Incarnation};
use std::io::ErrorKind;
use std::net::TcpListener;

const NOW: Time = Time(1_000_000);

/// Without the deadline, a process that had been paused sent start commands that the core had decided on a minute
/// earlier.
#[test]
fn an_expired_call_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a mode");
    let call = AgentCall {
        machine: "vm-1".into(),
        addr: listener.local_addr().expect("an address").to_string(),
        commands: DirectCommands {
            token: Epoch(1),
            incarnation: Incarnation(1),
            commands: Vec::new(),
        },
        send_until: Some(NOW),
    };
    let client = http_client(CallLimits::new(CONNECT_TIMEOUT, CALL_TIMEOUT));
    let Input::Direct { outcome, .. } = call.execute(&client, NOW) else {
        panic!("the outcome of a direct call is expected");
    };
    assert!(matches!(outcome, DirectOutcome::NotCalled));
    let error = listener.accept().expect_err("no connection");
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
}

use super::*;
use rudderreel_core::units::Span;
use rudderreel_wire::ids::{Attempt, FencingToken, Incarnation, JobId};
use rudderreel_wire::worker::Command;
use std::io::ErrorKind;
use std::net::TcpListener;

const NOW: Time = Time(1_000_000);

/// An address at which calls arrive.
struct Destination(TcpListener);

impl Destination {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a mode");
        Self(listener)
    }

    /// Returns a call that starts a task of a job.
    fn call(&self, job: &JobId, send_until: Time) -> AgentCall {
        let start = Command::Start {
            task: job.task(0),
            attempt: Attempt(1),
        };
        AgentCall {
            machine: "vm-1".into(),
            addr: self.0.local_addr().expect("an address").to_string(),
            commands: DirectCommands {
                token: FencingToken(1),
                incarnation: Incarnation(1),
                commands: vec![start],
            },
            send_until: Some(send_until),
        }
    }

    /// Returns whether a call has arrived.
    fn is_called(&self) -> bool {
        match self.0.accept() {
            Ok(_) => true,
            Err(error) => {
                assert_eq!(error.kind(), ErrorKind::WouldBlock);
                false
            }
        }
    }
}

fn job(n: u32) -> JobId {
    format!("wk-{n:06}").parse().expect("an id")
}

/// Executes a call that was queued when starts had been revoked `queued_at` times, and returns whether it was made.
fn is_made(call: AgentCall, revoked: &RevokedStarts, queued_at: RevocationCount) -> bool {
    let client = http_client(CallLimits::new(CONNECT_TIMEOUT, Duration::from_millis(50)));
    let Input::Direct { outcome, .. } = call.execute(&client, revoked, queued_at, NOW) else {
        panic!("the outcome of a direct call is expected");
    };
    !matches!(outcome, DirectOutcome::NotCalled)
}

/// Without the deadline, a process that had been paused sent start commands that the core had decided on a minute
/// earlier.
#[test]
fn an_expired_call_is_not_sent() {
    let destination = Destination::new();
    let revoked = RevokedStarts::default();
    let call = destination.call(&job(1), NOW);
    assert!(!is_made(call, &revoked, revoked.count()));
    assert!(!destination.is_called());
}

/// A start that waited for a thread used to be sent after this node had acknowledged that the job is cancelled.
#[test]
fn a_call_whose_starts_were_revoked_while_it_waited_is_not_sent() {
    let destination = Destination::new();
    let call = |n: u32| destination.call(&job(n), NOW + Span(1_000));
    let revoked = RevokedStarts::default();
    let queued_at = revoked.count();
    revoked.revoke(StartRevocation::OfJob(job(1)), NOW);
    assert!(!is_made(call(1), &revoked, queued_at));
    assert!(!destination.is_called());
    assert!(is_made(call(2), &revoked, queued_at));
    assert!(destination.is_called());
    // A node that leads again sends the calls that it decides on afterwards.
    revoked.revoke(StartRevocation::All, NOW);
    assert!(!is_made(call(2), &revoked, queued_at));
    assert!(!destination.is_called());
    assert!(is_made(call(2), &revoked, revoked.count()));
}

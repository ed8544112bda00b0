use super::revoked_starts::RevokedStarts;
use super::*;
use crossbeam_channel::bounded;
use rudderreel_core::{CallId, CloudAnswer, CloudCall, DirectOutcome, StoreAnswer, StoreCall};
use rudderreel_wire::ids::{FencingToken, Incarnation, Version};
use rudderreel_wire::peer::{Forward, ForwardedReports, ReplicateCancellations};
use rudderreel_wire::worker::DirectCommands;

/// Creates queues without capacity.
fn full_queues() -> Outgoing {
    Outgoing {
        open_requests: OpenRequests::default(),
        store: StoreQueues {
            calls: bounded(0).0,
            leases: bounded(0).0,
        },
        watch: WatchQueue(bounded(0).0),
        cloud: CloudQueue(bounded(0).0),
        agents: AgentQueues {
            commands: bounded(0).0,
            probes: bounded(0).0,
            revoked: RevokedStarts::default(),
        },
        peers: PeerQueues::default(),
    }
}

/// If a call that finds its queue full were dropped without an answer, the core would wait for it forever and never
/// call that machine again.
#[test]
fn a_call_that_finds_its_queue_full_is_answered() {
    let (outgoing, now, id) = (full_queues(), Time(1), CallId(7));
    let body = DirectCommands {
        token: FencingToken(1),
        incarnation: Incarnation(1),
        commands: Vec::new(),
    };
    let direct = Output::Direct {
        machine: "vm-1".into(),
        addr: "10.0.0.1:1".into(),
        body,
        send_until: None,
    };
    let reports = ForwardedReports {
        reports: Vec::new(),
    };
    let replication = ReplicateCancellations {
        from: "n0".into(),
        cancellation_watermark: Version(1),
        cancelled: Vec::new(),
    };
    let answers: Vec<Option<Input>> = [
        Output::Store(id, StoreCall::Get("epoch".into())),
        Output::Store(id, StoreCall::AcquireLease(3_000)),
        Output::Watch(Version(3)),
        Output::Cloud(id, CloudCall::Catalog),
        direct,
        Output::ForwardReports {
            peer: "n1".into(),
            call: id,
            reports,
        },
        Output::Forward {
            peer: "n1".into(),
            req: ReqId(5),
            request: Forward::Status("wk-1".into()),
        },
        Output::ReplicateCancellations("n1".into(), replication),
    ]
    .into_iter()
    .map(|output| outgoing.send(output, now))
    .collect();
    assert!(matches!(
        answers.as_slice(),
        [
            Some(Input::Store {
                call: CallId(7),
                answer: StoreAnswer::Refused,
                ..
            }),
            Some(Input::Store {
                call: CallId(7),
                answer: StoreAnswer::Refused,
                ..
            }),
            Some(Input::WatchLost),
            Some(Input::Cloud(CallId(7), CloudAnswer::Refused)),
            Some(Input::Direct {
                outcome: DirectOutcome::NotCalled,
                ..
            }),
            Some(Input::ForwardedReportsReply(CallId(7), None)),
            Some(Input::ForwardReply(ReqId(5), None)),
            Some(Input::ReplicateCancellationsReply(_, None)),
        ]
    ));
}

/// In a shared queue a lease renewal would wait behind other calls to the store, which may hang for a second.
#[test]
fn a_renewal_does_not_wait_behind_other_calls() {
    let (leases, renewals) = bounded(1);
    let store = StoreQueues {
        leases,
        ..full_queues().store
    };
    let outgoing = Outgoing {
        store,
        ..full_queues()
    };
    let renew = Output::Store(
        CallId(8),
        StoreCall::RenewLease(rudderreel_wire::ids::LeaseId(3)),
    );
    assert!(outgoing.send(renew, Time(1)).is_none());
    assert_eq!(renewals.len(), 1);
}

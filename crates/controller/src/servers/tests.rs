use super::*;
use crate::http::Request;
use crate::input_queues::{queue, QueuedInput};
use crate::process_usage::ResourceLimits;
use crossbeam_channel::Receiver;
use rudderreel_wire::ids::{Epoch, Version};
use rudderreel_wire::peer::{Forward, ReplicateCancellations};

/// Creates queues with a capacity of four inputs each.
fn queues() -> (InputQueues, [Receiver<QueuedInput>; 3]) {
    let [(control, a), (users, b), (reports, c)] = [(); 3].map(|()| queue(4));
    let queues = InputQueues {
        control,
        users,
        reports,
    };
    (queues, [a, b, c])
}

fn request_status(core: &InputQueues, method: &str, url: &str, body: Option<&[u8]>) -> Option<u16> {
    let request = Request { method, url, body };
    let refusals = RefusalCounters::default();
    let intake = Intake {
        core,
        refusals: &refusals,
    };
    let status = peers::handle(ReqId(1), &request, &intake, ResourceLimits::default())
        .map(|response| response.status);
    let counted = refusals.unreadable.get() + refusals.queue_full.get();
    let counts = body.is_some() && matches!(status, Some(400 | 503));
    assert_eq!(counted, u64::from(counts), "refused requests are counted");
    status
}

/// A message that cannot be decoded is rejected at once and never reaches the core.
#[test]
fn malformed_messages_of_peers_are_rejected() {
    let (core, receivers) = queues();
    let replication = ReplicateCancellations {
        from: "n1".into(),
        cancellation_watermark: Version(3),
        cancelled: Vec::new(),
    };
    let encoded = bitcode::encode(&replication);
    let paths = ["heartbeat", "reports", "announce", "forward"];
    for path in paths.map(|p| format!("/peer/{p}")) {
        let truncated = &encoded[..encoded.len() - 1];
        for malformed in [&b"{}"[..], &[0xff; 40], &[], truncated] {
            assert_eq!(
                request_status(&core, "POST", &path, Some(malformed)),
                Some(400),
                "{path} {malformed:?}"
            );
        }
        assert_eq!(
            request_status(&core, "POST", &path, None),
            Some(400),
            "{path}: too long"
        );
        assert_eq!(
            request_status(&core, "GET", &path, Some(&encoded)),
            Some(404),
            "{path}"
        );
    }
    assert!(receivers.iter().all(Receiver::is_empty));
    assert_eq!(
        request_status(&core, "POST", "/peer/announce", Some(&encoded)),
        None
    );
    assert!(matches!(
        receivers[0].try_recv().map(|queued| queued.input),
        Ok(Input::ReplicateCancellations(ReqId(1), _))
    ));
}

/// A forwarded request with an invalid submission, job id or path is rejected and never reaches the core.
#[test]
fn forwarded_requests_are_validated_like_requests_of_users() {
    let (core, receivers) = queues();
    let forward =
        |f: &Forward| request_status(&core, "POST", "/peer/forward", Some(&bitcode::encode(f)));
    assert_eq!(forward(&Forward::Status("wk-".into())), Some(400));
    assert_eq!(forward(&Forward::Cancel("../x".into())), Some(400));
    assert_eq!(
        forward(&Forward::Submit("{\"id\":\"wk-1\"}".into())),
        Some(400)
    );
    assert_eq!(forward(&Forward::Admin("/admin/nothing".into())), Some(400));
    assert!(receivers.iter().all(Receiver::is_empty));
    assert_eq!(forward(&Forward::Status("wk-000001".into())), None);
    assert!(matches!(
        receivers[1].try_recv().map(|queued| queued.input),
        Ok(Input::ForwardedRequest { .. })
    ));
}

/// When the core's queue is full, further requests get a 503 at once.
#[test]
fn requests_are_refused_when_the_queue_is_full() {
    let (core, _receivers) = queues();
    let reply = ReplicateCancellations {
        from: Epoch(1).to_string(),
        cancellation_watermark: Version(3),
        cancelled: Vec::new(),
    };
    let bytes = bitcode::encode(&reply);
    let answers = [0; 5].map(|_| request_status(&core, "POST", "/peer/announce", Some(&bytes)));
    assert_eq!(answers, [None, None, None, None, Some(503)]);
}

use super::*;
use crate::http::Request;
use crate::input_queues::{queue, Queued};
use crate::process_usage::Allowance;
use crossbeam_channel::Receiver;
use rudderreel_wire::ids::{Epoch, Version};
use rudderreel_wire::peer::{Forward, ReplicateCancellations};

/// Queues with room for four inputs each.
fn queues() -> (InputQueues, [Receiver<Queued>; 3]) {
    let [(control, a), (users, b), (reports, c)] = [(); 3].map(|()| queue(4));
    let queues = InputQueues {
        control,
        users,
        reports,
    };
    (queues, [a, b, c])
}

fn ask(core: &InputQueues, method: &str, url: &str, body: Option<&[u8]>) -> Option<u16> {
    let request = Request { method, url, body };
    let refusals = RefusalCounters::default();
    let intake = Intake {
        core,
        refusals: &refusals,
    };
    let status = peers::handle(ReqId(1), &request, &intake, Allowance::default())
        .map(|response| response.status);
    let counted = refusals.unreadable.get() + refusals.queue_full.get();
    let counts = body.is_some() && matches!(status, Some(400 | 503));
    assert_eq!(counted, u64::from(counts), "what is refused is counted");
    status
}

/// What a peer can't have meant is refused at once, and nothing of it reaches the core.
#[test]
fn garbled_messages_of_peers_are_refused() {
    let (core, waiting) = queues();
    let told = ReplicateCancellations {
        from: "n1".into(),
        cancellation_watermark: Version(3),
        cancelled: Vec::new(),
    };
    let good = bitcode::encode(&told);
    let paths = ["heartbeat", "reports", "announce", "forward"];
    for path in paths.map(|p| format!("/peer/{p}")) {
        let cut = &good[..good.len() - 1];
        for bad in [&b"{}"[..], &[0xff; 40], &[], cut] {
            assert_eq!(
                ask(&core, "POST", &path, Some(bad)),
                Some(400),
                "{path} {bad:?}"
            );
        }
        assert_eq!(
            ask(&core, "POST", &path, None),
            Some(400),
            "{path}: too long"
        );
        assert_eq!(ask(&core, "GET", &path, Some(&good)), Some(404), "{path}");
    }
    assert!(waiting.iter().all(Receiver::is_empty));
    assert_eq!(ask(&core, "POST", "/peer/announce", Some(&good)), None);
    assert!(matches!(
        waiting[0].try_recv().map(|queued| queued.input),
        Ok(Input::ReplicateCancellations(ReqId(1), _))
    ));
}

/// A forwarded request names a job that can be, or is refused.
#[test]
fn a_forwarded_request_is_read_like_one_of_a_user() {
    let (core, waiting) = queues();
    let forward = |f: &Forward| ask(&core, "POST", "/peer/forward", Some(&bitcode::encode(f)));
    assert_eq!(forward(&Forward::Status("wk-".into())), Some(400));
    assert_eq!(forward(&Forward::Cancel("../x".into())), Some(400));
    assert_eq!(
        forward(&Forward::Submit("{\"id\":\"wk-1\"}".into())),
        Some(400)
    );
    assert_eq!(forward(&Forward::Admin("/admin/nothing".into())), Some(400));
    assert!(waiting.iter().all(Receiver::is_empty));
    assert_eq!(forward(&Forward::Status("wk-000001".into())), None);
    assert!(matches!(
        waiting[1].try_recv().map(|queued| queued.input),
        Ok(Input::ForwardedRequest { .. })
    ));
}

/// When the core is too far behind, whoever asks is told so at once.
#[test]
fn what_finds_the_core_full_is_refused() {
    let (core, _waiting) = queues();
    let reply = ReplicateCancellations {
        from: Epoch(1).to_string(),
        cancellation_watermark: Version(3),
        cancelled: Vec::new(),
    };
    let bytes = bitcode::encode(&reply);
    let answers = [0; 5].map(|_| ask(&core, "POST", "/peer/announce", Some(&bytes)));
    assert_eq!(answers, [None, None, None, None, Some(503)]);
}

//! Peer messages as the version in production (`deploy/service.toml`) encodes them. During a rolling upgrade both
//! versions exchange these messages, so their bytes must not change. A message of another format needs a path of its
//! own, which older nodes answer with 404.

use bitcode::{Decode, Encode};
use rudderreel_wire::ids::{Epoch, FencingToken, Version};
use rudderreel_wire::job::JobSpec;
use rudderreel_wire::peer::{
    CancelledJob, Catchup, Count, Forward, ForwardReply, ForwardedAnswer, ForwardedReport,
    ForwardedReports, ForwardedReportsReply, ForwardedSubmission, ForwardedTasks, Heartbeat,
    HeartbeatReply, ReplicateCancellations, ReplicateCancellationsReply, SenderVersion,
};
use serde_json::{json, Value};
use std::fmt::Debug;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn parse_hex(hex: &str) -> Vec<u8> {
    let digits = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// Asserts that a message encodes to the bytes recorded from production, and that these decode to the message.
fn assert_encoding<T: Encode + for<'a> Decode<'a> + Debug>(message: &T, recorded: &str) {
    assert_eq!(to_hex(&bitcode::encode(message)), recorded, "{message:?}");
    let decoded: T = bitcode::decode(&parse_hex(recorded)).expect("recorded bytes must decode");
    assert_eq!(format!("{decoded:?}"), format!("{message:?}"));
}

fn cancelled_job() -> CancelledJob {
    CancelledJob {
        job: "wk-000398".into(),
        version: Version(412),
        cancelled_ms: 1_790_000_000_123,
        submitted_ms: 1_789_999_990_000,
        tasks: 40,
    }
}

#[test]
fn heartbeats_keep_their_encoding() {
    let heartbeat = Heartbeat {
        from: "deckhand-1".into(),
        epoch: Epoch(41),
        leads: true,
        store_reachable: false,
        requests_lease_vote: true,
        machines: 798,
        agents: 160,
        forwards_reports: true,
        agent_silence_ms: 1_250,
        partitioned_zones: vec![("qu-appelle".into(), 9_000)],
        counts: Some(vec![Count {
            job: "wk-000405".into(),
            done: 3,
            running: 13,
        }]),
        cancellation_watermark: Version(433),
    };
    assert_encoding(&heartbeat, "0a6465636b68616e642d310629010001021e0304a00104e204010a71752d617070656c6c65042823010109776b2d3030303430350403040d04b101");
    let reply = HeartbeatReply {
        from: "deckhand-2".into(),
        epoch: Epoch(41),
        store_reachable: false,
        grants_lease_vote: true,
        agent_silence_ms: 300,
        cancellation_watermark: Version(431),
        catchup: Some(Catchup {
            cancellation_watermark: Version(431),
            cancelled: vec![cancelled_job()],
        }),
    };
    assert_encoding(&reply, "0a6465636b68616e642d3206290001042c0104af010104af010109776b2d303030333938049c01007b6c50c4a001000000f04450c4a00100000428");
}

#[test]
fn replicated_cancellations_keep_their_encoding() {
    let message = ReplicateCancellations {
        from: "deckhand-0".into(),
        cancellation_watermark: Version(411),
        cancelled: vec![cancelled_job()],
    };
    assert_encoding(&message, "0a6465636b68616e642d30049b010109776b2d303030333938049c01007b6c50c4a001000000f04450c4a00100000428");
    let reply = ReplicateCancellationsReply {
        cancellation_watermark: Version(412),
    };
    assert_encoding(&reply, "049c01");
}

#[test]
fn forwarded_requests_keep_their_encoding() {
    assert_encoding(
        &Forward::Submit("{\"id\":\"wk-1\"}".into()),
        "000d7b226964223a22776b2d31227d",
    );
    assert_encoding(&Forward::Status("wk-1".into()), "0104776b2d31");
    assert_encoding(&Forward::Cancel("wk-1".into()), "0204776b2d31");
    assert_encoding(
        &Forward::Admin("/admin/stops".into()),
        "030c2f61646d696e2f73746f7073",
    );
    let answer = ForwardReply {
        status: 200,
        body: "{}".into(),
    };
    assert_encoding(&answer, "c800027b7d");
}

/// Production drops the dependencies of a submission that it forwards, and the field that lists them. This version
/// always writes the field, in the same message.
#[test]
fn forwarded_submission_shows_whether_its_sender_knows_dependencies() {
    let submission = json!({"id":"wk-000412","reel":"train","crew":"vision","rig":"gang",
        "precedence":"urgent","takes":16,"vcpus":8.0,"gpus":1.0,"memoryGb":64.0,"pressing":"img-07",
        "pullGb":6.2,"hulls":["g8"],"berth":null,"together":true,"scatter":false,"driftwood":true,
        "expectedS":240.0,"snapshotS":30.0,"stowS":4.0,"dueS":900.0});
    let from_production =
        ForwardedSubmission::parse(&submission.to_string()).expect("a submission");
    assert_eq!(from_production.sender, SenderVersion::BeforeDependencies);
    let text = ForwardedSubmission::text(&from_production.spec);
    let forwarded = ForwardedSubmission::parse(&text).expect("a submission");
    assert_eq!(forwarded.sender, SenderVersion::KnowsDependencies);
    assert_eq!(forwarded.spec, from_production.spec);
    let mut dependent = submission;
    dependent["awaits"] = json!(["wk-000398"]);
    let spec: JobSpec = serde_json::from_value(dependent.clone()).expect("a submission");
    let text: Value = serde_json::from_str(&ForwardedSubmission::text(&spec)).expect("JSON");
    assert_eq!(text, dependent);
    assert!(
        ForwardedSubmission::parse("[]").is_none() && ForwardedSubmission::parse("{}").is_none()
    );
}

#[test]
fn forwarded_reports_keep_their_encoding() {
    let report = |tasks: ForwardedTasks| ForwardedReport {
        machine: "vm-000231".into(),
        incarnation: 1,
        seq: 88,
        token: 41,
        reclaim_in_s: Some(19.5),
        tasks,
    };
    let reports = ForwardedReports {
        reports: vec![
            report(ForwardedTasks::SameAs(87)),
            report(ForwardedTasks::Whole("{\"takes\":[]}".into())),
        ],
    };
    assert_encoding(&reports, "020909766d2d303030323331766d2d3030303233310601010658580629290300000000000080334000000000008033400206570c7b2274616b6573223a5b5d7d");
    let reply = ForwardedReportsReply {
        token: Some(FencingToken(41)),
        answers: vec![
            ForwardedAnswer::Answered(Some("[]".into())),
            ForwardedAnswer::Answered(None),
            ForwardedAnswer::Whole,
            ForwardedAnswer::Refused,
        ],
    };
    assert_encoding(&reply, "010629043f01025b5d");
}

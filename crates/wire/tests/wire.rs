//! Examples of protocol messages and settings files, and how invalid ones are reported.

use rudderreel_wire::cloud::{Catalog, MachinePage, ScaleOutRequest};
use rudderreel_wire::job::{JobSpec, Kind, Priority};
use rudderreel_wire::settings::Settings;
use rudderreel_wire::state::{Events, Transaction};
use rudderreel_wire::worker::{
    Command, DirectCommands, StatusReport, StatusReportReply, TaskState,
};
use serde::{de::DeserializeOwned, Serialize};
use serde_json::{json, Value};

/// Asserts that an example deserializes and serializes again with no field lost or renamed.
fn assert_round_trip<T: DeserializeOwned + Serialize>(example: Value) -> T {
    let read: T = serde_json::from_value(example.clone()).expect("example must deserialize");
    assert_eq!(
        serde_json::to_value(&read).expect("message must serialize"),
        example
    );
    read
}

#[test]
fn protocol_examples_survive_a_round_trip() {
    let job: JobSpec = assert_round_trip(
        json!({"id":"wk-000412","reel":"train","crew":"vision","rig":"gang",
        "precedence":"urgent","takes":16,"vcpus":8.0,"gpus":1.0,"memoryGb":64.0,
        "pressing":"img-07","pullGb":6.2,"hulls":["g8"],"berth":null,"together":true,
        "scatter":false,"driftwood":true,"expectedS":240.0,"snapshotS":30.0,"stowS":4.0,
        "dueS":900.0}),
    );
    assert_eq!((job.kind, job.priority), (Kind::Gang, Priority::High));
    let reply: StatusReportReply = assert_round_trip(json!({"helm":41,"orders":[
        {"verb":"run","take":"wk-000412/4","launch":2},
        {"verb":"stop","take":"wk-000377/1","launch":1,"slackS":10.0},
        {"verb":"reap","take":"wk-000398/0","launch":1}]}));
    assert!(matches!(reply.commands[1], Command::Stop { grace_s, .. } if grace_s == 10.0));
    assert_round_trip::<DirectCommands>(json!({"helm":41,"watch":1,"orders":[]}));
    assert_round_trip::<ScaleOutRequest>(
        json!({"charter":"r-17","hull":"g8","berth":"a","driftwood":true,"count":12}),
    );
    assert_round_trip::<Transaction<Value>>(json!({"if":[{"key":"a/b","stamp":0}],
        "apply":[{"set":"a/b","data":{"x":[1]},"mooring":7},{"delete":"c/d"}]}));
    assert_round_trip::<Events<Value>>(json!({"logline":433,"log":[
        {"set":"c/9","data":{},"stamp":433},{"delete":"c/d","stamp":432}]}));
}

#[test]
fn messages_with_missing_or_unknown_fields_are_accepted() {
    let report: StatusReport =
        serde_json::from_value(json!({"deck":"vm-000231","addr":"10.1.0.232:9000",
        "hull":"g8","berth":"a","driftwood":true,"watch":1,"tally":88,"new":1,
        "takes":[{"take":"wk-000412/3","launch":2,"bearing":"gathering"}]}))
        .expect("message must deserialize");
    assert_eq!(report.token.0, 0);
    assert_eq!(report.tasks[0].state, TaskState::Waiting);
    let page: MachinePage = serde_json::from_value(json!({"decks":[{"id":"vm-1","hull":"g8",
        "berth":"a","driftwood":false,"bearing":"melting"}]}))
    .expect("unknown state must deserialize");
    assert!(!page.more);
    let catalog: Catalog = serde_json::from_value(json!({"hulls":[{"label":"g8","vcpus":96,
        "memoryGb":768,"rate":12.0}]}))
    .expect("message must deserialize");
    assert_eq!(catalog.types[0].gpus, 0.0);
}

const SETTINGS: &str = "node = \"n0\"\ndomain = \"a\"\nfront = \"10.0.0.1:8080\"
peer_bind = \"10.0.0.1:8081\"\nfuture = 1\n[outside]\ncloud = \"10.2.0.2:8443\"
state = \"10.2.0.1:2379\"\n[params]\nnodes = 1\nclock_error_ms = 25.0\n[[params.teams]]
name = \"ops\"\ncpus = 43.0\n[params.workers]\nreport_s = 2.5\nlease_s = 12.0
gang_wait_s = 35.0\ngang_peer_s = 4.0\ncancel_s = 37.0\n[params.state]\nrps = 250.0
write_rps = 25.0\nvalue_kb = 32.0\ntxn_ops = 20\n[params.cloud]\nrps = 4.0\nlist_lag_s = 10.0\n";

#[test]
fn announced_limits_of_the_state_service_are_parsed_and_checked() {
    let without = Settings::parse(SETTINGS).expect("valid settings");
    assert!(without.params.state.next.is_none());
    let parse_with = |next: &str| {
        let next = format!("[params.state.next]\n{next}\n[params.cloud]");
        Settings::parse(&SETTINGS.replacen("[params.cloud]", &next, 1))
    };
    let limits = parse_with("write_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 6\nfuture = \"x\"");
    let next = limits.expect("valid settings").params.state.next;
    let next = next.expect("announced limits");
    assert_eq!((next.write_rps, next.value_kb), (Some(18.0), Some(2.0)));
    assert_eq!((next.txn_ops, next.rps), (Some(6), None));
    assert!(parse_with("")
        .expect("all limits are optional")
        .params
        .state
        .next
        .is_some());
    for (line, expected) in [
        ("write_rps = 0.0", "params.state.next.write_rps"),
        ("value_kb = -1.0", "params.state.next.value_kb"),
        ("txn_ops = 0", "params.state.next.txn_ops"),
        ("rps = inf", "params.state.next.rps"),
        ("txn_ops = 1.5", "txn_ops"),
    ] {
        let message = parse_with(line).expect_err(line).to_string();
        assert!(
            message.contains(expected) || message.contains("expected"),
            "{message}"
        );
    }
}

#[test]
fn errors_in_settings_name_the_field() {
    let valid = Settings::parse(SETTINGS).expect("valid settings");
    assert_eq!(valid.params.teams[0].cpus, 43.0);
    let cases = [
        ("lease_s = 12.0", "lease_s = -1.0", "params.workers.lease_s"),
        ("lease_s = 12.0", "lease_s = nan", "params.workers.lease_s"),
        ("nodes = 1", "nodes = 3", "params.nodes"),
        ("cpus = 43.0", "cpus = -43.0", "params.teams[0].cpus"),
        (
            "front = \"10.0.0.1:8080\"",
            "front = \"here\"",
            "socket address",
        ),
        ("lease_s = 12.0\n", "", "lease_s"),
        ("node = \"n0\"", "node = \"\"", "`node`"),
        ("rps = 250.0", "rps = \"many\"", "expected f64"),
    ];
    for (from, to, expected) in cases {
        let text = SETTINGS.replacen(from, to, 1);
        let message = Settings::parse(&text).expect_err(to).to_string();
        assert!(
            message.contains(expected) && !message.contains('\n'),
            "{message}"
        );
    }
}

/// An invalid processor share or memory limit is an error, which ends the process at its start. A limit that is left
/// out does not exist.
#[test]
fn process_limits_are_checked() {
    let parse_with = |limits: &str| {
        let text = format!("{SETTINGS}\n[params.machine_limits]\n{limits}\n");
        Settings::parse(&text)
    };
    let valid = parse_with("core_share = 0.032\nmemory_mb = 46.0\nfd_limit = 1200")
        .expect("valid settings");
    let limits = valid.params.limits.expect("limits");
    assert_eq!(
        (limits.cpu_share, limits.memory_mb),
        (Some(0.032), Some(46.0))
    );
    let none = parse_with("")
        .expect("valid settings")
        .params
        .limits
        .expect("limits");
    assert_eq!(
        (none.cpu_share, none.memory_mb, none.fd_limit),
        (None, None, 0)
    );
    for field in ["core_share", "memory_mb"] {
        for bad in ["0.0", "-1.0", "nan", "inf", "1e300"] {
            let message = parse_with(&format!("{field} = {bad}"))
                .expect_err(bad)
                .to_string();
            let path = format!("params.machine_limits.{field}");
            assert!(message.contains(&path), "{message}");
        }
    }
    for bad in ["-1", "1e9", "99999999999"] {
        let message = parse_with(&format!("fd_limit = {bad}"))
            .expect_err(bad)
            .to_string();
        assert!(!message.is_empty());
    }
}

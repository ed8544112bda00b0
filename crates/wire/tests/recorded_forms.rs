//! The format of all texts that enter or leave the process: protocol messages, the settings file, the deploy file and
//! the operators' settings. These tests fail if a rename in the code changes one of their names.

use rudderreel_wire::admin::{AdminSettings, TeamSettings, Versioned};
use rudderreel_wire::cloud::{Catalog, ListedState, MachineNames, MachinePage};
use rudderreel_wire::ids::{Class, NodeName, Team, Version, Zone};
use rudderreel_wire::job::{JobAnswer, JobState, JobStatus, Kind, Priority};
use rudderreel_wire::settings::Settings;
use rudderreel_wire::state::{
    Events, Item, Lease, LeaseRequest, Page, Transaction, TransactionReply,
};
use rudderreel_wire::worker::{Cause, ReportRedirect, StatusReport, TaskState};
use serde::{de::DeserializeOwned, Serialize};
use serde_json::{json, Value};
use std::fmt::Debug;

/// Asserts that a recorded message deserializes and serializes again without a change.
fn assert_round_trip<T: DeserializeOwned + Serialize>(recorded: Value) -> T {
    let read: T =
        serde_json::from_value(recorded.clone()).expect("recorded message must deserialize");
    let written = serde_json::to_value(&read).expect("message must serialize");
    assert_eq!(written, recorded);
    read
}

/// Asserts that each value serializes to its name on the wire, and deserializes from it.
fn assert_wire_names<T>(names: &[(T, &str)])
where
    T: DeserializeOwned + Serialize + PartialEq + Debug,
{
    for (value, name) in names {
        assert_eq!(serde_json::to_value(value).expect("JSON"), json!(name));
        let read: T = serde_json::from_value(json!(name)).expect(name);
        assert_eq!(read, *value);
    }
}

#[test]
fn enum_values_keep_their_wire_names() {
    assert_wire_names(&[
        (Kind::Array, "sweep"),
        (Kind::Gang, "gang"),
        (Kind::Service, "standing"),
    ]);
    assert_wire_names(&[
        (Priority::Low, "low"),
        (Priority::Normal, "normal"),
        (Priority::High, "urgent"),
        (Priority::Production, "prod"),
    ]);
    assert_wire_names(&[
        (JobState::Queued, "pending"),
        (JobState::Running, "running"),
        (JobState::Done, "done"),
        (JobState::Cancelled, "aborted"),
    ]);
    assert_wire_names(&[
        (TaskState::Fetching, "pulling"),
        (TaskState::Waiting, "gathering"),
        (TaskState::Running, "running"),
        (TaskState::Saving, "saving"),
        (TaskState::Exited, "exited"),
    ]);
    assert_wire_names(&[
        (Cause::Done, "done"),
        (Cause::Stopped, "halted"),
        (Cause::Peers, "peers"),
        (Cause::Alone, "alone"),
        (Cause::Error, "error"),
        (Cause::NoRoom, "no_room"),
        (Cause::Busy, "in_use"),
        (Cause::Unknown, "unknown"),
    ]);
    assert_wire_names(&[
        (ListedState::Booting, "starting"),
        (ListedState::Running, "running"),
        (ListedState::Failed, "failed"),
    ]);
}

#[test]
fn messages_of_users_and_agents_keep_their_fields() {
    assert_round_trip::<JobAnswer>(json!({"id":"wk-1","bearing":"pending"}));
    assert_round_trip::<JobStatus>(json!({"id":"wk-1","bearing":"running","done":1,"running":2}));
    assert_round_trip::<ReportRedirect>(json!({"harbour":"deckhand-1"}));
    assert_round_trip::<ReportRedirect>(json!({}));
    assert_round_trip::<StatusReport>(json!({"deck":"vm-1","addr":"10.1.0.2:9000","hull":"g8",
        "berth":"a","driftwood":true,"watch":2,"tally":88,"helm":41,"recallS":19.5,
        "takes":[{"take":"wk-1/3","launch":2,"bearing":"exited","cause":"halted","stored":true}]}));
}

#[test]
fn messages_of_the_state_service_keep_their_fields() {
    assert_round_trip::<Item<Value>>(json!({"key":"a/b","data":{"x":1},"stamp":7,"mooring":3}));
    assert_round_trip::<Page<Value>>(json!({"entries":[{"key":"a/b","data":1,"stamp":7}],
        "hasNext":true,"logline":433}));
    assert_round_trip::<TransactionReply>(json!({"logline":433,"failed":["a/b"]}));
    assert_round_trip::<LeaseRequest>(json!({"ttlMs":3000}));
    assert_round_trip::<Lease>(json!({"mooring":7}));
    assert_round_trip::<Transaction<Value>>(json!({"if":[{"key":"a","stamp":0}],
        "apply":[{"set":"a","data":1,"mooring":7},{"delete":"b"}]}));
    assert_round_trip::<Events<Value>>(json!({"logline":2,"log":[
        {"set":"a","data":1,"stamp":1},{"delete":"b","stamp":2}]}));
}

#[test]
fn messages_of_the_cloud_keep_their_fields() {
    assert_round_trip::<Catalog>(json!({"hulls":[{"label":"g8","vcpus":96.0,"gpus":8.0,
        "memoryGb":768.0,"cacheGb":70.0,"fetchGbPerS":0.5,"rate":12.0,"marketPrice":3.0,
        "startupS":40.0,"berths":["a"]}]}));
    assert_round_trip::<MachineNames>(json!({"decks":["vm-1"]}));
    assert_round_trip::<MachinePage>(json!({"decks":[{"id":"vm-1","addr":"10.1.0.2:9000",
        "hull":"g8","berth":"a","driftwood":false,"bearing":"running","ageS":3.0}],"hasNext":true}));
}

#[test]
fn operators_settings_keep_their_fields() {
    let defaults = json!({"version":0,"settings":{"period_s":2.0,"reclaim_multiplier":1.0,
        "reclaim_min_runtime_s":30.0,"preempt_min_runtime_s":0.0,"keep_idle_s":20.0,
        "reserve_factor":1.0,"spread_reports_from":80.0,"teams":{}}});
    let read: Versioned = assert_round_trip(defaults);
    assert_eq!(read.version, Version(0));
    assert_eq!(read.settings, AdminSettings::default());
    let team = json!({"parent":"media","quota_cpus":1.0,"quota_gpus":2.0,"limit_cpus":3.0,
        "limit_gpus":4.0,"weight":5.0,"priority":6});
    let read: TeamSettings = assert_round_trip(team);
    assert_eq!(read.parent, Some(Team::from("media")));
    assert_eq!((read.quota_cpus, read.quota_gpus), (Some(1.0), Some(2.0)));
    assert_eq!((read.limit_cpus, read.limit_gpus), (Some(3.0), Some(4.0)));
    assert_eq!((read.weight, read.priority), (Some(5.0), Some(6)));
}

/// A settings file with every field, each with a different value.
const ALL_SETTINGS: &str = r#"
node = "deckhand-0"
domain = "assiniboia"
front = "10.0.0.1:8080"
peer_bind = "10.0.0.2:8081"
[[members]]
node = "deckhand-1"
endpoint = "10.0.0.3:8082"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
nodes = 2
zones = ["assiniboia", "qu-appelle"]
clock_error_ms = 25.0
[[params.teams]]
name = "ops"
cpus = 43.0
cpus_max = 160.0
gpus = 8.0
gpus_max = 24.0
[[params.objectives]]
kind = "wait"
class = "storefront"
within_s = 1.5
share = 0.95
[params.workers]
report_s = 2.5
lease_s = 12.0
gang_wait_s = 35.0
gang_peer_s = 4.0
cancel_s = 37.0
[params.state]
rps = 250.0
write_rps = 25.0
value_kb = 32.0
txn_ops = 20
[params.state.next]
rps = 240.0
write_rps = 18.0
value_kb = 2.0
txn_ops = 6
[params.cloud]
rps = 4.0
list_lag_s = 10.0
[params.machine_limits]
core_share = 0.064
memory_mb = 104.0
fd_limit = 1800
"#;

#[test]
fn every_field_of_the_settings_file_is_read() {
    let settings = Settings::parse(ALL_SETTINGS).expect("valid settings");
    assert_eq!(settings.node, NodeName::from("deckhand-0"));
    assert_eq!(settings.zone, Zone::from("assiniboia"));
    assert_eq!(settings.listen.to_string(), "10.0.0.1:8080");
    assert_eq!(settings.peer_listen.to_string(), "10.0.0.2:8081");
    assert_eq!(settings.peers[0].node, NodeName::from("deckhand-1"));
    assert_eq!(settings.peers[0].addr.to_string(), "10.0.0.3:8082");
    assert_eq!(settings.services.cloud.to_string(), "10.2.0.2:8443");
    assert_eq!(settings.services.state.to_string(), "10.2.0.1:2379");
    let params = settings.params;
    assert_eq!((params.nodes, params.clock_error_ms), (2, 25.0));
    assert_eq!(params.zones[1], Zone::from("qu-appelle"));
    let team = &params.teams[0];
    assert_eq!(team.name, Team::from("ops"));
    let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
    assert_eq!(amounts, [43.0, 160.0, 8.0, 24.0]);
    let objective = &params.objectives[0];
    assert_eq!(objective.kind, "wait");
    assert_eq!(objective.class, Some(Class::from("storefront")));
    assert_eq!(
        (objective.within_s, objective.share),
        (Some(1.5), Some(0.95))
    );
    let workers = params.workers;
    assert_eq!((workers.report_s, workers.lease_s), (2.5, 12.0));
    assert_eq!((workers.gang_wait_s, workers.gang_peer_s), (35.0, 4.0));
    assert_eq!(workers.cancel_s, 37.0);
    let state = params.state;
    assert_eq!((state.rps, state.write_rps), (250.0, 25.0));
    assert_eq!((state.value_kb, state.txn_ops), (32.0, 20));
    let next = state.next.expect("announced limits");
    assert_eq!((next.rps, next.write_rps), (Some(240.0), Some(18.0)));
    assert_eq!((next.value_kb, next.txn_ops), (Some(2.0), Some(6)));
    assert_eq!((params.cloud.rps, params.cloud.list_lag_s), (4.0, 10.0));
    let limits = params.limits.expect("process limits");
    assert_eq!(
        (limits.cpu_share, limits.memory_mb, limits.fd_limit),
        (Some(0.064), Some(104.0), 1_800)
    );
}

/// Guards the fields that the platform reads to build and start the service.
#[test]
fn the_deploy_file_keeps_its_fields() {
    let text = include_str!("../../../deploy/service.toml");
    let deploy: toml::Table = toml::from_str(text).expect("TOML");
    let fields: Vec<&str> = deploy.keys().map(String::as_str).collect();
    assert_eq!(fields, ["build", "production", "run"]);
    let build = deploy["build"].as_str();
    assert_eq!(build, Some("cargo build --release --locked"));
    let run = deploy["run"].as_str();
    assert_eq!(run, Some("target/release/rudderreel --config"));
    let production = deploy["production"].as_str().expect("commit hash");
    assert!(production.len() == 40 && production.chars().all(|c| c.is_ascii_hexdigit()));
}

//! Compatibility of records with the version in production: during a rolling upgrade each version works with the
//! records of the other.

use super::*;
use crate::store::limits::StoreLimits;
use crate::units::Wall;
use rudderreel_wire::ids::{Epoch, Image, LeaseId, NodeName};
use rudderreel_wire::job::{JobSpec, JobState};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

const LIMITS: StoreLimits = StoreLimits {
    max_value_bytes: 2_048,
    max_operations: 6,
    requests_per_s: 250.0,
    writes_per_s: 18.0,
};

fn submission() -> Value {
    json!({"id":"wk-000412","reel":"train","crew":"vision","rig":"gang","precedence":"urgent",
        "takes":16,"vcpus":8.0,"gpus":1.0,"memoryGb":64.0,"pressing":"img-07","pullGb":6.2,
        "hulls":["g8"],"berth":null,"together":true,"scatter":false,"driftwood":true,
        "expectedS":240.0,"snapshotS":30.0,"stowS":4.0,"dueS":900.0})
}

fn spec_with_dependencies() -> JobSpec {
    let mut value = submission();
    value["awaits"] = json!(["wk-000398", "wk-000405"]);
    serde_json::from_value(value).expect("a job")
}

/// Reads a recorded value and checks that it is written again unchanged.
fn round_trip<T: DeserializeOwned + Serialize>(recorded: Value) -> T {
    let read: T = serde_json::from_value(recorded.clone()).expect("it is read");
    assert_eq!(
        serde_json::to_value(&read).expect("it is written"),
        recorded
    );
    read
}

#[test]
fn records_of_production_are_read_and_written_unchanged() {
    round_trip::<JobRecord>(
        json!({"state":"pending","submitted":1790000000000u64,"tasks":16,
        "spec":submission()}),
    );
    round_trip::<JobRecord>(json!({"state":"aborted","submitted":1790000000000u64,
        "cancelled":1790000009000u64,"tasks":16,"spec":submission()}));
    round_trip::<JobRecord>(json!({"state":"done","submitted":1790000000000u64,"tasks":16}));
    round_trip::<LeaderRecord>(json!({"node":"deckhand-1","epoch":41,"lease":7}));
    round_trip::<EpochRecord>(json!({"epoch":41}));
    round_trip::<WatermarkRecord>(json!({"known_to":412,"asks":0}));
    round_trip::<SegmentRecord>(
        json!({"m":[{"n":"vm-000231","t":"heron","z":"qu-appelle","s":true,
        "w":1790000000000u64,"p":[["wk-000412",687865857,[0,1,7]]]}],
        "d":[["wk-000398",[[0,3],[9,9]]]],"f":[["wk-000398",4]]}),
    );
    round_trip::<SegmentRecord>(json!({}));
}

/// The job record as production declares it.
#[derive(Deserialize)]
struct ProductionRecord {
    state: JobState,
    submitted: Wall,
    #[serde(default)]
    cancelled: Option<Wall>,
    #[serde(default)]
    tasks: u32,
    #[serde(default)]
    spec: Option<Value>,
}

#[test]
fn production_reads_what_is_written_now() {
    let read = |record: &JobRecord| -> ProductionRecord {
        let value = serde_json::to_value(record).expect("JSON");
        serde_json::from_value(value).expect("production reads it")
    };
    let mut spec = spec_with_dependencies();
    spec.dependencies.clear();
    let independent = read(&JobRecord::queued(&spec, Wall(5)));
    assert_eq!(
        (independent.state, independent.tasks),
        (JobState::Queued, 16)
    );
    let queued = JobRecord::queued(&spec_with_dependencies(), Wall(5));
    let by: JobId = "wk-000398".parse().expect("an id");
    let cancelled = read(&queued.cancelled(Wall(9), Some(&by), &LIMITS));
    assert_eq!(
        (cancelled.state, cancelled.cancelled),
        (JobState::Cancelled, Some(Wall(9)))
    );
    assert!(cancelled.spec.is_some());
    let done = read(&JobRecord::done(16, Wall(5), Wall(8)));
    assert_eq!(
        (done.state, done.submitted, done.tasks),
        (JobState::Done, Wall(5), 16)
    );
}

/// The version in production would drop the dependencies. So it must not be able to read the record of an unfinished
/// job that has some, whatever becomes of the record.
#[test]
fn production_can_not_read_an_unfinished_job_that_has_dependencies() {
    let queued = JobRecord::queued(&spec_with_dependencies(), Wall(5));
    let value = serde_json::to_value(&queued).expect("JSON");
    assert!(serde_json::from_value::<ProductionRecord>(value.clone()).is_err());
    let read: JobRecord = serde_json::from_value(value).expect("this version reads it");
    assert_eq!(read, queued);
}

/// Versions between production and this one stored unfinished jobs with dependencies as pending: these records are
/// read.
#[test]
fn dependents_that_were_stored_as_pending_are_read() {
    let mut value = json!({"state":"pending","submitted":5,"tasks":16,"spec":submission()});
    value["spec"]["awaits"] = json!(["wk-000398", "wk-000405"]);
    let read: JobRecord = serde_json::from_value(value).expect("a record");
    assert_eq!(read, JobRecord::queued(&spec_with_dependencies(), Wall(5)));
}

/// Production can read a leader record of this version, and a leader record of production is recognized as one.
#[test]
fn leaders_of_either_version_are_distinguished() {
    let current = LeaderRecord::new(NodeName::from("deckhand-1"), Epoch(41), LeaseId(7));
    let value = serde_json::to_value(&current).expect("JSON");
    assert_eq!(
        (&value["node"], &value["epoch"], &value["lease"]),
        (&json!("deckhand-1"), &json!(41), &json!(7))
    );
    assert!(current.supports_dependencies());
    let production = json!({"node":"deckhand-1","epoch":41,"lease":7});
    let production: LeaderRecord = serde_json::from_value(production).expect("a record");
    assert!(!production.supports_dependencies());
}

/// A submission without dependencies is stored and forwarded exactly as production does it.
#[test]
fn a_job_without_dependencies_is_written_as_before() {
    let spec: JobSpec = round_trip(submission());
    assert!(spec.dependencies.is_empty());
    let mut value = submission();
    value["awaits"] = Value::Null;
    let spec: JobSpec = serde_json::from_value(value).expect("null is allowed");
    assert_eq!(serde_json::to_value(&spec).expect("JSON"), submission());
}

/// A job that was accepted under larger limits can be cancelled under smaller ones.
#[test]
fn a_cancellation_always_fits() {
    let mut spec = spec_with_dependencies();
    let ids = (0..1_000).map(|n| format!("wk-{n}").parse().expect("an id"));
    spec.dependencies = ids.collect();
    spec.image = Image::from("x".repeat(3_000).as_str());
    let queued = JobRecord::queued(&spec, Wall(5));
    assert!(!LIMITS.fits(&queued));
    let cancelled = queued.cancelled(Wall(9), None, &LIMITS);
    assert!(LIMITS.fits(&cancelled));
    assert_eq!(cancelled.spec.expect("a submission").tasks, 16);
}

/// The text of stored keys is fixed: other versions read and write the same ones.
#[test]
fn stored_keys_keep_their_text() {
    let id: JobId = "wk-000412".parse().expect("an id");
    assert_eq!(job_key(&id), "pub/job/wk-000412");
    assert_eq!(segment_key(SegmentId(0x2900_0001)), "book/0000000029000001");
    assert_eq!(
        SegmentId::of_name("0000000029000001"),
        Some(SegmentId(0x2900_0001))
    );
    let keys = [
        WATCHED_PREFIX,
        JOB_PREFIX,
        LEADER_KEY,
        GATED_LEADER_KEY,
        ADMIN_SETTINGS_KEY,
        EPOCH_KEY,
    ];
    let recorded = [
        "pub/",
        "pub/job/",
        "pub/leader",
        "pub/seat",
        "pub/admin",
        "epoch",
    ];
    assert_eq!(keys, recorded);
    let keys = [
        WATERMARK_PREFIX,
        SEGMENT_PREFIX,
        CATALOG_KEY,
        GATED_CATALOG_KEY,
    ];
    assert_eq!(
        keys,
        ["pub/known/", "book/", "pub/catalog", "pub/machine-types"]
    );
    assert_eq!(
        LeaderKey::ALL.map(LeaderKey::name),
        [LEADER_KEY, GATED_LEADER_KEY]
    );
}

/// Fields that were added after the version in production are written by this version under fixed names.
#[test]
fn records_of_this_version_keep_their_fields() {
    let mut dependent = submission();
    dependent["awaits"] = json!(["wk-000398"]);
    round_trip::<JobRecord>(json!({"state":"dependent","submitted":5,"tasks":16,
        "names_dependencies":true,"spec":dependent}));
    round_trip::<JobRecord>(json!({"state":"aborted","submitted":5,"cancelled":9,
        "cancelled_by":"wk-000398","tasks":16,"names_dependencies":true}));
    round_trip::<JobRecord>(json!({"state":"done","submitted":5,"finished":8,"tasks":16}));
    round_trip::<LeaderRecord>(json!({"node":"deckhand-1","epoch":41,"lease":7,"format":2}));
    round_trip::<LeaderRecord>(
        json!({"node":"deckhand-1","epoch":41,"lease":7,"format":2,"superseded":true}),
    );
    round_trip::<WatermarkRecord>(json!({"known_to":412,"asks":433}));
}

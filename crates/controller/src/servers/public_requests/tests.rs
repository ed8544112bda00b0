use super::*;
use serde_json::{json, Value};

fn valid_submission() -> Value {
    json!({"id": "wk-000412", "reel": "train", "crew": "vision", "rig": "gang",
        "precedence": "urgent", "takes": 16, "vcpus": 8.0, "gpus": 1.0, "memoryGb": 64.0,
        "pressing": "img-07", "pullGb": 6.2, "hulls": ["g8"], "berth": null, "together": true,
        "scatter": false, "driftwood": true, "expectedS": 240.0, "snapshotS": 30.0,
        "stowS": 4.0, "dueS": 900.0, "unknown": {"is": "ignored"}})
}

fn status(method: &str, path: &str, body: Option<&[u8]>) -> u16 {
    parse(method, path, body).map_or_else(|r| r.status, |_| 200)
}

fn submit(body: &str) -> u16 {
    status("POST", "/v1/jobs", Some(body.as_bytes()))
}

#[test]
fn a_valid_submission_is_read() {
    let text = valid_submission().to_string();
    let Ok(PublicRequest::User(UserRequest::Submit(spec))) =
        parse("POST", "/v1/jobs", Some(text.as_bytes()))
    else {
        panic!("the submission was not parsed");
    };
    assert_eq!(spec.tasks, 16);
    assert!(spec.one_zone && spec.spot && !spec.spread);
    assert_eq!(spec.deadline_s, Some(900.0));
}

#[test]
fn dependencies_are_a_list_of_job_ids() {
    let with = |awaits: Value| {
        let mut job = valid_submission();
        job["awaits"] = awaits;
        job.to_string()
    };
    let malformed = [
        json!("wk-1"),
        json!(["wk-1", 2]),
        json!([["wk-1"]]),
        json!(["wk-x"]),
        json!([""]),
        json!([null]),
        json!({"0": "wk-1"}),
        json!(true),
    ];
    for awaits in malformed {
        assert_eq!(submit(&with(awaits.clone())), 400, "{awaits}");
    }
    let cases = [
        (Value::Null, 0),
        (json!([]), 0),
        (json!(["wk-2", "wk-1"]), 2),
        (json!(["wk-1", "wk-2", "wk-1"]), 2),
    ];
    for (awaits, count) in cases {
        let text = with(awaits);
        let read = parse("POST", "/v1/jobs", Some(text.as_bytes()));
        let Ok(PublicRequest::User(UserRequest::Submit(spec))) = read else {
            panic!("{text} was not parsed");
        };
        assert_eq!(spec.dependencies.len(), count, "{text}");
    }
}

#[test]
fn malformed_submissions_get_400() {
    for text in [
        "", "{", "[]", "null", "7", "\"x\"", "[1,2,3]", "{}", "\u{fffd}",
    ] {
        assert_eq!(submit(text), 400, "{text}");
    }
    assert_eq!(status("POST", "/v1/jobs", Some(&[0xff, 0xfe])), 400);
    assert_eq!(
        status("POST", "/v1/jobs", None),
        400,
        "a body that is too long"
    );
    let required = [
        "id",
        "reel",
        "crew",
        "rig",
        "precedence",
        "takes",
        "vcpus",
        "gpus",
        "memoryGb",
        "pressing",
        "pullGb",
        "together",
        "scatter",
        "driftwood",
        "expectedS",
        "snapshotS",
        "stowS",
    ];
    for field in required {
        let mut job = valid_submission();
        job.as_object_mut().expect("an object").remove(field);
        assert_eq!(submit(&job.to_string()), 400, "without {field}");
    }
}

#[test]
fn invalid_field_values_get_400() {
    let cases = [
        ("id", json!("412")),
        ("id", json!("wk-")),
        ("id", json!("wk-../x")),
        ("rig", json!("array")),
        ("precedence", json!("high")),
        ("takes", json!(0)),
        ("takes", json!(-1)),
        ("takes", json!(1.5)),
        ("takes", json!(100_001)),
        ("vcpus", json!(-1.0)),
        ("vcpus", json!("8")),
        ("memoryGb", json!(null)),
        ("hulls", json!("g8")),
        ("together", json!("yes")),
        ("expectedS", json!(-3.0)),
        ("dueS", json!([])),
    ];
    for (field, value) in cases {
        let mut job = valid_submission();
        job[field] = value.clone();
        assert_eq!(submit(&job.to_string()), 400, "{field} {value}");
    }
}

#[test]
fn unknown_paths_and_wrong_methods_are_rejected() {
    assert_eq!(status("GET", "/v1/jobs", None), 405);
    assert_eq!(status("DELETE", "/v1/jobs/wk-1", None), 405);
    assert_eq!(status("GET", "/v1/jobs/wk-1/withdraw", None), 405);
    assert_eq!(status("GET", "/v1/jobs/nonsense", None), 404);
    assert_eq!(status("GET", "/", None), 404);
    assert_eq!(status("GET", "/up", None), 200);
    assert_eq!(status("POST", "/v1/report", Some(b"{}")), 400);
}

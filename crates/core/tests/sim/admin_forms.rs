//! Checks that the JSON answers to administrators keep their fields. The decision trace covers the values.

use super::world::World;
use rudderreel_core::AdminRequest;
use rudderreel_wire::job::JobState;
use serde_json::Value;
use std::collections::BTreeSet;

/// Returns the paths of all fields of an answer, sorted and separated by spaces. The elements of a list share their
/// paths.
fn fields(value: &Value) -> String {
    let mut found = BTreeSet::new();
    collect_fields(value, "", &mut found);
    found.into_iter().collect::<Vec<_>>().join(" ")
}

/// Adds the paths of all fields of `value` to `found`; `path` is the path of `value` itself.
fn collect_fields(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                collect_fields(value, &path, found);
                found.insert(path);
            }
        }
        Value::Array(elements) => {
            for element in elements {
                collect_fields(element, path, found);
            }
        }
        _ => {}
    }
}

#[test]
fn answers_to_administrators_keep_their_fields() {
    let mut world = World::new(9);
    world.run_until(60_000);
    let leader = world.leader().expect("a leader");
    let mut jobs = world.jobs.iter();
    let running = jobs.find(|(_, job)| job.last == Some(JobState::Running));
    let job = running.map(|(id, _)| id.clone()).expect("a running job");
    let mut answer = |request: AdminRequest| {
        let (status, body) = world.admin(leader, request);
        assert_eq!(status, 200);
        fields(&body)
    };
    let answers = [
        answer(AdminRequest::Overview),
        answer(AdminRequest::Teams),
        answer(AdminRequest::Machines(None)),
        answer(AdminRequest::Stops),
        answer(AdminRequest::Settings),
        answer(AdminRequest::Job(job)),
    ];
    assert_eq!(
        answers.join("\n"),
        include_str!("admin_forms.txt").trim_end()
    );
}

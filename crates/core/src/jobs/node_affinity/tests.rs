use super::*;
use crate::testing::job_of;

/// Returns a catalog of a type without GPUs in zone a, and one with GPUs in the zones a and b.
fn catalog() -> Catalog {
    let machine_type = |name: &str, gpus: f64, zones: &[&str]| {
        serde_json::json!({"label": name, "vcpus": 4.0, "gpus": gpus, "memoryGb": 16.0, "rate": 1.0,
            "berths": zones})
    };
    let types = [
        machine_type("m4", 0.0, &["a"]),
        machine_type("g4", 2.0, &["a", "b"]),
        machine_type("withdrawn", 0.0, &[]),
    ];
    serde_json::from_value(serde_json::json!({"hulls": types})).expect("a catalog")
}

/// Returns the names of the types that a job of tasks of some CPUs can run on, allowed types and zone given.
fn usable(cpus: f64, types: Option<&[&str]>, zone: Option<&str>) -> Vec<String> {
    let mut spec = (*job_of(1, "sweep", "red", "normal", 1, cpus).spec).clone();
    spec.types = types.map(|types| types.iter().map(|name| (*name).into()).collect());
    spec.zone = zone.map(Zone::from);
    let need = Resources::of_task(&spec);
    (usable_machine_types(&catalog(), &spec, &need))
        .map(|machine_type| machine_type.name.to_string())
        .collect()
}

#[test]
fn a_type_is_usable_only_in_a_zone_where_it_is_offered() {
    assert_eq!(usable(1.0, None, None), ["m4", "g4"]);
    assert_eq!(usable(1.0, None, Some("b")), ["g4"]);
    assert_eq!(usable(1.0, Some(&["m4"]), Some("b")), [""; 0]);
    assert_eq!(usable(1.0, Some(&["m4", "g4"]), Some("a")), ["m4", "g4"]);
    assert_eq!(usable(4.5, None, None), [""; 0]);
}

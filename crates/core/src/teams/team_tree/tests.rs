use super::*;

fn platform() -> TeamTree {
    let team = |name: &str, cpus_max| TeamLimits {
        name: name.into(),
        cpus: 4.0,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    TeamTree::from_limits(&[team("red", 10.0), team("blue", 0.0)])
}

fn settings(text: &str) -> BTreeMap<Team, TeamSettings> {
    serde_json::from_str(text).expect("settings")
}

#[test]
fn operator_settings_override_platform_settings() {
    let text = r#"{"all":{"quota_cpus":6,"priority":2},
        "red":{"parent":"all","limit_cpus":7.5,"weight":3}}"#;
    let tree = platform().with_settings(&settings(text)).expect("a tree");
    let red = &tree.nodes[tree.find(&"red".into()).expect("red")];
    let all = tree.find(&"all".into()).expect("all");
    assert_eq!(
        (red.parent, red.limit[0], red.weight),
        (Some(all), 7.5, 3.0)
    );
    assert_eq!(tree.nodes[all].quota[0], 6.0);
    assert!(red.parent < tree.find(&"red".into()), "parents come first");
}

#[test]
fn invalid_setting_is_rejected_with_its_name() {
    let cases = [
        (r#"{"red":{"limit_cpus":11}}"#, "teams.red.limit_cpus"),
        (r#"{"red":{"weight":-1}}"#, "teams.red.weight"),
        (r#"{"red":{"parent":"nobody"}}"#, "teams.red.parent"),
        (r#"{"red":{"parent":"blue"}}"#, "teams.red.parent"),
        (r#"{"a":{"parent":"b"},"b":{"parent":"a"}}"#, "parent"),
    ];
    for (text, named) in cases {
        let message = (platform().with_settings(&settings(text)))
            .expect_err(text)
            .to_string();
        assert!(
            message.starts_with("teams.") && message.contains(named),
            "{message}"
        );
    }
}

/// Work at priority 100 or above runs only within quota: without an unlimited quota, that of such a team could never
/// run.
#[test]
fn team_without_any_quota_has_an_unlimited_one() {
    let none = TeamLimits {
        name: "partners".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    let tree = TeamTree::from_limits(&[none]);
    assert!(tree.nodes[1].quota.iter().all(|q| q.is_infinite()));
    assert!(platform().nodes[1].quota[0].is_finite());
}

use super::*;

#[test]
fn answers_are_readable() {
    let body = r#"{"teams":[{"cpus":{"used":1.5},"team":"red"},
        {"cpus":{"used":12},"team":"blue"}],"epoch":4,"leader":null}"#;
    let text = "epoch: 4\nleader: -\ncpus       team\nused 1.50  red\nused 12    blue\n";
    assert_eq!(readable(body), text);
    assert_eq!(readable("not JSON"), "not JSON\n");
    assert_eq!(readable(r#"{"stops":[]}"#), "stops: none\n");
}

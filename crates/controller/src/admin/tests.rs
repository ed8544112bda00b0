use super::*;

#[test]
fn responses_are_formatted_as_lines_and_tables() {
    let body = r#"{"teams":[{"cpus":{"used":1.5},"team":"red"},
        {"cpus":{"used":12},"team":"blue"}],"epoch":4,"leader":null}"#;
    let text = "epoch: 4\nleader: -\ncpus       team\nused 1.50  red\nused 12    blue\n";
    assert_eq!(format_body(body), text);
    assert_eq!(format_body("not JSON"), "not JSON\n");
    assert_eq!(format_body(r#"{"stops":[]}"#), "stops: none\n");
}

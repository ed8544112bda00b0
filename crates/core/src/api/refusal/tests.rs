use super::*;

#[test]
fn a_temporary_refusal_has_a_retry_delay() {
    let refusal = Refusal::StoreUnreachable;
    assert_eq!(refusal.status(), 503);
    assert_eq!(refusal.retry_after_s(), Some(1));
    let body = r#"{"error":"the state service does not answer"}"#;
    assert_eq!(refusal.body(), body);
}

#[test]
fn a_permanent_refusal_has_no_retry_delay() {
    let dependency: JobId = "wk-000001".parse().expect("an id");
    let cases = [
        (Refusal::NoSuchJob, 404, "no such job"),
        (Refusal::from(NeverRuns::UnknownTeam), 422, "unknown team"),
        (
            Refusal::UnknownDependency(dependency),
            422,
            "the job depends on wk-000001, which was never accepted",
        ),
    ];
    for (refusal, status, text) in cases {
        assert_eq!(refusal.status(), status);
        assert_eq!(refusal.retry_after_s(), None);
        assert_eq!(refusal.body(), format!(r#"{{"error":"{text}"}}"#));
    }
}

use super::*;

const NOW: Time = Time(1_000_000);

#[test]
fn the_budget_holds_one_second_of_calls_and_refills_by_its_rate() {
    let mut budget = DirectCallBudget::new(NOW);
    let calls_per_s = DirectCallBudget::calls_per_s(0);
    let take_all = |budget: &mut DirectCallBudget, now: Time| {
        let mut calls = 0;
        while budget.has_token(calls_per_s, now) {
            budget.take_token();
            calls += 1;
        }
        calls
    };
    assert_eq!(take_all(&mut budget, NOW), 50);
    assert_eq!(take_all(&mut budget, NOW + Span(100)), 5);
    assert_eq!(take_all(&mut budget, NOW + Span(60_000)), 50);
    assert_eq!(DirectCallBudget::calls_per_s(4_000), 450.0);
}

#[test]
fn agents_count_as_unreachable_only_after_several_unanswered_calls_over_some_time() {
    let mut reachability = AgentReachability::new(NOW);
    let later = NOW + Span(3_001);
    reachability.call_unanswered();
    reachability.call_unanswered();
    assert!(!reachability.reaches_no_agent(later), "two calls");
    reachability.call_unanswered();
    assert!(
        !reachability.reaches_no_agent(NOW + Span(3_000)),
        "too soon"
    );
    assert!(reachability.reaches_no_agent(later));
    reachability.call_answered(later);
    assert!(!reachability.reaches_no_agent(later + Span(10_000)));
}

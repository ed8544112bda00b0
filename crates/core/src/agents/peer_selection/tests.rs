use super::*;

const NOW: Time = Time(1_000_000);
const REPORT_INTERVAL: Span = Span(6_000);

/// A leader that no agent reaches seems idle, and the other nodes must not redirect all of their agents to it.
#[test]
fn only_one_agent_is_redirected_on_trial_to_a_node_that_no_agent_reaches() {
    let mut balancer = AgentBalancer::default();
    let name = NodeName::from("n1");
    let peer = |agent_count: u32, silence: u64| PeerStatus {
        agent_count,
        agent_silence: Span(silence),
        ..PeerStatus::default()
    };
    let busy = peer(100, 200);
    let unreached = [peer(100, 1_600), peer(0, 200), peer(0, u64::MAX)];
    assert!(unreached
        .iter()
        .all(|p| balancer.may_redirect_to(&name, p, REPORT_INTERVAL, NOW)));
    balancer.redirected_at.insert(name.clone(), NOW);
    let soon = NOW + Span(900);
    assert!(balancer.may_redirect_to(&name, &busy, REPORT_INTERVAL, soon));
    assert!(!unreached
        .iter()
        .any(|p| balancer.may_redirect_to(&name, p, REPORT_INTERVAL, soon)));
    let later = NOW + Span(1_100);
    assert!(balancer.may_redirect_to(&name, &unreached[1], REPORT_INTERVAL, later));
    // A peer with few agents is reached less often.
    assert!(balancer.may_redirect_to(&name, &peer(4, 7_000), REPORT_INTERVAL, soon));
}

/// Looking through all agents of the node with each report costs more than all other work at 4,000 machines.
#[test]
fn agents_that_have_left_are_not_counted() {
    let mut balancer = AgentBalancer::default();
    for n in 0..4_000 {
        let machine = MachineId::from(format!("vm-{n}").as_str());
        balancer.agent_reported(&machine, NOW);
    }
    assert_eq!(balancer.agent_count(REPORT_INTERVAL, NOW), 4_000);
    let left = NOW + MIN_AGENT_TIMEOUT + Span(REPORT_INTERVAL.0 * 5 / 4) + AGENT_TIMEOUT_MARGIN;
    assert_eq!(balancer.agent_count(REPORT_INTERVAL, left), 0);
}

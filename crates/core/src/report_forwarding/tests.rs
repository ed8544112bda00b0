use super::*;

/// A leader that no worker reached looked idle, and the others sent it all of theirs.
#[test]
fn to_a_node_that_no_worker_reaches_one_is_sent_on_trial() {
    let (mut forwarding, now, report) = (ReportForwarding::default(), Time(1_000_000), Span(6_000));
    let name = NodeName::from("n1");
    let peer = |workers: u32, silence: u64| PeerView {
        workers,
        worker_silence: Span(silence),
        ..PeerView::default()
    };
    let busy = peer(100, 200);
    let cut = [peer(100, 1_600), peer(0, 200), peer(0, u64::MAX)];
    assert!(cut
        .iter()
        .all(|p| forwarding.may_send(&name, p, report, now)));
    forwarding.trials.insert(name.clone(), now);
    let soon = now + Span(900);
    assert!(forwarding.may_send(&name, &busy, report, soon));
    assert!(!cut
        .iter()
        .any(|p| forwarding.may_send(&name, p, report, soon)));
    assert!(forwarding.may_send(&name, &cut[1], report, now + Span(1_100)));
    // One with few workers is not always heard of.
    assert!(forwarding.may_send(&name, &peer(4, 7_000), report, soon));
}

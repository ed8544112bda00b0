use super::*;
use crate::store::records::LEADER_KEY;
use crate::testing::token_range;
use rudderreel_wire::ids::Version;
use rudderreel_wire::state::{Change, Item};

const NOW: Time = Time(1_000_000);

fn node() -> Election {
    Election::new("n1".into(), 3, 0)
}

fn leader(epoch: u64) -> StoreAnswer {
    let record = LeaderRecord::new("n0".into(), Epoch(epoch), LeaseId(1));
    StoreAnswer::Found(Item {
        key: LEADER_KEY.into(),
        value: serde_json::to_value(record).expect("a value"),
        version: Version(3),
        lease: Some(LeaseId(1)),
    })
}

/// Returns a node that has read the leader's epoch and then lost contact with the store, and a time in the outage.
fn in_an_outage(epoch: u64) -> (Election, Time) {
    let mut node = node();
    node.observe_jobs_read();
    node.observe_store_answer(NOW, &leader(epoch));
    node.answered(
        NOW,
        NOW,
        ElectionCall::ReadLeaderKey(LeaderKey::Common),
        leader(epoch),
    );
    let later = NOW + Span(2_000);
    node.observe_store_answer(later, &StoreAnswer::Refused);
    (node, later)
}

#[test]
fn a_lease_vote_is_granted_in_an_outage_only_for_the_highest_epoch_known() {
    let (mut node, now) = in_an_outage(4);
    assert!(!node.grant_lease_vote(now, Epoch(3), VoteRequester::Leader));
    assert!(node.grant_lease_vote(now, Epoch(4), VoteRequester::Leader));
    node.observe_epoch(Epoch(5), now);
    assert!(
        !node.grant_lease_vote(now, Epoch(4), VoteRequester::Leader),
        "the node has acknowledged a higher epoch"
    );
}

#[test]
fn no_lease_vote_while_the_store_answers() {
    let mut node = node();
    node.observe_store_answer(NOW, &leader(4));
    node.answered(
        NOW,
        NOW,
        ElectionCall::ReadLeaderKey(LeaderKey::Common),
        leader(4),
    );
    assert!(!node.grant_lease_vote(NOW, Epoch(4), VoteRequester::Leader));
}

/// A node may have acknowledged a higher epoch before a restart, so it grants no lease vote before it has read the
/// epoch since then.
#[test]
fn no_lease_vote_before_the_epoch_was_read() {
    let mut node = node();
    node.observe_jobs_read();
    node.observe_store_answer(NOW, &StoreAnswer::Refused);
    node.observe_epoch(Epoch(4), NOW);
    assert!(!node.grant_lease_vote(NOW, Epoch(4), VoteRequester::Leader));
}

/// A node may have acknowledged a cancellation before a restart, and forgotten it.
#[test]
fn no_lease_vote_before_the_jobs_were_read() {
    let (mut node, now) = in_an_outage(4);
    node.jobs_read = false;
    assert!(
        !node.grant_lease_vote(now, Epoch(4), VoteRequester::Leader) && !node.could_stand_in(now)
    );
}

/// A claim of unknown outcome may yet be carried out, and make this node the leader.
#[test]
fn no_lease_vote_while_a_claim_has_an_unknown_outcome() {
    let (mut node, now) = in_an_outage(4);
    let claim = Claim {
        lease: LeaseId(9),
        lease_sent: now,
        tokens: token_range(5, 5),
    };
    let call = ElectionCall::Claim(claim);
    let progress = node.answered(now, now, call, StoreAnswer::Unknown);
    assert_eq!(progress.event, ElectionEvent::Nothing);
    let request = progress.request.expect("a call");
    assert!(matches!(request.purpose, ElectionCall::VerifyClaim(of) if of == claim));
    assert!(!node.grant_lease_vote(now, Epoch(4), VoteRequester::Leader));
}

#[test]
fn no_campaign_before_the_last_lease_vote_has_expired() {
    let (mut node, now) = in_an_outage(4);
    assert!(node.grant_lease_vote(now, Epoch(4), VoteRequester::Leader));
    node.observe_store_answer(now, &StoreAnswer::Missing);
    let campaigns = |node: &mut Election, at: Time| {
        let requests = node.tick(at, LeaderKeyState::Vacant { superseded: None }, None);
        (requests.iter()).any(|request| matches!(request.purpose, ElectionCall::ReadEpoch))
    };
    assert!(!campaigns(&mut node, now + Span(1_400)));
    assert!(campaigns(&mut node, now + Span(1_600)));
}

/// A node that stood in then could keep an agent's lease alive that the leader believes to have expired.
#[test]
fn no_node_stands_in_while_heartbeats_of_the_leader_arrive() {
    let (mut node, now) = in_an_outage(4);
    node.observe_leader(now);
    node.record_lease_vote("n2".into(), now);
    assert!(!node.grant_lease_vote(now + Span(1_100), Epoch(4), VoteRequester::StandIn));
    assert!(!node.stands_in_for_leader(now + Span(1_100)));
    assert!(node.grant_lease_vote(now + Span(1_200), Epoch(4), VoteRequester::StandIn));
    assert!(node.stands_in_for_leader(now + Span(1_200)));
    assert!(
        !node.stands_in_for_leader(now + Span(1_600)),
        "the lease vote has expired"
    );
}

#[test]
fn a_lease_vote_for_an_earlier_epoch_does_not_count() {
    let (mut node, now) = in_an_outage(4);
    node.record_lease_vote("n2".into(), now);
    assert!(node.stands_in_for_leader(now));
    node.observe_epoch(Epoch(5), now + Span(10));
    node.record_lease_vote("n2".into(), now + Span(5));
    assert!(!node.stands_in_for_leader(now + Span(10)));
}

#[test]
fn a_claim_of_unknown_outcome_that_was_carried_out_wins() {
    let mut node = node();
    let call = ElectionCall::VerifyClaim(Claim {
        lease: LeaseId(1),
        lease_sent: NOW,
        tokens: token_range(6, 6),
    });
    let mut found = leader(6);
    if let StoreAnswer::Found(item) = &mut found {
        item.value["node"] = "n1".into();
    }
    let progress = node.answered(NOW, NOW, call, found);
    let win = ElectionWin {
        tokens: token_range(6, 6),
        lease: LeaseId(1),
        lease_sent: NOW,
        key: LeaderKey::Common,
        version: Version(3),
    };
    assert_eq!(progress.event, ElectionEvent::Won(win));
}

fn outdated_leader() -> StoredLeader {
    let record = LeaderRecord {
        format: 0,
        ..LeaderRecord::new("n0".into(), Epoch(4), LeaseId(1))
    };
    StoredLeader {
        version: Version(3),
        record,
    }
}

/// Returns the purposes of a campaign's calls. Reads of the leader key are left out.
fn purposes<'a>(requests: impl IntoIterator<Item = &'a ElectionRequest>) -> Vec<String> {
    let campaign = (requests.into_iter())
        .filter(|request| !matches!(request.purpose, ElectionCall::ReadLeaderKey(_)));
    campaign
        .map(|request| format!("{:?}", request.purpose))
        .collect()
}

/// A leader that must not lead any more loses its key, but the key stays in the store: if it were absent, another
/// process of such a version would campaign for it.
#[test]
fn an_outdated_leader_is_superseded_and_its_key_stays() {
    let mut node = node();
    node.observe_store_answer(NOW, &StoreAnswer::Missing);
    let leader = outdated_leader();
    let requests = node.tick(NOW, LeaderKeyState::Outdated(&leader), None);
    assert_eq!(purposes(&requests), ["Supersede"]);
    let Some(StoreCall::Commit(transaction)) = requests.last().map(|request| &request.call) else {
        panic!("a commit is expected");
    };
    assert_eq!(transaction.conditions[0].version, leader.version);
    let Change::Put { key, lease, value } = &transaction.changes[0] else {
        panic!("expected a change that keeps the key");
    };
    assert_eq!((key.as_str(), *lease), (LEADER_KEY, None));
    let tombstone: LeaderRecord = serde_json::from_value(value.clone()).expect("a record");
    assert!(tombstone.superseded);
    assert_eq!(tombstone.lease_to_end(), Some(LeaseId(1)));
    // The commit is not sent on every tick.
    let requests = node.tick(NOW + Span(100), LeaderKeyState::Outdated(&leader), None);
    assert_eq!(purposes(&requests), Vec::<String>::new());
}

/// While the lease of a superseded leader is alive, that leader continues to answer agents.
#[test]
fn no_node_is_elected_before_the_lease_of_a_superseded_leader_has_ended() {
    let mut node = node();
    node.observe_store_answer(NOW, &StoreAnswer::Missing);
    let StoredLeader { version, record } = outdated_leader();
    let common = StoredLeader {
        version,
        record: record.tombstone(Some(record.lease)),
    };
    let leader_key_state = LeaderKeyState::Vacant {
        superseded: Some(&common),
    };
    assert_eq!(
        purposes(&node.tick(NOW, leader_key_state, None)),
        ["EndSupersededLease"]
    );
    let end = ElectionCall::EndSupersededLease;
    let progress = node.answered(NOW, NOW, end.clone(), StoreAnswer::Unknown);
    assert!(progress.request.is_none(), "the lease may not have ended");
    let later = NOW + Span(2_000);
    assert_eq!(
        purposes(&node.tick(later, leader_key_state, None)),
        ["EndSupersededLease"]
    );
    let progress = node.answered(later, later, end, StoreAnswer::Done);
    assert_eq!(purposes(&progress.request), ["ReadEpoch"]);
    let acquired = StoreAnswer::Lease(LeaseId(9));
    let progress = node.answered(later, later, ElectionCall::AcquireLease, acquired);
    let Some(StoreCall::Commit(claim)) = progress.request.map(|request| request.call) else {
        panic!("a claim is expected");
    };
    let condition = |key: &str| claim.conditions.iter().find(|c| c.key == key);
    let versions = [LEADER_KEY, crate::store::records::GATED_LEADER_KEY]
        .map(|key| condition(key).map(|c| c.version));
    assert_eq!(versions, [Some(version), Some(Version(0))]);
}

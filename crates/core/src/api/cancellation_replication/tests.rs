use super::peer_links::REPLICATION_RETRY_INTERVAL;
use super::*;
use crate::io::{ReqId, RequestOrigin, UserRequest};
use crate::leader::Leader;
use crate::store::records::{JobRecord, LeaderKey, LeaderRecord, StoredLeader};
use crate::testing::{add_live_machine, add_running_task, job, leader, NOW};
use crate::units::Now;
use rudderreel_wire::ids::{Epoch, LeaseId};
use rudderreel_wire::job::JobState;
use rudderreel_wire::peer::CancelledJob;

const CANCELLED_AT: Version = Version(20);

fn id() -> JobId {
    job(1, "sweep", "red", "normal").spec.id.clone()
}

/// Returns the replicator of node n0 of three nodes, of which n1 has led for as long as a lease.
fn replicator() -> CancellationReplicator {
    let peers = ["n1", "n2"].map(NodeName::from);
    let mut replicator = CancellationReplicator::new("n0".into(), peers, 2);
    replicator.advance_watermark(CANCELLED_AT);
    let lease_ago = Time(NOW.time.0 - LeaseBarrier::span().0);
    replicator.observe_cache(&cache_named_leader("n1", Version(1)), lease_ago);
    replicator
}

/// Returns a cache without jobs that has reached a revision and names a leader.
fn cache_named_leader(leader: &str, revision: Version) -> JobCache {
    let mut cache = JobCache::default();
    cache.set_complete(true);
    cache.confirm(revision, NOW.time);
    let record = LeaderRecord::new(leader.into(), Epoch(1), LeaseId(7));
    let version = Version(1);
    let leader = Some(StoredLeader { version, record });
    cache.update_leader(LeaderKey::Common, version, leader);
    cache
}

/// Returns a cache that holds one cancelled job and names n1 as the leader.
fn cache() -> JobCache {
    let mut record = JobRecord::queued(&job(1, "sweep", "red", "normal").spec, NOW.wall);
    record.state = JobState::Cancelled;
    let mut cache = cache_named_leader("n1", CANCELLED_AT);
    cache.update_job(id(), CANCELLED_AT, record);
    cache
}

fn request(n: u64) -> PendingRequest {
    let request = UserRequest::Cancel(id());
    PendingRequest::new(ReqId(n), request, RequestOrigin::Direct, NOW.time)
}

fn context(jobs: &JobCache, waited: Span) -> AcknowledgementContext<'_> {
    AcknowledgementContext {
        jobs,
        leader: None,
        now: Now {
            time: NOW.time + waited,
            ..NOW
        },
    }
}

/// Returns a replicator with one waiting request.
fn waiting_replicator(jobs: &JobCache) -> CancellationReplicator {
    let mut replicator = replicator();
    let decided = replicator.acknowledge_or_wait(request(1), CANCELLED_AT, &context(jobs, Span(0)));
    assert!(decided.is_none());
    replicator
}

fn peers_of(messages: &[OutgoingReplication]) -> Vec<&str> {
    messages.iter().map(|m| m.peer.as_str()).collect()
}

fn reply(watermark: u64) -> ReplicateCancellationsReply {
    ReplicateCancellationsReply {
        cancellation_watermark: Version(watermark),
    }
}

#[test]
fn a_cancellation_is_acknowledged_once_a_majority_knows_it() {
    let jobs = cache();
    let mut replicator = waiting_replicator(&jobs);
    let messages = replicator.messages_due(&jobs, NOW.time);
    assert_eq!(peers_of(&messages), ["n1", "n2"]);
    assert_eq!(messages[0].message.cancelled.len(), 1);
    assert!(replicator
        .decide_waiting(&context(&jobs, Span(1)))
        .is_empty());
    // The peer's watermark is far behind: the peer knows the cancellation only from the message.
    assert!(replicator.replication_acknowledged(&"n1".into(), &reply(3)));
    let decided = replicator.decide_waiting(&context(&jobs, Span(1)));
    assert!(matches!(decided[..], [Acknowledgement::Respond(_)]));
}

#[test]
fn a_watermark_past_the_cancellation_acknowledges_it() {
    let jobs = cache();
    let mut replicator = replicator();
    replicator.peer_watermark_received(&"n1".into(), CANCELLED_AT);
    let decided =
        replicator.acknowledge_or_wait(request(1), CANCELLED_AT, &context(&jobs, Span(0)));
    assert!(matches!(decided, Some(Acknowledgement::Respond(_))));
}

#[test]
fn messages_of_nodes_that_are_not_peers_acknowledge_nothing() {
    let jobs = cache();
    let mut replicator = replicator();
    replicator.peer_watermark_received(&"n9".into(), CANCELLED_AT);
    replicator.replication_received(&ReplicateCancellations {
        from: "n9".into(),
        cancellation_watermark: CANCELLED_AT,
        cancelled: Vec::new(),
    });
    let record = WatermarkRecord {
        cancellation_watermark: CANCELLED_AT,
        requested_watermark: Version(0),
    };
    replicator.watermark_records_read(&BTreeMap::from([("n0".into(), record)]));
    let decided =
        replicator.acknowledge_or_wait(request(1), CANCELLED_AT, &context(&jobs, Span(0)));
    assert!(decided.is_none());
}

#[test]
fn a_peer_that_sends_a_cancellation_knows_it() {
    let jobs = cache();
    let mut replicator = waiting_replicator(&jobs);
    let cancelled = jobs.cancellation(&id(), CANCELLED_AT);
    let answer = replicator.replication_received(&ReplicateCancellations {
        from: "n1".into(),
        cancellation_watermark: Version(1),
        cancelled: cancelled.into_iter().collect::<Vec<CancelledJob>>(),
    });
    assert_eq!(answer.cancellation_watermark, CANCELLED_AT);
    let decided = replicator.decide_waiting(&context(&jobs, Span(1)));
    assert!(matches!(decided[..], [Acknowledgement::Respond(_)]));
}

/// A majority without the leader used to suffice after 150 ms, and at once if the leader was not heard.
#[test]
fn the_leaders_own_acknowledgement_is_awaited_for_as_long_as_its_lease() {
    let jobs = cache();
    let mut replicator = waiting_replicator(&jobs);
    replicator.peer_watermark_received(&"n2".into(), CANCELLED_AT);
    let early = context(&jobs, Span(LeaseBarrier::span().0 - 1));
    assert!(replicator.decide_waiting(&early).is_empty());
    let late = context(&jobs, LeaseBarrier::span());
    let decided = replicator.decide_waiting(&late);
    assert!(matches!(decided[..], [Acknowledgement::Respond(_)]));
    // A user who asks again does not have to wait again.
    let late = context(&jobs, LeaseBarrier::span());
    let decided = replicator.acknowledge_or_wait(request(2), CANCELLED_AT, &late);
    assert!(matches!(decided, Some(Acknowledgement::Respond(_))));
}

#[test]
fn a_leader_elected_within_the_last_lease_suffices_only_with_all_other_nodes() {
    let jobs = cache();
    let mut replicator = waiting_replicator(&jobs);
    let later_leader = cache_named_leader("n2", CANCELLED_AT);
    replicator.observe_cache(&later_leader, NOW.time);
    replicator.observe_cache(&jobs, NOW.time);
    replicator.peer_watermark_received(&"n1".into(), CANCELLED_AT);
    let now = context(&jobs, Span(1));
    assert!(replicator.decide_waiting(&now).is_empty());
    replicator.peer_watermark_received(&"n2".into(), CANCELLED_AT);
    let decided = replicator.decide_waiting(&now);
    assert!(matches!(decided[..], [Acknowledgement::Respond(_)]));
}

/// A request is refused before its sender gives up, and answered once it is repeated.
#[test]
fn a_status_query_is_refused_while_the_leader_may_not_know() {
    let jobs = cache();
    let mut replicator = replicator();
    replicator.peer_watermark_received(&"n2".into(), CANCELLED_AT);
    let request = UserRequest::Status(id());
    let query = PendingRequest::new(ReqId(1), request, RequestOrigin::Direct, NOW.time);
    let now = context(&jobs, Span(0));
    assert!(replicator
        .acknowledge_or_wait(query, CANCELLED_AT, &now)
        .is_none());
    assert!(replicator
        .decide_waiting(&context(&jobs, Span(1_699)))
        .is_empty());
    let decided = replicator.decide_waiting(&context(&jobs, Span(1_700)));
    let refusal = Refusal::CancellationUnknownToLeader;
    assert!(matches!(&decided[..], [Acknowledgement::Refuse(_, why)] if *why == refusal));
}

/// The store refuses this node, so its cache does not reach the cancellation, which a peer has sent. The time for which
/// the node has known the cancellation must count over several queries, or each of them would be refused.
#[test]
fn repeated_status_queries_are_answered_on_a_node_that_the_store_refuses() {
    let mut record = JobRecord::queued(&job(1, "sweep", "red", "normal").spec, NOW.wall);
    record.state = JobState::Cancelled;
    let mut jobs = cache_named_leader("n1", Version(1));
    jobs.update_job(id(), CANCELLED_AT, record);
    let mut replicator = replicator();
    replicator.peer_watermark_received(&"n2".into(), CANCELLED_AT);
    let query = |at: Span| {
        let request = UserRequest::Status(id());
        PendingRequest::new(ReqId(1), request, RequestOrigin::Direct, NOW.time + at)
    };
    let first =
        replicator.acknowledge_or_wait(query(Span(0)), CANCELLED_AT, &context(&jobs, Span(0)));
    assert!(first.is_none());
    let decided = replicator.decide_waiting(&context(&jobs, Span(1_700)));
    assert!(matches!(decided[..], [Acknowledgement::Refuse(..)]));
    replicator.forget_replicated();
    let early = Span(LeaseBarrier::span().0 - 1);
    let second = replicator.acknowledge_or_wait(query(early), CANCELLED_AT, &context(&jobs, early));
    assert!(second.is_none());
    replicator.forget_replicated();
    let late = LeaseBarrier::span();
    let third = replicator.acknowledge_or_wait(query(late), CANCELLED_AT, &context(&jobs, late));
    assert!(matches!(third, Some(Acknowledgement::Respond(_))));
}

#[test]
fn a_leader_acknowledges_alone_only_if_no_task_is_left() {
    let jobs = cache();
    let mut leader = leader();
    leader.term.lease_renewed(NOW.time);
    let machine = add_live_machine(&mut leader, "m1", "a");
    let decide = |leader: &Leader| {
        let context = AcknowledgementContext {
            leader: Some(leader),
            ..context(&jobs, Span(0))
        };
        replicator().acknowledge_or_wait(request(1), CANCELLED_AT, &context)
    };
    assert!(matches!(decide(&leader), Some(Acknowledgement::Respond(_))));
    add_running_task(&mut leader, &job(1, "sweep", "red", "normal"), 0, &machine);
    assert!(decide(&leader).is_none());
}

#[test]
fn a_request_without_enough_acknowledgements_is_refused_and_watermarks_are_requested() {
    let jobs = cache();
    let mut replicator = waiting_replicator(&jobs);
    let at_timeout = context(&jobs, ACKNOWLEDGEMENT_TIMEOUT);
    assert!(replicator.decide_waiting(&at_timeout).is_empty());
    assert_eq!(replicator.watermark_record_due(at_timeout.now.time), None);
    let late = context(&jobs, ACKNOWLEDGEMENT_TIMEOUT + Span(1));
    let decided = replicator.decide_waiting(&late);
    let refusal = Refusal::CancellationNotReplicated;
    assert!(matches!(&decided[..], [Acknowledgement::Refuse(_, why)] if *why == refusal));
    let record = replicator.watermark_record_due(late.now.time);
    assert_eq!(
        record.map(|record| record.requested_watermark),
        Some(CANCELLED_AT)
    );
    // The record is written once, unless the write fails.
    let later = late.now.time + Span(2_000);
    replicator.watermark_record_written(WriteOutcome::Committed);
    assert_eq!(replicator.watermark_record_due(later), None);
}

#[test]
fn a_requested_watermark_is_published_once_it_is_reached() {
    let mut replicator = replicator();
    let asked = |asks| WatermarkRecord {
        cancellation_watermark: Version(0),
        requested_watermark: Version(asks),
    };
    replicator.watermark_records_read(&BTreeMap::from([("n1".into(), asked(30))]));
    assert_eq!(replicator.watermark_record_due(NOW.time), None);
    replicator.advance_watermark(Version(31));
    let published = WatermarkRecord {
        cancellation_watermark: Version(31),
        requested_watermark: Version(0),
    };
    assert_eq!(replicator.watermark_record_due(NOW.time), Some(published));
    assert_eq!(replicator.watermark_record_due(NOW.time), None);
    replicator.watermark_record_written(WriteOutcome::Failed);
    let next = NOW.time + Span(1_000);
    assert_eq!(replicator.watermark_record_due(next), Some(published));
}

#[test]
fn one_message_to_a_peer_is_in_flight_and_an_unanswered_one_is_sent_again_later() {
    let jobs = cache();
    let mut replicator = waiting_replicator(&jobs);
    assert_eq!(replicator.messages_due(&jobs, NOW.time).len(), 2);
    replicator.forget_replicated();
    assert!(replicator.messages_due(&jobs, NOW.time).is_empty());
    replicator.replication_unanswered(&"n1".into(), NOW.time);
    replicator.forget_replicated();
    assert!(replicator.messages_due(&jobs, NOW.time).is_empty());
    replicator.forget_replicated();
    let retry_at = NOW.time + REPLICATION_RETRY_INTERVAL;
    let messages = replicator.messages_due(&jobs, retry_at);
    assert_eq!(peers_of(&messages), ["n1"]);
}

#[test]
fn waiting_requests_are_limited() {
    let jobs = cache();
    let mut replicator = replicator();
    let now = context(&jobs, Span(0));
    for n in 0..MAX_WAITING_REQUESTS as u64 {
        let decided = replicator.acknowledge_or_wait(request(n), CANCELLED_AT, &now);
        assert!(decided.is_none());
    }
    let decided = replicator.acknowledge_or_wait(request(1_000), CANCELLED_AT, &now);
    assert!(matches!(decided, Some(Acknowledgement::Refuse(..))));
}

fn heartbeat(watermark: u64, requests_lease_vote: bool) -> Heartbeat {
    Heartbeat {
        from: "n1".into(),
        epoch: rudderreel_wire::ids::Epoch(1),
        leads: true,
        store_reachable: false,
        requests_lease_vote,
        machines: 0,
        agents: 0,
        forwards_reports: false,
        agent_silence_ms: 0,
        partitioned_zones: Default::default(),
        counts: None,
        cancellation_watermark: Version(watermark),
    }
}

#[test]
fn a_lease_vote_comes_with_the_cancellations_that_the_requester_lacks() {
    let jobs = cache();
    let replicator = replicator();
    let offer = replicator.catch_up_for(&heartbeat(19, true), &jobs);
    let offer = offer.expect("an offer");
    assert!(offer.is_complete);
    assert_eq!(offer.catchup.cancellation_watermark, CANCELLED_AT);
    assert_eq!(offer.catchup.cancelled.len(), 1);
    // There is no offer for a node that asks for no vote, or has not read the jobs.
    assert!(replicator
        .catch_up_for(&heartbeat(19, false), &jobs)
        .is_none());
    assert!(replicator
        .catch_up_for(&heartbeat(0, true), &jobs)
        .is_none());
}

#[test]
fn a_catch_up_covers_no_more_than_this_node_knows_completely() {
    let mut jobs = cache();
    let mut replicator = replicator();
    // A single later cancellation that a peer sent is part of the offer, but does not advance the watermark.
    let mut record = jobs.job(&id()).expect("a job").record.clone();
    record.state = JobState::Cancelled;
    let later = job(2, "sweep", "red", "normal").spec.id.clone();
    jobs.update_job(later, Version(40), record);
    let offer = replicator.catch_up_for(&heartbeat(19, true), &jobs);
    let offer = offer.expect("an offer");
    assert_eq!(offer.catchup.cancelled.len(), 2);
    assert_eq!(offer.catchup.cancellation_watermark, CANCELLED_AT);
    // The cancellations that are cut off lie above the watermark that is sent, and the vote is not granted yet.
    replicator.advance_watermark(Version(50_000));
    let template = jobs.job(&id()).expect("a job").record.clone();
    for n in 0..MAX_CANCELLATIONS_PER_MESSAGE as u32 {
        let id = job(1_000 + n, "sweep", "red", "normal").spec.id.clone();
        jobs.update_job(id, Version(u64::from(1_000 + n)), template.clone());
    }
    let offer = replicator.catch_up_for(&heartbeat(19, true), &jobs);
    let offer = offer.expect("an offer");
    assert!(!offer.is_complete);
    assert_eq!(offer.catchup.cancelled.len(), MAX_CANCELLATIONS_PER_MESSAGE);
    assert_eq!(offer.catchup.cancellation_watermark, Version(1_997));
}

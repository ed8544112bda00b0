use super::*;
use crate::leadership::fencing_tokens::TOKENS_PER_EPOCH;
use crate::testing::token_range;

const NOW: Time = Time(1_000_000);
const NODES: usize = 3;
const MAJORITY: usize = NODES / 2 + 1;

fn term() -> Term {
    let win = ElectionWin {
        tokens: token_range(4, 4),
        lease: LeaseId(1),
        lease_sent: NOW,
        key: LeaderKey::Common,
        version: Version(7),
    };
    let mut term = Term::new(win, NOW);
    confirm_cache(&mut term, NOW);
    term
}

/// Confirms the node's cache by a call that was sent at `sent_at`.
fn confirm_cache(term: &mut Term, sent_at: Time) {
    let mut cache = term.cache;
    cache.confirm(Version(7), sent_at);
    term.cache_confirmed(cache);
}

#[test]
fn a_lease_counts_from_the_sending_and_ends_before_the_store_ends_it() {
    let mut term = term();
    confirm_cache(&mut term, NOW + Span(1_000));
    let margin = LEADER_LEASE_TTL.0.div_ceil(LEASE_MARGIN_DIVISOR);
    assert!(term.may_act(NOW + Span(LEADER_LEASE_TTL.0 - margin - 1)));
    assert!(!term.may_act(NOW + Span(LEADER_LEASE_TTL.0 - margin)));
    term.lease_renewed(NOW + Span(1_000));
    assert!(term.may_act(NOW + Span(LEADER_LEASE_TTL.0)));
}

/// A process that was paused may renew its lease before it has read what was committed during the pause.
#[test]
fn a_renewed_lease_counts_only_with_a_cache_that_is_as_fresh() {
    let mut term = term();
    let later = NOW + Span(56_000);
    term.lease_renewed(later);
    assert!(!term.may_act(later) && !term.may_answer_agents(later, true, MAJORITY));
    // An answer of the watch that came before the pause, or to a call sent before it, confirms nothing since then.
    confirm_cache(&mut term, NOW + Span(100));
    assert!(!term.may_act(later));
    confirm_cache(&mut term, later);
    assert!(term.may_act(later) && term.may_answer_agents(later, true, MAJORITY));
    let mut missed_changes = term.cache;
    missed_changes.invalidate();
    term.cache_confirmed(missed_changes);
    assert!(!term.may_act(later));
}

#[test]
fn lease_votes_of_a_majority_count_only_while_the_store_is_unreachable() {
    let mut term = term();
    let later = NOW + Span(10_000);
    term.record_lease_vote("n1".into(), later);
    assert!(term.may_answer_agents(later, false, MAJORITY));
    assert!(!term.may_answer_agents(later, true, MAJORITY));
    assert!(!term.may_answer_agents(later + LEASE_VOTE_TTL, false, MAJORITY));
}

/// Without acknowledgements of a majority another node could have stood in for this leader.
#[test]
fn old_leaders_count_as_fenced_only_while_a_majority_keeps_acknowledging() {
    let mut term = term();
    term.update_old_leaders_fenced_at(NOW, MAJORITY, false);
    assert_eq!(term.old_leaders_fenced_at(), None);
    term.record_acknowledgement("n1".into(), NOW);
    term.update_old_leaders_fenced_at(NOW, MAJORITY, false);
    let fenced_at = NOW + LEASE_VOTE_TTL.with_drift();
    assert_eq!(term.old_leaders_fenced_at(), Some(fenced_at));
    term.update_old_leaders_fenced_at(NOW + ACKNOWLEDGEMENT_TTL, MAJORITY, false);
    assert_eq!(term.old_leaders_fenced_at(), None);
}

#[test]
fn an_epoch_bump_changes_the_condition_of_every_write() {
    let mut term = term();
    let epoch = term.begin_epoch_bump(NOW);
    assert_eq!(epoch, Epoch(4 + TOKENS_PER_EPOCH));
    assert!(term.is_bumping_epoch() && term.is_key_changing());
    assert_eq!(term.epoch(), Epoch(4), "the bump is not committed yet");
    term.epoch_bumped(epoch, Version(9), NOW);
    assert_eq!(term.epoch(), epoch);
    assert_eq!(term.tokens(), token_range(4, epoch.0));
    assert_eq!(term.key_condition().version, Version(9));
    assert!(!term.is_key_changing());
}

#[test]
fn a_refused_epoch_bump_leaves_the_term_as_it_was() {
    let mut term = term();
    let later = NOW + Span(6_000);
    term.begin_epoch_bump(later);
    term.epoch_bump_refused();
    assert_eq!(term.epoch(), Epoch(4));
    assert_eq!(term.key_condition().version, Version(7));
    assert_eq!(
        term.last_epoch_bump_at(),
        later,
        "the bump is not retried at once"
    );
}

/// The numbers of a later epoch are higher than all numbers of an earlier one.
#[test]
fn attempts_and_segments_are_never_assigned_twice() {
    let mut term = term();
    let (attempt, segment) = (term.next_attempt(), term.next_segment());
    assert!(term.next_attempt() > attempt && term.next_segment() > segment);
    let last = (term.next_attempt(), term.next_segment());
    let epoch = term.begin_epoch_bump(NOW);
    term.epoch_bumped(epoch, Version(9), NOW);
    assert!(term.next_attempt() > last.0 && term.next_segment() > last.1);
}

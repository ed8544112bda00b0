//! Reclaim: teams that stay within their fair share take back room that other teams borrowed (article: "Two eviction
//! paths, never mixed").
//!
//! Invariant: the victim's team stays at or above its own fair share, and the reclaiming team within its share, so
//! that neither can take the room back from the other.

use super::evict::{evict_for, EvictionPolicy};
use super::scenario::Scenario;
use crate::fleet::StopReason;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::Snapshot;
use crate::teams::team_tree::Amounts;

/// Reclaims borrowed room for waiting jobs of teams below their fair share.
pub fn reclaim(
    leader: &Leader,
    snapshot: &mut Snapshot,
    waiting: &[&Job],
    scenario: &mut Scenario,
) {
    if !snapshot.quota.is_any_over_share() {
        return;
    }
    let policy = EvictionPolicy {
        reason: StopReason::Reclaimed,
        min_runtime: leader.policy.reclaim_min_runtime,
        allows: may_reclaim,
    };
    evict_for(leader, snapshot, waiting, scenario, &policy);
}

/// Whether a job may reclaim from a victim of another team that gives so much in all.
fn may_reclaim(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    victim: &Job,
    given: &Amounts,
) -> bool {
    let teams = &leader.policy.teams;
    let (Some(own), Some(theirs)) = (teams.find(&job.spec.team), teams.find(&victim.spec.team))
    else {
        return false;
    };
    let basis = snapshot.quota.reclaim_basis(job);
    own != theirs
        && basis.stays_within_share(own, &job.need, leader.policy.reclaim_multiplier)
        && basis.stays_at_share_without(theirs, given)
}

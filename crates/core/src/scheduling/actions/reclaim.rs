//! Reclaim: teams that stay within their fair share take back room that other teams borrowed (article "KAI
//! Scheduler Deep Dive", section "Two eviction paths, never mixed").
//!
//! Invariant: the victim's team stays at or above its own fair share, and the reclaiming team stays within its share,
//! so that neither can take the room back from the other.

use super::evict::{evict_for, EvictionPolicy};
use super::scenario::Scenario;
use crate::fleet::StopReason;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::Snapshot;
use crate::teams::team_tree::Amounts;

/// Reclaims borrowed room for waiting jobs of teams that stay within their fair share.
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

/// Returns whether a job may reclaim from a victim of another team. `evicted` is the total of that team's resources
/// that would be evicted.
fn may_reclaim(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    victim: &Job,
    evicted: &Amounts,
) -> bool {
    let teams = &leader.policy.teams;
    let (Some(own_team), Some(victim_team)) =
        (teams.find(&job.spec.team), teams.find(&victim.spec.team))
    else {
        return false;
    };
    let basis = snapshot.quota.reclaim_basis(job);
    own_team != victim_team
        && basis.stays_within_share(own_team, &job.need, leader.policy.reclaim_multiplier)
        && basis.stays_at_share_without(victim_team, evicted)
}

//! Preempt: within a team, work of strictly lower priority is stopped to make room for a waiting job (article "KAI
//! Scheduler Deep Dive", section "Two eviction paths, never mixed").

use super::evict::{evict_for, EvictionPolicy};
use super::scenario::Scenario;
use crate::fleet::StopReason;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::Snapshot;
use crate::teams::team_tree::Amounts;

/// Makes room within teams for waiting jobs of higher priority.
pub fn preempt(
    leader: &Leader,
    snapshot: &mut Snapshot,
    waiting: &[&Job],
    scenario: &mut Scenario,
) {
    // Only a job with a higher priority than some other job can preempt.
    let min_priority = leader.jobs.values().map(|job| job.urgency.priority).min();
    let may_find_victims: Vec<&Job> = (waiting.iter().copied())
        .filter(|job| Some(job.spec.priority) > min_priority)
        .collect();
    let policy = EvictionPolicy {
        reason: StopReason::Preempted,
        min_runtime: leader.policy.preempt_min_runtime,
        allows: may_preempt,
    };
    evict_for(leader, snapshot, &may_find_victims, scenario, &policy);
}

/// Returns whether a job may preempt a victim. An inherited priority protects a job from being stopped, and places it
/// first where room is free, but no work is stopped for it: when pipeline stages with an inherited priority did
/// preempt, they stopped about three hundred tasks that cannot save on one day of a large deployment, and deadlines
/// were missed because of that. When they did not, the pipelines were done in time.
fn may_preempt(_: &Leader, _: &Snapshot, job: &Job, victim: &Job, _: &Amounts) -> bool {
    job.spec.team == victim.spec.team && job.spec.priority > victim.urgency.priority
}

//! What a cycle does, in order: allocate free room to what can't be evicted, reclaim lent room, preempt
//! within a team, allocate the rest, consolidate.

mod allocate;
mod consolidate;
mod evict;
mod fit;
mod gather;
mod reclaim_gang;

pub use allocate::{allocate_non_preemptible, allocate_preemptible};
pub use consolidate::consolidate;
pub use evict::{preempt, reclaim, Scenario};
pub use fit::{allowed, fits};
pub use reclaim_gang::reclaim_gangs;

/// Whether one more task of a job has room somewhere.
pub fn has_room(
    leader: &crate::leader::Leader,
    snapshot: &crate::scheduling::snapshot::Snapshot,
    job: &crate::jobs::job::Job,
) -> bool {
    fit::best(leader, snapshot, job, false).is_some()
}

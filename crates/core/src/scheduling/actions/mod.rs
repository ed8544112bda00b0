//! The actions of a cycle (article "KAI Scheduler Deep Dive", section "The five actions"), each in a module of its own:
//!
//! * [`allocate`]: places waiting tasks on free room; nothing is stopped.
//! * [`mod@reclaim`] and [`reclaim_gang`]: take back room that other teams borrowed.
//! * [`mod@preempt`]: stops work of lower priority in the same team to make room.
//! * [`mod@consolidate`]: moves replicas off a machine so that it can be returned.
//!
//! Shared by the actions: filters ([`predicates`]) and scores ([`scoring`]) of machines, the search for [`victims`]
//! ([`evict`]), classes of equivalent tasks ([`task_class`]), and room reserved for gangs ([`gang_reservation`]). The
//! article's action for stale gangs has no counterpart here: a gang that lost a task is restarted when the status
//! reports of its agents are reconciled.

mod allocate;
mod consolidate;
mod evict;
mod gang_reservation;
mod predicates;
mod preempt;
mod reclaim;
mod reclaim_gang;
mod scenario;
mod scoring;
mod task_class;
mod victims;

pub use allocate::{allocate_non_preemptible, allocate_preemptible};
pub use consolidate::consolidate;
pub use predicates::{fits, should_avoid_gpus};
pub use preempt::preempt;
pub use reclaim::reclaim;
pub use reclaim_gang::reclaim_gangs;
pub use scenario::{Eviction, Scenario};
pub use scoring::ImagePreference;

use super::snapshot::Snapshot;
use crate::jobs::job::Job;
use crate::leader::Leader;

/// Returns whether one more task of a job has room on any machine.
pub fn has_room(leader: &Leader, snapshot: &Snapshot, job: &Job) -> bool {
    scoring::best_machine(leader, snapshot, job, ImagePreference::Any).is_some()
}

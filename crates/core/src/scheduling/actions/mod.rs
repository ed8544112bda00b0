//! The actions of a cycle (article: "The five actions"), each in a module of its own:
//!
//! * [`allocate`]: waiting tasks go on free room; nothing is stopped.
//! * [`mod@reclaim`] and [`reclaim_gang`]: room that other teams borrowed is taken back.
//! * [`mod@preempt`]: work of lower priority in the same team makes room.
//! * [`mod@consolidate`]: replicas are moved off a machine so that it can be returned.
//!
//! What they share: filters ([`predicates`]) and scores ([`scoring`]) of machines, the search for [`victims`]
//! ([`evict`]), the class of tasks that are decided alike ([`task_class`]), and room reserved for gangs
//! ([`gang_reservation`]). The article's action for stale gangs has no counterpart here: a gang that lost a task
//! is restarted where its agents' status reports are reconciled.

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
pub use predicates::{fits, satisfies_node_affinity, should_avoid_gpus};
pub use preempt::preempt;
pub use reclaim::reclaim;
pub use reclaim_gang::reclaim_gangs;
pub use scenario::{Eviction, Scenario};
pub use scoring::ImagePreference;

use super::snapshot::Snapshot;
use crate::jobs::job::Job;
use crate::leader::Leader;

/// Whether one more task of a job has room somewhere.
pub fn has_room(leader: &Leader, snapshot: &Snapshot, job: &Job) -> bool {
    scoring::best_machine(leader, snapshot, job, ImagePreference::Any).is_some()
}

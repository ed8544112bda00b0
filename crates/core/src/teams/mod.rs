//! Teams (article "KAI Scheduler Deep Dive", section "Queues and hierarchical fair share"): the tree of teams and
//! groups with their quotas, limits, weights and priorities ([`team_tree`]), and the division of the fleet among them
//! ([`fair_share`]).
//!
//! The tree is built from the platform's settings with the operators' settings applied on top. The resources in use by
//! teams are counted in the [`snapshot`](crate::scheduling::snapshot) of a scheduling cycle.

pub mod fair_share;
pub mod team_tree;

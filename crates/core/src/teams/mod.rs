//! The teams of the platform (article: "Queues and hierarchical fair share"): the tree with its quotas, limits, weights
//! and priorities ([`team_tree`]), and the division of the fleet among them ([`fair_share`]).
//!
//! In: the platform's settings, and the operators' over them. Out: the tree, and fair shares of a total. What teams use
//! is counted in the [`snapshot`](crate::scheduling::snapshot) of a cycle.

pub mod fair_share;
pub mod team_tree;

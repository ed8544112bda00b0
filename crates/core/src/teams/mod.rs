pub mod fair_share;
pub mod team_tree;

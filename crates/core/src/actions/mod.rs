//! What a cycle does, in order: allocate free room, reclaim lent room, preempt within a team.

mod allocate;
mod evict;
mod fit;

pub use allocate::allocate;
pub use evict::{preempt, reclaim};
pub use fit::allowed;

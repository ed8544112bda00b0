//! Dispatch: the commands that agents get, in answers to their reports and by direct calls.
//!
//! **Invariants.** A start is sent only if [`start_check`] allows it, at the moment of sending: it is checked against
//! everything that may exist anywhere, and whatever was decided earlier. An agent is told to forget a task only in
//! the answer to a report, since a direct call may arrive late.
//!
//! **In and out.** The placements of the fleet go in, commands for one machine come out; what was sent is noted on
//! the placed tasks. The node sends the calls and hands their outcomes back.

pub mod commands;
pub mod direct_calls;
pub mod start_check;
pub mod team_usage;

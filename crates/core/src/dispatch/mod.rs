//! Dispatch of commands to agents, in the answers to their status reports and by direct calls.
//!
//! **Invariants.**
//! - A start is sent only if [`start_check`] allows it at the moment of sending. It is checked against everything that
//!   may exist anywhere, whatever was decided earlier.
//! - A command to forget a task is sent only in the answer to a status report, since a direct call may arrive late, and
//!   only once no start of the attempt would be carried out any more ([`fencing`]).
//!
//! **Interface.** The input is the fleet's placements, the output the commands for one machine. What was sent is
//! recorded on the placed tasks. The node makes the calls and passes their outcomes back.

pub mod commands;
pub mod direct_calls;
mod fencing;
pub mod start_check;
pub mod team_usage;

//! Overload protection: limits on a node's work when there is more of it than the node can do.
//!
//! | what is limited | by | module |
//! | --- | --- | --- |
//! | frequency of costly work (messages, wake-ups, direct calls) | the node's share of a processor, in the settings | [`processor_share`] |
//! | fraction of the time that the leader's long steps take (reconcile pass, scheduling cycle) | the duration of the last one | [`pacing`] |
//! | work that can wait, number of agents that the node asks for, whether it keeps leading | how long its inputs wait | [`backlog`] |
//! | connections of users, agents and peers, and the size of the fleet that they support | the sockets that the process may open | [`fleet_limits`] |
//!
//! [`pauses`] only records pauses of the whole process.
//!
//! Limits of other programs are defined with the calls to them: the store's in [`store::limits`](crate::store::limits),
//! the cloud's in [`cloud::calls`](crate::cloud::calls).
//!
//! Invariant: nothing that a safety rule depends on is stretched or postponed here: leases, fencing, heartbeats,
//! margins for clock drift. The modules take measurements (waits, durations, settings) and answer questions; they send
//! nothing.

pub mod backlog;
pub mod fleet_limits;
pub mod pacing;
pub mod pauses;
pub mod processor_share;

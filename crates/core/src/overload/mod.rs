//! Where the limits come from that a node keeps when it has more to do than it can.
//!
//! | budget | follows from | kept by |
//! | --- | --- | --- |
//! | how often costly things are done (messages, wake-ups, direct calls) | the node's share of a processor, in the settings | [`processor_share`] |
//! | how much of the time the leader's long steps take (reconcile pass, cycle) | how long the last one took | [`pacing`] |
//! | what can wait, how many agents the node asks for, whether it goes on leading | how long its inputs wait | [`backlog`] |
//! | connections of users, agents and peers, and the fleet that these carry | the sockets that the process may open | [`fleet_limits`] |
//!
//! [`pauses`] only records when the whole process stood still.
//!
//! Limits of other programs stand with the calls to them: the store's in [`store::limits`](crate::store::limits), the
//! cloud's in [`cloud::calls`](crate::cloud::calls).
//!
//! Invariant: nothing that a safety rule depends on is stretched or put off here: leases, fencing, heartbeats, margins
//! for clock drift. The parts take measurements (waits, durations, settings) and answer questions; they send nothing.

pub mod backlog;
pub mod fleet_limits;
pub mod pacing;
pub mod pauses;
pub mod processor_share;

//! The leader's conclusions from its agents' status reports, their answers to calls, and their silence.
//!
//! **Parts.** `reconciliation` compares a report with the placements; `task_outcomes` draws the consequences of
//! exits and losses; `fault_attribution` decides whether a machine or a job is to blame; `failure_detection`,
//! `zone_partitions` and `probing` deal with machines that are silent or can't be reached; `peer_selection`,
//! `report_forwarding` and `forwarded_reports` spread the reports of a large fleet over all nodes, which forward them
//! to the leader.
//!
//! **Invariants.** Nothing counts as gone without proof (see `fleet::machine`). An agent is answered only when the
//! leader's term allows it, since an answer renews the agent's lease.

pub mod failure_detection;
pub mod fault_attribution;
pub mod forwarded_reports;
pub mod peer_selection;
pub mod probing;
pub mod reconciliation;
pub mod report_forwarding;
pub mod task_outcomes;
pub mod zone_partitions;

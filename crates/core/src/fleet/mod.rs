//! The machines of the fleet, as the leader knows them, and the outcomes of its direct calls to their agents.
//!
//! **Owns** [`Machine`]s with the tasks that may be on them ([`PlacedTask`]); the set of machines that were returned to
//! the cloud; partitioned zones; the budget and the outcomes of direct calls to agents.
//!
//! **Invariants.** Capacity is free only once the task that occupied it is surely gone (see `machine`). A machine that
//! was returned is never added again: every message that still names it is late.
//!
//! **In and out.** `agents` applies status reports and answers, `placement_log` marks what is recorded, `dispatch`
//! marks what is sent, `scheduling` and `capacity` apply their decisions. This module sends nothing.

pub mod blame;
pub mod direct_calls;
pub mod machine;
pub mod placed_task;
pub mod reasons;
mod recording;
pub mod report_order;
pub mod zone_partitions;

pub use self::direct_calls::{AgentReachability, DirectCallBudget};
pub use self::machine::{Machine, MachineDescription};
pub use self::placed_task::{Phase, PlacedTask, StartSent, Stop, TaskChange, TaskExit};
pub use self::reasons::{RetireReason, StopReason};
pub use self::report_order::MessageOrder;
pub use self::zone_partitions::ZonePartitions;

use crate::overload::fleet_limits::FleetLimits;
use crate::units::{Span, Time};
use rudderreel_wire::ids::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// The machines, and whether their agents can be reached.
pub struct Fleet {
    /// Machines by id.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Zones that are partitioned from this node.
    pub partitioned_zones: ZonePartitions,
    /// Number of machines in excess of the connections that all nodes together accept from agents.
    pub machines_beyond_connections: usize,
    /// Time until which machines with non-preemptible work are probed before they have missed a status report.
    pub early_probing_until: Time,
    /// The budget of direct calls to agents.
    pub direct_calls: DirectCallBudget,
    /// Whether this node reaches any agents.
    pub reachability: AgentReachability,
    /// Machines that were returned to the cloud.
    returned: BTreeSet<MachineId>,
}

impl Fleet {
    /// Returns a fleet of which nothing is known yet.
    pub fn new(now: Time) -> Self {
        Self {
            machines: BTreeMap::new(),
            partitioned_zones: ZonePartitions::default(),
            machines_beyond_connections: 0,
            early_probing_until: now,
            direct_calls: DirectCallBudget::new(now),
            reachability: AgentReachability::new(now),
            returned: BTreeSet::new(),
        }
    }

    /// Returns whether a machine was returned to the cloud: any message that names it is late.
    pub fn is_returned(&self, id: &MachineId) -> bool {
        self.returned.contains(id)
    }

    /// Removes a machine that was returned to the cloud.
    pub fn remove_returned(&mut self, id: &MachineId) {
        self.returned.insert(id.clone());
        self.machines.remove(id);
    }

    /// Updates the number of machines in excess of the connections of all nodes, and logs a warning when it rises
    /// from zero.
    pub(crate) fn update_beyond_connections(&mut self, limits: Option<FleetLimits>) {
        let beyond = limits.map_or(0, |limits| limits.beyond(self.machines.len()));
        if beyond > 0 && self.machines_beyond_connections == 0 {
            let machines = self.machines.len();
            log::warn!("more machines than connections machines={machines} beyond={beyond}");
        }
        self.machines_beyond_connections = beyond;
    }
}

/// Timings of agents, from the platform's settings.
#[derive(Clone, Copy, Debug)]
pub struct AgentTimings {
    /// Time for which an agent keeps its tasks running without an answer to its status reports.
    pub lease: Span,
    /// Interval between an agent's status reports.
    pub report_interval: Span,
    /// Time within which the tasks of a cancelled job must be gone.
    pub cancel_deadline: Span,
}

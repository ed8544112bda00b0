//! The machines of the fleet, as the leader knows them, and what its calls to their agents show.
//!
//! **What it owns.** [`Machine`]s with the tasks that may be on them ([`PlacedTask`]); the machines that the cloud
//! has taken back; partitioned zones; the budget and the outcome of direct calls to agents.
//!
//! **Invariants.** Capacity is free only once what took it is surely gone (see `machine`). A machine that was
//! returned is never added again: whatever still names it is late.
//!
//! **In and out.** `agents` applies status reports and answers, `placement_log` marks what is recorded, `dispatch`
//! what is sent, `scheduling` and `capacity` what is decided. Nothing here sends anything.

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

/// The machines, and what is known of reaching them.
pub struct Fleet {
    /// Machines by name.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Zones that are partitioned from this node.
    pub partitioned_zones: ZonePartitions,
    /// Machines that the nodes' connections don't suffice for.
    pub machines_beyond_connections: usize,
    /// Until when machines are suspect that have not missed a status report yet.
    pub suspect_until: Time,
    /// The budget of direct calls to agents.
    pub direct_calls: DirectCallBudget,
    /// Whether this node reaches agents at all.
    pub reachability: AgentReachability,
    /// Machines that were returned to the cloud.
    returned: BTreeSet<MachineId>,
}

impl Fleet {
    /// A fleet of which nothing is known yet.
    pub fn new(now: Time) -> Self {
        Self {
            machines: BTreeMap::new(),
            partitioned_zones: ZonePartitions::default(),
            machines_beyond_connections: 0,
            suspect_until: now,
            direct_calls: DirectCallBudget::new(now),
            reachability: AgentReachability::new(now),
            returned: BTreeSet::new(),
        }
    }

    /// Whether a machine was returned to the cloud: a message that names it is late.
    pub fn is_returned(&self, id: &MachineId) -> bool {
        self.returned.contains(id)
    }

    /// Removes a machine that was returned to the cloud.
    pub fn remove_returned(&mut self, id: &MachineId) {
        self.returned.insert(id.clone());
        self.machines.remove(id);
    }

    /// Updates how many machines the connections of all nodes don't suffice for, and warns when there are first
    /// some.
    pub(crate) fn update_beyond_connections(&mut self, limits: Option<FleetLimits>) {
        let beyond = limits.map_or(0, |limits| limits.beyond(self.machines.len()));
        if beyond > 0 && self.machines_beyond_connections == 0 {
            let machines = self.machines.len();
            log::warn!("more machines than connections machines={machines} beyond={beyond}");
        }
        self.machines_beyond_connections = beyond;
    }
}

/// The deadlines that agents keep, as the platform's settings say.
#[derive(Clone, Copy, Debug)]
pub struct AgentTimings {
    /// How long an agent keeps its tasks running without an answer to its status reports.
    pub lease: Span,
    /// Interval of status reports.
    pub report_interval: Span,
    /// How long a cancelled job's tasks may remain.
    pub cancel_deadline: Span,
}

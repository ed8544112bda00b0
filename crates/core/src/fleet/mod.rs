//! The machines of the fleet, as the leader knows them, and what its calls to their agents show.

pub mod blame;
pub mod machine;

use crate::overload::fleet_limits::FleetLimits;
use crate::units::{Span, Time};
use machine::Machine;
use rudderreel_wire::ids::{MachineId, Zone};
use std::collections::BTreeMap;

/// Direct calls to agents a second. They make a start sooner than the next status report would; each costs a
/// connection, so in a rush what can wait is told when the agent reports.
pub const DIRECT_CALLS_PER_S: f64 = 50.0;

/// The machines, and what is known of reaching them.
pub struct Fleet {
    /// Machines by name.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines that were returned to the cloud, and when that was known.
    pub returned: BTreeMap<MachineId, Time>,
    /// Machines that the nodes' connections don't suffice for.
    pub beyond_connections: usize,
    /// Zones that are partitioned from this node, and since when nothing was heard of them, as far as is
    /// known: a leader before this one may have noticed.
    pub partitioned_zones: BTreeMap<Zone, Time>,
    /// The same as an earlier leader saw it.
    pub previously_partitioned_zones: BTreeMap<Zone, Time>,
    /// Since when zones that were partitioned no longer are.
    pub healed_zones: BTreeMap<Zone, Time>,
    /// Until when machines are suspect that have not missed a status report yet.
    pub suspect_until: Time,
    /// Direct calls that may be made now.
    pub direct_calls_left: f64,
    /// When that was counted.
    pub direct_calls_counted_at: Time,
    /// When any agent last answered a direct call.
    pub last_direct_answer_at: Time,
    /// How many direct calls have had no answer since.
    pub unanswered_calls: u32,
}

impl Fleet {
    /// A fleet of which nothing is known yet.
    pub fn new(now: Time) -> Self {
        Self {
            machines: BTreeMap::new(),
            returned: BTreeMap::new(),
            beyond_connections: 0,
            partitioned_zones: BTreeMap::new(),
            previously_partitioned_zones: BTreeMap::new(),
            healed_zones: BTreeMap::new(),
            suspect_until: now,
            direct_calls_left: DIRECT_CALLS_PER_S,
            direct_calls_counted_at: now,
            last_direct_answer_at: now,
            unanswered_calls: 0,
        }
    }

    /// Notes how many machines the connections of all nodes don't suffice for, and says so when some
    /// are first beyond them.
    pub(crate) fn update_beyond_connections(&mut self, limits: Option<FleetLimits>) {
        let beyond = limits.map_or(0, |limits| limits.beyond(self.machines.len()));
        if beyond > 0 && self.beyond_connections == 0 {
            let machines = self.machines.len();
            log::warn!("{machines} machines are {beyond} more than the nodes have connections for");
        }
        self.beyond_connections = beyond;
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

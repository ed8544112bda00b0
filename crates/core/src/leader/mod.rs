//! The state of a node while it leads, composed of the parts that own it.
//!
//! A [`Leader`] lives for one term: it is created when the node wins an election, recovers the state that earlier
//! leaders left in the store ([`recovery_progress`], `recovery`), and is dropped when the node steps down. None of its
//! state is kept for a later term.

pub mod policy;
mod recovery;
pub mod recovery_progress;

use crate::cloud::scale_out_requests::ScaleOutRequests;
use crate::fleet::{AgentTimings, Fleet};
use crate::jobs::job_table::JobTable;
use crate::leadership::election::ElectionWin;
use crate::leadership::term::Term;
use crate::metrics::LeaderMetrics;
use crate::overload::processor_share::ProcessorShare;
use crate::placement_log::PlacementLog;
use crate::store::limits::StoreLimits;
use crate::teams::team_tree::TeamTree;
use crate::units::{Span, Time};
use policy::SchedulingPolicy;
use recovery_progress::RecoveryProgress;
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::JobId;
use rudderreel_wire::settings::Settings;
use std::collections::BTreeSet;

/// Minimum delay of a requested scheduling cycle, and so the minimum time between two cycles.
const MIN_CYCLE_DEBOUNCE: Span = Span(60);
/// Number of machines that add one millisecond to the delay of a requested cycle: a cycle over a larger fleet takes
/// longer.
const MACHINES_PER_DEBOUNCE_MS: u64 = 10;
/// Time after its election during which a leader does not consolidate, that is, moves no replicas to empty machines.
const FIRST_CONSOLIDATION_DELAY: Span = Span(20_000);

/// The times at which scheduling cycles are due, and the state that one cycle keeps for the next.
pub struct CycleSchedule {
    /// Time at which the next cycle is due.
    pub next_cycle: Time,
    /// Earliest time at which replicas may next be moved to empty a machine.
    pub next_consolidation: Time,
    /// Gangs for which capacity is reserved.
    pub gang_reservations: BTreeSet<JobId>,
}

/// The state of a node while it leads.
pub struct Leader {
    /// The leader's term: lease, epoch, lease votes and acknowledgements.
    pub term: Term,
    /// Progress of the recovery of the state from the store.
    pub recovery: RecoveryProgress,
    /// Machines, and what is known about reaching their agents.
    pub fleet: Fleet,
    /// Jobs that are not done, or of which a task may still be on a machine.
    pub jobs: JobTable,
    /// Settings of the platform and the operators for scheduling.
    pub policy: SchedulingPolicy,
    /// Timings that agents are to keep: lease, report interval, cancellation deadline.
    pub agent_timings: AgentTimings,
    /// Limits of the store, which every write must respect.
    pub store_limits: StoreLimits,
    /// The write-ahead log of placements.
    pub placement_log: PlacementLog,
    /// Scale-out requests to the cloud.
    pub scale_out: ScaleOutRequests,
    /// Rate limit of the cloud, in calls per second.
    pub cloud_calls_per_s: f64,
    /// Times of the scheduling cycles, and the state kept between them.
    pub schedule: CycleSchedule,
    /// Counters and histograms of the leader's work.
    pub metrics: LeaderMetrics,
    /// How much less often this node does costly work because of its small share of a processor.
    pub processor_share: ProcessorShare,
}

impl Leader {
    /// Returns the state of a leader that has just won an election.
    pub fn new(settings: &Settings, teams: TeamTree, win: ElectionWin, now: Time) -> Self {
        let workers = &settings.params.workers;
        Self {
            term: Term::new(win, now),
            recovery: RecoveryProgress::default(),
            fleet: Fleet::new(now),
            jobs: JobTable::default(),
            policy: SchedulingPolicy::new(settings, teams),
            agent_timings: AgentTimings {
                lease: Span::secs(workers.lease_s),
                report_interval: Span::secs(workers.report_s),
                cancel_deadline: Span::secs(workers.cancel_s),
            },
            store_limits: StoreLimits::of(&settings.params.state),
            placement_log: PlacementLog::default(),
            scale_out: ScaleOutRequests::default(),
            cloud_calls_per_s: settings.params.cloud.rps,
            schedule: CycleSchedule {
                next_cycle: now,
                next_consolidation: now + FIRST_CONSOLIDATION_DELAY,
                gang_reservations: BTreeSet::new(),
            },
            metrics: LeaderMetrics::default(),
            processor_share: ProcessorShare::of(settings),
        }
    }

    /// Returns the number of machines that is reported to the other nodes. Until the state has been recovered it is
    /// `u32::MAX`, as in a large fleet, so that not all agents report to this node at once.
    pub fn fleet_size(&self) -> u32 {
        if self.recovery.is_complete() {
            self.fleet.machines.len() as u32
        } else {
            u32::MAX
        }
    }

    /// Requests a cycle after a short delay. A cycle over a large fleet takes longer, so the delay is longer and more
    /// changes are collected for one cycle.
    pub fn request_cycle(&mut self, now: Time) {
        let debounce_ms =
            MIN_CYCLE_DEBOUNCE.0 + self.fleet.machines.len() as u64 / MACHINES_PER_DEBOUNCE_MS;
        self.schedule.next_cycle = self.schedule.next_cycle.min(now + Span(debounce_ms));
    }

    /// Sets the machine types that the cloud offers, and updates the capacity of all machines known so far.
    pub fn set_catalog(&mut self, catalog: Catalog) {
        self.policy.catalog = catalog;
        for machine in self.fleet.machines.values_mut() {
            machine.capacity = self.policy.capacity_of(&machine.machine_type);
        }
    }
}

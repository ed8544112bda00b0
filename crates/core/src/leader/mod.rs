//! Everything that a node holds while it leads, composed of the parts that own it.
//!
//! A [`Leader`] lives for one term: it is made when the node wins an election, recovers the state that earlier leaders
//! left in the store ([`recovery_progress`], `recovery`), and is dropped when the node steps down. Nothing of it is
//! kept for a later term.

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

/// The least time between two cycles when there is something to do.
const CYCLE_DEBOUNCE: Span = Span(60);
/// A cycle over a larger fleet takes longer, so it waits for one more millisecond for so many machines.
const MACHINES_PER_DEBOUNCE_MS: u64 = 10;
/// Replicas are not moved to empty machines before a leader has led for so long.
const FIRST_CONSOLIDATION_AFTER: Span = Span(20_000);

/// When scheduling cycles are due, and what they keep from one to the next.
pub struct CycleSchedule {
    /// When the next cycle is due.
    pub next_cycle: Time,
    /// When replicas may be moved next to empty a machine.
    pub next_consolidation: Time,
    /// Gangs that capacity is reserved for.
    pub gang_reservations: BTreeSet<JobId>,
}

/// What a node holds while it leads.
pub struct Leader {
    /// Lease, epoch, lease votes and acknowledgements.
    pub term: Term,
    /// How far the recovery of the state has come.
    pub recovery: RecoveryProgress,
    /// Machines, and what is known of reaching them.
    pub fleet: Fleet,
    /// Jobs that are not done, or of which something may still be on a machine.
    pub jobs: JobTable,
    /// What the settings say about scheduling.
    pub policy: SchedulingPolicy,
    /// The deadlines that agents keep.
    pub agent_timings: AgentTimings,
    /// Limits of the store that every writer keeps to.
    pub store_limits: StoreLimits,
    /// The write-ahead log of placements.
    pub placement_log: PlacementLog,
    /// Scale-out requests to the cloud.
    pub scale_out: ScaleOutRequests,
    /// Calls a second that the cloud takes.
    pub cloud_calls_per_s: f64,
    /// When cycles are due.
    pub schedule: CycleSchedule,
    /// Counters and histograms.
    pub metrics: LeaderMetrics,
    /// How often costly things are done.
    pub processor_share: ProcessorShare,
}

impl Leader {
    /// A leader that has just won an election.
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
                next_consolidation: now + FIRST_CONSOLIDATION_AFTER,
                gang_reservations: BTreeSet::new(),
            },
            metrics: LeaderMetrics::default(),
            processor_share: ProcessorShare::of(settings),
        }
    }

    /// How many machines there are, for the other nodes: as long as that is not recovered, as if there were
    /// many, so that not all agents come here at once.
    pub fn fleet_size(&self) -> u32 {
        if self.recovery.is_complete() {
            self.fleet.machines.len() as u32
        } else {
            u32::MAX
        }
    }

    /// Asks for a cycle soon. A cycle over a large fleet takes longer, so more is collected for it.
    pub fn request_cycle(&mut self, now: Time) {
        let debounce_ms =
            CYCLE_DEBOUNCE.0 + self.fleet.machines.len() as u64 / MACHINES_PER_DEBOUNCE_MS;
        self.schedule.next_cycle = self.schedule.next_cycle.min(now + Span(debounce_ms));
    }

    /// Takes the machine types that the cloud offers, also for machines that were seen before them.
    pub fn set_catalog(&mut self, catalog: Catalog) {
        self.policy.catalog = catalog;
        for machine in self.fleet.machines.values_mut() {
            machine.capacity = self.policy.capacity_of(&machine.machine_type);
        }
    }
}

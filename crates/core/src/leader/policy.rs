//! What the platform's settings and the operators' settings say about scheduling.
//!
//! The platform's settings come from the settings file and hold for the life of the process; operators' settings are
//! laid over them and may change at any time ([`SchedulingPolicy::apply`]).

use crate::teams::team_tree::TeamTree;
use crate::units::{Resources, Span};
use rudderreel_wire::admin::AdminSettings;
use rudderreel_wire::cloud::{Catalog, MachineType};
use rudderreel_wire::ids::{Class, TypeName};
use rudderreel_wire::job::JobSpec;
use rudderreel_wire::settings::Settings;
use std::collections::BTreeMap;

/// The design's period of the scheduling cycle.
const CYCLE_PERIOD: Span = Span(2_000);
/// Younger work is not reclaimed, unless operators say otherwise.
const RECLAIM_MIN_RUNTIME: Span = Span(30_000);
/// How long an idle machine is kept, unless operators say otherwise.
const IDLE_RETENTION: Span = Span(20_000);
/// Service-level objectives in the settings file on how soon tasks start.
const START_OBJECTIVE: &str = "wait";
/// Service-level objectives in the settings file on how soon jobs are done.
const COMPLETION_OBJECTIVE: &str = "finished";

/// What the settings say about scheduling.
pub struct SchedulingPolicy {
    /// The teams: quotas, limits, weights and priorities.
    pub teams: TeamTree,
    /// Machine types that the cloud offers.
    pub catalog: Catalog,
    /// How soon tasks of a class should start, where users say so.
    pub start_objectives: BTreeMap<Class, Span>,
    /// The shortest time in which users want jobs of a class done.
    pub completion_objectives: BTreeMap<Class, Span>,
    /// Damps reclaim: at least 1.
    pub reclaim_multiplier: f64,
    /// Younger work is not reclaimed across teams.
    pub reclaim_min_runtime: Span,
    /// Younger work is not preempted within its team.
    pub preempt_min_runtime: Span,
    /// Time between cycles when nothing calls for one sooner.
    pub cycle_period: Span,
    /// How long an idle machine is kept.
    pub idle_retention: Span,
    /// How much capacity is kept for urgent arrivals: 1 for the usual, 0 for none.
    pub reserve_factor: f64,
}

impl SchedulingPolicy {
    /// By the platform's settings, with defaults for what operators may set.
    pub fn new(settings: &Settings, teams: TeamTree) -> Self {
        Self {
            teams,
            catalog: Catalog::default(),
            start_objectives: objectives(settings, START_OBJECTIVE),
            completion_objectives: objectives(settings, COMPLETION_OBJECTIVE),
            reclaim_multiplier: 1.0,
            reclaim_min_runtime: RECLAIM_MIN_RUNTIME,
            preempt_min_runtime: Span(0),
            cycle_period: CYCLE_PERIOD,
            idle_retention: IDLE_RETENTION,
            reserve_factor: 1.0,
        }
    }

    /// Applies the operators' settings.
    pub fn apply(&mut self, teams: TeamTree, settings: &AdminSettings) {
        self.teams = teams;
        self.cycle_period = Span::secs(settings.period_s);
        self.reclaim_multiplier = settings.reclaim_multiplier;
        self.reclaim_min_runtime = Span::secs(settings.reclaim_min_runtime_s);
        self.preempt_min_runtime = Span::secs(settings.preempt_min_runtime_s);
        self.idle_retention = Span::secs(settings.keep_idle_s);
        self.reserve_factor = settings.reserve_factor;
    }

    /// A machine type.
    pub fn machine_type(&self, name: &TypeName) -> Option<&MachineType> {
        self.catalog.types.iter().find(|t| t.name == *name)
    }

    /// What a machine of a type offers; nothing if the type is not known.
    pub fn capacity_of(&self, name: &TypeName) -> Resources {
        self.machine_type(name)
            .map(Resources::of_machine)
            .unwrap_or_default()
    }

    /// Whether some type without GPUs could run a job's tasks.
    pub fn fits_without_gpus(&self, spec: &JobSpec, need: &Resources) -> bool {
        self.catalog.types.iter().any(|t| {
            t.gpus <= 0.0
                && spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
                && Resources::of_machine(t).holds(need)
        })
    }
}

/// By class, the shortest time that users state in objectives of a kind.
fn objectives(settings: &Settings, kind: &str) -> BTreeMap<Class, Span> {
    let mut found = BTreeMap::new();
    for objective in settings.params.objectives.iter().filter(|o| o.kind == kind) {
        if let (Some(class), Some(within)) = (&objective.class, objective.within_s) {
            let within = Span::secs(within);
            (found.entry(class.clone()))
                .and_modify(|span| *span = within.min(*span))
                .or_insert(within);
        }
    }
    found
}

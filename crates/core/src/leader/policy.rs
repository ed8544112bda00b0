//! The scheduling policy, taken from the platform's settings and the operators' settings.
//!
//! The platform's settings come from the settings file and are fixed for the life of the process; operators' settings
//! override them and may change at any time ([`SchedulingPolicy::apply`]).

use crate::jobs::node_affinity::usable_machine_types;
use crate::teams::team_tree::TeamTree;
use crate::units::{Resources, Span};
use rudderreel_wire::admin::AdminSettings;
use rudderreel_wire::cloud::{Catalog, MachineType};
use rudderreel_wire::ids::{Class, TypeName};
use rudderreel_wire::job::JobSpec;
use rudderreel_wire::settings::Settings;
use std::collections::BTreeMap;

/// Default period of the scheduling cycle.
const CYCLE_PERIOD: Span = Span(2_000);
/// Default run time below which work is not reclaimed; operators may change it.
const RECLAIM_MIN_RUNTIME: Span = Span(30_000);
/// Default time for which an idle machine is kept; operators may change it.
const IDLE_RETENTION: Span = Span(20_000);
/// Kind of the service-level objectives in the settings file for the time until tasks start.
const START_OBJECTIVE_KIND: &str = "wait";
/// Kind of the service-level objectives in the settings file for the time until jobs are done.
const COMPLETION_OBJECTIVE_KIND: &str = "finished";

/// The settings that scheduling depends on.
pub struct SchedulingPolicy {
    /// The teams with their quotas, limits, weights and priorities.
    pub teams: TeamTree,
    /// Machine types that the cloud offers.
    pub catalog: Catalog,
    /// Time within which tasks of a class should start, for classes with such an objective; the shortest if there are
    /// several.
    pub start_objectives: BTreeMap<Class, Span>,
    /// Time within which jobs of a class should be done, for classes with such an objective; the shortest if there are
    /// several.
    pub completion_objectives: BTreeMap<Class, Span>,
    /// Factor on a team's usage when reclaim compares it with the team's share: at least 1. A larger factor makes
    /// reclaim rarer.
    pub reclaim_multiplier: f64,
    /// Run time below which work is not reclaimed across teams.
    pub reclaim_min_runtime: Span,
    /// Run time below which work is not preempted within its team.
    pub preempt_min_runtime: Span,
    /// Time between scheduling cycles when none is requested sooner.
    pub cycle_period: Span,
    /// Time for which an idle machine is kept; machines of cheap types are kept longer.
    pub idle_retention: Span,
    /// Factor on the capacity that is kept free for urgent arrivals: 1 for the usual amount, 0 for none.
    pub reserve_factor: f64,
}

impl SchedulingPolicy {
    /// Returns the policy of the platform's settings, with defaults for the operators' settings.
    pub fn new(settings: &Settings, teams: TeamTree) -> Self {
        Self {
            teams,
            catalog: Catalog::default(),
            start_objectives: objectives(settings, START_OBJECTIVE_KIND),
            completion_objectives: objectives(settings, COMPLETION_OBJECTIVE_KIND),
            reclaim_multiplier: 1.0,
            reclaim_min_runtime: RECLAIM_MIN_RUNTIME,
            preempt_min_runtime: Span(0),
            cycle_period: CYCLE_PERIOD,
            idle_retention: IDLE_RETENTION,
            reserve_factor: 1.0,
        }
    }

    /// Applies the operators' settings; `teams` is the team tree that follows from them.
    pub fn apply(&mut self, teams: TeamTree, settings: &AdminSettings) {
        self.teams = teams;
        self.cycle_period = Span::secs(settings.period_s);
        self.reclaim_multiplier = settings.reclaim_multiplier;
        self.reclaim_min_runtime = Span::secs(settings.reclaim_min_runtime_s);
        self.preempt_min_runtime = Span::secs(settings.preempt_min_runtime_s);
        self.idle_retention = Span::secs(settings.keep_idle_s);
        self.reserve_factor = settings.reserve_factor;
    }

    /// Returns the machine type with this name, if the cloud offers it.
    pub fn machine_type(&self, name: &TypeName) -> Option<&MachineType> {
        self.catalog.types.iter().find(|t| t.name == *name)
    }

    /// Returns the capacity of a machine of a type; zero if the type is not known.
    pub fn capacity_of(&self, name: &TypeName) -> Resources {
        self.machine_type(name)
            .map(Resources::of_machine)
            .unwrap_or_default()
    }

    /// Returns whether a job could run its tasks on some machine type without GPUs.
    pub fn fits_without_gpus(&self, spec: &JobSpec, need: &Resources) -> bool {
        let mut types = usable_machine_types(&self.catalog, spec, need);
        types.any(|machine_type| machine_type.gpus <= 0.0)
    }
}

/// Returns the shortest time stated by the objectives of a kind, by class.
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

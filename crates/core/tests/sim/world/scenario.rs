//! The parameters of a simulated run, and the settings that its nodes are started with.

use super::cloud::OfferedType;
use super::store::{Limits, DEFAULT_LIMITS};
use super::Fault;
use rudderreel_wire::ids::TypeName;
use rudderreel_wire::settings::Settings;

/// The parameters of a simulated run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub nodes: usize,
    /// Number of machines that the cloud has, unless it offers several types.
    pub machines: usize,
    /// Machine types that the cloud offers; empty for one type without GPUs in all zones.
    pub machine_types: Vec<OfferedType>,
    /// Number of jobs that users submit.
    pub jobs: u32,
    /// Users submit more jobs than there is room for: a steady flow of small arrays, mostly from one team,
    /// with a few large jobs among them.
    pub crowd: bool,
    /// Agents report to all nodes, however few agents there are.
    pub spread: bool,
    /// Duration of an agent's lease, in seconds.
    pub lease_s: u64,
    /// Interval between an agent's reports, in seconds.
    pub report_s: f64,
    /// Jobs have many tasks.
    pub large: bool,
    /// Kinds of faults that are injected at random; empty for the default kinds.
    pub fault_kinds: Vec<Fault>,
    /// Random faults include partitions of whole zones.
    pub zones: bool,
    /// Longest time between two user actions, in milliseconds; the shortest is a quarter of it.
    pub user_interval_ms: u64,
    /// While random faults are on, messages that were carried out and answered arrive once more.
    pub copied_messages: bool,
    /// Users do only what the test makes them do.
    pub scripted: bool,
    /// Shortest and longest boot time of a machine, in milliseconds.
    pub boot_ms: (u64, u64),
    /// The tasks of a job end far apart.
    pub uneven_run_times: bool,
    /// Half of the jobs may run in one given zone only.
    pub zone_bound_jobs: bool,
    /// Users submit no replicas, which would hold their teams' resources for the whole run.
    pub no_replicas: bool,
    /// Limits of the two teams, in CPUs.
    pub limits: (u32, u32),
    /// Users submit jobs of one task, four per second, and cancel a quarter of them.
    pub rush: bool,
    /// Half of the jobs depend on up to three earlier ones.
    pub pipelines: bool,
    /// Time from the start of the run in milliseconds after which the store lowers its limits, and the lower limits.
    pub lower_limits: Option<(u64, Limits)>,
    /// Whether the settings announce the lower limits.
    pub announced: bool,
    /// Nodes start with the version in production and are upgraded one after the other.
    pub upgrade: bool,
    /// Some nodes that crash restart with the version in production and are upgraded later.
    pub restarts_old_version: bool,
    /// Time within which the tasks of a cancelled job must be gone, in seconds.
    pub cancel_s: u64,
    /// Time that a task of a gang waits for the others, in seconds.
    pub gang_wait_s: u64,
    /// Limits that the store enforces.
    pub store: Limits,
    /// Calls per second that the nodes may send to the cloud.
    pub cloud_rps: f64,
    /// Zones in which machines can be rented; nodes are in the first two.
    pub zone_names: &'static [&'static str],
    /// Run time of a job's first task, and the increase for each next task, in milliseconds; `None` for the
    /// default times.
    pub run_ms: Option<(u64, u64)>,
    /// The processor time of steps and the size of messages are measured.
    pub measures: bool,
    /// A digest of all outputs of the nodes is kept.
    pub records_decisions: bool,
    /// Steps take simulated time, as on a node with a small share of a core.
    pub steps_take_time: bool,
    /// Share of a core that the settings name, if any.
    pub core_share: Option<f64>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 3,
            machines: 10,
            machine_types: Vec::new(),
            jobs: 24,
            crowd: false,
            spread: false,
            lease_s: 6,
            report_s: 1.0,
            large: false,
            fault_kinds: Vec::new(),
            zones: false,
            user_interval_ms: 400,
            copied_messages: false,
            scripted: false,
            boot_ms: (4_000, 4_000),
            uneven_run_times: false,
            zone_bound_jobs: false,
            no_replicas: false,
            limits: (12, 20),
            rush: false,
            pipelines: false,
            lower_limits: None,
            announced: true,
            upgrade: false,
            restarts_old_version: false,
            cancel_s: 20,
            gang_wait_s: 10,
            store: DEFAULT_LIMITS,
            cloud_rps: 5.0,
            zone_names: &["a", "b"],
            run_ms: None,
            measures: false,
            records_decisions: false,
            steps_take_time: false,
            core_share: None,
        }
    }
}

impl Scenario {
    /// Returns the limits of the two teams, in CPUs.
    pub(super) fn team_limits(&self) -> (u32, u32) {
        if self.crowd || self.large {
            let ample = (2 * self.machines as u32).max(4_000);
            (ample, ample)
        } else {
            self.limits
        }
    }

    /// Returns whether the cloud offers machines with GPUs.
    pub(super) fn offers_gpus(&self) -> bool {
        self.machine_types.iter().any(|t| t.gpus > 0.0)
    }

    /// Returns the number of GPUs of a machine type.
    pub(super) fn gpus_of(&self, name: &TypeName) -> f64 {
        let offered = self.machine_types.iter().find(|t| t.name == name.as_str());
        offered.map_or(0.0, |offered| offered.gpus)
    }

    /// Returns the machine types that the cloud offers.
    pub(super) fn offered_types(&self) -> Vec<OfferedType> {
        if !self.machine_types.is_empty() {
            return self.machine_types.clone();
        }
        vec![OfferedType::without_gpus(self.machines, self.zone_names)]
    }

    /// Returns the time within which the tasks of a cancelled job must be gone, in milliseconds.
    pub(super) fn cancel_ms(&self) -> u64 {
        self.cancel_s * 1_000
    }

    /// Returns the settings of a node.
    pub(super) fn settings(&self, me: usize) -> Settings {
        let scenario = self;
        let (nodes, lease, report) = (scenario.nodes, scenario.lease_s, scenario.report_s);
        let (red, blue) = scenario.team_limits();
        let (cancel, gang_wait, cloud_rps) =
            (scenario.cancel_s, scenario.gang_wait_s, scenario.cloud_rps);
        let zones = serde_json::to_string(scenario.zone_names).expect("JSON");
        let mut text = format!(
        "node = \"n{me}\"\ndomain = \"z{me}\"\nfront = \"10.0.0.{me}:1\"\npeer_bind = \"10.0.0.{me}:2\"\n"
    );
        for other in (0..nodes).filter(|o| *o != me) {
            text += &format!(
            "[[members]]\nnode = \"n{other}\"\ndomain = \"z\"\nendpoint = \"10.0.0.{other}:2\"\n"
        );
        }
        text += &format!(
        "[outside]\ncloud = \"10.1.0.1:1\"\nstate = \"10.1.0.2:1\"\n[params]\nnodes = {nodes}\n\
        zones = {zones}\n[[params.teams]]\nname = \"red\"\ncpus = 6.0\ncpus_max = {red}.0\n\
        [[params.teams]]\nname = \"blue\"\ncpus = 6.0\ncpus_max = {blue}.0\n\
        [params.workers]\nreport_s = {report}\nlease_s = {lease}.0\ngang_wait_s = {gang_wait}.0\ngang_peer_s = 2.0\n\
        cancel_s = {cancel}.0\n[params.cloud]\nrps = {cloud_rps:.1}\nlist_lag_s = 3.0\n[params.state]\n"
    );
        text += &limits_as_toml(&scenario.store);
        if let Some((_, lower)) = scenario.lower_limits.filter(|_| scenario.announced) {
            text += "[params.state.next]\n";
            text += &limits_as_toml(&lower);
        }
        if let Some(share) = scenario.core_share {
            text += &format!("[params.machine_limits]\ncore_share = {share}\n");
        }
        Settings::parse(&text).expect("the settings are valid")
    }
}

fn limits_as_toml(limits: &Limits) -> String {
    format!(
        "rps = {}.0\nwrite_rps = {}.0\nvalue_kb = {}.0\ntxn_ops = {}\n",
        limits.rps, limits.write_rps, limits.value_kb, limits.operations
    )
}

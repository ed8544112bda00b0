//! What kind of world it is, and the settings that its nodes are started with.

use super::store::{Limits, LIMITS};
use super::Fault;
use rudderreel_wire::settings::Settings;

/// What kind of world it is.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub nodes: usize,
    /// Machines that the cloud has.
    pub machines: usize,
    /// Jobs that users submit.
    pub jobs: u32,
    /// Users submit more than there is room for: small arrays all the time, from one team mostly,
    /// and a few large ones among them.
    pub crowd: bool,
    /// Agents report to all nodes however few they are.
    pub spread: bool,
    /// Seconds that an agent's lease lasts, and between its reports.
    pub lease_s: u64,
    pub report_s: f64,
    /// Jobs have many tasks.
    pub large: bool,
    /// Only these faults come; all that there are if none are named.
    pub fault_kinds: Vec<Fault>,
    /// Whole zones are cut off, too.
    pub zones: bool,
    /// Milliseconds from one look at a user's turn to the next, at most.
    pub user_interval_ms: u64,
    /// Users do only what the test has them do.
    pub scripted: bool,
    /// Milliseconds that machines take to come up, at least and at most.
    pub boot_ms: (u64, u64),
    /// Tasks of a job end far apart.
    pub uneven_run_times: bool,
    /// Half of the jobs are bound to a zone.
    pub zone_bound_jobs: bool,
    /// No replicas: they would keep to themselves what their teams may use.
    pub no_replicas: bool,
    /// CPUs that the two teams may use.
    pub limits: (u32, u32),
    /// Jobs of one task, four a second, a quarter of which are cancelled.
    pub rush: bool,
    /// Half of the jobs depend on up to three earlier ones.
    pub pipelines: bool,
    /// When the store lowers its limits, and to what.
    pub lower_limits: Option<(u64, Limits)>,
    /// Whether the settings announce the lower limits.
    pub announced: bool,
    /// Nodes begin with the version in production and are upgraded one after the other.
    pub upgrade: bool,
    /// Some nodes that end come back with the version in production, and are upgraded later.
    pub restarts_old_version: bool,
    /// Seconds that the tasks of a cancelled job may remain.
    pub cancel_s: u64,
    /// Seconds that a gang's task waits for the others.
    pub gang_wait_s: u64,
    /// What the store takes.
    pub store: Limits,
    /// Calls a second that the cloud takes.
    pub cloud_rps: f64,
    /// Zones that machines can be rented in; nodes are in the first two.
    pub zone_names: &'static [&'static str],
    /// Milliseconds that the first task of a job runs, and each next one longer; the usual ones if none are
    /// named.
    pub run_ms: Option<(u64, u64)>,
    /// Processor time of steps and bytes of messages are measured.
    pub measures: bool,
    /// A digest of all that the nodes put out is kept.
    pub records_decisions: bool,
    /// Steps take time, as on a node with a small part of a core.
    pub steps_take_time: bool,
    /// Part of a core that the settings name, if they do.
    pub core_share: Option<f64>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 3,
            machines: 10,
            jobs: 24,
            crowd: false,
            spread: false,
            lease_s: 6,
            report_s: 1.0,
            large: false,
            fault_kinds: Vec::new(),
            zones: false,
            user_interval_ms: 400,
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
            store: LIMITS,
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
    /// CPUs that the two teams may use.
    pub(super) fn team_limits(&self) -> (u32, u32) {
        if self.crowd || self.large {
            let ample = (2 * self.machines as u32).max(4_000);
            (ample, ample)
        } else {
            self.limits
        }
    }

    /// How long the tasks of a cancelled job may remain.
    pub(super) fn cancel_ms(&self) -> u64 {
        self.cancel_s * 1_000
    }

    /// The settings of a node.
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

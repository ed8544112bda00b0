//! The faults that can be injected into a run.

use super::*;

/// A fault, or another condition that makes it harder to keep the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    NodeCrashes,
    LeaderCrashes,
    AllNodesCrash,
    /// All nodes are down for longer than an agent's lease.
    AllNodesDownBeyondLease,
    /// A node restarts so quickly that other nodes may not have noticed.
    NodeRestartsQuickly,
    AllNodesRestartQuickly,
    SlowNode,
    StoreDown,
    StoreRecovers,
    SlowStore,
    /// The store refuses the calls of one node.
    StoreRefusesNode,
    StoreRefusesLeader,
    /// Three in ten transactions with changes are carried out seconds later, after newer ones.
    LateWrites,
    /// Three in ten transactions with changes are carried out at once, and only the answer is lost.
    LostAnswers,
    NodeCutFromPeers,
    NodeCutFromAgents,
    /// A node is reachable only for agents and users: it is cut off from the store and from other nodes.
    NodeReachesOnlyAgents,
    LeaderReachesOnlyAgents,
    /// Messages are delayed by hundreds of milliseconds.
    SlowLinks,
    MachinesPartitioned,
    /// The machines' reports arrive, but nothing reaches the machines.
    MachinesUnreachable,
    /// The machines' reports reach no node, but commands reach the machines.
    MachinesUnableToReport,
    MachinesHang,
    MachinesReboot,
    /// Copies of reports arrive again, up to several leases later, at any node.
    LateReports,
    /// Copies of reports reach every node as soon as a new leader has raised the epoch.
    ReportsHeldForNextLeader,
    CloudDown,
    ZonePartitioned,
    /// Users cancel several running jobs at once, and some of their machines hang.
    JobsCancelled,
    /// Users cancel jobs at the moment at which their last task ends.
    JobsCancelledAtCompletion,
    /// Users query all nodes within milliseconds, and repeat submissions, after they received a new state of a job.
    RapidStatusRequests,
    /// Users send submissions that can't be accepted, and cancel jobs that have ended.
    InvalidRequests,
    /// A process is paused while its clocks run on.
    NodePauses,
    LeaderPauses,
    SeveralNodesPause,
    /// The store is down intermittently; the time between two outages is too short for the leader's lease to expire
    /// there.
    StoreDownIntermittently,
    /// Every team is at its limit, or within one task of it. This is observed, not injected.
    TeamsAtLimit,
}

/// Faults that are injected at random unless the scenario names others; a repeated entry is drawn more often.
const RANDOM_FAULTS: [Fault; 32] = {
    use Fault::*;
    [
        NodeCrashes,
        NodeCrashes,
        LeaderCrashes,
        AllNodesCrash,
        AllNodesDownBeyondLease,
        NodeRestartsQuickly,
        AllNodesRestartQuickly,
        SlowNode,
        StoreDown,
        StoreRecovers,
        StoreRecovers,
        SlowStore,
        StoreRefusesNode,
        StoreRefusesLeader,
        LateWrites,
        LostAnswers,
        NodeCutFromPeers,
        NodeCutFromAgents,
        NodeReachesOnlyAgents,
        LeaderReachesOnlyAgents,
        MachinesPartitioned,
        MachinesUnreachable,
        MachinesUnableToReport,
        MachinesHang,
        MachinesReboot,
        LateReports,
        ReportsHeldForNextLeader,
        CloudDown,
        JobsCancelled,
        JobsCancelledAtCompletion,
        RapidStatusRequests,
        InvalidRequests,
    ]
};

impl World {
    /// Cuts a zone off from everything outside it until a given time.
    pub fn partition_zone(&mut self, zone: &'static str, until: u64) {
        self.partitioned_zone = Some((zone, until));
        for node in (0..self.scenario.nodes).filter(|n| zone_of(*n) == zone) {
            self.nodes[node].cut_from_store_until = until;
        }
    }

    /// Delivers the held copies of reports to every node once the epoch has changed.
    pub(super) fn deliver_held_reports(&mut self) {
        let epoch = self.store.number_field("epoch", "epoch");
        if epoch == self.epoch_seen {
            return;
        }
        self.epoch_seen = epoch;
        self.copy_all_starts();
        for report in std::mem::take(&mut self.held_reports) {
            for node in 0..self.scenario.nodes {
                let delay = self.rng.random_range(0..300);
                self.schedule(delay, Event::LateReport(node, Box::new(report.clone())));
            }
        }
    }

    /// Cuts a node off from the store and from other nodes, but not from agents, until a given time.
    pub fn cut_from_all_but_agents(&mut self, node: usize, until: u64) {
        self.nodes[node].cut_from_store_until = until;
        self.nodes[node].cut_from_peers_until = until;
    }

    /// Makes the store refuse a node until a given time.
    pub fn cut_from_store(&mut self, node: usize, until: u64) {
        self.nodes[node].cut_from_store_until = until;
    }

    /// Leaves a node's watch of the store without an answer until a given time; all its other calls are answered.
    pub fn hang_watch(&mut self, node: usize, until: u64) {
        self.nodes[node].watch_hangs_until = until;
    }

    /// Ends all leases at the store, as if they had not been renewed.
    pub fn end_leases(&mut self) {
        self.store.end_all_leases();
    }

    /// Makes a node's direct calls wait in its process until a given time, as they do while all threads that send them
    /// are busy.
    pub fn delay_direct_calls(&mut self, node: usize, until: u64) {
        self.nodes[node].direct_calls_wait_until = until;
    }

    /// Cuts a node off from the other nodes until a given time.
    pub fn cut_from_peers(&mut self, node: usize, until: u64) {
        self.nodes[node].cut_from_peers_until = until;
    }

    /// Cuts all nodes off from each other until a given time.
    pub fn cut_peer_links(&mut self, until: u64) {
        for node in &mut self.nodes {
            node.cut_from_peers_until = until;
        }
    }

    /// Stops a node's process and restarts it after `down_ms`.
    pub fn stop_node_for(&mut self, node: usize, down_ms: u64) {
        self.stop_process(node, down_ms);
    }

    /// Cuts a node off from all agents until a given time.
    pub fn cut_from_agents(&mut self, node: usize, until: u64) {
        self.nodes[node].cut_from_agents_until = until;
    }

    /// Injects a random fault while random faults are on, and schedules the next one.
    pub(super) fn inject_random_fault(&mut self) {
        let next = self.rng.random_range(1_500..6_000);
        self.schedule(next, Event::Fault);
        if !self.random_faults {
            return;
        }
        let node = self.rng.random_range(0..self.scenario.nodes);
        let default_until = self.now + self.rng.random_range(1_000..15_000);
        let fault = if !self.scenario.fault_kinds.is_empty() {
            self.scenario.fault_kinds[self.rng.random_range(0..self.scenario.fault_kinds.len())]
        } else if self.scenario.zones && self.rng.random_bool(0.15) {
            Fault::ZonePartitioned
        } else {
            RANDOM_FAULTS[self.rng.random_range(0..RANDOM_FAULTS.len())]
        };
        self.inject_fault(fault, node, default_until);
    }

    /// Injects a fault: at `node` if the fault concerns one node, and until `default_until` if it lasts and has no
    /// other end.
    pub fn inject_fault(&mut self, fault: Fault, node: usize, default_until: u64) {
        let leader = self.leader_by_store().unwrap_or(node);
        let mut until = default_until;
        match fault {
            Fault::NodeCrashes => self.crash(node),
            Fault::LeaderCrashes => {
                self.crash(leader);
                until = self.now + 4_000;
            }
            Fault::AllNodesCrash => (0..self.scenario.nodes).for_each(|n| self.crash(n)),
            Fault::AllNodesDownBeyondLease => {
                let down_ms = self.scenario.lease_s * 1_000 + 1_500;
                (0..self.scenario.nodes).for_each(|n| self.stop_process(n, down_ms));
                until = self.now + down_ms;
            }
            Fault::NodeRestartsQuickly => self.restart_quickly(node),
            Fault::AllNodesRestartQuickly => {
                (0..self.scenario.nodes).for_each(|n| self.restart_quickly(n))
            }
            Fault::SlowNode => self.nodes[node].slow_until = default_until,
            Fault::StoreDown => self.store.set_down(true, self.now),
            Fault::StoreRecovers => self.store.set_down(false, self.now),
            Fault::SlowStore => self.store_slow_until = default_until,
            Fault::StoreRefusesNode => self.nodes[node].cut_from_store_until = default_until,
            Fault::StoreRefusesLeader => self.nodes[leader].cut_from_store_until = default_until,
            Fault::LateWrites => self.late_writes_until = default_until,
            Fault::LostAnswers => self.lost_answers_until = default_until,
            Fault::NodeCutFromPeers => self.nodes[node].cut_from_peers_until = default_until,
            Fault::NodeCutFromAgents => self.nodes[node].cut_from_agents_until = default_until,
            Fault::NodeReachesOnlyAgents => self.cut_from_all_but_agents(node, default_until),
            Fault::LeaderReachesOnlyAgents => self.cut_from_all_but_agents(leader, default_until),
            Fault::SlowLinks => self.slow_links_until = default_until,
            Fault::MachinesPartitioned => {
                self.affect_some_agents(0.3, |w| w.partitioned_until = default_until)
            }
            Fault::MachinesUnreachable => {
                self.affect_some_agents(0.2, |w| w.unreachable_until = default_until + 15_000)
            }
            Fault::MachinesUnableToReport => {
                self.affect_some_agents(0.2, |w| w.unable_to_report_until = default_until + 5_000)
            }
            Fault::MachinesHang => self.affect_some_agents(0.2, |w| w.hangs_until = default_until),
            Fault::MachinesReboot => {
                self.affect_some_agents(0.1, SimulatedAgent::reboot);
                self.copy_all_starts();
            }
            Fault::LateReports => self.late_reports_until = default_until,
            Fault::ReportsHeldForNextLeader => self.hold_reports_until = default_until,
            Fault::CloudDown => self.cloud.down = !self.cloud.down,
            Fault::ZonePartitioned => {
                let zone = zone_of(self.rng.random_range(0..2));
                until = self.now + 2_000 * self.scenario.lease_s;
                self.partition_zone(zone, until);
            }
            Fault::JobsCancelled => {
                self.cancel_running_jobs(4, default_until);
                // For this time users repeat their requests, and the cancelled tasks have to be stopped.
                until = self.now + self.scenario.cancel_ms() / 2;
            }
            Fault::JobsCancelledAtCompletion => self.cancel_at_end_until = default_until,
            Fault::RapidStatusRequests => self.rapid_status_until = default_until,
            Fault::InvalidRequests => (0..8).for_each(|_| self.submit_invalid_requests()),
            Fault::NodePauses => until = self.pause_for_a_while(&[node]),
            Fault::LeaderPauses => until = self.pause_for_a_while(&[leader]),
            Fault::SeveralNodesPause => {
                until = self.pause_for_a_while(&[leader, (leader + 1) % self.scenario.nodes])
            }
            Fault::StoreDownIntermittently => {
                until = self.now + 2 * self.scenario.cancel_ms();
                self.begin_intermittent_outage(until);
            }
            Fault::TeamsAtLimit => {}
        }
        self.faults_seen.push((fault, self.now, until));
    }

    /// Returns the time within which the tasks of a cancelled job must be gone, in milliseconds.
    pub fn cancel_ms(&self) -> u64 {
        self.scenario.cancel_ms()
    }

    /// Pauses processes for a random time; returns the end of the pause.
    fn pause_for_a_while(&mut self, nodes: &[usize]) -> u64 {
        let until = self.now + self.random_pause_ms();
        for node in nodes {
            self.pause(*node, until);
        }
        until
    }

    /// Starts an intermittent outage of the store that ends at a given time.
    pub fn begin_intermittent_outage(&mut self, until: u64) {
        self.intermittent_outage_until = until;
        self.begin_next_outage_phase(until);
    }

    /// Ends an intermittent outage of the store.
    pub fn end_intermittent_outage(&mut self) {
        self.intermittent_outage_until = 0;
        self.store.set_down(false, self.now);
    }

    /// Begins the next down or up phase of an intermittent outage, and schedules the one after it.
    pub(super) fn begin_next_outage_phase(&mut self, until: u64) {
        if until != self.intermittent_outage_until {
            return;
        }
        if self.now >= until {
            return self.end_intermittent_outage();
        }
        self.store.set_down(!self.store.down, self.now);
        let phase_ms = if self.store.down {
            self.rng.random_range(700..1_300)
        } else {
            self.rng.random_range(300..1_500)
        };
        self.schedule(phase_ms, Event::OutagePhase(until));
    }

    /// Has users cancel up to `count` running jobs, and makes some of the machines on which these run hang until
    /// `hang_until`.
    pub(super) fn cancel_running_jobs(&mut self, count: usize, hang_until: u64) {
        let mut running: Vec<(JobId, MachineId)> = Vec::new();
        for (machine, agent) in &self.agents {
            let on = agent.tasks.values().filter(|t| t.on_machine());
            running.extend(on.map(|t| (t.task.job.clone(), machine.clone())));
        }
        for _ in 0..count.min(running.len()) {
            let (id, machine) = running[self.rng.random_range(0..running.len())].clone();
            let delay = self.rng.random_range(0..200);
            let node = self.rng.random_range(0..self.scenario.nodes);
            self.schedule(
                delay,
                Event::UserAction(node, id.clone(), UserAction::Cancel),
            );
            // The request is repeated every second, whether or not it has been answered.
            for repeat in 1..20 {
                let node = self.rng.random_range(0..self.scenario.nodes);
                self.schedule(
                    delay + repeat * 1_000,
                    Event::UserAction(node, id.clone(), UserAction::Cancel),
                );
            }
            if self.rng.random_bool(0.5) {
                if let Some(agent) = self.agents.get_mut(&machine) {
                    agent.hangs_until = hang_until;
                }
            }
        }
    }

    /// Returns how often two faults overlapped in time.
    pub fn overlaps(&self, a: Fault, b: Fault) -> usize {
        let occurrences = |t: Fault| self.faults_seen.iter().filter(move |(x, ..)| *x == t);
        let overlap = |x: &(Fault, u64, u64), y: &(Fault, u64, u64)| {
            x.1 <= y.2 && y.1 <= x.2 && !std::ptr::eq(x, y)
        };
        (occurrences(a))
            .map(|x| occurrences(b).filter(|y| overlap(x, y)).count())
            .sum()
    }

    /// Applies a fault to each agent with the probability `share`.
    pub fn affect_some_agents(&mut self, probability: f64, fault: impl Fn(&mut SimulatedAgent)) {
        for agent in self.agents.values_mut() {
            if self.rng.random_bool(probability) {
                fault(agent);
            }
        }
    }

    /// Ends all faults, and starts the status queries of all jobs.
    pub fn end_faults(&mut self) {
        self.random_faults = false;
        self.store.set_down(false, self.now);
        for node in &mut self.nodes {
            node.cut_from_store_until = 0;
            node.cut_from_peers_until = 0;
            node.cut_from_agents_until = 0;
            node.slow_until = 0;
            node.watch_hangs_until = 0;
        }
        self.end_intermittent_outage();
        for node in 0..self.scenario.nodes {
            if self.is_paused(node) {
                self.pause(node, self.now);
            }
        }
        self.store_slow_until = 0;
        self.late_writes_until = 0;
        self.lost_answers_until = 0;
        self.slow_links_until = 0;
        self.late_reports_until = 0;
        self.hold_reports_until = 0;
        self.cancel_at_end_until = 0;
        self.rapid_status_until = 0;
        self.cut_pairs.clear();
        self.partitioned_zone = None;
        self.cloud.down = false;
        for agent in self.agents.values_mut() {
            agent.partitioned_until = 0;
            agent.unreachable_until = 0;
            agent.unable_to_report_until = 0;
            agent.hangs_until = agent.hangs_until.min(self.now);
        }
        if self.faults_ended_at.replace(self.now).is_none() {
            self.schedule(1_000, Event::StatusSweep(0));
        }
    }
}

//! What goes wrong.

use super::*;

/// What goes wrong, or makes it harder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    NodeCrashes,
    LeaderCrashes,
    AllNodesCrash,
    /// All nodes are away for longer than an agent's lease.
    AllNodesAway,
    /// Back before anybody may have noticed.
    NodeRestartsQuickly,
    AllNodesRestartQuickly,
    SlowNode,
    StoreDown,
    StoreBack,
    SlowStore,
    /// The store refuses a node.
    StoreRefusesNode,
    StoreRefusesLeader,
    /// That share of transactions is carried out seconds later, after newer ones.
    LateWrites,
    /// Transactions are carried out at once, and only the answer is lost.
    LostAnswers,
    NodeCutFromPeers,
    NodeCutFromAgents,
    /// A node hears nobody but agents and users.
    NodeReachesOnlyAgents,
    LeaderReachesOnlyAgents,
    /// Messages take long.
    SlowLinks,
    MachinesPartitioned,
    /// Reports arrive, and nothing reaches the machine.
    MachinesUnreachable,
    /// Reports reach nobody, and commands the machine.
    MachinesUnableToReport,
    MachinesHang,
    MachinesReboot,
    /// Copies of reports arrive again, up to several leases later.
    LateReports,
    /// Copies of reports reach every node just as a new leader begins.
    ReportsHeldForNextLeader,
    CloudDown,
    ZonePartitioned,
    /// Users call off several running jobs at once, and some of their machines hang.
    JobsCancelled,
    /// Jobs are called off at the moment at which their last task ends.
    JobsCancelledAtCompletion,
    /// Users ask at all nodes within milliseconds, and repeat submissions, after they were told something.
    RapidStatusRequests,
    /// Submissions that can't be, and cancellations of what is done.
    InvalidRequests,
    /// A process stands still while its clocks run on.
    NodePauses,
    LeaderPauses,
    SeveralNodesPause,
    /// The store is down in spells, with too short a time between them for the leader's lease to run out there.
    StoreDownInSpells,
    /// Every team is at its limit, or within a task of it. This comes by itself.
    TeamsAtLimit,
}

/// Faults of every kind, as often as they come when none are named.
const RANDOM_FAULTS: [Fault; 32] = {
    use Fault::*;
    [
        NodeCrashes,
        NodeCrashes,
        LeaderCrashes,
        AllNodesCrash,
        AllNodesAway,
        NodeRestartsQuickly,
        AllNodesRestartQuickly,
        SlowNode,
        StoreDown,
        StoreBack,
        StoreBack,
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
    /// Cuts a zone off from everything.
    pub fn partition_zone(&mut self, zone: &'static str, until: u64) {
        self.partitioned_zone = Some((zone, until));
        for node in (0..self.scenario.nodes).filter(|n| zone_of(*n) == zone) {
            self.nodes[node].cut_from_store_until = until;
        }
    }

    /// Copies that were kept reach every node when another leads.
    pub(super) fn deliver_kept(&mut self) {
        let epoch = self.store.number("epoch", "epoch");
        if epoch == self.epoch_seen {
            return;
        }
        self.epoch_seen = epoch;
        for report in std::mem::take(&mut self.held_reports) {
            for node in 0..self.scenario.nodes {
                let delay = self.rng.random_range(0..300);
                self.after(delay, Event::LateReport(node, Box::new(report.clone())));
            }
        }
    }

    /// Cuts a node off from the store and from other nodes, but not from agents.
    pub fn cut_from_all_but_agents(&mut self, node: usize, until: u64) {
        self.nodes[node].cut_from_store_until = until;
        self.nodes[node].cut_from_peers_until = until;
    }

    /// The store refuses a node.
    pub fn cut_from_store(&mut self, node: usize, until: u64) {
        self.nodes[node].cut_from_store_until = until;
    }

    /// A node's watch of the store gets no answer, while all its other calls do.
    pub fn hang_watch(&mut self, node: usize, until: u64) {
        self.nodes[node].watch_hangs_until = until;
    }

    /// Cuts a node off from the other nodes.
    pub fn cut_from_peers(&mut self, node: usize, until: u64) {
        self.nodes[node].cut_from_peers_until = until;
    }

    /// Connections between nodes are refused.
    pub fn cut_peer_links(&mut self, until: u64) {
        for node in &mut self.nodes {
            node.cut_from_peers_until = until;
        }
    }

    /// Ends a node, for so long.
    pub fn stop_node_for(&mut self, node: usize, back: u64) {
        self.end(node, back);
    }

    /// Cuts a node off from all agents.
    pub fn cut_from_agents(&mut self, node: usize, until: u64) {
        self.nodes[node].cut_from_agents_until = until;
    }

    pub(super) fn inject_random_fault(&mut self) {
        let next = self.rng.random_range(1_500..6_000);
        self.after(next, Event::Fault);
        if !self.random_faults {
            return;
        }
        let node = self.rng.random_range(0..self.scenario.nodes);
        let long = self.now + self.rng.random_range(1_000..15_000);
        let fault = if !self.scenario.fault_kinds.is_empty() {
            self.scenario.fault_kinds[self.rng.random_range(0..self.scenario.fault_kinds.len())]
        } else if self.scenario.zones && self.rng.random_bool(0.15) {
            Fault::ZonePartitioned
        } else {
            RANDOM_FAULTS[self.rng.random_range(0..RANDOM_FAULTS.len())]
        };
        self.inject_fault(fault, node, long);
    }

    /// Brings a fault about, at a node if it is one of nodes, until a moment if it lasts.
    pub fn inject_fault(&mut self, fault: Fault, node: usize, long: u64) {
        let leader = self.leader_by_store().unwrap_or(node);
        let mut until = long;
        match fault {
            Fault::NodeCrashes => self.crash(node),
            Fault::LeaderCrashes => {
                self.crash(leader);
                until = self.now + 4_000;
            }
            Fault::AllNodesCrash => (0..self.scenario.nodes).for_each(|n| self.crash(n)),
            Fault::AllNodesAway => {
                let back = self.scenario.lease_s * 1_000 + 1_500;
                (0..self.scenario.nodes).for_each(|n| self.end(n, back));
                until = self.now + back;
            }
            Fault::NodeRestartsQuickly => self.restart_quickly(node),
            Fault::AllNodesRestartQuickly => {
                (0..self.scenario.nodes).for_each(|n| self.restart_quickly(n))
            }
            Fault::SlowNode => self.nodes[node].slow_until = long,
            Fault::StoreDown => self.store.set_down(true, self.now),
            Fault::StoreBack => self.store.set_down(false, self.now),
            Fault::SlowStore => self.state_slow_until = long,
            Fault::StoreRefusesNode => self.nodes[node].cut_from_store_until = long,
            Fault::StoreRefusesLeader => self.nodes[leader].cut_from_store_until = long,
            Fault::LateWrites => self.late_writes_until = long,
            Fault::LostAnswers => self.lost_answers_until = long,
            Fault::NodeCutFromPeers => self.nodes[node].cut_from_peers_until = long,
            Fault::NodeCutFromAgents => self.nodes[node].cut_from_agents_until = long,
            Fault::NodeReachesOnlyAgents => self.cut_from_all_but_agents(node, long),
            Fault::LeaderReachesOnlyAgents => self.cut_from_all_but_agents(leader, long),
            Fault::SlowLinks => self.slow_links_until = long,
            Fault::MachinesPartitioned => {
                self.affect_some_agents(0.3, |w| w.partitioned_until = long)
            }
            Fault::MachinesUnreachable => {
                self.affect_some_agents(0.2, |w| w.unreachable_until = long + 15_000)
            }
            Fault::MachinesUnableToReport => {
                self.affect_some_agents(0.2, |w| w.unable_to_report_until = long + 5_000)
            }
            Fault::MachinesHang => self.affect_some_agents(0.2, |w| w.hangs_until = long),
            Fault::MachinesReboot => self.affect_some_agents(0.1, SimulatedAgent::reboot),
            Fault::LateReports => self.late_reports_until = long,
            Fault::ReportsHeldForNextLeader => self.hold_reports_until = long,
            Fault::CloudDown => self.cloud.down = !self.cloud.down,
            Fault::ZonePartitioned => {
                let zone = zone_of(self.rng.random_range(0..2));
                until = self.now + 2_000 * self.scenario.lease_s;
                self.partition_zone(zone, until);
            }
            Fault::JobsCancelled => {
                self.cancel_now(4, long);
                // Users repeat that, and what is cancelled has to be gone, for so long.
                until = self.now + self.scenario.cancel_ms() / 2;
            }
            Fault::JobsCancelledAtCompletion => self.cancel_at_end_until = long,
            Fault::RapidStatusRequests => self.rapid_status_until = long,
            Fault::InvalidRequests => (0..8).for_each(|_| self.submit_invalid_requests()),
            Fault::NodePauses => until = self.pause_for_a_while(&[node]),
            Fault::LeaderPauses => until = self.pause_for_a_while(&[leader]),
            Fault::SeveralNodesPause => {
                until = self.pause_for_a_while(&[leader, (leader + 1) % self.scenario.nodes])
            }
            Fault::StoreDownInSpells => {
                until = self.now + 2 * self.scenario.cancel_ms();
                self.begin_outage_spells(until);
            }
            Fault::TeamsAtLimit => {}
        }
        self.faults_seen.push((fault, self.now, until));
    }

    /// How long the tasks of a cancelled job may remain, in milliseconds.
    pub fn cancel_ms(&self) -> u64 {
        self.scenario.cancel_ms()
    }

    /// Has processes stand still for a time that is drawn; returns until when.
    fn pause_for_a_while(&mut self, nodes: &[usize]) -> u64 {
        let until = self.now + self.random_pause_ms();
        for node in nodes {
            self.pause(*node, until);
        }
        until
    }

    /// The store is down in spells until a moment.
    pub fn begin_outage_spells(&mut self, until: u64) {
        self.outage_spells_until = until;
        self.next_outage_spell(until);
    }

    /// The outage in spells is over.
    pub fn end_outage_spells(&mut self) {
        self.outage_spells_until = 0;
        self.store.set_down(false, self.now);
    }

    pub(super) fn next_outage_spell(&mut self, until: u64) {
        if until != self.outage_spells_until {
            return;
        }
        if self.now >= until {
            return self.end_outage_spells();
        }
        self.store.set_down(!self.store.down, self.now);
        let spell = if self.store.down {
            self.rng.random_range(700..1_300)
        } else {
            self.rng.random_range(300..1_500)
        };
        self.after(spell, Event::OutageSpell(until));
    }

    /// Users call off so many jobs that run, and some of the machines that they run on hang.
    pub(super) fn cancel_now(&mut self, count: usize, hang: u64) {
        let mut running: Vec<(JobId, MachineId)> = Vec::new();
        for (machine, agent) in &self.agents {
            let on = agent.tasks.values().filter(|t| t.on_machine());
            running.extend(on.map(|t| (t.task.job.clone(), machine.clone())));
        }
        for _ in 0..count.min(running.len()) {
            let (id, machine) = running[self.rng.random_range(0..running.len())].clone();
            let delay = self.rng.random_range(0..200);
            let node = self.rng.random_range(0..self.scenario.nodes);
            self.after(
                delay,
                Event::UserAction(node, id.clone(), UserAction::Cancel),
            );
            // The request is repeated until it is answered.
            for again in 1..20 {
                let node = self.rng.random_range(0..self.scenario.nodes);
                self.after(
                    delay + again * 1_000,
                    Event::UserAction(node, id.clone(), UserAction::Cancel),
                );
            }
            if self.rng.random_bool(0.5) {
                if let Some(agent) = self.agents.get_mut(&machine) {
                    agent.hangs_until = hang;
                }
            }
        }
    }

    /// How often two faults were there at the same time.
    pub fn overlaps(&self, a: Fault, b: Fault) -> usize {
        let of = |t: Fault| self.faults_seen.iter().filter(move |(x, ..)| *x == t);
        let meets = |x: &(Fault, u64, u64), y: &(Fault, u64, u64)| {
            x.1 <= y.2 && y.1 <= x.2 && !std::ptr::eq(x, y)
        };
        (of(a)).map(|x| of(b).filter(|y| meets(x, y)).count()).sum()
    }

    pub fn affect_some_agents(&mut self, share: f64, fault: impl Fn(&mut SimulatedAgent)) {
        for agent in self.agents.values_mut() {
            if self.rng.random_bool(share) {
                fault(agent);
            }
        }
    }

    /// Ends all faults.
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
        self.end_outage_spells();
        for node in 0..self.scenario.nodes {
            if self.is_paused(node) {
                self.pause(node, self.now);
            }
        }
        self.state_slow_until = 0;
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
            self.after(1_000, Event::StatusSweep(0));
        }
    }
}

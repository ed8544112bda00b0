//! What goes wrong.

use super::*;

/// What goes wrong, or makes it harder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    NodeEnds,
    LeaderEnds,
    AllEnd,
    /// All nodes are away for longer than a worker's lease.
    AllAway,
    /// Back before anybody may have noticed.
    NodeBlinks,
    AllBlink,
    SlowNode,
    StateDown,
    StateBack,
    SlowState,
    /// The state service refuses a node.
    NodeRefused,
    LeaderRefused,
    /// That share of transactions is carried out seconds later, after newer ones.
    LateWrites,
    /// Transactions are carried out at once, and only the answer is lost.
    LostAnswers,
    CutFromPeers,
    CutFromWorkers,
    /// A node hears nobody but workers and users.
    HearsOnlyWorkers,
    LeaderHearsOnlyWorkers,
    /// Messages take long.
    SlowLinks,
    MachinesCut,
    /// Reports arrive, and nothing reaches the machine.
    MachinesDeaf,
    /// Reports reach nobody, and commands the machine.
    MachinesMute,
    MachinesHang,
    MachinesReboot,
    /// Copies of reports arrive again, up to several leases later.
    LateReports,
    /// Copies of reports reach every node just as a new leader begins.
    ReportsForNext,
    CloudDown,
    ZoneCut,
    /// Users call off several running jobs at once, and some of their machines hang.
    CancelNow,
    /// Jobs are called off at the moment at which their last task ends.
    CancelAtEnd,
    /// Users ask at all nodes within milliseconds, and repeat submissions, after they were told something.
    CloseLooks,
    /// Submissions that can't be, and cancellations of what is done.
    OddRequests,
    /// Every team is at its limit, or within a task of it. This comes by itself.
    TeamsAtLimit,
}

/// Troubles of every kind, as often as they come when none are named.
const TROUBLES: [Trouble; 32] = {
    use Trouble::*;
    [
        NodeEnds,
        NodeEnds,
        LeaderEnds,
        AllEnd,
        AllAway,
        NodeBlinks,
        AllBlink,
        SlowNode,
        StateDown,
        StateBack,
        StateBack,
        SlowState,
        NodeRefused,
        LeaderRefused,
        LateWrites,
        LostAnswers,
        CutFromPeers,
        CutFromWorkers,
        HearsOnlyWorkers,
        LeaderHearsOnlyWorkers,
        MachinesCut,
        MachinesDeaf,
        MachinesMute,
        MachinesHang,
        MachinesReboot,
        LateReports,
        ReportsForNext,
        CloudDown,
        CancelNow,
        CancelAtEnd,
        CloseLooks,
        OddRequests,
    ]
};

impl World {
    /// Cuts a zone off from everything.
    pub fn cut_zone(&mut self, zone: &'static str, until: u64) {
        self.partitioned_zones = Some((zone, until));
        for node in (0..self.plan.nodes).filter(|n| zone_of(*n) == zone) {
            self.nodes[node].cut_state_until = until;
        }
    }

    /// Copies that were kept reach every node when another leads.
    pub(super) fn deliver_kept(&mut self) {
        let epoch = self.store.number("epoch", "epoch");
        if epoch == self.epoch_seen {
            return;
        }
        self.epoch_seen = epoch;
        for report in std::mem::take(&mut self.kept) {
            for node in 0..self.plan.nodes {
                let delay = self.rng.random_range(0..300);
                self.after(delay, Event::Copy(node, Box::new(report.clone())));
            }
        }
    }

    /// Cuts a node off from the state service and from other nodes, but not from workers.
    pub fn cut_but_for_workers(&mut self, node: usize, until: u64) {
        self.nodes[node].cut_state_until = until;
        self.nodes[node].cut_peers_until = until;
    }

    /// The state service refuses a node.
    pub fn cut_state(&mut self, node: usize, until: u64) {
        self.nodes[node].cut_state_until = until;
    }

    /// Connections between nodes are refused.
    pub fn cut_links(&mut self, until: u64) {
        for node in &mut self.nodes {
            node.cut_peers_until = until;
        }
    }

    /// Ends a node, for so long.
    pub fn end_for(&mut self, node: usize, back: u64) {
        self.end(node, back);
    }

    /// Cuts a node off from all workers.
    pub fn cut_workers(&mut self, node: usize, until: u64) {
        self.nodes[node].cut_workers_until = until;
    }

    pub(super) fn fault(&mut self) {
        let next = self.rng.random_range(1_500..6_000);
        self.after(next, Event::Fault);
        if !self.faults {
            return;
        }
        let node = self.rng.random_range(0..self.plan.nodes);
        let long = self.now + self.rng.random_range(1_000..15_000);
        let trouble = if !self.plan.only.is_empty() {
            self.plan.only[self.rng.random_range(0..self.plan.only.len())]
        } else if self.plan.zones && self.rng.random_bool(0.15) {
            Trouble::ZoneCut
        } else {
            TROUBLES[self.rng.random_range(0..TROUBLES.len())]
        };
        self.bring_about(trouble, node, long);
    }

    /// Brings a trouble about, at a node if it is one of nodes, until a moment if it lasts.
    pub fn bring_about(&mut self, trouble: Trouble, node: usize, long: u64) {
        let leader = self.leadership_condition().unwrap_or(node);
        let mut until = long;
        match trouble {
            Trouble::NodeEnds => self.crash(node),
            Trouble::LeaderEnds => {
                self.crash(leader);
                until = self.now + 4_000;
            }
            Trouble::AllEnd => (0..self.plan.nodes).for_each(|n| self.crash(n)),
            Trouble::AllAway => {
                let back = self.plan.lease_s * 1_000 + 1_500;
                (0..self.plan.nodes).for_each(|n| self.end(n, back));
                until = self.now + back;
            }
            Trouble::NodeBlinks => self.blink(node),
            Trouble::AllBlink => (0..self.plan.nodes).for_each(|n| self.blink(n)),
            Trouble::SlowNode => self.nodes[node].slow_until = long,
            Trouble::StateDown => self.store.set_down(true, self.now),
            Trouble::StateBack => self.store.set_down(false, self.now),
            Trouble::SlowState => self.state_slow_until = long,
            Trouble::NodeRefused => self.nodes[node].cut_state_until = long,
            Trouble::LeaderRefused => self.nodes[leader].cut_state_until = long,
            Trouble::LateWrites => self.late_writes_until = long,
            Trouble::LostAnswers => self.lost_answers_until = long,
            Trouble::CutFromPeers => self.nodes[node].cut_peers_until = long,
            Trouble::CutFromWorkers => self.nodes[node].cut_workers_until = long,
            Trouble::HearsOnlyWorkers => self.cut_but_for_workers(node, long),
            Trouble::LeaderHearsOnlyWorkers => self.cut_but_for_workers(leader, long),
            Trouble::SlowLinks => self.slow_links_until = long,
            Trouble::MachinesCut => self.some_workers(0.3, |w| w.cut_until = long),
            Trouble::MachinesDeaf => self.some_workers(0.2, |w| w.deaf_until = long + 15_000),
            Trouble::MachinesMute => self.some_workers(0.2, |w| w.mute_until = long + 5_000),
            Trouble::MachinesHang => self.some_workers(0.2, |w| w.hung_until = long),
            Trouble::MachinesReboot => self.some_workers(0.1, Worker::reboot),
            Trouble::LateReports => self.late_reports_until = long,
            Trouble::ReportsForNext => self.for_next_until = long,
            Trouble::CloudDown => self.cloud.down = !self.cloud.down,
            Trouble::ZoneCut => {
                let zone = zone_of(self.rng.random_range(0..2));
                until = self.now + 2_000 * self.plan.lease_s;
                self.cut_zone(zone, until);
            }
            Trouble::CancelNow => {
                self.cancel_now(4, long);
                // Users repeat that, and what is cancelled has to be gone, for so long.
                until = self.now + self.plan.cancel_ms() / 2;
            }
            Trouble::CancelAtEnd => self.cancel_at_end_until = long,
            Trouble::CloseLooks => self.close_looks_until = long,
            Trouble::OddRequests => (0..8).for_each(|_| self.odd_requests()),
            Trouble::TeamsAtLimit => {}
        }
        self.troubles.push((trouble, self.now, until));
    }

    /// Users call off so many jobs that run, and some of the machines that they run on hang.
    pub(super) fn cancel_now(&mut self, count: usize, hang: u64) {
        let mut running: Vec<(JobId, MachineId)> = Vec::new();
        for (machine, worker) in &self.workers {
            let on = worker.tasks.values().filter(|t| t.on_machine());
            running.extend(on.map(|t| (t.task.job.clone(), machine.clone())));
        }
        for _ in 0..count.min(running.len()) {
            let (id, machine) = running[self.rng.random_range(0..running.len())].clone();
            let delay = self.rng.random_range(0..200);
            let node = self.rng.random_range(0..self.plan.nodes);
            self.after(delay, Event::Look(node, id.clone(), Asked::Cancel));
            // The request is repeated until it is answered.
            for again in 1..20 {
                let node = self.rng.random_range(0..self.plan.nodes);
                self.after(
                    delay + again * 1_000,
                    Event::Look(node, id.clone(), Asked::Cancel),
                );
            }
            if self.rng.random_bool(0.5) {
                if let Some(worker) = self.workers.get_mut(&machine) {
                    worker.hung_until = hang;
                }
            }
        }
    }

    /// How often two troubles were there at the same time.
    pub fn overlaps(&self, a: Trouble, b: Trouble) -> usize {
        let of = |t: Trouble| self.troubles.iter().filter(move |(x, ..)| *x == t);
        let meets = |x: &(Trouble, u64, u64), y: &(Trouble, u64, u64)| {
            x.1 <= y.2 && y.1 <= x.2 && !std::ptr::eq(x, y)
        };
        (of(a)).map(|x| of(b).filter(|y| meets(x, y)).count()).sum()
    }

    pub fn some_workers(&mut self, share: f64, trouble: impl Fn(&mut Worker)) {
        for worker in self.workers.values_mut() {
            if self.rng.random_bool(share) {
                trouble(worker);
            }
        }
    }

    /// Ends all troubles.
    pub fn calm(&mut self) {
        self.faults = false;
        self.store.set_down(false, self.now);
        for node in &mut self.nodes {
            node.cut_state_until = 0;
            node.cut_peers_until = 0;
            node.cut_workers_until = 0;
            node.slow_until = 0;
        }
        self.state_slow_until = 0;
        self.late_writes_until = 0;
        self.lost_answers_until = 0;
        self.slow_links_until = 0;
        self.late_reports_until = 0;
        self.for_next_until = 0;
        self.cancel_at_end_until = 0;
        self.close_looks_until = 0;
        self.cut_pairs.clear();
        self.partitioned_zones = None;
        self.cloud.down = false;
        for worker in self.workers.values_mut() {
            worker.cut_until = 0;
            worker.deaf_until = 0;
            worker.mute_until = 0;
            worker.hung_until = worker.hung_until.min(self.now);
        }
        if self.calm_since.replace(self.now).is_none() {
            self.after(1_000, Event::Sweep(0));
        }
    }
}

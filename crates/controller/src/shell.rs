//! Threads and channels round the core. All channels are bounded. Inputs from outside that find
//! the core's channel full are refused (users) or dropped (they come again); answers to the
//! core's own calls wait for room.

use crate::clients::{self, Watched};
use crate::front::{self, Open, ToCore};
use crossbeam_channel::{bounded, select, Receiver, Sender};
use rudderreel_core::units::{Now, Span, Time, Wall};
use rudderreel_core::{
    CallId, CloudAnswer, CloudCall, Core, DirectOutcome, Input, Output, ReqId, StateAnswer,
    StateCall,
};
use rudderreel_wire::ids::{MachineId, NodeName, Version};
use rudderreel_wire::peer::{Announcement, Forward, Heartbeat, Reports};
use rudderreel_wire::settings::Settings;
use rudderreel_wire::worker::DirectCommands;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Inputs that may wait for the core.
const INPUTS: usize = 1024;
/// Reports that may wait for the core: some seconds' worth. A worker gives an answer up after 4 s, so
/// however large the fleet is, more waiting would only be answered too late.
const REPORTS: usize = 1024;
/// Of so many inputs that are taken in a rush at least one is a report.
const TURNS: u32 = 4;
/// Calls that may wait for a client thread.
const CALLS: usize = 256;
/// How often the core looks at the clock.
const TICK: Duration = Duration::from_millis(20);
/// Threads for calls, by whom they go to.
const STATE_THREADS: usize = 8;
const CLOUD_THREADS: usize = 3;
const WORKER_THREADS: usize = 16;
/// Threads for calls that ask workers whether they are there: those wait for the ones that are not,
/// and of a large fleet a hundred may be silent at once.
const PROBE_THREADS: usize = 8;
/// Nodes of large fleets have more sockets: one more thread of each kind for so many, up to a bound
/// far below what a process may have.
const SOCKETS_PER_THREAD: usize = 100;
const MOST_THREADS: usize = 64;
/// The part of the state service's limit that the nodes' watches may use together: each is asked
/// for again after every change.
const WATCH_PART: f64 = 0.2;
/// The longest pause that comes of it.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// A step of the core that takes longer is logged, for debugging.
const SLOW: Span = Span(40);
/// Stack of a thread.
const STACK: usize = 128 * 1024;

/// The steady clock and the time of day.
#[derive(Clone, Copy)]
struct Clock(Instant);

impl Clock {
    fn time(&self) -> Time {
        // The clock starts above zero, so that moments in the past can be written.
        Time(self.0.elapsed().as_millis() as u64 + 1_000_000)
    }

    fn now(&self) -> Now {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Now {
            time: self.time(),
            wall: Wall(wall.as_millis() as u64),
        }
    }
}

enum WorkerJob {
    Direct(MachineId, String, DirectCommands),
}

enum PeerJob {
    Beat(Heartbeat),
    Forward(ReqId, Forward),
    Reports(CallId, Reports),
    Announce(NodeName, Announcement),
}

/// Channels to one peer.
struct PeerWires {
    beats: Sender<PeerJob>,
    forwards: Sender<PeerJob>,
    reports: Sender<PeerJob>,
    announcements: Sender<PeerJob>,
}

/// Where the core's outputs go.
struct Wires {
    open: Open,
    state: Sender<(CallId, StateCall)>,
    watch: Sender<Version>,
    cloud: Sender<(CallId, CloudCall)>,
    workers: Sender<WorkerJob>,
    probes: Sender<WorkerJob>,
    peers: BTreeMap<NodeName, PeerWires>,
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let thread = thread::Builder::new().name(name.into()).stack_size(STACK);
    thread
        .spawn(work)
        .map(|_| ())
        .map_err(|e| format!("thread {name}: {e}"))
}

/// Runs a node until it is killed.
pub fn run(settings: Settings) -> Result<(), String> {
    let clock = Clock(Instant::now());
    let (rest, inputs) = bounded(INPUTS);
    let (reports, reported) = bounded(REPORTS);
    let (front, peers, open) = front::listen(&settings)?;
    let wires = start_clients(&settings, clock, &rest, open)?;
    let to_core = ToCore { reports, rest };
    let c = to_core.clone();
    spawn("front", move || front::serve_front(front, &c))?;
    spawn("peers", move || front::serve_peers(peers, &to_core))?;
    log::info!("node {} serves at {}", settings.node, settings.listen);
    let inputs = Inputs {
        rest: inputs,
        reports: reported,
        turns: 0,
    };
    turn(Core::new(settings), inputs, &wires, clock);
    Ok(())
}

/// What waits for the core. Reports come by the hundred when a fleet reconnects, so heartbeats,
/// users, health checks and answers go before them, but not always.
struct Inputs {
    rest: Receiver<Input>,
    reports: Receiver<Input>,
    turns: u32,
}

impl Inputs {
    /// The next input, if one comes in time.
    fn next(&mut self, wait: Duration) -> Option<Input> {
        self.turns = (self.turns + 1) % TURNS;
        let (first, second) = if self.turns == 0 {
            (&self.reports, &self.rest)
        } else {
            (&self.rest, &self.reports)
        };
        if let Ok(input) = first.try_recv().or_else(|_| second.try_recv()) {
            return Some(input);
        }
        select! {
            recv(self.rest) -> input => input.ok(),
            recv(self.reports) -> input => input.ok(),
            default(wait) => None,
        }
    }
}

fn turn(mut core: Core, mut inputs: Inputs, wires: &Wires, clock: Clock) {
    let mut next_tick = Instant::now();
    // Answers to calls that could not be made. A call that is never answered would be waited for
    // for ever.
    let mut not_made: Vec<Input> = Vec::new();
    loop {
        let wait = next_tick.saturating_duration_since(Instant::now());
        let input = if wait.is_zero() {
            next_tick = Instant::now() + TICK;
            for input in std::mem::take(&mut not_made) {
                take(&mut core, input, wires, clock, &mut not_made);
            }
            Input::Tick
        } else {
            match inputs.next(wait) {
                Some(input) => input,
                None => continue,
            }
        };
        take(&mut core, input, wires, clock, &mut not_made);
    }
}

fn take(core: &mut Core, input: Input, wires: &Wires, clock: Clock, not_made: &mut Vec<Input>) {
    let now = clock.now();
    let what = log::log_enabled!(log::Level::Debug).then(|| std::mem::discriminant(&input));
    let outputs = core.step(input, now);
    if let Some(what) = what {
        let took = clock.time() - now.time;
        if took > SLOW {
            log::debug!("a step took {} ms: {what:?}", took.0);
        }
    }
    for output in outputs {
        if let Some(answer) = wires.send(output, now.time) {
            log::debug!("a call was not made: too many wait");
            not_made.push(answer);
        }
    }
}

impl Wires {
    /// Sends an output on its way. If it is a call that can't be made, returns its answer.
    fn send(&self, output: Output, now: Time) -> Option<Input> {
        match output {
            Output::Answer {
                req,
                status,
                body,
                retry_after,
            } => {
                self.open.answer(req, status, body, retry_after);
                None
            }
            Output::AnswerHeartbeat(req, reply) => {
                self.open.answer_bytes(req, bitcode::encode(&reply));
                None
            }
            Output::AnswerReports(req, reply) => {
                self.open.answer_bytes(req, bitcode::encode(&reply));
                None
            }
            Output::State(id, call) => (self.state.try_send((id, call)).is_err())
                .then_some(Input::State(id, now, StateAnswer::Refused)),
            Output::Watch(after) => {
                (self.watch.try_send(after).is_err()).then_some(Input::WatchLost)
            }
            Output::Cloud(id, call) => (self.cloud.try_send((id, call)).is_err())
                .then_some(Input::Cloud(id, CloudAnswer::Refused)),
            Output::Direct {
                machine,
                addr,
                body,
            } => self.direct(machine, addr, body),
            Output::Heartbeat(beat) => {
                for peer in self.peers.values() {
                    // A peer that is still busy with the last one gets the next.
                    let _ = peer.beats.try_send(PeerJob::Beat(beat.clone()));
                }
                None
            }
            Output::Forward(peer, req, request) => {
                let sent = (self.peers.get(&peer))
                    .is_some_and(|p| p.forwards.try_send(PeerJob::Forward(req, request)).is_ok());
                (!sent).then_some(Input::ForwardReply(req, None))
            }
            Output::AnswerAnnounced(req, reply) => {
                self.open.answer_bytes(req, bitcode::encode(&reply));
                None
            }
            Output::Announce(peer, announcement) => {
                let job = PeerJob::Announce(peer.clone(), announcement);
                let sent =
                    (self.peers.get(&peer)).is_some_and(|p| p.announcements.try_send(job).is_ok());
                (!sent).then_some(Input::AnnounceReply(peer, None))
            }
            Output::PassReports(peer, id, reports) => {
                let sent = (self.peers.get(&peer))
                    .is_some_and(|p| p.reports.try_send(PeerJob::Reports(id, reports)).is_ok());
                (!sent).then_some(Input::ReportsReply(id, None))
            }
        }
    }

    fn direct(&self, machine: MachineId, addr: String, body: DirectCommands) -> Option<Input> {
        let calls = if body.commands.is_empty() {
            &self.probes
        } else {
            &self.workers
        };
        match calls.try_send(WorkerJob::Direct(machine, addr, body)) {
            Ok(()) => None,
            Err(e) => {
                let WorkerJob::Direct(machine, _, body) = e.into_inner();
                Some(Input::Direct(machine, body, DirectOutcome::NotCalled))
            }
        }
    }
}

fn start_clients(
    settings: &Settings,
    clock: Clock,
    core: &Sender<Input>,
    open: Open,
) -> Result<Wires, String> {
    let state = start_state(settings.services.state, clock, core)?;
    let watch = start_watch(settings, core)?;
    let cloud = start_cloud(settings.services.cloud, core)?;
    let sockets = (settings.params.limits.as_ref()).map_or(0, |l| l.fd_limit as usize);
    let by_need = |least: usize| (sockets / SOCKETS_PER_THREAD).clamp(least, MOST_THREADS);
    let workers = start_workers(core, by_need(WORKER_THREADS))?;
    let probes = start_workers(core, by_need(PROBE_THREADS))?;
    let mut peers = BTreeMap::new();
    for peer in &settings.peers {
        let wires = PeerWires {
            beats: start_peer(peer.addr, clock, core, 1, 1)?,
            forwards: start_peer(peer.addr, clock, core, 2, 32)?,
            reports: start_peer(peer.addr, clock, core, 2, 4)?,
            announcements: start_peer(peer.addr, clock, core, 1, 1)?,
        };
        peers.insert(peer.node.clone(), wires);
    }
    Ok(Wires {
        open,
        state,
        watch,
        cloud,
        workers,
        probes,
        peers,
    })
}

fn start_state(
    addr: SocketAddrV4,
    clock: Clock,
    core: &Sender<Input>,
) -> Result<Sender<(CallId, StateCall)>, String> {
    let (calls, queue) = bounded::<(CallId, StateCall)>(CALLS);
    let agent = clients::agent(400, 1_200);
    for i in 0..STATE_THREADS {
        let (queue, core, agent) = (queue.clone(), core.clone(), agent.clone());
        spawn(&format!("state-{i}"), move || {
            for (id, call) in queue {
                let sent = clock.time();
                let answer = clients::call_state(&agent, addr, &call);
                if core.send(Input::State(id, sent, answer)).is_err() {
                    return;
                }
            }
        })?;
    }
    Ok(calls)
}

fn start_watch(settings: &Settings, core: &Sender<Input>) -> Result<Sender<Version>, String> {
    let addr = settings.services.state;
    let rate = settings.params.state.rps * WATCH_PART / f64::from(settings.params.nodes.max(1));
    let pause = Duration::from_secs_f64(1.0 / rate.max(0.1)).min(WATCH_PAUSE);
    let (starts, queue) = bounded::<Version>(4);
    let agent = clients::agent(400, 12_000);
    let core = core.clone();
    spawn("watch", move || {
        for mut after in queue {
            let asked = Instant::now();
            let input = loop {
                match clients::watch(&agent, addr, "pub/", after) {
                    Watched::Events(e) if e.events.is_empty() => after = e.revision.max(after),
                    Watched::Events(e) => break Input::Watched(e.revision, e.events),
                    Watched::Lost => break Input::WatchLost,
                    Watched::Failed => thread::sleep(Duration::from_millis(300)),
                }
            };
            if core.send(input).is_err() {
                return;
            }
            thread::sleep(pause.saturating_sub(asked.elapsed()));
        }
    })?;
    Ok(starts)
}

fn start_cloud(
    addr: SocketAddrV4,
    core: &Sender<Input>,
) -> Result<Sender<(CallId, CloudCall)>, String> {
    let (calls, queue) = bounded::<(CallId, CloudCall)>(CALLS);
    let agent = clients::agent(1_000, 4_000);
    for i in 0..CLOUD_THREADS {
        let (queue, core, agent) = (queue.clone(), core.clone(), agent.clone());
        spawn(&format!("cloud-{i}"), move || {
            for (id, call) in queue {
                let answer = clients::call_cloud(&agent, addr, &call);
                if core.send(Input::Cloud(id, answer)).is_err() {
                    return;
                }
            }
        })?;
    }
    Ok(calls)
}

fn start_workers(core: &Sender<Input>, threads: usize) -> Result<Sender<WorkerJob>, String> {
    let (jobs, queue) = bounded::<WorkerJob>(CALLS);
    let agent = clients::agent(400, 1_000);
    for i in 0..threads {
        let (queue, core, agent) = (queue.clone(), core.clone(), agent.clone());
        spawn(&format!("worker-{i}"), move || {
            for WorkerJob::Direct(machine, addr, body) in queue {
                let outcome: DirectOutcome = clients::call_worker(&agent, &addr, &body);
                if core.send(Input::Direct(machine, body, outcome)).is_err() {
                    return;
                }
            }
        })?;
    }
    Ok(jobs)
}

fn start_peer(
    addr: SocketAddrV4,
    clock: Clock,
    core: &Sender<Input>,
    threads: usize,
    waiting: usize,
) -> Result<Sender<PeerJob>, String> {
    let (jobs, queue) = bounded::<PeerJob>(waiting);
    let agent = clients::agent(300, 1_000);
    for i in 0..threads {
        let (queue, core, agent) = (queue.clone(), core.clone(), agent.clone());
        spawn(&format!("peer-{i}"), move || {
            for job in queue {
                let input = match job {
                    PeerJob::Beat(beat) => {
                        let sent = clock.time();
                        match clients::heartbeat(&agent, addr, &beat) {
                            Some(reply) => Input::HeartbeatReply(sent, reply),
                            None => continue,
                        }
                    }
                    PeerJob::Reports(id, reports) => {
                        Input::ReportsReply(id, clients::pass_reports(&agent, addr, &reports))
                    }
                    PeerJob::Announce(peer, told) => {
                        Input::AnnounceReply(peer, clients::announce(&agent, addr, &told))
                    }
                    PeerJob::Forward(req, request) => {
                        Input::ForwardReply(req, clients::forward(&agent, addr, &request))
                    }
                };
                if core.send(input).is_err() {
                    return;
                }
            }
        })?;
    }
    Ok(jobs)
}

#[cfg(test)]
mod tests;

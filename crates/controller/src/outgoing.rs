//! Where the core's outputs go: threads that call the state service, the cloud, workers and peers, behind
//! bounded queues. A call that finds its queue full is answered as not made, so that the core never waits
//! for an answer that can't come.

mod peers;

use crate::clients::{self, CallLimits, Watched};
use crate::clock::Clock;
use crate::front::Open;
use crate::inputs::{InputQueues, InputSender};
use crate::process_limits::ProcessLimits;
use crossbeam_channel::{bounded, Sender};
use peers::{PeerMessage, PeerQueues};
use rudderreel_core::units::Time;
use rudderreel_core::{
    CallId, CloudAnswer, CloudCall, DirectOutcome, Input, Output, ReqId, StoreAnswer, StoreCall,
};
use rudderreel_wire::ids::{MachineId, NodeName, Version};
use rudderreel_wire::settings::Settings;
use rudderreel_wire::worker::DirectCommands;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, Instant};

/// Calls to the state service and the cloud that may wait for a thread. The core has fewer open.
const CALLS: usize = 256;
/// Threads for calls to the state service, as many as the core has calls open in an ordinary moment.
const STATE_THREADS: usize = 12;
/// Threads for its leases, which other calls must not hold up.
const LEASE_THREADS: usize = 2;
/// Threads for calls to the cloud; the core has three open at most.
const CLOUD_THREADS: usize = 3;
/// The part of the state service's limit that the nodes' watches may use together: each is asked
/// for again after every change.
const WATCH_PART: f64 = 0.2;
/// The longest pause that comes of it.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a watch that got no answer.
const WATCH_RETRY: Duration = Duration::from_millis(300);
/// Connections to workers that are kept for later calls: the same worker is mostly called again soon or not.
const IDLE_WORKERS: usize = 8;
/// Stack of a thread.
const STACK: usize = 128 * 1024;

/// A call to a worker.
struct WorkerCall {
    machine: MachineId,
    addr: String,
    body: DirectCommands,
}

/// Where the core's outputs go.
pub struct Outgoing {
    open: Open,
    state: Sender<(CallId, StoreCall)>,
    leases: Sender<(CallId, StoreCall)>,
    watch: Sender<Version>,
    cloud: Sender<(CallId, CloudCall)>,
    commands: Sender<WorkerCall>,
    probes: Sender<WorkerCall>,
    peers: BTreeMap<NodeName, PeerQueues>,
}

/// Starts a named thread.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let thread = thread::Builder::new().name(name.into()).stack_size(STACK);
    thread
        .spawn(work)
        .map(|_| ())
        .map_err(|e| format!("thread {name}: {e}"))
}

/// Whether a call concerns a lease of this node.
fn is_about_lease(call: &StoreCall) -> bool {
    matches!(
        call,
        StoreCall::NewLease(_) | StoreCall::Renew(_) | StoreCall::EndLease(_)
    )
}

impl Outgoing {
    /// Sends an output on its way. If it is a call that can't be made, returns its answer.
    pub fn send(&self, output: Output, now: Time) -> Option<Input> {
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
            Output::AnswerForwardedReports(req, reply) => {
                self.open.answer_bytes(req, bitcode::encode(&reply));
                None
            }
            Output::State(id, call) => {
                let queue = if is_about_lease(&call) {
                    &self.leases
                } else {
                    &self.state
                };
                let sent = queue.try_send((id, call)).is_ok();
                (!sent).then_some(Input::State(id, now, StoreAnswer::Refused))
            }
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
            Output::Heartbeat(heartbeat) => {
                for peer in self.peers.values() {
                    // A peer that is still busy with the last one gets the next.
                    let _ = peer
                        .heartbeats
                        .try_send(PeerMessage::Heartbeat(heartbeat.clone()));
                }
                None
            }
            Output::Forward(peer, req, request) => {
                let sent = (self.peers.get(&peer)).is_some_and(|p| {
                    p.forwards
                        .try_send(PeerMessage::Forward(req, request))
                        .is_ok()
                });
                (!sent).then_some(Input::ForwardReply(req, None))
            }
            Output::AnswerReplicateCancellations(req, reply) => {
                self.open.answer_bytes(req, bitcode::encode(&reply));
                None
            }
            Output::ReplicateCancellations(peer, announcement) => {
                let job = PeerMessage::ReplicateCancellations(peer.clone(), announcement);
                let sent =
                    (self.peers.get(&peer)).is_some_and(|p| p.announcements.try_send(job).is_ok());
                (!sent).then_some(Input::ReplicateCancellationsReply(peer, None))
            }
            Output::ForwardReports(peer, id, reports) => {
                let sent = (self.peers.get(&peer)).is_some_and(|p| {
                    p.reports
                        .try_send(PeerMessage::ForwardedReports(id, reports))
                        .is_ok()
                });
                (!sent).then_some(Input::ForwardedReportsReply(id, None))
            }
        }
    }

    /// Refuses a request that has waited too long.
    pub fn refuse_late(&self, request: ReqId) {
        let body = serde_json::json!({ "error": "it has waited too long" }).to_string();
        self.open.answer(request, 503, body, Some(1));
    }

    fn direct(&self, machine: MachineId, addr: String, body: DirectCommands) -> Option<Input> {
        let queue = if body.commands.is_empty() {
            &self.probes
        } else {
            &self.commands
        };
        let call = WorkerCall {
            machine,
            addr,
            body,
        };
        let call = queue.try_send(call).err()?.into_inner();
        let outcome = DirectOutcome::NotCalled;
        Some(Input::Direct(call.machine, call.body, outcome))
    }
}

/// Starts the threads that make calls.
pub fn start(
    settings: &Settings,
    limits: &ProcessLimits,
    clock: Clock,
    inputs: &InputQueues,
    open: Open,
) -> Result<Outgoing, String> {
    let core = &inputs.control;
    let services = &settings.services;
    Ok(Outgoing {
        open,
        state: start_state("state", STATE_THREADS, services.state, clock, core)?,
        leases: start_state("lease", LEASE_THREADS, services.state, clock, core)?,
        watch: start_watch(settings, core)?,
        cloud: start_cloud(services.cloud, core)?,
        commands: start_workers("command", limits.command_threads, limits.calls, core)?,
        probes: start_workers("probe", limits.probe_threads, limits.calls, core)?,
        peers: peers::start(settings, clock, core)?,
    })
}

/// Starts threads that take what waits in a queue; returns where it is put. What comes of each goes to the
/// core, if anything does.
fn start_threads<T: Send + 'static>(
    name: &str,
    threads: usize,
    waiting: usize,
    core: &InputSender,
    call: impl Fn(T) -> Option<Input> + Clone + Send + 'static,
) -> Result<Sender<T>, String> {
    let (sender, queue) = bounded::<T>(waiting);
    for i in 0..threads {
        let (queue, core, call) = (queue.clone(), core.clone(), call.clone());
        spawn(&format!("{name}-{i}"), move || {
            for input in queue.into_iter().filter_map(call) {
                if core.send(input).is_err() {
                    return;
                }
            }
        })?;
    }
    Ok(sender)
}

fn start_state(
    name: &str,
    threads: usize,
    addr: SocketAddrV4,
    clock: Clock,
    core: &InputSender,
) -> Result<Sender<(CallId, StoreCall)>, String> {
    let agent = clients::agent(CallLimits::of_service(400, 1_200));
    start_threads(name, threads, CALLS, core, move |(id, call)| {
        let sent = clock.time();
        let answer = clients::call_state(&agent, addr, &call);
        Some(Input::State(id, sent, answer))
    })
}

fn start_watch(settings: &Settings, core: &InputSender) -> Result<Sender<Version>, String> {
    let addr = settings.services.state;
    let rate = settings.params.state.rps * WATCH_PART / f64::from(settings.params.nodes.max(1));
    let pause = Duration::from_secs_f64(1.0 / rate.max(0.1)).min(WATCH_PAUSE);
    let (starts, queue) = bounded::<Version>(4);
    let agent = clients::agent(CallLimits::of_service(400, 12_000));
    let core = core.clone();
    spawn("watch", move || {
        for mut after in queue {
            let asked = Instant::now();
            let input = loop {
                match clients::watch(&agent, addr, "pub/", after) {
                    Watched::Events(e) if e.events.is_empty() => after = e.revision.max(after),
                    Watched::Events(e) => break Input::Watched(e.revision, e.events),
                    Watched::Lost => break Input::WatchLost,
                    Watched::Failed => thread::sleep(WATCH_RETRY),
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
    core: &InputSender,
) -> Result<Sender<(CallId, CloudCall)>, String> {
    let agent = clients::agent(CallLimits::of_service(1_000, 4_000));
    start_threads("cloud", CLOUD_THREADS, CALLS, core, move |(id, call)| {
        Some(Input::Cloud(id, clients::call_cloud(&agent, addr, &call)))
    })
}

fn start_workers(
    name: &str,
    threads: usize,
    waiting: usize,
    core: &InputSender,
) -> Result<Sender<WorkerCall>, String> {
    let agent = clients::agent(CallLimits {
        idle: IDLE_WORKERS,
        ..CallLimits::of_service(400, 1_000)
    });
    start_threads(name, threads, waiting, core, move |call: WorkerCall| {
        let outcome = clients::call_worker(&agent, &call.addr, &call.body);
        Some(Input::Direct(call.machine, call.body, outcome))
    })
}

#[cfg(test)]
mod tests;

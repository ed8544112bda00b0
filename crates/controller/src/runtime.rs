//! Runs a node: starts its servers and threads, then passes inputs and ticks to the core until the process ends.

use crate::clock::Clock;
use crate::input_queues::{self, Inputs};
use crate::outgoing::Outgoing;
use crate::process_limits::ProcessLimits;
use crate::process_usage::ResourceLimits;
use crate::servers;
use crate::startup_error::StartupError;
use crate::threads::{spawn, ThreadRole};
use rudderreel_core::units::Span;
use rudderreel_core::{Input, Node, ProcessorShare};
use rudderreel_wire::settings::Settings;
use std::time::{Duration, Instant};

/// Interval of the core's ticks, on a node that has enough of a processor.
const TICK_INTERVAL: Span = Span(20);
/// Upper limit of the pause after a tick. After a long tick, other inputs get as much time as the tick took, but no
/// more than this: ticks maintain leases and heartbeats.
const MAX_TICK_PAUSE: Duration = Duration::from_millis(200);
/// Duration above which a step of the core is logged at debug level.
const SLOW_STEP_THRESHOLD: Span = Span(40);

/// Runs a node until it is killed.
pub fn run(mut settings: Settings) -> Result<(), StartupError> {
    let clock = Clock::start();
    let limits = ProcessLimits::determine(&mut settings);
    let (queues, inputs) = input_queues::queues(limits.queued_reports);
    let servers = servers::listen(&settings, &limits)?;
    let outgoing = Outgoing::start(&settings, &limits, clock, &queues, servers.open_requests)?;
    let resource_limits = ResourceLimits::of(&settings);
    let (public, peers) = (servers.public, servers.peers);
    let (public_queues, public_refusals) = (queues.clone(), servers.refusals.clone());
    let (peer_queues, peer_refusals) = (queues, servers.refusals);
    spawn(ThreadRole::PublicServer, move || {
        servers::serve_public(public, &public_queues, &public_refusals)
    })?;
    spawn(ThreadRole::PeerServer, move || {
        servers::serve_peers(peers, &peer_queues, &peer_refusals, resource_limits)
    })?;
    log::info!(
        "node listening node={} address={}",
        settings.node,
        settings.listen
    );
    let tick_interval = ProcessorShare::of(&settings).stretched(TICK_INTERVAL);
    let core = CoreLoop {
        node: Node::new(settings),
        outgoing,
        clock,
        tick_interval: Duration::from_millis(tick_interval.0),
        unsent_call_answers: Vec::new(),
    };
    core.run(inputs);
    Ok(())
}

/// The core's event loop: passes inputs to the core and dispatches its outputs.
struct CoreLoop {
    node: Node,
    outgoing: Outgoing,
    clock: Clock,
    tick_interval: Duration,
    /// Answers to calls that could not be made, which the core gets at the next tick. The core would wait forever for a
    /// call that is never answered.
    unsent_call_answers: Vec<Input>,
}

impl CoreLoop {
    fn run(mut self, mut inputs: Inputs) {
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                next_tick = self.tick(next_tick);
            } else if let Some(received) = inputs.next(wait) {
                self.node
                    .record_input_wait(self.clock.time(), to_span(received.waited));
                match received.expired_request() {
                    Some(request) => self.outgoing.refuse_expired(request),
                    None => self.step(received.input),
                }
            }
        }
    }

    /// Passes a tick to the core; returns when the next tick is due.
    fn tick(&mut self, due: Instant) -> Instant {
        for answer in std::mem::take(&mut self.unsent_call_answers) {
            self.step(answer);
        }
        let began = Instant::now();
        let late = began.saturating_duration_since(due);
        // A process that has used up its processor share is woken late, which the queues' wait times do not show.
        self.node
            .record_input_wait(self.clock.time(), to_span(late));
        self.step(Input::Tick);
        let pause = (began.elapsed()).clamp(self.tick_interval, MAX_TICK_PAUSE);
        Instant::now() + pause
    }

    /// Makes one step of the core and dispatches its outputs.
    fn step(&mut self, input: Input) {
        let now = self.clock.now();
        let kind = log::log_enabled!(log::Level::Debug).then(|| std::mem::discriminant(&input));
        let outputs = self.node.step(input, now);
        let ended = self.clock.time();
        let took = ended - now.time;
        if let Some(kind) = kind.filter(|_| took > SLOW_STEP_THRESHOLD) {
            let long_step = self.node.long_step();
            log::debug!(
                "slow step took_ms={} input={kind:?} long_step={long_step:?}",
                took.0
            );
        }
        self.node.step_ended(ended, took);
        for output in outputs {
            if let Some(answer) = self.outgoing.send(output, now.time) {
                log::debug!("call not made reason=queue_full");
                self.unsent_call_answers.push(answer);
            }
        }
    }
}

fn to_span(duration: Duration) -> Span {
    Span(duration.as_millis() as u64)
}

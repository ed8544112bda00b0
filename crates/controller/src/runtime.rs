//! Runs a node: starts its servers and threads, then hands inputs and the time to the core, for ever.

use crate::clock::Clock;
use crate::input_queues::{self, Inputs};
use crate::outgoing::Outgoing;
use crate::process_limits::ProcessLimits;
use crate::process_usage::Allowance;
use crate::servers;
use crate::startup_error::StartupError;
use crate::threads::{spawn, ThreadRole};
use rudderreel_core::units::Span;
use rudderreel_core::{Input, Node, ProcessorShare};
use rudderreel_wire::settings::Settings;
use std::time::{Duration, Instant};

/// How often the core is told the time, on a node that has enough of a processor.
const TICK_INTERVAL: Span = Span(20);
/// After a tick that took long, other inputs have as much time as it took, but no longer than this: leases
/// and heartbeats are looked after by ticks.
const LONGEST_TICK_PAUSE: Duration = Duration::from_millis(200);
/// A step of the core that takes longer is logged, for debugging.
const SLOW_STEP: Span = Span(40);

/// Runs a node until it is killed.
pub fn run(mut settings: Settings) -> Result<(), StartupError> {
    let clock = Clock::start();
    let limits = ProcessLimits::determine(&mut settings);
    let (queues, inputs) = input_queues::queues(limits.queued_reports);
    let servers = servers::listen(&settings, &limits)?;
    let outgoing = Outgoing::start(&settings, &limits, clock, &queues, servers.open_requests)?;
    let allowance = Allowance::of(&settings);
    let (public, peers) = (servers.public, servers.peers);
    let (public_queues, public_refusals) = (queues.clone(), servers.refusals.clone());
    let (peer_queues, peer_refusals) = (queues, servers.refusals);
    spawn(ThreadRole::PublicServer, move || {
        servers::serve_public(public, &public_queues, &public_refusals)
    })?;
    spawn(ThreadRole::PeerServer, move || {
        servers::serve_peers(peers, &peer_queues, &peer_refusals, allowance)
    })?;
    log::info!(
        "node serves node={} address={}",
        settings.node,
        settings.listen
    );
    let tick_interval = ProcessorShare::of(&settings).stretched(TICK_INTERVAL);
    let core = CoreLoop {
        node: Node::new(settings),
        outgoing,
        clock,
        tick_interval: Duration::from_millis(tick_interval.0),
        not_made: Vec::new(),
    };
    core.run(inputs);
    Ok(())
}

/// The core, and what it is connected to.
struct CoreLoop {
    node: Node,
    outgoing: Outgoing,
    clock: Clock,
    tick_interval: Duration,
    /// Answers to calls that could not be made, for the next tick. A call that is never answered would be
    /// waited for for ever.
    not_made: Vec<Input>,
}

impl CoreLoop {
    fn run(mut self, mut inputs: Inputs) {
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                next_tick = self.tick(next_tick);
            } else if let Some(arrived) = inputs.next(wait) {
                self.node
                    .record_input_wait(self.clock.time(), to_span(arrived.waited));
                match arrived.given_up() {
                    Some(request) => self.outgoing.refuse_late(request),
                    None => self.step(arrived.input),
                }
            }
        }
    }

    /// Tells the core the time; returns when the next tick is due.
    fn tick(&mut self, due: Instant) -> Instant {
        for answer in std::mem::take(&mut self.not_made) {
            self.step(answer);
        }
        let began = Instant::now();
        let late = began.saturating_duration_since(due);
        // A process that has used up its share is woken late; nothing in its queues shows that.
        self.node
            .record_input_wait(self.clock.time(), to_span(late));
        self.step(Input::Tick);
        let pause = (began.elapsed()).clamp(self.tick_interval, LONGEST_TICK_PAUSE);
        Instant::now() + pause
    }

    /// One step of the core.
    fn step(&mut self, input: Input) {
        let now = self.clock.now();
        let kind = log::log_enabled!(log::Level::Debug).then(|| std::mem::discriminant(&input));
        let outputs = self.node.step(input, now);
        let ended = self.clock.time();
        let took = ended - now.time;
        if let Some(kind) = kind.filter(|_| took > SLOW_STEP) {
            let long_step = self.node.long_step();
            log::debug!(
                "slow step took_ms={} input={kind:?} long_step={long_step:?}",
                took.0
            );
        }
        self.node.step_ended(ended, took);
        for output in outputs {
            if let Some(answer) = self.outgoing.send(output, now.time) {
                log::debug!("call not made, too many wait");
                self.not_made.push(answer);
            }
        }
    }
}

fn to_span(duration: Duration) -> Span {
    Span(duration.as_millis() as u64)
}

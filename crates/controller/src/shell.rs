//! The node: sockets, queues and threads round the core.

use crate::clock::Clock;
use crate::front;
use crate::inputs::{self, Inputs};
use crate::outgoing::{self, spawn, Outgoing};
use crate::process_limits;
use crate::process_usage::Allowance;
use rudderreel_core::units::Span;
use rudderreel_core::{Input, Node, ProcessorShare};
use rudderreel_wire::settings::Settings;
use std::time::{Duration, Instant};

/// How often the core looks at the clock, on a node that has enough of a processor.
const TICK: Span = Span(20);
/// After a tick that took long, other inputs have as much time as it took, but no longer than this: leases
/// and heartbeats are looked after by ticks.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);
/// A step of the core that takes longer is logged, for debugging.
const SLOW: Span = Span(40);

/// Runs a node until it is killed.
pub fn run(mut settings: Settings) -> Result<(), String> {
    let clock = Clock::start();
    let limits = process_limits::take_stock(&mut settings);
    let (queues, inputs) = inputs::queues(limits.reports);
    let servers = front::listen(&settings, &limits)?;
    let outgoing = outgoing::start(&settings, &limits, clock, &queues, servers.open)?;
    let (front_queues, counters) = (queues.clone(), servers.counters.clone());
    spawn("front", move || {
        front::serve_front(servers.front, &front_queues, &counters)
    })?;
    let counters = servers.counters;
    let allowance = Allowance::of(&settings);
    spawn("peers", move || {
        front::serve_peers(servers.peers, &queues, &counters, allowance)
    })?;
    log::info!("node {} serves at {}", settings.node, settings.listen);
    let tick = ProcessorShare::of(&settings).stretched(TICK);
    let tick = Duration::from_millis(tick.0);
    run_core(Node::new(settings), inputs, &outgoing, clock, tick);
    Ok(())
}

/// Hands inputs to the core, and the time, for ever.
fn run_core(mut core: Node, mut inputs: Inputs, outgoing: &Outgoing, clock: Clock, tick: Duration) {
    let mut next_tick = Instant::now();
    // Answers to calls that could not be made. A call that is never answered would be waited for
    // for ever.
    let mut not_made: Vec<Input> = Vec::new();
    loop {
        let wait = next_tick.saturating_duration_since(Instant::now());
        if wait.is_zero() {
            for input in std::mem::take(&mut not_made) {
                not_made.extend(step(&mut core, input, outgoing, clock));
            }
            let begun = Instant::now();
            let late = begun.saturating_duration_since(next_tick);
            // A process that has used up its share is woken late; nothing in its queues shows that.
            core.note_wait(clock.time(), span_of(late));
            not_made.extend(step(&mut core, Input::Tick, outgoing, clock));
            next_tick = Instant::now() + begun.elapsed().clamp(tick, LONGEST_PAUSE);
        } else if let Some(arrived) = inputs.next(wait) {
            core.note_wait(clock.time(), span_of(arrived.waited));
            match arrived.given_up() {
                Some(request) => outgoing.refuse_late(request),
                None => not_made.extend(step(&mut core, arrived.input, outgoing, clock)),
            }
        }
    }
}

fn span_of(duration: Duration) -> Span {
    Span(duration.as_millis() as u64)
}

/// One step of the core; returns the answers to calls that could not be made.
fn step(core: &mut Node, input: Input, outgoing: &Outgoing, clock: Clock) -> Vec<Input> {
    let now = clock.now();
    let kind = log::log_enabled!(log::Level::Debug).then(|| std::mem::discriminant(&input));
    let outputs = core.step(input, now);
    let ended = clock.time();
    let took = ended - now.time;
    if let Some(kind) = kind.filter(|_| took > SLOW) {
        let long_step = core.long_step();
        log::debug!("a step took {} ms: {kind:?} {long_step:?}", took.0);
    }
    core.step_ended(ended, took);
    let mut not_made = Vec::new();
    for output in outputs {
        if let Some(answer) = outgoing.send(output, now.time) {
            log::debug!("a call was not made: too many wait");
            not_made.push(answer);
        }
    }
    not_made
}

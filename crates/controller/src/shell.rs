//! The node: sockets, queues and threads round the core.

use crate::clock::Clock;
use crate::front;
use crate::inputs::{self, Inputs};
use crate::outgoing::{self, spawn, Outgoing};
use crate::process_limits;
use rudderreel_core::units::Span;
use rudderreel_core::{Core, Input};
use rudderreel_wire::settings::Settings;
use std::time::{Duration, Instant};

/// How often the core looks at the clock.
const TICK: Duration = Duration::from_millis(20);
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
    spawn("peers", move || {
        front::serve_peers(servers.peers, &queues, &counters)
    })?;
    log::info!("node {} serves at {}", settings.node, settings.listen);
    run_core(Core::new(settings), inputs, &outgoing, clock);
    Ok(())
}

/// Hands inputs to the core, and the time, for ever.
fn run_core(mut core: Core, mut inputs: Inputs, outgoing: &Outgoing, clock: Clock) {
    let mut next_tick = Instant::now();
    // Answers to calls that could not be made. A call that is never answered would be waited for
    // for ever.
    let mut not_made: Vec<Input> = Vec::new();
    loop {
        let wait = next_tick.saturating_duration_since(Instant::now());
        let input = if wait.is_zero() {
            next_tick = Instant::now() + TICK;
            for input in std::mem::take(&mut not_made) {
                not_made.extend(step(&mut core, input, outgoing, clock));
            }
            Input::Tick
        } else {
            match inputs.next(wait) {
                Some(input) => input,
                None => continue,
            }
        };
        not_made.extend(step(&mut core, input, outgoing, clock));
    }
}

/// One step of the core; returns the answers to calls that could not be made.
fn step(core: &mut Core, input: Input, outgoing: &Outgoing, clock: Clock) -> Vec<Input> {
    let now = clock.now();
    let kind = log::log_enabled!(log::Level::Debug).then(|| std::mem::discriminant(&input));
    let outputs = core.step(input, now);
    if let Some(kind) = kind {
        let took = clock.time() - now.time;
        if took > SLOW {
            log::debug!("a step took {} ms: {kind:?}", took.0);
        }
    }
    let mut not_made = Vec::new();
    for output in outputs {
        if let Some(answer) = outgoing.send(output, now.time) {
            log::debug!("a call was not made: too many wait");
            not_made.push(answer);
        }
    }
    not_made
}

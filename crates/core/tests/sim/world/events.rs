//! The events of a simulation, and the loop that processes them in the order of their times.

use super::*;

/// Events of the simulation. Node indexes come first (sender before receiver), then the generation of the sender's
/// process.
pub(super) enum Event {
    Tick(usize, u32),
    /// A node whose steps take time is free for its next queued input.
    ProcessorFree(usize, u32),
    Input(usize, u32, Input),
    StoreCall(usize, u32, CallId, Time, rudderreel_core::StoreCall),
    LateTransaction(rudderreel_core::StoreCall),
    /// A watch for changes after a revision, and its send time.
    Watch(usize, u32, Version, Time),
    /// The reopening of a watch that has timed out.
    RetryWatch(usize, u32, Version),
    Cloud(usize, u32, CallId, rudderreel_core::CloudCall),
    Direct(usize, u32, MachineId, DirectCommands, bool),
    /// A direct call that is queued in a process, and the time before which it must be sent.
    DirectQueued(usize, u32, MachineId, QueuedCall),
    LateReport(usize, Box<StatusReport>),
    /// A message that was carried out and answered arrives once more.
    Copy(Box<CopiedMessage>),
    StatusSweep(usize),
    UserAction(usize, JobId, UserAction),
    ForwardReports(usize, usize, u32, CallId, ForwardedReports),
    ReplicateCancellations(usize, usize, u32, ReplicateCancellations),
    Heartbeat(usize, usize, u32, rudderreel_wire::peer::Heartbeat),
    Forward(usize, usize, u32, ReqId, Forward),
    StatusReport(MachineId),
    ReportAnswer(MachineId, u64, u64, u16, String),
    UserTurn,
    Fault,
    Restart(usize),
    /// A paused process resumes.
    Resume(usize, u32),
    /// The next down or up phase of an intermittent outage of the store, and the time at which the outage ends.
    OutagePhase(u64),
    LowerLimits,
    Upgrade(usize),
}

impl World {
    /// Schedules an event after a delay in milliseconds.
    pub(super) fn schedule(&mut self, delay: u64, event: Event) {
        self.next_event += 1;
        self.queue
            .insert((self.now + delay, self.next_event), event);
    }

    /// Processes all events up to and including the time `end`.
    pub fn run_until(&mut self, end: u64) {
        while let Some((&(at, id), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.queue.remove(&(at, id)) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node, generation) => {
                if self.alive(node, generation) && self.is_paused(node) {
                    self.schedule(self.remaining_pause(node), Event::Tick(node, generation));
                } else if self.alive(node, generation) && self.scenario.steps_take_time {
                    self.enqueue(node, Input::Tick);
                } else if self.alive(node, generation) {
                    self.step_now(node, Input::Tick);
                    let slow = self.now < self.nodes[node].slow_until;
                    self.schedule(if slow { 150 } else { 20 }, Event::Tick(node, generation));
                }
            }
            Event::ProcessorFree(node, generation) => {
                if self.alive(node, generation) && self.is_paused(node) {
                    self.schedule(
                        self.remaining_pause(node),
                        Event::ProcessorFree(node, generation),
                    );
                } else if self.alive(node, generation) {
                    self.process_queue(node);
                }
            }
            Event::Input(node, generation, input) => {
                if self.alive(node, generation) {
                    self.step(node, input);
                }
            }
            Event::StoreCall(node, generation, id, sent, call)
                if self.is_held_back(node, generation) =>
            {
                let (delay, sent) = (self.remaining_pause(node), self.sending_time(node, sent));
                self.schedule(delay, Event::StoreCall(node, generation, id, sent, call));
            }
            Event::StoreCall(node, generation, id, sent, call) => {
                self.call_store(node, generation, id, sent, call)
            }
            Event::LateTransaction(call) => {
                self.store.call(&call, self.now);
            }
            Event::Watch(node, generation, after, sent) => {
                self.watch(node, generation, after, sent)
            }
            Event::RetryWatch(node, generation, after) => self.retry_watch(node, generation, after),
            Event::Copy(message) => self.deliver_copy(*message),
            Event::Cloud(node, generation, id, call) => {
                self.copy_at_random_age(CopiedMessage::Cloud(call.clone()));
                let answer = self.cloud.call(&call, self.now);
                self.boot_machines();
                let message_delay = 40 + self.message_delay();
                self.schedule(
                    message_delay,
                    Event::Input(node, generation, Input::Cloud(id, answer)),
                );
            }
            Event::DirectQueued(node, generation, id, call) => {
                self.send_direct(node, generation, id, call)
            }
            Event::Direct(node, generation, id, body, late) => {
                self.direct(node, generation, id, body, late)
            }
            Event::Heartbeat(from, to, generation, heartbeat)
                if self.is_held_back(from, generation) =>
            {
                let delay = self.remaining_pause(from);
                self.schedule(delay, Event::Heartbeat(from, to, generation, heartbeat));
            }
            Event::Heartbeat(from, to, generation, heartbeat) => {
                self.heartbeat(from, to, generation, heartbeat)
            }
            Event::Forward(from, to, generation, req, forward) => {
                self.forward(from, to, generation, req, forward)
            }
            Event::UserAction(node, id, action) => self.user_asks(node, &id, action),
            Event::StatusReport(id) => self.send_report(&id),
            Event::LateReport(node, report) => {
                if self.nodes[node].process.is_some() {
                    let req = self.new_request(node, Requester::Nobody);
                    self.step(node, Input::StatusReport(req, report));
                }
            }
            Event::ForwardReports(from, to, generation, id, reports) => {
                self.forward_reports(from, to, generation, id, reports)
            }
            Event::ReplicateCancellations(from, to, generation, cancellations) => {
                self.replicate_cancellations(from, to, generation, cancellations)
            }
            Event::StatusSweep(round) => self.sweep_statuses(round),
            Event::ReportAnswer(id, incarnation, sent, status, body) => {
                self.report_answered(&id, incarnation, sent, status, &body)
            }
            Event::UserTurn => self.user_turn(),
            Event::Fault => self.inject_random_fault(),
            Event::LowerLimits => {
                if let Some((_, lower)) = self.scenario.lower_limits {
                    self.store.limits = lower;
                }
            }
            Event::Upgrade(node) => {
                let down_ms = self.rng.random_range(100..2_000);
                self.restart_as(node, NodeVersion::Current, down_ms);
            }
            Event::Resume(node, generation) => self.resume(node, generation),
            Event::OutagePhase(until) => self.begin_next_outage_phase(until),
            Event::Restart(node) => {
                if self.nodes[node].process.is_none() {
                    self.start(node);
                }
            }
        }
        self.upgraded = self.is_upgraded();
        self.deliver_held_reports();
        // Checking a whole fleet takes long; a violation there lasts longer than the interval between checks.
        if self.scenario.machines <= FLEET_MACHINES || self.now >= self.next_check {
            let large = self.scenario.machines > LARGE_FLEET_MACHINES;
            self.next_check = self.now
                + if large {
                    LARGE_FLEET_CHECK_INTERVAL_MS
                } else {
                    FLEET_CHECK_INTERVAL_MS
                };
            self.update_gangs();
            self.check();
        }
    }
}

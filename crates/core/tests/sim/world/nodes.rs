//! The nodes: processes that start, stop and restart, their clocks, and the delivery of their outputs.

use super::*;

impl World {
    /// Starts a node's process.
    pub(super) fn start(&mut self, node: usize) {
        self.nodes[node].process = Some(Node::new(self.settings[node].clone()));
        self.nodes[node].generation += 1;
        self.nodes[node].requesters.clear();
        self.nodes[node].processor.clear();
        self.nodes[node].pause = pauses::Pause::default();
        self.nodes[node].revoked_starts = RevokedStarts::default();
        let generation = self.nodes[node].generation;
        self.schedule(1, Event::Tick(node, generation));
    }

    /// Stops a node's process, which restarts after a random time, in some scenarios with the old version.
    pub(super) fn crash(&mut self, node: usize) {
        let down_ms = self.rng.random_range(100..4_000);
        if self.scenario.restarts_old_version && self.rng.random_bool(0.4) {
            let upgrade = self.rng.random_range(8_000..25_000);
            self.schedule(upgrade, Event::Upgrade(node));
            return self.restart_as(node, NodeVersion::Production, down_ms);
        }
        self.stop_process(node, down_ms);
    }

    /// Returns a node's settings.
    pub fn settings_of(&self, node: usize) -> Settings {
        self.settings[node].clone()
    }

    /// Returns the time on a node's clocks.
    pub fn clock_of(&self, node: usize) -> Now {
        self.clock(node)
    }

    /// Restarts a process so quickly that other nodes may not have noticed.
    pub fn restart_quickly(&mut self, node: usize) {
        let down_ms = self.rng.random_range(50..900);
        self.stop_process(node, down_ms);
        self.copy_all_starts();
    }

    /// Stops a node's process and restarts it after `down_ms`.
    pub(super) fn stop_process(&mut self, node: usize, down_ms: u64) {
        self.nodes[node].process = None;
        self.schedule(down_ms, Event::Restart(node));
    }

    pub(super) fn clock(&self, node: usize) -> Now {
        let n = &self.nodes[node];
        Now {
            time: Time((self.now as f64 * n.drift) as u64 + n.offset),
            wall: Wall(1_790_000_000_000 + self.now),
        }
    }

    /// Returns whether a node's process of a given generation still runs.
    pub(super) fn alive(&self, node: usize, generation: u32) -> bool {
        self.nodes[node].process.is_some() && self.nodes[node].generation == generation
    }

    /// Registers a request to a node, and returns its id.
    pub(super) fn new_request(&mut self, node: usize, requester: Requester) -> ReqId {
        let n = &mut self.nodes[node];
        n.next_req += 1;
        let id = ReqId(n.next_req + (u64::from(n.generation) << 32));
        n.requesters.insert(id, requester);
        id
    }

    /// Delivers an input to a node: at once, or into its queue if the process is paused or busy.
    pub(super) fn step(&mut self, node: usize, input: Input) {
        if self.is_paused(node) {
            self.queue_while_paused(node, input);
        } else if self.scenario.steps_take_time {
            self.enqueue(node, input);
        } else {
            self.step_now(node, input);
        }
    }

    /// Runs a step of a node's core and sends its outputs.
    pub(super) fn step_now(&mut self, node: usize, input: Input) {
        let now = self.clock(node);
        let generation = self.nodes[node].generation;
        for output in self.measured_step(node, input, now) {
            if self.scenario.records_decisions {
                self.decisions.record(self.now, node, &output);
            }
            let message_delay = self.message_delay();
            match output {
                Output::Answer {
                    req, status, body, ..
                } => self.respond(node, req, status, body),
                Output::AnswerHeartbeat(req, reply) => self.heartbeat_answered(node, req, reply),
                Output::AnswerForwardedReports(req, reply) => {
                    self.reports_forwarded(node, req, reply)
                }
                Output::ForwardReports {
                    peer,
                    call: id,
                    reports,
                } => {
                    let to = self.node_of(&peer);
                    self.schedule(
                        message_delay,
                        Event::ForwardReports(node, to, generation, id, reports),
                    );
                }
                Output::AnswerReplicateCancellations(req, reply) => {
                    self.cancellations_replicated(node, req, reply)
                }
                Output::ReplicateCancellations(peer, cancellations) => {
                    let to = self.node_of(&peer);
                    self.schedule(
                        message_delay,
                        Event::ReplicateCancellations(node, to, generation, cancellations),
                    );
                }
                Output::Store(id, call) => self.schedule(
                    message_delay,
                    Event::StoreCall(node, generation, id, now.time, call),
                ),
                Output::Watch(after) => self.schedule(
                    message_delay,
                    Event::Watch(node, generation, after, now.time),
                ),
                Output::Cloud(id, call) if self.may_call_cloud(node, &call) => {
                    self.schedule(message_delay, Event::Cloud(node, generation, id, call))
                }
                Output::Cloud(id, _) => {
                    let input = Input::Cloud(id, CloudAnswer::Refused);
                    self.schedule(message_delay, Event::Input(node, generation, input))
                }
                Output::Direct {
                    machine,
                    body,
                    send_until,
                    ..
                } => {
                    self.record_starts(&body.commands);
                    let call = QueuedCall {
                        body,
                        send_until,
                        revocations: self.nodes[node].revoked_starts.all,
                        has_waited: false,
                    };
                    self.schedule(
                        message_delay,
                        Event::DirectQueued(node, generation, machine, call),
                    )
                }
                Output::RevokeStarts(revocation) => self.revoke_starts(node, revocation),
                Output::Heartbeat(heartbeat) => {
                    for to in (0..self.scenario.nodes).filter(|to| *to != node) {
                        self.schedule(
                            message_delay,
                            Event::Heartbeat(node, to, generation, heartbeat.clone()),
                        );
                    }
                }
                Output::Forward {
                    peer,
                    req,
                    request: forward,
                } => {
                    let to = self.node_of(&peer);
                    self.schedule(
                        message_delay,
                        Event::Forward(node, to, generation, req, forward),
                    );
                }
            }
        }
    }

    pub(super) fn node_of(&self, name: &NodeName) -> usize {
        (0..self.scenario.nodes)
            .find(|i| self.settings[*i].node == *name)
            .expect("a peer")
    }

    /// Returns the node that leads according to the store.
    pub fn leader_by_store(&self) -> Option<usize> {
        let moved = self.store.bool_field("pub/leader", "superseded");
        let key = if moved { "pub/seat" } else { "pub/leader" };
        let name = self.store.text_field(key, "node")?;
        (0..self.scenario.nodes).find(|n| self.settings[*n].node.as_str() == name)
    }

    /// Sends an administrator's request to a node; returns the status and the body of the answer.
    pub fn admin(&mut self, node: usize, request: AdminRequest) -> (u16, Value) {
        self.admin_answer = None;
        let req = self.new_request(node, Requester::Admin);
        self.step(
            node,
            Input::Admin {
                req,
                request,
                origin: RequestOrigin::Direct,
            },
        );
        if self.admin_answer.is_none() {
            self.run_until(self.now + 500);
        }
        let (status, body) = self.admin_answer.take().expect("an answer");
        (status, serde_json::from_str(&body).expect("JSON"))
    }

    /// Returns the first node that reports itself as the leader; paused nodes are skipped.
    pub fn leader(&mut self) -> Option<usize> {
        (0..self.scenario.nodes).find(|&node| {
            if self.is_paused(node) {
                return false;
            }
            let (_, body) = self.admin(node, AdminRequest::Overview);
            body["leads"] == true
        })
    }
}

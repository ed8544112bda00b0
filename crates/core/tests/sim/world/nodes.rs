//! The nodes: processes that start, end and come back, their clocks, and what they put out.

use super::*;

impl World {
    pub(super) fn start(&mut self, node: usize) {
        self.nodes[node].process = Some(Node::new(self.settings[node].clone()));
        self.nodes[node].life += 1;
        self.nodes[node].requesters.clear();
        self.nodes[node].work.forget();
        self.nodes[node].pause = pauses::Pause::default();
        let life = self.nodes[node].life;
        self.after(1, Event::Tick(node, life));
    }

    pub(super) fn crash(&mut self, node: usize) {
        let back = self.rng.random_range(100..4_000);
        if self.scenario.restarts_old_version && self.rng.random_bool(0.4) {
            let upgrade = self.rng.random_range(8_000..25_000);
            self.after(upgrade, Event::Upgrade(node));
            return self.restart_as(node, NodeVersion::Production, back);
        }
        self.end(node, back);
    }

    /// A node's settings.
    pub fn settings_of(&self, node: usize) -> Settings {
        self.settings[node].clone()
    }

    /// A node's clocks.
    pub fn clock_of(&self, node: usize) -> Now {
        self.clock(node)
    }

    /// A process that is back before anybody may have noticed.
    pub fn restart_quickly(&mut self, node: usize) {
        let back = self.rng.random_range(50..900);
        self.end(node, back);
    }

    pub(super) fn end(&mut self, node: usize, back: u64) {
        self.nodes[node].process = None;
        self.after(back, Event::Restart(node));
    }

    pub(super) fn clock(&self, node: usize) -> Now {
        let n = &self.nodes[node];
        Now {
            time: Time((self.now as f64 * n.drift) as u64 + n.offset),
            wall: Wall(1_790_000_000_000 + self.now),
        }
    }

    pub(super) fn alive(&self, node: usize, life: u32) -> bool {
        self.nodes[node].process.is_some() && self.nodes[node].life == life
    }

    pub(super) fn ask(&mut self, node: usize, asker: Requester) -> ReqId {
        let n = &mut self.nodes[node];
        n.next_req += 1;
        let id = ReqId(n.next_req + (u64::from(n.life) << 32));
        n.requesters.insert(id, asker);
        id
    }

    pub(super) fn step(&mut self, node: usize, input: Input) {
        if self.is_paused(node) {
            self.wait_for_resume(node, input);
        } else if self.scenario.steps_take_time {
            self.enqueue(node, input);
        } else {
            self.step_now(node, input);
        }
    }

    pub(super) fn step_now(&mut self, node: usize, input: Input) {
        let now = self.clock(node);
        let life = self.nodes[node].life;
        for output in self.measured_step(node, input, now) {
            if self.scenario.records_decisions {
                self.decisions.record(self.now, node, &output);
            }
            let hop = self.hop();
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
                    self.after(hop, Event::ForwardReports(node, to, life, id, reports));
                }
                Output::AnswerReplicateCancellations(req, reply) => {
                    self.cancellations_replicated(node, req, reply)
                }
                Output::ReplicateCancellations(peer, told) => {
                    let to = self.node_of(&peer);
                    self.after(hop, Event::ReplicateCancellations(node, to, life, told));
                }
                Output::State(id, call) => {
                    self.after(hop, Event::State(node, life, id, now.time, call))
                }
                Output::Watch(after) => self.after(hop, Event::Watch(node, life, after, now.time)),
                Output::Cloud(id, call) if self.asks_cloud(node, &call) => {
                    self.after(hop, Event::Cloud(node, life, id, call))
                }
                Output::Cloud(id, _) => {
                    let input = Input::Cloud(id, CloudAnswer::Refused);
                    self.after(hop, Event::Input(node, life, input))
                }
                Output::Direct {
                    machine,
                    body,
                    send_until,
                    ..
                } => {
                    self.note_starts(&body.commands);
                    self.after(
                        hop,
                        Event::DirectQueued(node, life, machine, body, send_until),
                    )
                }
                Output::Heartbeat(heartbeat) => {
                    for to in (0..self.scenario.nodes).filter(|to| *to != node) {
                        self.after(hop, Event::Heartbeat(node, to, life, heartbeat.clone()));
                    }
                }
                Output::Forward {
                    peer,
                    req,
                    request: forward,
                } => {
                    let to = self.node_of(&peer);
                    self.after(hop, Event::Forward(node, to, life, req, forward));
                }
            }
        }
    }

    pub(super) fn node_of(&self, name: &NodeName) -> usize {
        (0..self.scenario.nodes)
            .find(|i| self.settings[*i].node == *name)
            .expect("a peer")
    }

    /// Who leads, by the store.
    pub fn leader_by_store(&self) -> Option<usize> {
        let moved = self.store.is_set("pub/leader", "superseded");
        let key = if moved { "pub/seat" } else { "pub/leader" };
        let name = self.store.text(key, "node")?;
        (0..self.scenario.nodes).find(|n| self.settings[*n].node.as_str() == name)
    }

    /// An administrator's request at a node, and its answer.
    pub fn admin(&mut self, node: usize, request: AdminRequest) -> (u16, Value) {
        self.admin_answer = None;
        let req = self.ask(node, Requester::Admin);
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

    /// The node that leads, as any node knows it.
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

//! Messages between nodes: heartbeats, forwarded reports and replicated cancellations, some of which are lost.

use super::*;
use rudderreel_wire::peer::Heartbeat;

/// How long a node waits before it is told that a peer is not there.
const UNREACHABLE_AFTER_MS: u64 = 500;

/// What a peer forwards, as the input that it becomes.
fn forwarded_input(req: ReqId, forward: Forward) -> Input {
    let sender = SenderVersion::KnowsDependencies;
    let (request, sender) = match forward {
        Forward::Submit(text) => {
            let passed = ForwardedSubmission::parse(&text).expect("a submission");
            (UserRequest::Submit(Box::new(passed.spec)), passed.sender)
        }
        Forward::Admin(path) => {
            return Input::Admin {
                req,
                request: AdminRequest::of_path(&path).expect("a path"),
                origin: RequestOrigin::Peer,
            }
        }
        Forward::Status(id) => (UserRequest::Status(id.parse().expect("an id")), sender),
        Forward::Cancel(id) => (UserRequest::Cancel(id.parse().expect("an id")), sender),
    };
    Input::ForwardedRequest {
        req,
        request,
        sender,
    }
}

impl World {
    /// A heartbeat arrives, if its sender still runs and reaches the other node.
    pub(super) fn heartbeat(&mut self, from: usize, to: usize, life: u32, heartbeat: Heartbeat) {
        if !self.alive(from, life) || self.nodes[to].process.is_none() || !self.connected(from, to)
        {
            return;
        }
        let sender = Requester::Heartbeat(from, self.clock(from).time);
        let gives_up = self.outlasts(to, pauses::PEER_TIMEOUT_MS);
        let req = self.ask(to, if gives_up { Requester::Nobody } else { sender });
        self.step(to, Input::Heartbeat(req, heartbeat));
    }

    /// A request that a node forwards arrives.
    pub(super) fn forward(
        &mut self,
        from: usize,
        to: usize,
        life: u32,
        req: ReqId,
        forward: Forward,
    ) {
        let unanswered = Event::Input(from, life, Input::ForwardReply(req, None));
        if self.nodes[to].process.is_none() || !self.connected(from, to) {
            return self.after(UNREACHABLE_AFTER_MS, unanswered);
        }
        let mut sender = Requester::Peer(from, req);
        if self.outlasts(to, pauses::PEER_TIMEOUT_MS) {
            self.after(pauses::PEER_TIMEOUT_MS, unanswered);
            sender = Requester::Nobody;
        }
        let forwarded = self.ask(to, sender);
        self.step(to, forwarded_input(forwarded, forward));
    }

    pub(super) fn replicate_cancellations(
        &mut self,
        from: usize,
        to: usize,
        life: u32,
        told: ReplicateCancellations,
    ) {
        let name = self.settings[to].node.clone();
        let lost = self.random_faults && self.rng.random_bool(0.02);
        let gone = self.nodes[to].process.is_none() || !self.connected(from, to);
        let lost = lost || self.outlasts(to, pauses::PEER_TIMEOUT_MS);
        if lost && !gone {
            // It arrives, and the answer is lost.
            let req = self.ask(to, Requester::Nobody);
            self.step(to, Input::ReplicateCancellations(req, told));
        } else if !gone {
            let req = self.ask(to, Requester::ReplicateCancellations(from, life));
            return self.step(to, Input::ReplicateCancellations(req, told));
        }
        self.after(
            600,
            Event::Input(from, life, Input::ReplicateCancellationsReply(name, None)),
        );
    }

    pub(super) fn cancellations_replicated(
        &mut self,
        node: usize,
        req: ReqId,
        reply: ReplicateCancellationsReply,
    ) {
        if let Some(Requester::ReplicateCancellations(from, life)) =
            self.nodes[node].requesters.remove(&req)
        {
            let (hop, name) = (self.hop(), self.settings[node].node.clone());
            let input = Input::ReplicateCancellationsReply(name, Some(reply));
            self.after(hop, Event::Input(from, life, input));
        }
    }

    pub(super) fn forward_reports(
        &mut self,
        from: usize,
        to: usize,
        life: u32,
        id: CallId,
        reports: ForwardedReports,
    ) {
        let lost = self.random_faults && self.rng.random_bool(0.02);
        let gone = self.nodes[to].process.is_none() || !self.connected(from, to);
        let lost = lost || self.outlasts(to, processor_time::BATCH_WAITS_MS);
        if lost || gone {
            if lost && !gone {
                // The reports arrive, and the answer is lost.
                let req = self.ask(to, Requester::Nobody);
                self.step(to, Input::ForwardedReports(req, reports));
            }
            return self.after(
                1_000,
                Event::Input(from, life, Input::ForwardedReportsReply(id, None)),
            );
        }
        let req = self.ask(to, Requester::ForwardedReports(from, life, id));
        if self.scenario.steps_take_time {
            // The sender does not wait for ever; an answer that comes later finds nobody.
            let none = Input::ForwardedReportsReply(id, None);
            self.after(
                processor_time::BATCH_WAITS_MS,
                Event::Input(from, life, none),
            );
        }
        self.step(to, Input::ForwardedReports(req, reports));
    }

    pub(super) fn reports_forwarded(
        &mut self,
        node: usize,
        req: ReqId,
        reply: ForwardedReportsReply,
    ) {
        if let Some(Requester::ForwardedReports(from, life, id)) =
            self.nodes[node].requesters.remove(&req)
        {
            let hop = self.hop();
            let input = Input::ForwardedReportsReply(id, Some(reply));
            self.after(hop, Event::Input(from, life, input));
        }
    }

    pub(super) fn heartbeat_answered(&mut self, node: usize, req: ReqId, reply: HeartbeatReply) {
        if let Some(Requester::Heartbeat(from, sent)) = self.nodes[node].requesters.remove(&req) {
            let life = self.nodes[from].life;
            let hop = self.hop();
            // The time that it was sent is taken a little late here, which is the worse case only
            // for the leader's own doubt; the real shell takes it before sending.
            self.after(
                hop,
                Event::Input(from, life, Input::HeartbeatReply(sent, reply)),
            );
        }
    }
}

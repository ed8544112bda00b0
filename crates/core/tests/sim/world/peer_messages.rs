//! Messages between nodes: heartbeats, forwarded reports and replicated cancellations, some of which are lost.

use super::*;
use rudderreel_wire::peer::Heartbeat;

/// Time after which a node learns that a peer is unreachable.
const UNREACHABLE_AFTER_MS: u64 = 500;

/// Returns the input that a request forwarded by a peer becomes.
pub(super) fn forwarded_input(req: ReqId, forward: Forward) -> Input {
    let sender = SenderVersion::KnowsDependencies;
    let (request, sender) = match forward {
        Forward::Submit(text) => {
            let submission = ForwardedSubmission::parse(&text).expect("a submission");
            (
                UserRequest::Submit(Box::new(submission.spec)),
                submission.sender,
            )
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
    /// Delivers a heartbeat if its sender still runs and reaches the other node.
    pub(super) fn heartbeat(
        &mut self,
        from: usize,
        to: usize,
        generation: u32,
        heartbeat: Heartbeat,
    ) {
        if !self.alive(from, generation)
            || self.nodes[to].process.is_none()
            || !self.connected(from, to)
        {
            return;
        }
        self.copy_at_random_age(CopiedMessage::Heartbeat(to, heartbeat.clone()));
        let sender = Requester::Heartbeat(from, self.clock(from).time);
        let gives_up = self.pause_outlasts(to, pauses::PEER_TIMEOUT_MS);
        let req = self.new_request(to, if gives_up { Requester::Nobody } else { sender });
        self.step(to, Input::Heartbeat(req, heartbeat));
    }

    /// Delivers a request that a node forwards.
    pub(super) fn forward(
        &mut self,
        from: usize,
        to: usize,
        generation: u32,
        req: ReqId,
        forward: Forward,
    ) {
        let unanswered = Event::Input(from, generation, Input::ForwardReply(req, None));
        if self.nodes[to].process.is_none() || !self.connected(from, to) {
            return self.schedule(UNREACHABLE_AFTER_MS, unanswered);
        }
        self.copy_at_random_age(CopiedMessage::Forward(to, forward.clone()));
        let mut sender = Requester::Peer(from, req);
        if self.pause_outlasts(to, pauses::PEER_TIMEOUT_MS) {
            self.schedule(pauses::PEER_TIMEOUT_MS, unanswered);
            sender = Requester::Nobody;
        }
        let forwarded = self.new_request(to, sender);
        self.step(to, forwarded_input(forwarded, forward));
    }

    /// Delivers replicated cancellations; the message or its answer may be lost.
    pub(super) fn replicate_cancellations(
        &mut self,
        from: usize,
        to: usize,
        generation: u32,
        cancellations: ReplicateCancellations,
    ) {
        let name = self.settings[to].node.clone();
        let lost = self.random_faults && self.rng.random_bool(0.02);
        let gone = self.nodes[to].process.is_none() || !self.connected(from, to);
        let lost = lost || self.pause_outlasts(to, pauses::PEER_TIMEOUT_MS);
        if lost && !gone {
            // The message arrives, and the answer is lost.
            let req = self.new_request(to, Requester::Nobody);
            self.step(to, Input::ReplicateCancellations(req, cancellations));
        } else if !gone {
            self.copy_at_random_age(CopiedMessage::Cancellations(to, cancellations.clone()));
            let req = self.new_request(to, Requester::ReplicateCancellations(from, generation));
            return self.step(to, Input::ReplicateCancellations(req, cancellations));
        }
        self.schedule(
            600,
            Event::Input(
                from,
                generation,
                Input::ReplicateCancellationsReply(name, None),
            ),
        );
    }

    /// Returns the answer to replicated cancellations to their sender.
    pub(super) fn cancellations_replicated(
        &mut self,
        node: usize,
        req: ReqId,
        reply: ReplicateCancellationsReply,
    ) {
        if let Some(Requester::ReplicateCancellations(from, generation)) =
            self.nodes[node].requesters.remove(&req)
        {
            let (message_delay, name) = (self.message_delay(), self.settings[node].node.clone());
            let input = Input::ReplicateCancellationsReply(name, Some(reply));
            self.schedule(message_delay, Event::Input(from, generation, input));
        }
    }

    /// Delivers a batch of reports that a node forwards; the batch or its answer may be lost.
    pub(super) fn forward_reports(
        &mut self,
        from: usize,
        to: usize,
        generation: u32,
        id: CallId,
        reports: ForwardedReports,
    ) {
        let lost = self.random_faults && self.rng.random_bool(0.02);
        let gone = self.nodes[to].process.is_none() || !self.connected(from, to);
        let lost = lost || self.pause_outlasts(to, processor_time::BATCH_TIMEOUT_MS);
        if lost || gone {
            if lost && !gone {
                // The reports arrive, and the answer is lost.
                let req = self.new_request(to, Requester::Nobody);
                self.step(to, Input::ForwardedReports(req, reports));
            }
            return self.schedule(
                1_000,
                Event::Input(from, generation, Input::ForwardedReportsReply(id, None)),
            );
        }
        self.copy_at_random_age(CopiedMessage::ForwardedReports(to, reports.clone()));
        let req = self.new_request(to, Requester::ForwardedReports(from, generation, id));
        if self.scenario.steps_take_time {
            // The sender gives up after this time; an answer that arrives later no longer has a waiting call.
            let none = Input::ForwardedReportsReply(id, None);
            self.schedule(
                processor_time::BATCH_TIMEOUT_MS,
                Event::Input(from, generation, none),
            );
        }
        self.step(to, Input::ForwardedReports(req, reports));
    }

    /// Returns the answer to a batch of reports to its sender.
    pub(super) fn reports_forwarded(
        &mut self,
        node: usize,
        req: ReqId,
        reply: ForwardedReportsReply,
    ) {
        if let Some(Requester::ForwardedReports(from, generation, id)) =
            self.nodes[node].requesters.remove(&req)
        {
            let message_delay = self.message_delay();
            let input = Input::ForwardedReportsReply(id, Some(reply));
            self.schedule(message_delay, Event::Input(from, generation, input));
        }
    }

    /// Returns the answer to a heartbeat to its sender.
    pub(super) fn heartbeat_answered(&mut self, node: usize, req: ReqId, reply: HeartbeatReply) {
        if let Some(Requester::Heartbeat(from, sent)) = self.nodes[node].requesters.remove(&req) {
            let generation = self.nodes[from].generation;
            let message_delay = self.message_delay();
            // The send time is taken a little late here, when the heartbeat arrives. That is the worse case only
            // for the leader's own doubt about its leadership; the controller program takes the time before sending.
            self.schedule(
                message_delay,
                Event::Input(from, generation, Input::HeartbeatReply(sent, reply)),
            );
        }
    }
}

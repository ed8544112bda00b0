//! Carries out the core's outputs: passes responses to the servers, and calls to threads behind bounded queues.
//!
//! Each destination has queues of its own. A call that finds its queue full is answered to the core as not made, so
//! that the core never waits for an answer that cannot arrive.

mod agents;
mod cloud;
mod peers;
mod revoked_starts;
mod store;
mod watch;

use crate::clock::Clock;
use crate::http::Response;
use crate::input_queues::InputQueues;
use crate::process_limits::ProcessLimits;
use crate::servers::OpenRequests;
use crate::startup_error::StartupError;
use agents::{AgentCall, AgentQueues};
use cloud::CloudQueue;
use peers::PeerQueues;
use rudderreel_core::units::Time;
use rudderreel_core::{Input, Output, ReqId};
use rudderreel_wire::settings::Settings;
use store::StoreQueues;
use watch::WatchQueue;

/// Dispatches the core's outputs to the servers and to the queues of calls.
pub struct Outgoing {
    open_requests: OpenRequests,
    store: StoreQueues,
    watch: WatchQueue,
    cloud: CloudQueue,
    agents: AgentQueues,
    peers: PeerQueues,
}

impl Outgoing {
    /// Starts the threads that make calls. Their answers go to the control queue of `inputs`.
    pub fn start(
        settings: &Settings,
        limits: &ProcessLimits,
        clock: Clock,
        inputs: &InputQueues,
        open_requests: OpenRequests,
    ) -> Result<Self, StartupError> {
        let core = &inputs.control;
        Ok(Self {
            open_requests,
            store: StoreQueues::start(settings.services.state, clock, core)?,
            watch: WatchQueue::start(settings, clock, core)?,
            cloud: CloudQueue::start(settings.services.cloud, core)?,
            agents: AgentQueues::start(limits, clock, core)?,
            peers: PeerQueues::start(settings, clock, core)?,
        })
    }

    /// Dispatches an output. If it is a call that finds its queue full, returns the input that answers it as not made.
    pub fn send(&self, output: Output, now: Time) -> Option<Input> {
        match output {
            Output::Answer {
                req,
                status,
                body,
                retry_after,
            } => {
                (self.open_requests).respond_json(req, status, body, retry_after);
                None
            }
            Output::AnswerHeartbeat(req, reply) => self.respond(req, &reply),
            Output::AnswerForwardedReports(req, reply) => self.respond(req, &reply),
            Output::AnswerReplicateCancellations(req, reply) => self.respond(req, &reply),
            Output::Store(id, call) => self.store.send(id, call, now),
            Output::Watch(after) => self.watch.send(after),
            Output::Cloud(id, call) => self.cloud.send(id, call),
            Output::Direct {
                machine,
                addr,
                body,
                send_until,
            } => self.agents.send(AgentCall {
                machine,
                addr,
                commands: body,
                send_until,
            }),
            Output::RevokeStarts(revocation) => {
                self.agents.revoke_starts(revocation, now);
                None
            }
            Output::Heartbeat(heartbeat) => self.peers.send_heartbeat(&heartbeat),
            Output::Forward { peer, req, request } => self.peers.forward(&peer, req, request),
            Output::ForwardReports {
                peer,
                call,
                reports,
            } => self.peers.forward_reports(&peer, call, reports),
            Output::ReplicateCancellations(peer, cancellations) => {
                self.peers.replicate_cancellations(peer, cancellations)
            }
        }
    }

    /// Responds to a peer's message with `reply`.
    fn respond<T: bitcode::Encode>(&self, req: ReqId, reply: &T) -> Option<Input> {
        (self.open_requests).respond_message(req, bitcode::encode(reply));
        None
    }

    /// Refuses a request that has waited too long in its queue.
    pub fn refuse_expired(&self, request: ReqId) {
        let refusal = Response::error(503, "it has waited too long");
        self.open_requests.respond(request, refusal);
    }
}

#[cfg(test)]
mod tests;

//! The HTTP servers of a node: a public one for users, agents and health checks, and one for peers and
//! administrators.
//!
//! Each server runs on a thread of its own and queues the requests that it has parsed for the core. A request that
//! cannot be parsed, or finds the core's queue full, is refused at once and counted.

mod peers;
mod public;
mod public_requests;

use crate::http::{Response, ResponseSender, Server, ServerLimits, ServerNumber};
use crate::input_queues::{InputQueues, QueueFull};
use crate::process_limits::ProcessLimits;
use crate::refusal_counters::RefusalCounters;
use crate::startup_error::StartupError;
pub use peers::serve_peers;
pub use public::serve_public;
use public_requests::MAX_BODY_BYTES;
use rudderreel_core::{Input, ReqId};
use rudderreel_wire::peer::MAX_MESSAGE_BYTES;
use rudderreel_wire::settings::Settings;
use std::sync::Arc;

/// Numbers of the servers, which are also their indexes in [`OpenRequests`].
const PUBLIC: ServerNumber = ServerNumber(0);
const PEERS: ServerNumber = ServerNumber(1);

/// Routes responses to the server that received the request.
#[derive(Clone, Default)]
pub struct OpenRequests {
    servers: Vec<ResponseSender>,
}

impl OpenRequests {
    /// Responds to a request with JSON.
    pub fn respond_json(&self, id: ReqId, status: u16, body: String, retry_after: Option<u32>) {
        let response = Response {
            retry_after,
            ..Response::json(status, body.into_bytes())
        };
        self.respond(id, response);
    }

    /// Responds to a peer's request with an encoded message.
    pub fn respond_message(&self, id: ReqId, message: Vec<u8>) {
        self.respond(id, Response::json(200, message));
    }

    /// Responds to a request through the server that received it.
    pub fn respond(&self, id: ReqId, response: Response) {
        let server = usize::from(ServerNumber::of(id).0);
        if let Some(server) = self.servers.get(server) {
            server.send(id, response);
        }
    }
}

/// The listening servers of a node.
pub struct Servers {
    /// Server for users, agents and health checks.
    pub public: Server,
    /// Server for peers and administrators.
    pub peers: Server,
    /// Responds to requests that wait for the core.
    pub open_requests: OpenRequests,
    /// Counts of refused requests and connections.
    pub refusals: Arc<RefusalCounters>,
}

/// Opens the listening sockets of both servers.
pub fn listen(settings: &Settings, limits: &ProcessLimits) -> Result<Servers, StartupError> {
    let connections = &limits.connections;
    let public_limits = ServerLimits {
        connections: connections.public_api,
        agent_connections: connections.agents,
        body_bytes: MAX_BODY_BYTES,
        buffered_bytes: limits.buffered_bytes,
    };
    let peer_limits = ServerLimits {
        connections: connections.peers,
        agent_connections: 0,
        body_bytes: MAX_MESSAGE_BYTES,
        buffered_bytes: limits.buffered_bytes,
    };
    let refusals = Arc::<RefusalCounters>::default();
    let (public, public_responses) =
        Server::listen(settings.listen, PUBLIC, public_limits, refusals.clone())?;
    let (peers, peer_responses) =
        Server::listen(settings.peer_listen, PEERS, peer_limits, refusals.clone())?;
    Ok(Servers {
        public,
        peers,
        open_requests: OpenRequests {
            servers: vec![public_responses, peer_responses],
        },
        refusals,
    })
}

/// Queues inputs for the core and counts refused requests.
struct Intake<'a> {
    core: &'a InputQueues,
    refusals: &'a RefusalCounters,
}

impl Intake<'_> {
    /// Queues an input for the core. If the queue is full, returns the response that refuses the request.
    fn enqueue(&self, input: Input) -> Option<Response> {
        let QueueFull = self.core.offer(input).err()?;
        self.refusals.queue_full.increment();
        Some(Response::error(503, "overloaded"))
    }

    /// Counts a request that could not be parsed and returns the response that refuses it.
    fn refuse_unreadable(&self, reason: &str) -> Option<Response> {
        self.refusals.unreadable.increment();
        Some(Response::error(400, reason))
    }
}

#[cfg(test)]
mod tests;

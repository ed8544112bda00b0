//! An HTTP/1.1 server on one standard thread over a readiness poll.
//!
//! A thread for each connection would pass the platform's bound on threads when a whole fleet comes to one
//! node, so a connection is an entry of a table. A request that needs a decision is answered later, from any
//! thread, through a [`ResponseSender`]; a connection has at most one request open at a time.
//!
//! Connections are counted. Those of agents may take only a part, so that users, health checks and peers keep
//! their places; what is too many is refused at once.

mod connection;
mod listener;
mod parser;
mod request_key;
mod response;
mod server;

pub use request_key::ServerNumber;
pub use response::Response;
pub use server::{ResponseSender, Server};

use rudderreel_core::ReqId;

/// The path that agents send their status reports to.
pub const STATUS_REPORT_PATH: &str = "/v1/report";

/// A request as it came in.
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub url: &'a str,
    /// Body; none if it was too long.
    pub body: Option<&'a [u8]>,
}

/// Responds to a request at once, or sees to it that a response is sent later.
pub type Handler<'a> = dyn FnMut(ReqId, Request) -> Option<Response> + 'a;

/// How much a server takes on.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections.
    pub connections: usize,
    /// Connections of agents, which are part of these.
    pub agent_connections: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of all requests that have not come in whole yet.
    pub buffered_bytes: usize,
}

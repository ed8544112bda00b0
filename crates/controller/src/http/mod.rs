//! A single-threaded HTTP/1.1 server on top of a readiness poll.
//!
//! One thread per connection would exceed the platform's limit on threads when a whole fleet connects to one node, so
//! a connection is an entry of a table. A request that needs a decision of the core is answered later, from any
//! thread, through a [`ResponseSender`]. A connection has at most one open request at a time.
//!
//! The number of connections is limited. Agents may use only a part of them, so that connections remain for users,
//! health checks and peers. A connection above the limit is refused at once.

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

/// Path to which agents send their status reports.
pub const STATUS_REPORT_PATH: &str = "/v1/report";

/// A request as received.
pub struct Request<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query string.
    pub url: &'a str,
    /// Body; `None` if it exceeds [`ServerLimits::body_bytes`].
    pub body: Option<&'a [u8]>,
}

/// Returns the response to a request, or `None` if the response is sent later through a [`ResponseSender`].
pub type Handler<'a> = dyn FnMut(ReqId, Request) -> Option<Response> + 'a;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of connections of agents; they count towards `connections` too.
    pub agent_connections: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum total size of all incompletely received requests, in bytes.
    pub buffered_bytes: usize,
}

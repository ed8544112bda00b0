//! The HTTP client that calls are made with, made small.
//!
//! The library is set up for large machines and for host names: by default a connection has two buffers of
//! 128 KiB, and each call that has a time limit looks its host up on a new thread. Every address here is an
//! IP address and a port, and a node may have a few dozen MB in all.

use std::net::SocketAddr;
use std::time::Duration;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};
use ureq::{Agent, Error};

/// Bytes of the buffers of a connection, each. A response's head has to fit; a body is read in parts.
const BUFFER_BYTES: usize = 8 * 1024;
/// Connections to one host that are kept for later calls.
const IDLE_PER_HOST: usize = 8;

/// Time limits of calls, and how many connections are kept between them.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// For connecting.
    pub connect_timeout: Duration,
    /// For the whole call.
    pub call_timeout: Duration,
    /// Connections that are kept for later calls. The library compares each with all others at every call.
    pub idle_connections: usize,
}

impl CallLimits {
    /// Limits of calls to one service.
    pub fn new(connect_timeout: Duration, call_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            call_timeout,
            idle_connections: IDLE_PER_HOST,
        }
    }
}

/// Takes the address out of the URL. Nothing is looked up, so nothing has to wait on a thread of its own.
#[derive(Debug)]
struct IpResolver;

impl Resolver for IpResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().ok_or(Error::HostNotFound)?;
        let address: SocketAddr = (authority.as_str().parse()).map_err(|_| Error::HostNotFound)?;
        let mut found = self.empty();
        found.push(address);
        Ok(found)
    }
}

/// An HTTP client with such limits.
pub fn http_client(limits: CallLimits) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(Some(limits.connect_timeout))
        .timeout_global(Some(limits.call_timeout))
        .max_idle_connections(limits.idle_connections)
        .max_idle_connections_per_host(IDLE_PER_HOST)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), IpResolver)
}

#[cfg(test)]
mod tests;

//! The HTTP client of all outgoing calls, configured for low memory use.
//!
//! The library's defaults are for large machines and for host names: a connection has two buffers of 128 KiB, and each
//! call with a time limit resolves its host on a new thread. Here every address is an IP address with a port, and a
//! node may have only a few dozen MB of memory in all.

use std::net::SocketAddr;
use std::time::Duration;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};
use ureq::{Agent, Error};

/// Size of each of a connection's two buffers. The head of a response must fit; a body is read in parts.
const BUFFER_BYTES: usize = 8 * 1024;
/// Maximum number of idle connections to one host that are kept for later calls.
const IDLE_CONNECTIONS_PER_HOST: usize = 8;

/// Time limits of calls, and the limit of idle connections.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Time limit of connecting.
    pub connect_timeout: Duration,
    /// Time limit of the whole call, connecting included.
    pub call_timeout: Duration,
    /// Maximum number of idle connections that are kept for later calls. It is small because the library compares each
    /// with all others at every call.
    pub idle_connections: usize,
}

impl CallLimits {
    /// Creates the limits of calls to a single host.
    pub fn new(connect_timeout: Duration, call_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            call_timeout,
            idle_connections: IDLE_CONNECTIONS_PER_HOST,
        }
    }
}

/// Resolver that parses the IP address and port in the URL. It looks nothing up, so it needs no thread.
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

/// Creates an HTTP client with these limits.
pub fn http_client(limits: CallLimits) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(Some(limits.connect_timeout))
        .timeout_global(Some(limits.call_timeout))
        .max_idle_connections(limits.idle_connections)
        .max_idle_connections_per_host(IDLE_CONNECTIONS_PER_HOST)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), IpResolver)
}

#[cfg(test)]
mod tests;

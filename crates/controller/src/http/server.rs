//! The server's event loop, which accepts and closes connections and sends responses.

mod exchange;

use super::connection::{Connection, ConnectionTable};
use super::listener::bind;
use super::request_key::RequestSerial;
use super::{Handler, Request, Response, ServerLimits, ServerNumber};
use crate::refusal_counters::RefusalCounters;
use crate::startup_error::StartupError;
use crossbeam_channel::{bounded, Receiver, Sender};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use rudderreel_core::ReqId;
use std::io::{self, ErrorKind, Write};
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Size of the buffer for reading from connections.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of events that one poll returns.
const EVENTS_PER_POLL: usize = 512;
/// Interval of the search for timed-out connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before the poll is retried after an error.
const POLL_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Response that refuses a connection without reading from it.
const CONNECTION_REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
    Connection: close\r\nContent-Length: 0\r\n\r\n";

/// Poll tokens of the listener and of the waker for queued responses. The token of a connection is its slot.
const LISTENER: Token = Token(usize::MAX);
const WAKER: Token = Token(usize::MAX - 1);

/// Sends responses to open requests from any thread.
#[derive(Clone)]
pub struct ResponseSender {
    queue: Sender<(ReqId, Response)>,
    waker: Arc<Waker>,
    /// Whether the server has been woken and has not yet begun to send the queued responses.
    is_wake_pending: Arc<AtomicBool>,
}

impl ResponseSender {
    /// Responds to a request. The response is dropped if the request's connection has been closed.
    pub fn send(&self, id: ReqId, response: Response) {
        let is_queued = self.queue.send((id, response)).is_ok();
        if is_queued && !self.is_wake_pending.swap(true, Ordering::AcqRel) {
            if let Err(e) = self.waker.wake() {
                log::error!("HTTP server not woken for a response reason={e}");
            }
        }
    }
}

/// A listening HTTP server.
pub struct Server {
    number: ServerNumber,
    poll: Poll,
    listener: TcpListener,
    connections: ConnectionTable,
    last_serial: RequestSerial,
    limits: ServerLimits,
    refusals: Arc<RefusalCounters>,
    responses: Receiver<(ReqId, Response)>,
    is_wake_pending: Arc<AtomicBool>,
    read_buffer: Vec<u8>,
}

impl Server {
    /// Listens on `addr`. Returns the server and the sender of its responses.
    pub fn listen(
        addr: SocketAddrV4,
        number: ServerNumber,
        limits: ServerLimits,
        refusals: Arc<RefusalCounters>,
    ) -> Result<(Self, ResponseSender), StartupError> {
        let listening = Self::try_listen(addr, number, limits, refusals);
        listening.map_err(|source| StartupError::Listen { addr, source })
    }

    fn try_listen(
        addr: SocketAddrV4,
        number: ServerNumber,
        limits: ServerLimits,
        refusals: Arc<RefusalCounters>,
    ) -> io::Result<(Self, ResponseSender)> {
        let poll = Poll::new()?;
        let mut listener = bind(addr, limits.connections)?;
        let registry = poll.registry();
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        let waker = Arc::new(Waker::new(registry, WAKER)?);
        // A connection has one open request at a time, so there are never more pending responses than connections.
        let (queue, responses) = bounded(limits.connections);
        let is_wake_pending = Arc::new(AtomicBool::new(false));
        let sender = ResponseSender {
            queue,
            waker,
            is_wake_pending: is_wake_pending.clone(),
        };
        let server = Self {
            number,
            poll,
            listener,
            connections: ConnectionTable::default(),
            last_serial: RequestSerial::default(),
            limits,
            refusals,
            responses,
            is_wake_pending,
            read_buffer: vec![0; READ_BUFFER_BYTES],
        };
        Ok((server, sender))
    }

    /// Returns the address that the server listens on, if it is IPv4.
    #[cfg(test)]
    pub fn addr(&self) -> Option<SocketAddrV4> {
        match self.listener.local_addr().ok()? {
            std::net::SocketAddr::V4(addr) => Some(addr),
            std::net::SocketAddr::V6(_) => None,
        }
    }

    /// Runs the event loop; never returns. `handler` returns the response to a request, or `None` if the response is
    /// sent later through the [`ResponseSender`].
    pub fn serve(mut self, mut handler: impl FnMut(ReqId, Request) -> Option<Response>) {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        let mut next_sweep = Instant::now() + SWEEP_INTERVAL;
        loop {
            if let Err(e) = self.poll.poll(&mut events, Some(SWEEP_INTERVAL)) {
                if e.kind() != ErrorKind::Interrupted {
                    log::error!("HTTP server poll failed reason={e}");
                    std::thread::sleep(POLL_RETRY_PAUSE);
                }
                continue;
            }
            self.handle_events(&events, &mut handler);
            self.send_responses(&mut handler);
            let now = Instant::now();
            if now >= next_sweep {
                next_sweep = now + SWEEP_INTERVAL;
                self.close_timed_out(now);
            }
        }
    }

    fn handle_events(&mut self, events: &Events, handler: &mut Handler) {
        for event in events {
            match event.token() {
                LISTENER => self.accept(),
                WAKER => {}
                Token(slot) => {
                    if event.is_writable() {
                        self.write(slot);
                        self.handle_buffered_requests(slot, handler);
                    }
                    if event.is_readable() || event.is_read_closed() {
                        self.read(slot, event.is_read_closed(), handler);
                    }
                }
            }
        }
    }

    fn send_responses(&mut self, handler: &mut Handler) {
        // Cleared before the queue is drained, so that a response queued from now on wakes the poll again.
        self.is_wake_pending.store(false, Ordering::Release);
        while let Ok((id, response)) = self.responses.try_recv() {
            self.respond(id, response, handler);
        }
    }

    fn accept(&mut self) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => self.add_connection(stream),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    // The process has no free socket, or the client has disconnected again.
                    log::warn!("connection not accepted reason={e}");
                    return;
                }
            }
        }
    }

    fn add_connection(&mut self, mut stream: TcpStream) {
        let now = Instant::now();
        if self.connections.len() >= self.limits.connections && !self.evict_idle_connection(now) {
            // The connection gets no slot and is not read from, so it is refused at once with a single write, which
            // may fail.
            let _ = stream.write(CONNECTION_REFUSAL);
            self.refusals.connections.increment();
            log::debug!("connection refused reason=connection_limit_reached");
            return;
        }
        let token = Token(self.connections.next_slot());
        let registry = self.poll.registry();
        match registry.register(&mut stream, token, Interest::READABLE) {
            Ok(()) => self.connections.insert(Connection::new(stream, now)),
            Err(e) => log::warn!("connection not registered with the poll reason={e}"),
        }
    }

    /// Closes the connection that may be replaced, if there is one. Returns whether one was closed.
    fn evict_idle_connection(&mut self, now: Instant) -> bool {
        let replaceable = self.connections.replaceable(now);
        replaceable.map(|slot| self.close(slot)).is_some()
    }

    fn close(&mut self, slot: usize) {
        if let Some(mut closed) = self.connections.remove(slot) {
            let _ = self.poll.registry().deregister(&mut closed.stream);
        }
    }

    fn close_timed_out(&mut self, now: Instant) {
        for slot in self.connections.timed_out(now) {
            self.close(slot);
        }
    }
}

#[cfg(test)]
mod tests;

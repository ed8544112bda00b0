//! A server: its event loop, and the connections that it accepts and closes.

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

/// Bytes that are read at once.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Events that are taken from the poll at once.
const EVENTS_PER_POLL: usize = 512;
/// How often connections are looked through for those that have timed out.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after the poll has failed.
const POLL_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// A refusal of a connection, which is not even read from.
const CONNECTION_REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
    Connection: close\r\nContent-Length: 0\r\n\r\n";

/// What the poll calls the listener, and responses that wait; connections go by their slots.
const LISTENER: Token = Token(usize::MAX);
const WAKER: Token = Token(usize::MAX - 1);

/// Where responses to open requests are sent, from any thread.
#[derive(Clone)]
pub struct ResponseSender {
    queue: Sender<(ReqId, Response)>,
    waker: Arc<Waker>,
    is_awake: Arc<AtomicBool>,
}

impl ResponseSender {
    /// Responds to a request. If its connection is gone, so is the response.
    pub fn send(&self, id: ReqId, response: Response) {
        let is_queued = self.queue.send((id, response)).is_ok();
        if is_queued && !self.is_awake.swap(true, Ordering::AcqRel) {
            if let Err(e) = self.waker.wake() {
                log::error!("server not woken reason={e}");
            }
        }
    }
}

/// A server that listens.
pub struct Server {
    number: ServerNumber,
    poll: Poll,
    listener: TcpListener,
    connections: ConnectionTable,
    last_serial: RequestSerial,
    limits: ServerLimits,
    refusals: Arc<RefusalCounters>,
    responses: Receiver<(ReqId, Response)>,
    is_awake: Arc<AtomicBool>,
    read_buffer: Vec<u8>,
}

impl Server {
    /// Listens at an address.
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
        // A connection has one request open at a time, so no more responses can be wanted.
        let (queue, responses) = bounded(limits.connections);
        let is_awake = Arc::new(AtomicBool::new(false));
        let sender = ResponseSender {
            queue,
            waker,
            is_awake: is_awake.clone(),
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
            is_awake,
            read_buffer: vec![0; READ_BUFFER_BYTES],
        };
        Ok((server, sender))
    }

    /// Where it listens.
    #[cfg(test)]
    pub fn addr(&self) -> Option<SocketAddrV4> {
        match self.listener.local_addr().ok()? {
            std::net::SocketAddr::V4(addr) => Some(addr),
            std::net::SocketAddr::V6(_) => None,
        }
    }

    /// Serves for ever. `handler` responds to a request, or sees to it that a response is sent later.
    pub fn serve(mut self, mut handler: impl FnMut(ReqId, Request) -> Option<Response>) {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        let mut next_sweep = Instant::now() + SWEEP_INTERVAL;
        loop {
            if let Err(e) = self.poll.poll(&mut events, Some(SWEEP_INTERVAL)) {
                if e.kind() != ErrorKind::Interrupted {
                    log::error!("poll failed reason={e}");
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
                        self.take_buffered_requests(slot, handler);
                    }
                    if event.is_readable() || event.is_read_closed() {
                        self.read(slot, event.is_read_closed(), handler);
                    }
                }
            }
        }
    }

    fn send_responses(&mut self, handler: &mut Handler) {
        // Set before the queue is emptied: what is queued afterwards wakes the poll.
        self.is_awake.store(false, Ordering::Release);
        while let Ok((id, response)) = self.responses.try_recv() {
            self.respond(id, response, handler);
        }
    }

    fn accept(&mut self) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => self.take_connection(stream),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    // No socket is free, or the other side has gone again.
                    log::warn!("connection not accepted reason={e}");
                    return;
                }
            }
        }
    }

    fn take_connection(&mut self, mut stream: TcpStream) {
        let now = Instant::now();
        if self.connections.len() >= self.limits.connections && !self.make_room(now) {
            // It can't be read from, so it is refused at once, as far as that goes.
            let _ = stream.write(CONNECTION_REFUSAL);
            self.refusals.connections.increment();
            log::debug!("connection refused reason=too many");
            return;
        }
        let token = Token(self.connections.next_slot());
        let registry = self.poll.registry();
        match registry.register(&mut stream, token, Interest::READABLE) {
            Ok(()) => self.connections.insert(Connection::new(stream, now)),
            Err(e) => log::warn!("connection not taken reason={e}"),
        }
    }

    /// Closes the connection that has sent nothing for longest, if that is long.
    fn make_room(&mut self, now: Instant) -> bool {
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

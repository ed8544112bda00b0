//! An HTTP/1.1 server on one standard thread over a readiness poll. A thread for each connection
//! would pass the platform's bound on threads when a whole fleet comes to one node, so connections
//! are only entries here. Requests that need deciding are answered later, from any thread, through
//! [`Answers`]; a connection has at most one open at a time.
//!
//! Connections are counted. Those of workers may take only a part, so that users, health checks and
//! peers keep their places; what is too many is refused at once.

mod answer;
mod parse;

use crate::counters::Refusals;
pub use answer::Answer;
use crossbeam_channel::{bounded, Receiver, Sender};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use parse::{parse, Parsed, MAX_HEAD};
use rudderreel_core::ReqId;
use slab::Slab;
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What is read at once.
const SCRATCH: usize = 64 * 1024;
/// A request that is not complete, or an answer that is not taken, after so long ends its
/// connection, as does one that has never said anything.
const STALLED: Duration = Duration::from_secs(15);
/// A connection that says nothing more is closed after so long. Workers and users come back every
/// few seconds.
const SILENT: Duration = Duration::from_secs(150);
/// One that has said nothing for so long makes way for a new one if there are too many.
const IDLE: Duration = Duration::from_secs(20);
/// How often connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);
/// A refusal of a connection, which is not even read from.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
    Connection: close\r\nContent-Length: 0\r\n\r\n";

const LISTENER: Token = Token(usize::MAX);
const WAKER: Token = Token(usize::MAX - 1);

/// A request as it came in.
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub url: &'a str,
    /// Body; none if it was too long.
    pub body: Option<&'a [u8]>,
}

/// How much a server takes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections.
    pub connections: usize,
    /// Of these for requests to paths that workers use.
    pub workers: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Bytes of all requests that have not come in whole yet.
    pub buffered: usize,
}

/// The path that workers report at.
pub const REPORT: &str = "/v1/report";

/// Where answers to open requests are sent.
#[derive(Clone)]
pub struct Answers {
    queue: Sender<(ReqId, Answer)>,
    waker: Arc<Waker>,
    awake: Arc<AtomicBool>,
}

impl Answers {
    /// Answers a request. If its connection is gone, so is the answer.
    pub fn send(&self, id: ReqId, answer: Answer) {
        if self.queue.send((id, answer)).is_ok() && !self.awake.swap(true, Ordering::AcqRel) {
            if let Err(e) = self.waker.wake() {
                log::error!("the server can't be woken: {e}");
            }
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Reading,
    Deciding,
    Writing,
}

struct Connection {
    stream: TcpStream,
    stage: Stage,
    /// What has come in and is not used up.
    input: Vec<u8>,
    /// How much of it counts as buffered.
    counted: usize,
    /// What is to be written, and how much of it has been.
    output: Vec<u8>,
    written: usize,
    /// Tells its requests apart.
    serial: u32,
    close: bool,
    worker: bool,
    /// Whether it has ever asked for anything.
    spoken: bool,
    /// Whether its client, which asked first, was told to send the body.
    told_to_go: bool,
    /// When it last got anywhere.
    since: Instant,
}

/// A server that listens.
pub struct Server {
    /// Tells the requests of several servers apart.
    mark: u64,
    poll: Poll,
    listener: TcpListener,
    connections: Slab<Connection>,
    workers: usize,
    /// Bytes of requests that have not come in whole.
    buffered: usize,
    serial: u32,
    limits: Limits,
    refusals: Arc<Refusals>,
    answers: Receiver<(ReqId, Answer)>,
    awake: Arc<AtomicBool>,
    scratch: Vec<u8>,
}

/// Listens with room for as many connections that wait to be accepted as are ever taken: a whole fleet may
/// come at once, and what finds no room is dropped and tried again a second later.
fn bind(addr: SocketAddrV4, waiting: usize) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(addr).into())?;
    socket.listen(i32::try_from(waiting).unwrap_or(i32::MAX))?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Which server a request came to.
pub fn mark_of(id: ReqId) -> u64 {
    id.0 >> 56
}

impl Server {
    /// Listens at an address.
    pub fn listen(
        addr: SocketAddrV4,
        mark: u8,
        limits: Limits,
        refusals: Arc<Refusals>,
    ) -> Result<(Self, Answers), String> {
        let failed = |e: std::io::Error| format!("{addr}: {e}");
        let poll = Poll::new().map_err(failed)?;
        let mut listener = bind(addr, limits.connections).map_err(failed)?;
        let registry = poll.registry();
        (registry.register(&mut listener, LISTENER, Interest::READABLE)).map_err(failed)?;
        let waker = Arc::new(Waker::new(registry, WAKER).map_err(failed)?);
        // A connection has one request open at a time, so no more answers can be wanted.
        let (queue, answers) = bounded(limits.connections);
        let awake = Arc::new(AtomicBool::new(false));
        let server = Self {
            mark: u64::from(mark),
            poll,
            listener,
            connections: Slab::new(),
            workers: 0,
            buffered: 0,
            serial: 0,
            limits,
            refusals,
            answers,
            awake: awake.clone(),
            scratch: vec![0; SCRATCH],
        };
        let answers = Answers {
            queue,
            waker,
            awake,
        };
        Ok((server, answers))
    }

    /// Where it listens.
    #[cfg(test)]
    pub fn addr(&self) -> Option<SocketAddrV4> {
        match self.listener.local_addr().ok()? {
            SocketAddr::V4(addr) => Some(addr),
            SocketAddr::V6(_) => None,
        }
    }

    /// Serves for ever. `handle` answers a request, or sees to it that it is answered later.
    pub fn serve(mut self, mut handle: impl FnMut(ReqId, Request) -> Option<Answer>) {
        let mut events = Events::with_capacity(512);
        let mut next_sweep = Instant::now() + SWEEP;
        loop {
            if let Err(e) = self.poll.poll(&mut events, Some(SWEEP)) {
                if e.kind() != ErrorKind::Interrupted {
                    log::error!("waiting for connections: {e}");
                    std::thread::sleep(Duration::from_millis(10));
                }
                continue;
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    WAKER => {}
                    Token(at) => {
                        if event.is_writable() {
                            self.write(at);
                            self.go_on(at, &mut handle);
                        }
                        if event.is_readable() || event.is_read_closed() {
                            self.read(at, event.is_read_closed(), &mut handle);
                        }
                    }
                }
            }
            self.awake.store(false, Ordering::Release);
            while let Ok((id, answer)) = self.answers.try_recv() {
                self.answer(id, answer, &mut handle);
            }
            let now = Instant::now();
            if now >= next_sweep {
                next_sweep = now + SWEEP;
                self.sweep(now);
            }
        }
    }

    fn accept(&mut self) {
        loop {
            let mut stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => {
                    // No socket is free, or the other side has gone again.
                    log::warn!("a connection was not accepted: {e}");
                    return;
                }
            };
            let now = Instant::now();
            if self.connections.len() >= self.limits.connections && !self.make_room(now) {
                // It can't be read from, so it is told at once, as far as that goes.
                let _ = stream.write(REFUSAL);
                self.refusals.connections.add();
                log::debug!("a connection too many");
                continue;
            }
            let entry = self.connections.vacant_entry();
            let token = Token(entry.key());
            let registry = self.poll.registry();
            if let Err(e) = registry.register(&mut stream, token, Interest::READABLE) {
                log::warn!("a connection was not taken: {e}");
                continue;
            }
            entry.insert(Connection {
                stream,
                stage: Stage::Reading,
                input: Vec::new(),
                counted: 0,
                output: Vec::new(),
                written: 0,
                serial: 0,
                close: false,
                worker: false,
                spoken: false,
                told_to_go: false,
                since: now,
            });
        }
    }

    /// Closes the connection that has said nothing for longest, if that is long.
    fn make_room(&mut self, now: Instant) -> bool {
        let idle = (self.connections.iter())
            .filter(|(_, c)| c.stage == Stage::Reading && now - c.since > IDLE)
            .min_by_key(|(_, c)| c.since)
            .map(|(at, _)| at);
        idle.map(|at| self.drop_connection(at)).is_some()
    }

    fn drop_connection(&mut self, at: usize) {
        if let Some(mut gone) = self.connections.try_remove(at) {
            self.workers -= usize::from(gone.worker);
            self.buffered -= gone.counted;
            let _ = self.poll.registry().deregister(&mut gone.stream);
        }
    }

    /// Ends connections that stall, and those that have been silent for long.
    fn sweep(&mut self, now: Instant) {
        let due: Vec<usize> = (self.connections.iter())
            .filter(|(_, c)| {
                let fresh = c.stage == Stage::Reading && c.input.is_empty() && c.spoken;
                let most = match c.stage {
                    Stage::Deciding => SILENT,
                    _ if fresh => SILENT,
                    _ => STALLED,
                };
                now - c.since > most
            })
            .map(|(at, _)| at)
            .collect();
        for at in due {
            self.drop_connection(at);
        }
    }

    fn read(
        &mut self,
        at: usize,
        closing: bool,
        handle: &mut impl FnMut(ReqId, Request) -> Option<Answer>,
    ) {
        let mut scratch = std::mem::take(&mut self.scratch);
        while let Some(connection) = self.connections.get_mut(at) {
            match connection.stream.read(&mut scratch) {
                Ok(0) => self.drop_connection(at),
                Ok(n) => {
                    self.take_bytes(at, &scratch[..n], handle);
                    // A short read has taken all there was; more will be told anew.
                    if n < scratch.len() && !closing {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.drop_connection(at),
            }
        }
        self.scratch = scratch;
    }

    fn take_bytes(
        &mut self,
        at: usize,
        bytes: &[u8],
        handle: &mut impl FnMut(ReqId, Request) -> Option<Answer>,
    ) {
        let Some(connection) = self.connections.get_mut(at) else {
            return;
        };
        if connection.stage == Stage::Reading && connection.input.is_empty() {
            // Mostly a whole request comes at once, and is used where it is.
            let used = self.next_request(at, bytes, handle);
            if let Some(connection) = self.connections.get_mut(at) {
                connection.input.extend_from_slice(&bytes[used..]);
            }
            if used == 0 {
                return self.count_buffered(at);
            }
        } else {
            connection.input.extend_from_slice(bytes);
            if connection.input.len() > 2 * (MAX_HEAD + self.limits.body) {
                return self.drop_connection(at);
            }
        }
        self.go_on(at, handle);
    }

    /// Counts what a connection has buffered. If all of them together hold too much, this one is refused:
    /// many clients that each send a part of a request must not take the memory of the node.
    fn count_buffered(&mut self, at: usize) {
        let Some(connection) = self.connections.get_mut(at) else {
            return;
        };
        self.buffered = self.buffered - connection.counted + connection.input.len();
        connection.counted = connection.input.len();
        if self.buffered <= self.limits.buffered || connection.stage != Stage::Reading {
            return;
        }
        connection.input = Vec::new();
        connection.close = true;
        self.buffered -= connection.counted;
        connection.counted = 0;
        self.refusals.buffers_full.add();
        self.begin_answer(at, &Answer::error(503, "too many requests are incomplete"));
    }

    /// Takes what requests there are, and counts what is left.
    fn go_on(&mut self, at: usize, handle: &mut impl FnMut(ReqId, Request) -> Option<Answer>) {
        self.take_requests(at, handle);
        self.count_buffered(at);
    }

    /// Takes requests from what has come in, as long as there are whole ones and none is open.
    fn take_requests(
        &mut self,
        at: usize,
        handle: &mut impl FnMut(ReqId, Request) -> Option<Answer>,
    ) {
        while let Some(connection) = self.connections.get_mut(at) {
            if connection.stage != Stage::Reading || connection.input.is_empty() {
                return;
            }
            let mut input = std::mem::take(&mut connection.input);
            let used = self.next_request(at, &input, handle);
            input.drain(..used);
            if let Some(connection) = self.connections.get_mut(at) {
                // The room that a long request took is given back.
                connection.input = if input.is_empty() { Vec::new() } else { input };
            }
            if used == 0 {
                return;
            }
        }
    }

    /// Handles a request if it is complete; returns how many bytes were used up.
    fn next_request(
        &mut self,
        at: usize,
        bytes: &[u8],
        handle: &mut impl FnMut(ReqId, Request) -> Option<Answer>,
    ) -> usize {
        let parsed = parse(bytes, self.limits.body);
        let Some(connection) = self.connections.get_mut(at) else {
            return 0;
        };
        let parsed = match parsed {
            Parsed::Partial { wants_go } => {
                if wants_go && !connection.told_to_go {
                    connection.told_to_go = true;
                    let _ = connection.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n");
                }
                return 0;
            }
            Parsed::Bad => {
                connection.close = true;
                self.refusals.unreadable.add();
                self.begin_answer(at, &Answer::error(400, "not HTTP"));
                return bytes.len();
            }
            Parsed::Whole(parsed) => parsed,
        };
        connection.since = Instant::now();
        connection.spoken = true;
        connection.told_to_go = false;
        connection.close = parsed.close || parsed.body.is_none();
        if parsed.body.is_none() {
            self.refusals.too_long.add();
        }
        connection.stage = Stage::Deciding;
        let used = parsed.used;
        if !connection.worker && parsed.url == REPORT {
            if self.workers >= self.limits.workers {
                connection.close = true;
                self.refusals.workers_sent_on.add();
                self.begin_answer(at, &Answer::elsewhere());
                return used;
            }
            connection.worker = true;
            self.workers += 1;
        }
        self.serial = self.serial.wrapping_add(1);
        connection.serial = self.serial & 0x00ff_ffff;
        let id = ReqId(self.mark << 56 | u64::from(connection.serial) << 32 | at as u64);
        let request = Request {
            method: parsed.method,
            url: parsed.url,
            body: parsed.body.as_deref(),
        };
        if let Some(answer) = handle(id, request) {
            self.begin_answer(at, &answer);
        }
        used
    }

    fn answer(
        &mut self,
        id: ReqId,
        answer: Answer,
        handle: &mut impl FnMut(ReqId, Request) -> Option<Answer>,
    ) {
        let at = (id.0 & u64::from(u32::MAX)) as usize;
        let serial = (id.0 >> 32) as u32 & 0x00ff_ffff;
        let open = (self.connections.get(at))
            .is_some_and(|c| c.stage == Stage::Deciding && c.serial == serial);
        if open {
            self.begin_answer(at, &answer);
            self.go_on(at, handle);
        }
    }

    fn begin_answer(&mut self, at: usize, answer: &Answer) {
        if let Some(connection) = self.connections.get_mut(at) {
            connection.close |= answer.close;
            connection.output = answer.bytes(connection.close);
            connection.written = 0;
            connection.stage = Stage::Writing;
            self.write(at);
        }
    }

    fn write(&mut self, at: usize) {
        let Some(connection) = self.connections.get_mut(at) else {
            return;
        };
        if connection.stage != Stage::Writing {
            return;
        }
        while connection.written < connection.output.len() {
            match (connection.stream).write(&connection.output[connection.written..]) {
                Ok(n) if n > 0 => connection.written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    let both = Interest::READABLE | Interest::WRITABLE;
                    let registry = self.poll.registry();
                    if registry
                        .reregister(&mut connection.stream, Token(at), both)
                        .is_err()
                    {
                        self.drop_connection(at);
                    }
                    return;
                }
                _ => return self.drop_connection(at),
            }
        }
        connection.output = Vec::new();
        connection.stage = Stage::Reading;
        connection.since = Instant::now();
        if connection.close {
            self.drop_connection(at);
        }
    }
}

#[cfg(test)]
mod tests;

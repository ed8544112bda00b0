//! Connections of a server: what each is doing, and how many there are of each kind.

use super::request_key::RequestSerial;
use mio::net::TcpStream;
use slab::Slab;
use std::time::{Duration, Instant};

/// A request that is not complete, or a response that is not taken, after so long ends its connection, as does
/// a connection that has never sent a request.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// A connection that sends nothing more is closed after so long. Agents and users come back every few
/// seconds.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(150);
/// One that has sent nothing for so long is closed for a new one if there are too many.
const REPLACEABLE_AFTER: Duration = Duration::from_secs(20);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It reads a request, or waits for one.
    ReadingRequest,
    /// A request is being decided.
    AwaitingResponse,
    /// It writes a response.
    WritingResponse,
}

/// A connection.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) state: ConnectionState,
    /// What has come in and is not consumed.
    pub(super) input: Vec<u8>,
    /// How much of the input counts against the server's limit of buffered bytes.
    counted_bytes: usize,
    /// The response that is being written, and how much of it has been.
    pub(super) output: Vec<u8>,
    pub(super) written: usize,
    /// The request that was last taken from it.
    pub(super) serial: RequestSerial,
    /// Whether it ends with the response.
    pub(super) close: bool,
    /// Whether an agent has sent a status report on it.
    pub(super) is_agent: bool,
    /// Whether it has ever sent a request.
    pub(super) has_sent_request: bool,
    /// Whether its client, which asked first, was told to send the body.
    pub(super) sent_continue: bool,
    /// When it last made progress.
    pub(super) last_progress: Instant,
}

impl Connection {
    /// A connection that was just accepted.
    pub(super) fn new(stream: TcpStream, now: Instant) -> Self {
        Self {
            stream,
            state: ConnectionState::ReadingRequest,
            input: Vec::new(),
            counted_bytes: 0,
            output: Vec::new(),
            written: 0,
            serial: RequestSerial::default(),
            close: false,
            is_agent: false,
            has_sent_request: false,
            sent_continue: false,
            last_progress: now,
        }
    }

    fn is_replaceable(&self, now: Instant) -> bool {
        self.state == ConnectionState::ReadingRequest
            && now - self.last_progress > REPLACEABLE_AFTER
    }

    fn has_timed_out(&self, now: Instant) -> bool {
        let is_kept_alive = match self.state {
            ConnectionState::ReadingRequest => self.input.is_empty() && self.has_sent_request,
            ConnectionState::AwaitingResponse => true,
            ConnectionState::WritingResponse => false,
        };
        let timeout = if is_kept_alive {
            KEEP_ALIVE_TIMEOUT
        } else {
            STALL_TIMEOUT
        };
        now - self.last_progress > timeout
    }
}

/// The connections of a server, by slot.
#[derive(Default)]
pub(super) struct ConnectionTable {
    slots: Slab<Connection>,
    agents: usize,
    /// Bytes of requests that have not come in whole.
    buffered_bytes: usize,
}

impl ConnectionTable {
    /// How many there are.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// How many of them are of agents.
    pub(super) fn agents(&self) -> usize {
        self.agents
    }

    /// Bytes of requests that have not come in whole.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// The slot that the next connection gets.
    pub(super) fn next_slot(&self) -> usize {
        self.slots.vacant_key()
    }

    /// Adds a connection in the next slot.
    pub(super) fn insert(&mut self, connection: Connection) {
        self.slots.insert(connection);
    }

    /// A connection.
    pub(super) fn get(&self, slot: usize) -> Option<&Connection> {
        self.slots.get(slot)
    }

    /// A connection, to be changed.
    pub(super) fn get_mut(&mut self, slot: usize) -> Option<&mut Connection> {
        self.slots.get_mut(slot)
    }

    /// Removes a connection.
    pub(super) fn remove(&mut self, slot: usize) -> Option<Connection> {
        let removed = self.slots.try_remove(slot)?;
        self.agents -= usize::from(removed.is_agent);
        self.buffered_bytes -= removed.counted_bytes;
        Some(removed)
    }

    /// Counts a connection as one of an agent.
    pub(super) fn count_as_agent(&mut self, slot: usize) {
        if let Some(connection) = self.slots.get_mut(slot) {
            self.agents += usize::from(!connection.is_agent);
            connection.is_agent = true;
        }
    }

    /// Counts what a connection has buffered by now.
    pub(super) fn count_buffered(&mut self, slot: usize) {
        if let Some(connection) = self.slots.get_mut(slot) {
            self.buffered_bytes -= connection.counted_bytes;
            connection.counted_bytes = connection.input.len();
            self.buffered_bytes += connection.counted_bytes;
        }
    }

    /// The connection that has sent nothing for longest, if that is so long that a new one may replace it.
    pub(super) fn replaceable(&self, now: Instant) -> Option<usize> {
        (self.slots.iter())
            .filter(|(_, connection)| connection.is_replaceable(now))
            .min_by_key(|(_, connection)| connection.last_progress)
            .map(|(slot, _)| slot)
    }

    /// Connections that have stalled, or have been silent for too long.
    pub(super) fn timed_out(&self, now: Instant) -> Vec<usize> {
        (self.slots.iter())
            .filter(|(_, connection)| connection.has_timed_out(now))
            .map(|(slot, _)| slot)
            .collect()
    }
}

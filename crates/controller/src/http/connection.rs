//! Connections of a server: their states, counts and timeouts.

use super::request_key::RequestSerial;
use mio::net::TcpStream;
use slab::Slab;
use std::time::{Duration, Instant};

/// Time without progress after which a connection is closed if its request is incomplete, if its response has not been
/// read by the client, or if it has never sent a request.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which a connection without further requests is closed. Agents and users send a request every few
/// seconds. It also bounds the time that a connection waits for a pending response.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(150);
/// Time without progress after which a connection that waits for or reads a request may be closed in favour of a new
/// one when the connection limit is reached.
const REPLACEABLE_AFTER: Duration = Duration::from_secs(20);

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// Waiting for a request or reading one.
    ReadingRequest,
    /// A request was received and its response is pending.
    AwaitingResponse,
    /// Writing a response.
    WritingResponse,
}

/// An accepted connection.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) state: ConnectionState,
    /// Bytes received and not yet consumed.
    pub(super) input: Vec<u8>,
    /// Bytes of `input` that are counted in [`ConnectionTable::buffered_bytes`].
    counted_bytes: usize,
    /// The response that is being written.
    pub(super) output: Vec<u8>,
    /// Bytes of `output` already written.
    pub(super) written: usize,
    /// Serial number of the last request received.
    pub(super) serial: RequestSerial,
    /// Whether the connection is closed after the response.
    pub(super) close: bool,
    /// Whether an agent has sent a status report on this connection.
    pub(super) is_agent: bool,
    /// Whether a request has ever been received.
    pub(super) has_sent_request: bool,
    /// Whether `100 Continue` was sent for the current request.
    pub(super) sent_continue: bool,
    /// When the connection was accepted, last completed a request or last completed a response.
    pub(super) last_progress: Instant,
}

impl Connection {
    /// Creates the entry of a connection that was just accepted.
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

/// Connections of a server, by slot.
#[derive(Default)]
pub(super) struct ConnectionTable {
    slots: Slab<Connection>,
    agents: usize,
    /// Total size of incompletely received requests.
    buffered_bytes: usize,
}

impl ConnectionTable {
    /// Returns the number of connections.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the number of connections of agents.
    pub(super) fn agents(&self) -> usize {
        self.agents
    }

    /// Returns the total size of incompletely received requests, in bytes.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Returns the slot that [`Self::insert`] will use next.
    pub(super) fn next_slot(&self) -> usize {
        self.slots.vacant_key()
    }

    /// Adds a connection in the slot that [`Self::next_slot`] returns.
    pub(super) fn insert(&mut self, connection: Connection) {
        self.slots.insert(connection);
    }

    /// Returns the connection in a slot.
    pub(super) fn get(&self, slot: usize) -> Option<&Connection> {
        self.slots.get(slot)
    }

    /// Returns the connection in a slot, mutably.
    pub(super) fn get_mut(&mut self, slot: usize) -> Option<&mut Connection> {
        self.slots.get_mut(slot)
    }

    /// Removes a connection and its counts.
    pub(super) fn remove(&mut self, slot: usize) -> Option<Connection> {
        let removed = self.slots.try_remove(slot)?;
        self.agents -= usize::from(removed.is_agent);
        self.buffered_bytes -= removed.counted_bytes;
        Some(removed)
    }

    /// Marks a connection as an agent's and counts it once.
    pub(super) fn count_as_agent(&mut self, slot: usize) {
        if let Some(connection) = self.slots.get_mut(slot) {
            self.agents += usize::from(!connection.is_agent);
            connection.is_agent = true;
        }
    }

    /// Updates the count of buffered bytes to a connection's present input.
    pub(super) fn count_buffered(&mut self, slot: usize) {
        if let Some(connection) = self.slots.get_mut(slot) {
            self.buffered_bytes -= connection.counted_bytes;
            connection.counted_bytes = connection.input.len();
            self.buffered_bytes += connection.counted_bytes;
        }
    }

    /// Returns the connection that has gone longest without progress while it waits for or reads a request, if that is
    /// more than [`REPLACEABLE_AFTER`].
    pub(super) fn replaceable(&self, now: Instant) -> Option<usize> {
        (self.slots.iter())
            .filter(|(_, connection)| connection.is_replaceable(now))
            .min_by_key(|(_, connection)| connection.last_progress)
            .map(|(slot, _)| slot)
    }

    /// Returns the connections that have stalled or have been idle for too long.
    pub(super) fn timed_out(&self, now: Instant) -> Vec<usize> {
        (self.slots.iter())
            .filter(|(_, connection)| connection.has_timed_out(now))
            .map(|(slot, _)| slot)
            .collect()
    }
}

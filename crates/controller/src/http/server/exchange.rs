//! Request handling of the server: reads requests, passes them to the handler and writes responses.

use super::Server;
use crate::http::connection::{Connection, ConnectionState};
use crate::http::parser::{parse, CompleteRequest, Parsed, MAX_HEAD_BYTES};
use crate::http::request_key::RequestKey;
use crate::http::{Handler, Request, Response, STATUS_REPORT_PATH};
use mio::{Interest, Token};
use rudderreel_core::ReqId;
use std::io::{ErrorKind, Read, Write};
use std::time::Instant;

/// Response to `Expect: 100-continue`, after which the client sends the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

impl Server {
    /// Reads all available bytes of a connection.
    pub(super) fn read(&mut self, slot: usize, is_closing: bool, handler: &mut Handler) {
        let mut buffer = std::mem::take(&mut self.read_buffer);
        while let Some(connection) = self.connections.get_mut(slot) {
            match connection.stream.read(&mut buffer) {
                Ok(0) => self.close(slot),
                Ok(n) => {
                    self.take_bytes(slot, &buffer[..n], handler);
                    // A short read has drained the socket; the poll reports further bytes.
                    if n < buffer.len() && !is_closing {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.close(slot),
            }
        }
        self.read_buffer = buffer;
    }

    /// Handles the complete requests in newly received bytes and buffers the rest.
    pub(super) fn take_bytes(&mut self, slot: usize, bytes: &[u8], handler: &mut Handler) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        let is_reading = connection.state == ConnectionState::ReadingRequest;
        if is_reading && connection.input.is_empty() {
            // Most requests arrive whole and are parsed without copying them to the connection's buffer.
            let consumed = self.handle_next_request(slot, bytes, handler);
            if let Some(connection) = self.connections.get_mut(slot) {
                connection.input.extend_from_slice(&bytes[consumed..]);
            }
            if consumed == 0 {
                return self.enforce_buffer_limit(slot);
            }
        } else {
            connection.input.extend_from_slice(bytes);
            if connection.input.len() > 2 * (MAX_HEAD_BYTES + self.limits.body_bytes) {
                return self.close(slot);
            }
        }
        self.handle_buffered_requests(slot, handler);
    }

    /// Handles the complete requests that a connection has buffered, and counts the remaining bytes.
    pub(super) fn handle_buffered_requests(&mut self, slot: usize, handler: &mut Handler) {
        while self.handle_buffered_request(slot, handler) {}
        self.enforce_buffer_limit(slot);
    }

    /// Handles the first request that a connection has buffered; returns whether it was complete.
    fn handle_buffered_request(&mut self, slot: usize, handler: &mut Handler) -> bool {
        let Some(connection) = self.connections.get_mut(slot) else {
            return false;
        };
        if connection.state != ConnectionState::ReadingRequest || connection.input.is_empty() {
            return false;
        }
        let mut input = std::mem::take(&mut connection.input);
        let consumed = self.handle_next_request(slot, &input, handler);
        input.drain(..consumed);
        if let Some(connection) = self.connections.get_mut(slot) {
            // An empty buffer is replaced to release the memory of a long request.
            connection.input = if input.is_empty() { Vec::new() } else { input };
        }
        consumed > 0
    }

    /// Counts the bytes that a connection has buffered. If all connections together exceed the limit, the request of
    /// this one is refused: many clients that each send a part of a request must not exhaust the node's memory.
    fn enforce_buffer_limit(&mut self, slot: usize) {
        self.connections.count_buffered(slot);
        let is_within = self.connections.buffered_bytes() <= self.limits.buffered_bytes;
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        if is_within || connection.state != ConnectionState::ReadingRequest {
            return;
        }
        connection.input = Vec::new();
        connection.close = true;
        self.connections.count_buffered(slot);
        self.refusals.buffers_full.increment();
        let refusal = Response::error(503, "too many requests are incomplete");
        self.begin_response(slot, &refusal);
    }

    /// Handles the request at the beginning of `bytes` if it is complete; returns the number of bytes consumed.
    fn handle_next_request(&mut self, slot: usize, bytes: &[u8], handler: &mut Handler) -> usize {
        let Some(connection) = self.connections.get_mut(slot) else {
            return 0;
        };
        match parse(bytes, self.limits.body_bytes) {
            Parsed::Incomplete { expects_continue } => {
                if expects_continue && !connection.sent_continue {
                    connection.sent_continue = true;
                    let _ = connection.stream.write(CONTINUE);
                }
                0
            }
            Parsed::Malformed => {
                connection.close = true;
                self.refusals.unreadable.increment();
                self.begin_response(slot, &Response::error(400, "not HTTP"));
                bytes.len()
            }
            Parsed::Complete(request) => {
                self.handle_request(slot, &request, handler);
                request.consumed
            }
        }
    }

    fn handle_request(
        &mut self,
        slot: usize,
        request: &CompleteRequest<'_>,
        handler: &mut Handler,
    ) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        connection.last_progress = Instant::now();
        connection.has_sent_request = true;
        connection.sent_continue = false;
        connection.close = request.close || request.body.is_none();
        connection.state = ConnectionState::AwaitingResponse;
        if request.body.is_none() {
            self.refusals.too_long.increment();
        }
        if request.url == STATUS_REPORT_PATH && !self.admit_agent(slot) {
            return;
        }
        let id = self.next_request_id(slot);
        let request = Request {
            method: request.method,
            url: request.url,
            body: request.body.as_deref(),
        };
        if let Some(response) = handler(id, request) {
            self.begin_response(slot, &response);
        }
    }

    /// Counts a connection as an agent's and returns whether it is admitted. If the limit of agents' connections is
    /// reached, the agent is redirected to another node and the connection closed.
    fn admit_agent(&mut self, slot: usize) -> bool {
        let is_full = self.connections.agents() >= self.limits.agent_connections;
        let Some(connection) = self.connections.get_mut(slot) else {
            return false;
        };
        if connection.is_agent || !is_full {
            self.connections.count_as_agent(slot);
            return true;
        }
        connection.close = true;
        self.refusals.agents_redirected.increment();
        self.begin_response(slot, &Response::redirect_agent());
        false
    }

    fn next_request_id(&mut self, slot: usize) -> ReqId {
        self.last_serial = self.last_serial.next();
        let serial = self.last_serial;
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.serial = serial;
        }
        RequestKey { slot, serial }.id(self.number)
    }

    /// Responds to a request, if its connection still waits for this response.
    pub(super) fn respond(&mut self, id: ReqId, response: Response, handler: &mut Handler) {
        let RequestKey { slot, serial } = RequestKey::of(id);
        let awaits = |connection: &Connection| {
            connection.state == ConnectionState::AwaitingResponse && connection.serial == serial
        };
        if self.connections.get(slot).is_some_and(awaits) {
            self.begin_response(slot, &response);
            self.handle_buffered_requests(slot, handler);
        }
    }

    fn begin_response(&mut self, slot: usize, response: &Response) {
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.close |= response.close;
            connection.output = response.bytes(connection.close);
            connection.written = 0;
            connection.state = ConnectionState::WritingResponse;
            self.write(slot);
        }
    }

    /// Writes as much of the response as the socket accepts. Once it is written completely, the connection reads the
    /// next request or is closed.
    pub(super) fn write(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        if connection.state != ConnectionState::WritingResponse {
            return;
        }
        while connection.written < connection.output.len() {
            match (connection.stream).write(&connection.output[connection.written..]) {
                Ok(n) if n > 0 => connection.written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    return self.continue_when_writable(slot);
                }
                _ => return self.close(slot),
            }
        }
        connection.output = Vec::new();
        connection.state = ConnectionState::ReadingRequest;
        connection.last_progress = Instant::now();
        if connection.close {
            self.close(slot);
        }
    }

    fn continue_when_writable(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        let registered = registry.reregister(&mut connection.stream, Token(slot), interest);
        if registered.is_err() {
            self.close(slot);
        }
    }
}

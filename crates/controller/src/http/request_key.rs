//! What a request's id says of where its response goes: the server, the connection, and which of the requests
//! of that connection it is.

use rudderreel_core::ReqId;

/// Bits of an id: the server's number, the request's serial number, the connection's slot.
const SERVER_SHIFT: u32 = 56;
const SERIAL_SHIFT: u32 = 32;
const SERIAL_MASK: u32 = 0x00ff_ffff;

/// Tells the requests of several servers apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerNumber(pub u8);

impl ServerNumber {
    /// The server that a request came to.
    pub fn of(id: ReqId) -> Self {
        Self((id.0 >> SERVER_SHIFT) as u8)
    }
}

/// Tells the requests of one connection apart. It wraps after 16 million requests of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RequestSerial(u32);

impl RequestSerial {
    /// The one after this.
    pub(super) fn next(self) -> Self {
        Self(self.0.wrapping_add(1) & SERIAL_MASK)
    }
}

/// Where a response goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestKey {
    /// The slot of the connection.
    pub(super) slot: usize,
    /// The request of that connection.
    pub(super) serial: RequestSerial,
}

impl RequestKey {
    /// The id by which the rest of the program knows the request.
    pub(super) fn id(self, server: ServerNumber) -> ReqId {
        let server = u64::from(server.0) << SERVER_SHIFT;
        let serial = u64::from(self.serial.0) << SERIAL_SHIFT;
        ReqId(server | serial | self.slot as u64)
    }

    /// The key that an id was made of.
    pub(super) fn of(id: ReqId) -> Self {
        Self {
            slot: (id.0 & u64::from(u32::MAX)) as usize,
            serial: RequestSerial((id.0 >> SERIAL_SHIFT) as u32 & SERIAL_MASK),
        }
    }
}

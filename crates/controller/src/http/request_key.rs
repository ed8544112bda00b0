//! Encoding of request ids. An id identifies the server, the connection and the request on that connection, which is
//! where the response is routed.

use rudderreel_core::ReqId;

/// Layout of an id, from the highest bit: 8 bits server number, 24 bits request serial number, 32 bits connection
/// slot.
const SERVER_SHIFT: u32 = 56;
const SERIAL_SHIFT: u32 = 32;
const SERIAL_MASK: u32 = 0x00ff_ffff;

/// Number of a server; distinguishes requests of several servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerNumber(pub u8);

impl ServerNumber {
    /// Returns the server that received the request with this id.
    pub fn of(id: ReqId) -> Self {
        Self((id.0 >> SERVER_SHIFT) as u8)
    }
}

/// Serial number of a request, which distinguishes the requests of one connection. It wraps after 16 million requests
/// of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RequestSerial(u32);

impl RequestSerial {
    /// Returns the next serial number.
    pub(super) fn next(self) -> Self {
        Self(self.0.wrapping_add(1) & SERIAL_MASK)
    }
}

/// Connection and request to which a response belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestKey {
    /// Slot of the connection.
    pub(super) slot: usize,
    /// Serial number of the request on that connection.
    pub(super) serial: RequestSerial,
}

impl RequestKey {
    /// Returns the id that the rest of the program uses for the request.
    pub(super) fn id(self, server: ServerNumber) -> ReqId {
        let server = u64::from(server.0) << SERVER_SHIFT;
        let serial = u64::from(self.serial.0) << SERIAL_SHIFT;
        ReqId(server | serial | self.slot as u64)
    }

    /// Extracts the key from an id that [`Self::id`] returned.
    pub(super) fn of(id: ReqId) -> Self {
        Self {
            slot: (id.0 & u64::from(u32::MAX)) as usize,
            serial: RequestSerial((id.0 >> SERIAL_SHIFT) as u32 & SERIAL_MASK),
        }
    }
}

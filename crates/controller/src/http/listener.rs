//! Opens listening sockets.

use mio::net::TcpListener;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};

/// Listens with room for as many connections that wait to be accepted as are ever taken: a whole fleet may
/// come at once, and what finds no room is dropped and tried again a second later.
pub(super) fn bind(addr: SocketAddrV4, backlog: usize) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(addr).into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    Ok(TcpListener::from_std(socket.into()))
}

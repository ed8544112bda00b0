//! Opens listening sockets.

use mio::net::TcpListener;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};

/// Opens a listening socket. Callers pass the server's connection limit as `backlog`: a whole fleet may connect at
/// once, and a connection that does not fit in the backlog is dropped and retried by the client's system a second
/// later.
pub(super) fn bind(addr: SocketAddrV4, backlog: usize) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(addr).into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    Ok(TcpListener::from_std(socket.into()))
}

//! Listeners whose clients hold little memory of the kernel.

use std::{
    io,
    net::SocketAddr, //
};

use tokio::net::{
    TcpListener,
    TcpSocket, //
};

/// The most connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// The size of the kernel's buffer for a connection's bytes that are not read yet.
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;

/// Binds an address. The kernel keeps no more than 64 KiB of a client that is not read, and what it needs to manage them.
///
/// # Errors
///
/// Any error from binding the address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    // Without it the kernel's own limit applies.
    drop(socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES));
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

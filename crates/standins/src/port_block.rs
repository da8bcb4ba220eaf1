//! Ports of loopback for processes and daemons that tests start and restart.

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    ops::Range,
    sync::{
        Mutex,
        PoisonError, //
    }, //
};

/// The blocks lie below the ports that the system gives to connections: one of these could take the port of a daemon that
/// is down, which could then not come back.
const FIRST_PORT: u16 = 20_000;
const BLOCKS: u16 = 40;
const BLOCK_PORTS: u16 = 300;

/// A block of ports that no other block has while it is held, in this process or another.
#[derive(Debug)]
pub struct PortBlock {
    /// Bound to the block's first port, which shows others that the block is taken.
    _guard: TcpListener,
    first: u16,
    next: Mutex<u16>,
}

impl PortBlock {
    /// Takes a block that nobody holds.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::AddrInUse`] if all blocks are held, or any other error of binding a port.
    pub fn new() -> io::Result<Self> {
        for block in 0..BLOCKS {
            let first = FIRST_PORT + block * BLOCK_PORTS;
            match TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
                Ok(guard) => {
                    return Ok(Self {
                        _guard: guard,
                        first,
                        next: Mutex::new(1),
                    });
                }
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Returns an address that nothing listens on. An earlier one comes again once all were given.
    ///
    /// # Errors
    ///
    /// As [`PortBlock::range`].
    pub fn address(&self) -> io::Result<SocketAddr> {
        let ports = self.range(1)?;
        Ok(SocketAddr::from((Ipv4Addr::LOCALHOST, ports.start)))
    }

    /// Returns consecutive ports that nothing listens on.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::AddrInUse`] if the block has not as many.
    pub fn range(&self, count: u16) -> io::Result<Range<u16>> {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        for _ in 0..BLOCK_PORTS {
            if *next + count > BLOCK_PORTS {
                *next = 1;
            }
            let first = self.first + *next;
            let ports = first..first + count;
            *next += count;
            let is_free = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
            if count < BLOCK_PORTS && ports.clone().all(is_free) {
                return Ok(ports);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }
}

//! Blocks of loopback ports for the processes and daemons that tests start and restart.

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    ops::{
        Range,
        RangeInclusive, //
    },
    sync::{
        Mutex,
        PoisonError, //
    }, //
};

/// The first port of the first block. The blocks lie below the range of ephemeral ports: an outgoing connection could
/// otherwise take the port of a daemon that is down, and the daemon could not restart on it.
const FIRST_PORT: u16 = 20_000;
/// The number of blocks, each for one holder.
const BLOCK_COUNT: u16 = 40;
/// The number of ports in a block, including the first, which is the lock of the block.
const PORTS_PER_BLOCK: u16 = 300;
/// The loopback hosts of single addresses; ranges of ports are those of 127.0.0.1.
const HOSTS: RangeInclusive<u8> = 2..=251;

/// A block of loopback ports that is reserved until it is dropped, against this process and others.
#[derive(Debug)]
pub struct PortBlock {
    /// A listener on the block's first port, which reserves the block.
    _guard: TcpListener,
    first: u16,
    next: Mutex<u16>,
    next_address: Mutex<NextAddress>,
}

/// The host and the port in a block of the address that is returned next.
#[derive(Debug)]
struct NextAddress {
    host: u8,
    port: u16,
}

impl NextAddress {
    fn advance(&mut self) {
        self.port += 1;
        if self.port < PORTS_PER_BLOCK {
            return;
        }
        self.port = 1;
        self.host = match self.host == *HOSTS.end() {
            true => *HOSTS.start(),
            false => self.host + 1,
        };
    }
}

impl PortBlock {
    /// Reserves a free block.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::AddrInUse`] if all blocks are reserved, or any other error of binding a port.
    pub fn new() -> io::Result<Self> {
        for block in 0..BLOCK_COUNT {
            let first = FIRST_PORT + block * PORTS_PER_BLOCK;
            match TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
                Ok(guard) => {
                    return Ok(Self {
                        _guard: guard,
                        first,
                        next: Mutex::new(1),
                        next_address: Mutex::new(NextAddress {
                            host: *HOSTS.start(),
                            port: 1,
                        }),
                    });
                }
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Returns a loopback address that nothing listens on. Addresses repeat once those of all hosts were returned, so that one that
    /// a test takes for refusing connections is not soon another's.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::AddrInUse`] if something listens on all addresses of the block.
    pub fn address(&self) -> io::Result<SocketAddr> {
        let next = &self.next_address;
        let mut next = next.lock().unwrap_or_else(PoisonError::into_inner);
        for _ in 0..PORTS_PER_BLOCK {
            let host = Ipv4Addr::new(127, 0, 0, next.host);
            let address = SocketAddr::from((host, self.first + next.port));
            next.advance();
            if is_free(address) {
                return Ok(address);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Returns consecutive ports that nothing listens on.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::AddrInUse`] if the block has no such range.
    pub fn range(&self, count: u16) -> io::Result<Range<u16>> {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        for _ in 0..PORTS_PER_BLOCK {
            if *next + count > PORTS_PER_BLOCK {
                *next = 1;
            }
            let first = self.first + *next;
            let ports = first..first + count;
            *next += count;
            let mut addresses = ports.clone().map(|port| (Ipv4Addr::LOCALHOST, port).into());
            if count < PORTS_PER_BLOCK && addresses.all(is_free) {
                return Ok(ports);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }
}

/// Returns whether nothing listens on an address. Listening there to find out could take it: a child process that another thread
/// spawns holds a copy of each socket until it executes its program.
fn is_free(address: SocketAddr) -> bool {
    TcpStream::connect(address).is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

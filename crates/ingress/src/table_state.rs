//! [`TableState`]: decides which connection is closed to stay within the limits.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    mem,
    sync::Arc, //
};

use tokio::sync::Notify;

use crate::{
    BodyError,
    ConnectionLimits,
    RefusalCounts, //
};

/// The size of a body's first buffer, in bytes.
const MIN_BUFFER_BYTES: usize = 1 << 10;

/// The open connections of a listener.
///
/// A connection waits while it is idle or a request on it is incomplete; only such a connection is ever closed, the one that
/// has waited the longest first: among those that had no request answered yet if they are at least half, among those that had
/// otherwise. Neither kind can take the places of the other by its number.
#[derive(Debug)]
pub(crate) struct TableState {
    limits: ConnectionLimits,
    connections: HashMap<u64, ConnectionState>,
    waiting: BTreeSet<WaitOrder>,
    /// How many of the waiting connections had no request answered yet.
    new_waiting: usize,
    /// The bytes that all requests hold.
    held_bytes: usize,
    last_id: u64,
    last_rank: u64,
    refusals: RefusalCounts,
}

/// Orders waiting connections: those that had no request answered yet, and those that had, each by how long they wait.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct WaitOrder {
    has_answered: bool,
    rank: u64,
    id: u64,
}

/// Comes before every connection that had a request answered.
const FIRST_ANSWERED: WaitOrder = WaitOrder {
    has_answered: true,
    rank: 0,
    id: 0,
};

#[derive(Debug, Default)]
struct ConnectionState {
    /// `None` while a complete request is in progress, and after the connection was closed for others.
    wait: Option<WaitOrder>,
    has_answered: bool,
    /// Whether the last request was answered. The rest of its body may still arrive.
    is_answered: bool,
    is_evicted: bool,
    /// The part of the body that has arrived.
    buffer: Vec<u8>,
    /// The bytes that the request holds.
    held_bytes: usize,
    /// Notified when the connection is to close.
    evicted: Arc<Notify>,
}

/// Whether a connection may be opened.
#[derive(Debug)]
pub(crate) enum Admission {
    /// The connection is open, under this identifier.
    Opened(u64, Arc<Notify>),
    /// Another connection is closing for it.
    Pending,
    /// Every connection has a request in progress.
    Refused,
}

impl TableState {
    pub(crate) fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            connections: HashMap::new(),
            waiting: BTreeSet::new(),
            new_waiting: 0,
            held_bytes: 0,
            last_id: 0,
            last_rank: 0,
            refusals: RefusalCounts::default(),
        }
    }

    pub(crate) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    pub(crate) fn take_refusals(&mut self) -> RefusalCounts {
        mem::take(&mut self.refusals)
    }

    /// Opens a connection, or closes another one for it.
    pub(crate) fn open(&mut self) -> Admission {
        if self.connections.len() < self.limits.connections {
            return self.insert();
        }
        if self.connections.values().any(|other| other.is_evicted) || self.close_longest_waiting() {
            return Admission::Pending;
        }
        self.refusals.refused_connections += 1;
        Admission::Refused
    }

    fn insert(&mut self) -> Admission {
        self.last_id += 1;
        let id = self.last_id;
        let connection = ConnectionState::default();
        let evicted = Arc::clone(&connection.evicted);
        self.connections.insert(id, connection);
        self.set_waiting(id);
        Admission::Opened(id, evicted)
    }

    /// Closes those of the waiting connections that have waited the longest, a quarter of the open ones.
    pub(crate) fn yield_descriptors(&mut self) {
        for _ in 0..self.connections.len().div_ceil(4) {
            self.close_longest_waiting();
        }
    }

    /// Closes the connection that has waited the longest; returns false if none waits.
    fn close_longest_waiting(&mut self) -> bool {
        let new = self.waiting.first();
        let answered = self.waiting.range(FIRST_ANSWERED..).next();
        let oldest = match 2 * self.new_waiting >= self.waiting.len() {
            true => new,
            false => answered,
        };
        let Some(oldest) = oldest else {
            return false;
        };
        self.evict(oldest.id);
        self.refusals.closed_for_connections += 1;
        true
    }

    /// Records that the head of a request has arrived.
    pub(crate) fn begin_request(&mut self, id: u64) {
        self.set_waiting(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_answered = false;
        }
    }

    /// Appends a part of the body that has arrived.
    pub(crate) fn append(&mut self, id: u64, part: &[u8], limit: usize) -> Result<(), BodyError> {
        let Some(connection) = self.connections.get(&id) else {
            return Err(BodyError::Broken);
        };
        let (len, capacity) = (connection.buffer.len(), connection.buffer.capacity());
        let needed = len + part.len();
        if needed > capacity {
            let grown = needed.max(2 * capacity).max(MIN_BUFFER_BYTES);
            let grown = grown.min(limit.max(needed));
            self.reserve(id, grown - capacity)?;
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.buffer.reserve_exact(grown - len);
            }
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.buffer.extend_from_slice(part);
        }
        Ok(())
    }

    /// Drops the part of the body that has arrived.
    pub(crate) fn discard_body(&mut self, id: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.held_bytes -= connection.held_bytes;
            connection.held_bytes = 0;
            connection.buffer = Vec::new();
        }
    }

    /// Returns the part of the body that has arrived. Its bytes stay reserved until the request is answered.
    pub(crate) fn take_buffer(&mut self, id: u64) -> Result<Vec<u8>, BodyError> {
        let connection = self.connections.get_mut(&id).ok_or(BodyError::Broken)?;
        match connection.is_evicted {
            true => Err(BodyError::Broken),
            false => Ok(mem::take(&mut connection.buffer)),
        }
    }

    /// Returns the complete body; from now on the connection is not closed for others. The body's bytes stay reserved until
    /// the request is answered.
    pub(crate) fn complete_body(&mut self, id: u64) -> Result<Vec<u8>, BodyError> {
        let body = self.take_buffer(id)?;
        let connection = self.connections.get_mut(&id).ok_or(BodyError::Broken)?;
        let wait = connection.wait.take_if(|_| !connection.is_answered);
        self.remove_waiting(wait);
        Ok(body)
    }

    /// Reserves bytes for a request, for which the connections with the oldest incomplete bodies are closed as needed.
    pub(crate) fn reserve(&mut self, id: u64, bytes: usize) -> Result<(), BodyError> {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else {
                return Err(BodyError::Broken);
            };
            if connection.is_evicted {
                return Err(BodyError::Broken);
            }
            let is_alone = self.held_bytes == connection.held_bytes;
            if is_alone || self.held_bytes.saturating_add(bytes) <= self.limits.request_bytes {
                connection.held_bytes += bytes;
                self.held_bytes += bytes;
                return Ok(());
            }
            if !self.close_oldest_body(id) {
                self.refusals.refused_requests += 1;
                return Err(BodyError::NoMemory);
            }
        }
    }

    /// Reserves or releases bytes, so that a request holds this many.
    pub(crate) fn hold(&mut self, id: u64, bytes: usize) -> Result<(), BodyError> {
        let connection = self.connections.get_mut(&id).ok_or(BodyError::Broken)?;
        match bytes.checked_sub(connection.held_bytes) {
            Some(further) => self.reserve(id, further),
            None => {
                self.held_bytes -= connection.held_bytes - bytes;
                connection.held_bytes = bytes;
                Ok(())
            }
        }
    }

    /// Closes the connection with the oldest incomplete body but that of `id`; returns false if there is none.
    fn close_oldest_body(&mut self, id: u64) -> bool {
        let (mut new, mut answered) = (None, None);
        let (mut new_bytes, mut answered_bytes) = (0, 0);
        for wait in &self.waiting {
            let connection = self.connections.get(&wait.id);
            let held_bytes = connection.map_or(0, |connection| connection.held_bytes);
            if held_bytes == 0 || wait.id == id {
                continue;
            }
            let (oldest, bytes) = match wait.has_answered {
                true => (&mut answered, &mut answered_bytes),
                false => (&mut new, &mut new_bytes),
            };
            oldest.get_or_insert(*wait);
            *bytes += held_bytes;
        }
        let oldest = match new_bytes >= answered_bytes {
            true => new,
            false => answered,
        };
        let Some(oldest) = oldest else {
            return false;
        };
        self.evict(oldest.id);
        self.refusals.closed_for_memory += 1;
        true
    }

    /// Records that a request was answered, and releases its memory.
    pub(crate) fn end_request(&mut self, id: u64) {
        self.discard_body(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.has_answered = true;
            connection.is_answered = true;
        }
        self.set_waiting(id);
    }

    /// Records that a connection is closed.
    pub(crate) fn close(&mut self, id: u64) {
        self.discard_body(id);
        let wait = self.connections.remove(&id).and_then(|state| state.wait);
        self.remove_waiting(wait);
    }

    fn set_waiting(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let former = connection.wait.take();
        if !connection.is_evicted {
            self.last_rank += 1;
            let wait = WaitOrder {
                has_answered: connection.has_answered,
                rank: self.last_rank,
                id,
            };
            connection.wait = Some(wait);
            self.waiting.insert(wait);
            self.new_waiting += usize::from(!wait.has_answered);
        }
        self.remove_waiting(former);
    }

    fn remove_waiting(&mut self, wait: Option<WaitOrder>) {
        if let Some(wait) = wait
            && self.waiting.remove(&wait)
        {
            self.new_waiting -= usize::from(!wait.has_answered);
        }
    }

    /// Releases the memory of a waiting connection, and has it closed.
    fn evict(&mut self, id: u64) {
        self.discard_body(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_evicted = true;
            connection.evicted.notify_one();
            let wait = connection.wait.take();
            self.remove_waiting(wait);
        }
    }
}

//! [`ConnectionTable`]: the open connections of a listener.

use std::{
    io,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    }, //
};

use tokio::sync::Notify;

use crate::{
    Connection,
    ConnectionLimits,
    DescriptorShortage,
    RefusalCounts,
    descriptor_shortage::lacks_descriptor,
    table_state::{
        Admission,
        TableState, //
    }, //
};

/// The open connections of a listener, and the memory of their requests; clones share both.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    state: Arc<Mutex<TableState>>,
    /// Notified when a connection has closed or waits again.
    freed: Arc<Notify>,
    shortage: DescriptorShortage,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            state: Arc::new(Mutex::new(TableState::new(limits))),
            freed: Arc::default(),
            shortage: DescriptorShortage::default(),
        }
    }

    /// Sets where a lack of descriptors for the process's own calls is reported.
    pub fn with_shortage(mut self, shortage: &DescriptorShortage) -> Self {
        self.shortage = shortage.clone();
        self
    }

    /// Returns the limits.
    pub fn limits(&self) -> ConnectionLimits {
        self.limits
    }

    /// Opens a connection that was accepted. At the limit, the one that has waited the longest for a request, or for the rest
    /// of one, is closed first; returns `None` if every connection has a complete request in progress.
    pub async fn open(&self) -> Option<Connection> {
        loop {
            let admission = self.state().open();
            match admission {
                Admission::Opened(id, evicted) => {
                    return Some(Connection::new(self.clone(), id, evicted));
                }
                Admission::Refused => return None,
                Admission::Pending => self.freed.notified().await,
            }
        }
    }

    /// Opens a connection as [`ConnectionTable::open`] does, and waits while every connection has a complete request in progress.
    pub async fn open_when_free(&self) -> Connection {
        loop {
            if let Some(connection) = self.open().await {
                return connection;
            }
            self.freed.notified().await;
        }
    }

    /// Closes a quarter of the connections, those that have waited the longest, if accepting one failed for the lack of a
    /// descriptor: the process's own calls need some as well.
    pub fn handle_accept_error(&self, error: &io::Error) {
        if lacks_descriptor(error) {
            self.state().yield_descriptors();
        }
    }

    /// Waits until the process's own calls lack a descriptor, and closes connections as
    /// [`ConnectionTable::handle_accept_error`] does. None should be accepted for a moment then.
    pub async fn yield_on_shortage(&self) {
        self.shortage.reported().await;
        self.state().yield_descriptors();
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.state().connection_count()
    }

    /// Returns the bytes that all requests hold.
    pub fn held_bytes(&self) -> usize {
        self.state().held_bytes()
    }

    /// Returns what was refused or closed since the last call.
    pub fn take_refusals(&self) -> RefusalCounts {
        self.state().take_refusals()
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record_answered(&self, id: u64) {
        self.state().end_request(id);
        self.freed.notify_one();
    }

    pub(crate) fn record_closed(&self, id: u64) {
        self.state().close(id);
        self.freed.notify_one();
    }
}

impl Default for ConnectionTable {
    fn default() -> Self {
        Self::new(ConnectionLimits::NONE)
    }
}

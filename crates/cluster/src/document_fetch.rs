//! Fetches the document of a committed configuration from the table or from a peer.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::Configuration;
use jasminebend_wire::WireBody;
use ractor::ActorRef;
use spdlog::{
    info,
    warn, //
};
use tokio::time::timeout;

use crate::{
    cluster_message::ClusterMessage,
    cluster_state::{
        ClusterState,
        spawn_and_report, //
    },
    shared_rows::document_key, //
};

/// The time limit of a read of a document from the table.
const DOCUMENT_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The minimum interval between reads of a document from the table.
const TABLE_FETCH_INTERVAL: Duration = Duration::from_millis(100);

/// The minimum interval between requests of a document from a peer.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

impl ClusterState {
    /// Fetches the newest committed document if it is not in force here: from a peer that acts by it,
    /// and from the table, as either may be unreachable.
    pub(crate) fn fetch_document(&mut self, myself: &ActorRef<ClusterMessage>) {
        let (version, in_force) = {
            let machine = self.lock();
            (
                machine.newest_committed_configuration(),
                machine.configuration_in_force(),
            )
        };
        if version <= in_force {
            return;
        }
        self.request_document(version);
        let now = self.now();
        if self.fetch_in_progress || now < self.next_fetch_at {
            return;
        }
        self.fetch_in_progress = true;
        self.next_fetch_at = now + TABLE_FETCH_INTERVAL;
        let table = self.ports.table.clone();
        spawn_and_report(myself, async move {
            let key = document_key(version);
            let read = timeout(DOCUMENT_READ_TIMEOUT, table.read(&key)).await;
            let row = read.ok().and_then(Result::ok).flatten();
            let document = row.and_then(|row| serde_json::from_slice(&row.value).ok());
            ClusterMessage::DocumentRead(version, document)
        });
    }

    /// Requests the document from a peer that acts by its version or a newer one.
    fn request_document(&mut self, version: u64) {
        let now = self.now();
        if now < self.last_document_request_at + PEER_REQUEST_INTERVAL {
            return;
        }
        let peer = self.lock().peer_with_configuration(version, now).cloned();
        if let Some(daemon) = peer {
            self.last_document_request_at = now;
            self.send(
                daemon.peer,
                daemon.nonce,
                WireBody::DocumentRequest { version },
            );
        }
    }

    /// Sends the document in force to a peer that requested it, unless it is older than requested.
    pub(crate) fn send_document(&mut self, sender: u64, version: u64) {
        let configuration = self.configuration.borrow().clone();
        let to = self.lock().peer_address(sender);
        let (Some(to), true) = (to, configuration.version.0 >= version) else {
            return;
        };
        if let Ok(document) = serde_json::to_vec(&*configuration) {
            let version = configuration.version.0;
            self.send(to, sender, WireBody::Document { version, document });
        }
    }

    /// Installs a document received from a peer.
    pub(crate) fn receive_document(&mut self, version: u64, document: &[u8]) {
        match serde_json::from_slice::<Configuration>(document) {
            Ok(document) if document.version.0 == version => self.install_configuration(document),
            _ => warn!(
                "[cluster] The document of configuration {} received from a peer is invalid.",
                version
            ),
        }
    }

    /// Installs the document read from the table, if it has the version that was requested.
    pub(crate) fn finish_fetch(&mut self, version: u64, document: Option<Configuration>) {
        self.fetch_in_progress = false;
        if let Some(document) = document.filter(|document| document.version.0 == version) {
            self.install_configuration(document);
        }
    }

    /// Puts a committed document into force, unless one at least as new is in force.
    pub(crate) fn install_configuration(&mut self, document: Configuration) {
        let version = document.version.0;
        if version <= self.configuration.borrow().version.0 {
            return;
        }
        self.configuration.send_replace(Arc::new(document));
        self.lock().install_configuration(version);
        // CAST: a gauge is a float; versions stay far below 2^53.
        metrics::gauge!("jasminebend_configuration_version").set(version as f64);
        info!("[cluster] Configuration {} is in force.", version);
    }
}

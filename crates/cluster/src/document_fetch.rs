//! How a daemon comes by the document of a committed configuration.

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
        report, //
    },
    shared_rows::document_key, //
};

const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// How often the table is asked for a document that it did not have.
const FETCH_INTERVAL: Duration = Duration::from_millis(100);

/// How often peers are asked for a document.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

impl ClusterState {
    /// Fetches the newest committed document, from the table and, as that may be out of reach, from
    /// a peer that acts by it.
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
        self.ask_document(version);
        let now = self.now();
        if self.fetching || now < self.fetch_due {
            return;
        }
        self.fetching = true;
        self.fetch_due = now + FETCH_INTERVAL;
        let table = self.edges.table.clone();
        report(myself, async move {
            let key = document_key(version);
            let read = timeout(READ_TIMEOUT, table.read(&key)).await;
            let row = read.ok().and_then(Result::ok).flatten();
            let document = row.and_then(|row| serde_json::from_slice(&row.value).ok());
            ClusterMessage::DocumentRead(version, document)
        });
    }

    fn ask_document(&mut self, version: u64) {
        let now = self.now();
        if now < self.asked_peers_at + ASK_INTERVAL {
            return;
        }
        let peer = self.lock().peer_with_configuration(version, now).cloned();
        if let Some(daemon) = peer {
            self.asked_peers_at = now;
            self.send(
                daemon.peer,
                daemon.nonce,
                WireBody::DocumentRequest { version },
            );
        }
    }

    pub(crate) fn answer_document(&mut self, sender: u64, version: u64) {
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

    pub(crate) fn take_document(&mut self, version: u64, document: &[u8]) {
        match serde_json::from_slice::<Configuration>(document) {
            Ok(document) if document.version.0 == version => self.install(document),
            _ => warn!(
                "[cluster] A peer's configuration {} cannot be read.",
                version
            ),
        }
    }

    pub(crate) fn end_fetch(&mut self, version: u64, document: Option<Configuration>) {
        self.fetching = false;
        if let Some(document) = document.filter(|document| document.version.0 == version) {
            self.install(document);
        }
    }

    /// Puts a committed document into force; one that is older than that in force is ignored.
    pub(crate) fn install(&mut self, document: Configuration) {
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

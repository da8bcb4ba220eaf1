//! [`PeerDirectory`]: which daemon can serve which service.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use indexmap::IndexMap;
use jasminebend_base::ServiceName;
use jasminebend_ports::{
    RowChange,
    RowExpectation,
    RowKey,
    RowVersion,
    TableError,
    TableRow,
    TableService,
    WriteId, //
};
use rand::{
    RngExt,
    rngs::StdRng, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::sleep;

use crate::gateway_state::GatewayState;

/// The prefix of the rows of all daemons.
const PEER_PREFIX: &str = "request-peers/";
/// How often the row of this daemon is checked and the rows of the others are read.
const PEER_LOOP_INTERVAL: Duration = Duration::from_secs(1);
/// How often the row of this daemon is written if its content did not change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(30);
/// A daemon whose row was unchanged for this long is treated as terminated.
const PEER_ROW_TTL: Duration = Duration::from_secs(90);
/// The most rows read in one scan.
const MAX_PEER_ROWS: usize = 200;

/// What a daemon publishes about itself: where its listener for callers is, and the services that
/// it can serve. The row is encoded with postcard, so that the order of the fields is its format.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct PeerRecord {
    address: SocketAddr,
    services: Vec<ServiceName>,
}

/// A peer, with the version of its row and the time since which it is unchanged.
struct KnownPeer {
    record: PeerRecord,
    version: RowVersion,
    unchanged_since: Duration,
}

/// The known peers, and what this daemon last published and when.
struct DirectoryState {
    peers: IndexMap<RowKey, KnownPeer>,
    published: Option<(PeerRecord, Duration)>,
    rng: StdRng,
}

/// Which daemon can serve which service, according to rows that the daemons write about themselves.
///
/// The rows may be outdated: a peer that terminated refuses the connection, and one that lost its
/// slots reports that it did not run the request.
pub(crate) struct PeerDirectory {
    table: Arc<dyn TableService>,
    state: Mutex<DirectoryState>,
}

impl PeerDirectory {
    /// Creates a directory without peers.
    pub(crate) fn new(table: Arc<dyn TableService>) -> Self {
        Self {
            table,
            state: Mutex::new(DirectoryState {
                peers: IndexMap::new(),
                published: None,
                rng: rand::make_rng(),
            }),
        }
    }

    /// Returns a random daemon that has slots of a service, except those in `avoid`.
    pub(crate) fn pick_peer(
        &self,
        service: &ServiceName,
        avoid: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let mut state = self.lock();
        let is_candidate = |peer: &&KnownPeer| {
            peer.record.services.contains(service) && !avoid.contains(&peer.record.address)
        };
        let candidates: Vec<_> = state.peers.values().filter(is_candidate).collect();
        let candidates: Vec<_> = candidates.iter().map(|peer| peer.record.address).collect();
        if candidates.is_empty() {
            return None;
        }
        let index = state.rng.random_range(0..candidates.len());
        candidates.get(index).copied()
    }

    /// Deletes the row of this daemon.
    pub(crate) async fn withdraw(&self) {
        let Some((record, _)) = self.lock().published.take() else {
            return;
        };
        let change = RowChange::delete(peer_row(record.address), RowExpectation::Any);
        let write = self.new_write_id();
        // Best effort: if the row remains, other daemons only get refused connections.
        self.table.commit(write, vec![change]).await.ok();
    }

    /// Writes the row of this daemon if it changed or a heartbeat is due.
    async fn publish(&self, record: PeerRecord, now: Duration) -> Result<(), TableError> {
        let published = self.lock().published.clone();
        if published.is_some_and(|(last, at)| last == record && now < at + HEARTBEAT_INTERVAL) {
            return Ok(());
        }
        let value = postcard::to_allocvec(&record).unwrap_or_default();
        let change = RowChange::put(peer_row(record.address), RowExpectation::Any, value);
        let write = self.new_write_id();
        self.table.commit(write, vec![change]).await?;
        self.lock().published = Some((record, now));
        Ok(())
    }

    /// Reads the rows of the other daemons.
    async fn scan_peers(
        &self,
        own_address: Option<SocketAddr>,
        now: Duration,
    ) -> Result<(), TableError> {
        let prefix = RowKey::from(PEER_PREFIX);
        let rows = self.table.scan(&prefix, None, MAX_PEER_ROWS).await?;
        let mut state = self.lock();
        let mut previous = std::mem::take(&mut state.peers);
        for row in rows {
            let known = previous.swap_remove(&row.key);
            let key = row.key.clone();
            if let Some(peer) = updated_peer(row, known, now)
                && Some(peer.record.address) != own_address
            {
                state.peers.insert(key, peer);
            }
        }
        Ok(())
    }

    fn new_write_id(&self) -> WriteId {
        WriteId::new(&mut self.lock().rng)
    }

    fn lock(&self) -> MutexGuard<'_, DirectoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn peer_row(address: SocketAddr) -> RowKey {
    RowKey::from(format!("{PEER_PREFIX}{address}"))
}

/// Returns the peer of a row, or `None` if the row is invalid or unchanged for too long.
fn updated_peer(row: TableRow, known: Option<KnownPeer>, now: Duration) -> Option<KnownPeer> {
    let unchanged_since = known
        .filter(|known| known.version == row.version)
        .map_or(now, |known| known.unchanged_since);
    let peer = KnownPeer {
        record: postcard::from_bytes(&row.value).ok()?,
        version: row.version,
        unchanged_since,
    };
    (now < unchanged_since + PEER_ROW_TTL).then_some(peer)
}

/// Publishes for which services this daemon has slots, and reads the rows of the others while it
/// has none of some service. Without the table, the last rows read are used.
pub(crate) async fn run_peer_directory(shared: Arc<GatewayState>) {
    loop {
        sleep(PEER_LOOP_INTERVAL).await;
        let now = shared.clock.monotonic();
        let own_address = shared.settings.peer_address;
        let (serving, not_serving): (Vec<_>, Vec<_>) = shared
            .pools()
            .into_iter()
            .partition(|pool| pool.can_serve());
        let services = serving.iter().map(|pool| pool.service.clone()).collect();
        if let Some(address) = own_address {
            let record = PeerRecord { address, services };
            // Retried in the next iteration.
            shared.peers.publish(record, now).await.ok();
        }
        if !not_serving.is_empty() {
            shared.peers.scan_peers(own_address, now).await.ok();
        }
    }
}

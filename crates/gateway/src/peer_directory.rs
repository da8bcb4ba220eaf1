//! Which daemon can answer for which service.

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

const PEER_PREFIX: &str = "request-peers/";
const PEER_LOOP_INTERVAL: Duration = Duration::from_secs(1);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(30);
/// A daemon whose row did not change for this long is taken for gone.
const PEER_ROW_TTL: Duration = Duration::from_secs(90);
const MAX_PEER_ROWS: usize = 200;

/// What a daemon tells the others of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct PeerRecord {
    address: SocketAddr,
    services: Vec<ServiceName>,
}

struct KnownPeer {
    record: PeerRecord,
    version: RowVersion,
    unchanged_since: Duration,
}

struct DirectoryState {
    peers: IndexMap<RowKey, KnownPeer>,
    published: Option<(PeerRecord, Duration)>,
    rng: StdRng,
}

/// Which daemon can answer for which service, by rows that the daemons write of themselves.
///
/// What it says may be old: a peer that is gone refuses the connection, and one that lost its slots
/// says that it did not run the request.
pub(crate) struct PeerDirectory {
    table: Arc<dyn TableService>,
    state: Mutex<DirectoryState>,
}

impl PeerDirectory {
    /// Creates a directory that knows nobody.
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

    /// Picks a daemon that has slots of a service, other than those to avoid.
    pub(crate) fn pick(&self, service: &ServiceName, avoid: &[SocketAddr]) -> Option<SocketAddr> {
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

    /// Withdraws what this daemon told of itself.
    pub(crate) async fn withdraw(&self) {
        let Some((record, _)) = self.lock().published.take() else {
            return;
        };
        let change = RowChange::delete(peer_row(record.address), RowExpectation::Any);
        let write = self.new_write_id();
        // Left there, the row only leads others to a closed door.
        self.table.commit(write, vec![change]).await.ok();
    }

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

/// Tells the other daemons for which services this one has slots, and looks for theirs while it has
/// none of some service. Without the table what was last known is gone by.
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
            // Told again at the next turn.
            shared.peers.publish(record, now).await.ok();
        }
        if !not_serving.is_empty() {
            shared.peers.scan_peers(own_address, now).await.ok();
        }
    }
}

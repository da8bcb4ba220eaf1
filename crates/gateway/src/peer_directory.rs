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

use crate::gateway_shared::GatewayShared;

const PEER_PREFIX: &str = "request-peers/";
const LOOK_EVERY: Duration = Duration::from_secs(1);
const BEAT_EVERY: Duration = Duration::from_secs(30);
/// A daemon whose row did not change for this long is taken for gone.
const MOST_SILENCE: Duration = Duration::from_secs(90);
const ROWS_AT_ONCE: usize = 200;

/// What a daemon tells the others of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct PeerRecord {
    address: SocketAddr,
    services: Vec<ServiceName>,
}

struct SeenPeer {
    record: PeerRecord,
    version: RowVersion,
    since: Duration,
}

struct DirectoryState {
    peers: IndexMap<RowKey, SeenPeer>,
    told: Option<(PeerRecord, Duration)>,
    source: StdRng,
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
                told: None,
                source: rand::make_rng(),
            }),
        }
    }

    /// Picks a daemon that has slots of a service, other than those to avoid.
    pub(crate) fn pick(&self, service: &ServiceName, avoid: &[SocketAddr]) -> Option<SocketAddr> {
        let mut state = self.lock();
        let fits = |peer: &&SeenPeer| {
            peer.record.services.contains(service) && !avoid.contains(&peer.record.address)
        };
        let fitting: Vec<_> = state.peers.values().filter(fits).collect();
        let fitting: Vec<_> = fitting.iter().map(|peer| peer.record.address).collect();
        if fitting.is_empty() {
            return None;
        }
        let place = state.source.random_range(0..fitting.len());
        fitting.get(place).copied()
    }

    /// Withdraws what this daemon told of itself.
    pub(crate) async fn withdraw(&self) {
        let Some((record, _)) = self.lock().told.take() else {
            return;
        };
        let change = RowChange::delete(row_of(record.address), RowExpectation::Any);
        let write = self.draw();
        // Left there, the row only leads others to a closed door.
        self.table.commit(write, vec![change]).await.ok();
    }

    async fn tell(&self, record: PeerRecord, now: Duration) -> Result<(), TableError> {
        let told = self.lock().told.clone();
        if told.is_some_and(|(own, at)| own == record && now < at + BEAT_EVERY) {
            return Ok(());
        }
        let value = postcard::to_allocvec(&record).unwrap_or_default();
        let change = RowChange::put(row_of(record.address), RowExpectation::Any, value);
        let write = self.draw();
        self.table.commit(write, vec![change]).await?;
        self.lock().told = Some((record, now));
        Ok(())
    }

    async fn look(&self, own: Option<SocketAddr>, now: Duration) -> Result<(), TableError> {
        let prefix = RowKey::from(PEER_PREFIX);
        let rows = self.table.scan(&prefix, None, ROWS_AT_ONCE).await?;
        let mut state = self.lock();
        let mut earlier = std::mem::take(&mut state.peers);
        for row in rows {
            let known = earlier.swap_remove(&row.key);
            let key = row.key.clone();
            if let Some(peer) = see(row, known, now)
                && Some(peer.record.address) != own
            {
                state.peers.insert(key, peer);
            }
        }
        Ok(())
    }

    fn draw(&self) -> WriteId {
        WriteId::new(&mut self.lock().source)
    }

    fn lock(&self) -> MutexGuard<'_, DirectoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn row_of(address: SocketAddr) -> RowKey {
    RowKey::from(format!("{PEER_PREFIX}{address}"))
}

fn see(row: TableRow, known: Option<SeenPeer>, now: Duration) -> Option<SeenPeer> {
    let since = known
        .filter(|known| known.version == row.version)
        .map_or(now, |known| known.since);
    let peer = SeenPeer {
        record: postcard::from_bytes(&row.value).ok()?,
        version: row.version,
        since,
    };
    (now < since + MOST_SILENCE).then_some(peer)
}

/// Tells the other daemons for which services this one has slots, and looks for theirs while it has
/// none of some service. Without the table what was last known is gone by.
pub(crate) async fn keep_directory(shared: Arc<GatewayShared>) {
    loop {
        sleep(LOOK_EVERY).await;
        let now = shared.clock.monotonic();
        let own = shared.settings.peer_address;
        let (able, unable): (Vec<_>, Vec<_>) =
            shared.pools().into_iter().partition(|pool| pool.serves());
        let services = able.iter().map(|pool| pool.service.clone()).collect();
        if let Some(address) = own {
            let record = PeerRecord { address, services };
            // Told again at the next turn.
            shared.peers.tell(record, now).await.ok();
        }
        if !unable.is_empty() {
            shared.peers.look(own, now).await.ok();
        }
    }
}

//! Removes idempotency keys whose retention has passed.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::ResourceId;
use jasminebend_ports::{
    RowChange,
    RowExpectation,
    RowKey,
    TableError,
    TableRow,
    WriteId, //
};
use rand::rngs::StdRng;
use spdlog::warn;
use tokio::time::sleep;

use crate::{
    gateway_state::GatewayState,
    key_record::KeyRecord,
    key_row::{
        INDEX_PREFIX,
        expiry_index_hour, //
    },
    key_store::KeyStore,
};

/// The daemon that holds this share sweeps.
const SWEEPER_SHARE: ResourceId = ResourceId::Slots(0);
/// The most rows deleted in one transaction.
const REMOVAL_BATCH_ROWS: usize = 50;
/// The pause between sweeps while more keys may be due.
const BUSY_SWEEP_DELAY: Duration = Duration::from_millis(200);

/// Removes idempotency keys whose retention has passed, until it is aborted. Only the daemon that
/// holds the first slot share does so, to limit the load on the table; two daemons at once would do
/// no harm.
pub(crate) async fn sweep_keys(shared: Arc<GatewayState>, store: Arc<KeyStore>) {
    let idle_pause = shared.settings.key_sweep_interval;
    let mut rng: StdRng = rand::make_rng();
    loop {
        let outcome = match shared.ownership.may_act(SWEEPER_SHARE) {
            Some(_) => sweep_once(&store, &mut rng).await,
            None => Ok(false),
        };
        let pause = match outcome {
            Ok(true) => BUSY_SWEEP_DELAY,
            Ok(false) => idle_pause,
            Err(error) => {
                warn!(
                    "[gateway] Old idempotency keys were not removed: {}.",
                    error
                );
                idle_pause
            }
        };
        sleep(pause).await;
    }
}

/// Removes the keys of one index row. Returns whether more may be due.
pub(crate) async fn sweep_once(store: &KeyStore, rng: &mut StdRng) -> Result<bool, TableError> {
    let now = store.hour_counter.advance(rng).await?;
    let prefix = RowKey::from(INDEX_PREFIX);
    let rows = store.table.scan(&prefix, None, 1).await?;
    let Some(index) = rows.into_iter().next() else {
        return Ok(false);
    };
    let due = expiry_index_hour(&index.key).is_some_and(|hour| hour < now);
    if !due {
        return Ok(false);
    }
    remove_listed(store, rng, &index).await?;
    Ok(true)
}

/// Removes the keys of an index row, and then the index row.
async fn remove_listed(
    store: &KeyStore,
    rng: &mut StdRng,
    index: &TableRow,
) -> Result<(), TableError> {
    let rows: Vec<RowKey> = postcard::from_bytes(&index.value).unwrap_or_default();
    let hour = expiry_index_hour(&index.key).unwrap_or_default();
    for part in rows.chunks(REMOVAL_BATCH_ROWS) {
        let mut changes = Vec::new();
        for row in part {
            changes.extend(removal_change(store, row, hour).await?);
        }
        if !changes.is_empty() {
            store.table.commit(WriteId::new(rng), changes).await?;
        }
    }
    let change = RowChange::delete(index.key.clone(), RowExpectation::Any);
    store.table.commit(WriteId::new(rng), vec![change]).await?;
    Ok(())
}

/// Returns the deletion of a row, unless the row expires later than its index row. It is
/// conditional on the version read: a key that was removed and reserved again in between must stay.
async fn removal_change(
    store: &KeyStore,
    row: &RowKey,
    hour: u64,
) -> Result<Option<RowChange>, TableError> {
    let Some(row) = store.table.read(row).await? else {
        return Ok(None);
    };
    let record = postcard::from_bytes::<KeyRecord>(&row.value);
    let newer = record.is_ok_and(|record| record.expiry_hour > hour);
    let expected = RowExpectation::Version(row.version);
    Ok((!newer).then(|| RowChange::delete(row.key, expected)))
}

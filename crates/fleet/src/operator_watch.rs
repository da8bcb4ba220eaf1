//! Watches the operator's configuration and requests.

use std::{
    rc::Rc,
    time::Duration, //
};

use serde::Serialize;

use crate::{
    LogEvent,
    OperatorChange,
    RowPage,
    StoreError,
    fleet_log::whole_millis,
    fleet_shared::{
        FleetShared,
        WATCH_WAIT, //
    },
    store_link::WatchedRows, //
};

#[derive(Serialize)]
struct OperatorLine {
    change: &'static str,
    what: String,
    store_version: u64,
    asked_ms_ago: u64,
}

/// Watches the operator's rows for as long as the daemon runs.
pub(crate) async fn follow_operator(shared: Rc<FleetShared>) {
    let mut after: Option<u64> = None;
    loop {
        let sent = shared.now();
        let store = shared.store.raw();
        let result = match after {
            None => shared.store.call(store.read_operator()).await,
            Some(after) => {
                let call = store.watch_operator(after, WATCH_WAIT);
                shared.store.watch(WatchedRows::Operator, call).await
            }
        };
        match result {
            Ok(page) => {
                let whole = after.is_none();
                after = Some(page.version);
                apply(&shared, page, whole, sent);
            }
            Err(StoreError::Forgotten) => after = None,
            Err(_) => shared.store.pause().await,
        }
    }
}

/// Applies a page whose call was sent at `sent`. A full read also removes closed domains and waves that it does not list.
fn apply(shared: &FleetShared, page: RowPage<OperatorChange>, whole: bool, sent: Duration) {
    if whole {
        let mut operator = shared.operator.borrow_mut();
        operator.closed.clear();
        operator.waves.clear();
    }
    let version = page.version;
    let changed = !page.items.is_empty() || whole;
    for change in page.items {
        apply_change(shared, change, version, sent);
    }
    shared.operator.borrow_mut().known_at = Some(shared.now());
    if changed {
        inform_seat(shared);
    }
}

fn apply_change(shared: &FleetShared, change: OperatorChange, version: u64, sent: Duration) {
    let (name, what) = match &change {
        OperatorChange::Configured(new) => ("configured", new.version.to_string()),
        OperatorChange::Closed(domain) => ("closed", domain.to_string()),
        OperatorChange::Reopened(domain) => ("reopened", domain.to_string()),
        OperatorChange::Wave(wave) => ("wave", wave.wave.to_string()),
        OperatorChange::WaveGone(wave) => ("wave_gone", wave.to_string()),
        OperatorChange::Unreadable(key) => ("unreadable", key.clone()),
    };
    shared.log.line(
        LogEvent::Operator,
        OperatorLine {
            change: name,
            what,
            store_version: version,
            asked_ms_ago: whole_millis(shared.now().saturating_sub(sent)),
        },
    );
    let mut operator = shared.operator.borrow_mut();
    match change {
        OperatorChange::Configured(new) => {
            let known = operator.configuration.as_ref();
            // Within one incarnation of the daemon the version never decreases.
            if known.is_none_or(|known| known.version <= new.version) {
                operator.configuration = Some(new);
            }
        }
        OperatorChange::Closed(domain) => drop(operator.closed.insert(domain)),
        OperatorChange::Reopened(domain) => drop(operator.closed.remove(&domain)),
        OperatorChange::Wave(wave) => drop(operator.waves.insert(wave.wave, wave)),
        OperatorChange::WaveGone(wave) => drop(operator.waves.shift_remove(&wave)),
        OperatorChange::Unreadable(_) => {}
    }
}

/// Passes the configuration and the closed domains to the dispatcher if this daemon is the owner.
pub(crate) fn inform_seat(shared: &FleetShared) {
    let Some(seat) = shared.seat() else {
        return;
    };
    let operator = shared.operator.borrow();
    let mut dispatcher = seat.dispatcher.borrow_mut();
    if let Some(configuration) = &operator.configuration {
        dispatcher.configure(configuration.clone());
    }
    dispatcher.close_domains(operator.closed.clone());
    seat.plan.notify_one();
}

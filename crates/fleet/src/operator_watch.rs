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
    monitored_store::WatchedRows,
    shared_state::{
        SharedState,
        WATCH_WAIT, //
    }, //
};

/// A change of the operator's rows.
#[derive(Serialize)]
struct OperatorLine {
    change: &'static str,
    what: String,
    store_version: u64,
    asked_ms_ago: u64,
}

/// Watches the operator's rows for as long as the daemon runs.
pub(crate) async fn watch_operator(shared: Rc<SharedState>) {
    let mut after: Option<u64> = None;
    loop {
        let sent = shared.now();
        let store = shared.store.port();
        let result = match after {
            None => shared.store.call(store.read_operator()).await,
            Some(after) => {
                let call = store.watch_operator(after, WATCH_WAIT);
                shared.store.watch(WatchedRows::Operator, call).await
            }
        };
        match result {
            Ok(page) => {
                let is_full_read = after.is_none();
                after = Some(page.version);
                apply_page(&shared, page, is_full_read, sent);
            }
            Err(StoreError::HistoryDropped) => after = None,
            Err(_) => shared.store.wait_to_retry().await,
        }
    }
}

/// Applies a page whose call was sent at `sent`. A full read also removes closed domains and waves that it does not
/// list.
fn apply_page(
    shared: &SharedState,
    page: RowPage<OperatorChange>,
    is_full_read: bool,
    sent: Duration,
) {
    if is_full_read {
        let mut operator = shared.operator.borrow_mut();
        operator.closed.clear();
        operator.waves.clear();
    }
    let version = page.version;
    let changed = !page.items.is_empty() || is_full_read;
    for change in page.items {
        apply_change(shared, change, version, sent);
    }
    shared.operator.borrow_mut().confirmed_at = Some(shared.now());
    if changed {
        configure_dispatcher(shared);
    }
}

fn apply_change(shared: &SharedState, change: OperatorChange, version: u64, sent: Duration) {
    let (name, what) = match &change {
        OperatorChange::Configured(new) => ("configured", new.version.to_string()),
        OperatorChange::DomainClosed(domain) => ("closed", domain.to_string()),
        OperatorChange::DomainReopened(domain) => ("reopened", domain.to_string()),
        OperatorChange::WaveRequested(wave) => ("wave", wave.number.to_string()),
        OperatorChange::WaveWithdrawn(wave) => ("wave_gone", wave.to_string()),
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
        OperatorChange::DomainClosed(domain) => drop(operator.closed.insert(domain)),
        OperatorChange::DomainReopened(domain) => drop(operator.closed.remove(&domain)),
        OperatorChange::WaveRequested(wave) => drop(operator.waves.insert(wave.number, wave)),
        OperatorChange::WaveWithdrawn(wave) => drop(operator.waves.shift_remove(&wave)),
        OperatorChange::Unreadable(_) => {}
    }
}

/// Passes the configuration and the closed domains to the dispatcher if this daemon is the owner.
pub(crate) fn configure_dispatcher(shared: &SharedState) {
    let Some(term) = shared.term() else {
        return;
    };
    let operator = shared.operator.borrow();
    let mut dispatcher = term.dispatcher.borrow_mut();
    if let Some(configuration) = &operator.configuration {
        dispatcher.set_configuration(configuration.clone());
    }
    dispatcher.close_domains(operator.closed.clone());
    term.plan_wakeup.notify_one();
}

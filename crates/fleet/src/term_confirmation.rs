//! Confirms at intervals that this daemon is still the owner.

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::{
    task::JoinSet,
    time, //
};

use crate::{
    ProbeResult,
    StoreRow,
    StoreTable,
    member_watch::apply_owner_row,
    owner_term::OwnerTerm,
    shared_state::{
        OWNER_KEY,
        SHARD_PART,
        SharedState, //
    }, //
};

/// The interval between checks of the last confirmation's age.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The age at which a confirmation is renewed. Commits confirm the term too, so that a busy owner rarely reads its row.
const CONFIRMATION_RENEWAL_AGE: Duration = Duration::from_millis(600);
/// How long the store may take to answer before peers are asked.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// Confirms the term until it is over: by the owner's row, or, without the store, by more than half of the members,
/// this daemon included, that know no newer token.
pub(crate) async fn confirm_term(shared: Rc<SharedState>, term: Rc<OwnerTerm>) {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let sent = shared.now();
        if term.time_since_confirmation(sent) < CONFIRMATION_RENEWAL_AGE {
            continue;
        }
        let read = shared
            .store
            .read_all(StoreTable::Fleet, SHARD_PART, OWNER_KEY, None);
        match time::timeout(STORE_TIMEOUT, read).await {
            Ok(Ok((rows, _))) => check_owner_row(&shared, &term, &rows, sent),
            Ok(Err(_)) | Err(_) => confirm_by_peers(&shared, &term).await,
        }
    }
}

fn check_owner_row(shared: &SharedState, term: &OwnerTerm, rows: &[StoreRow], sent: Duration) {
    let owner = rows.iter().find(|row| row.key == OWNER_KEY);
    if owner.is_some_and(|row| row.version == term.guard.version) {
        term.confirm(sent);
        return;
    }
    apply_owner_row(shared, owner);
    term.end();
}

async fn confirm_by_peers(shared: &Rc<SharedState>, term: &OwnerTerm) {
    let sent = shared.now();
    let token = term.token();
    let mut probes = JoinSet::new();
    for address in shared.peer_addresses() {
        let peers = shared.peers.clone();
        probes.spawn_local(async move { peers.probe(&address, token).await });
    }
    let mut confirming = 1;
    while let Some(probe) = probes.join_next().await {
        let Ok(ProbeResult::Answered(health)) = probe else {
            continue;
        };
        shared.observe_token(health.known_token);
        confirming += usize::from(health.known_token == token);
    }
    let members = shared.members.borrow().len();
    if confirming * 2 > members && !term.is_over() {
        term.confirm(sent);
    }
}

//! Confirms at intervals that this daemon is still the owner.

use std::{
    collections::HashSet,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    task::JoinSet,
    time, //
};

use crate::{
    OwnerQuorum,
    ProbeResult,
    StoreError,
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
/// The age of the store's last confirmation from which workers are asked more often, as they may soon have to confirm the term.
const STORELESS_AGE: Duration = Duration::from_millis(900);
/// How long the store may take to answer before peers are asked.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// Confirms the term until it is over: by the owner's row, or, without the store, by the members that know no newer token.
pub(crate) async fn confirm_term(shared: Rc<SharedState>, term: Rc<OwnerTerm>) {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let is_storeless = term.time_since_store_confirmation(shared.now()) >= STORELESS_AGE;
        term.dispatcher.borrow_mut().set_storeless(is_storeless);
        if term.time_since_confirmation(shared.now()) < CONFIRMATION_RENEWAL_AGE {
            continue;
        }
        match time::timeout(STORE_TIMEOUT, confirm_by_store(&shared, &term)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => confirm_by_members(&shared, &term).await,
        }
    }
}

/// Confirms the term by the store before jobs are added, unless it was confirmed so a short time ago: the members' word alone
/// must not let an owner start jobs that were accepted long after it was replaced.
///
/// # Errors
///
/// Any [`StoreError`] of a read that was necessary and failed.
pub(crate) async fn confirm_before_adding(
    shared: &SharedState,
    term: &OwnerTerm,
) -> Result<(), StoreError> {
    if term.time_since_store_confirmation(shared.now()) < shared.settings.dispatch.unconfirmed_grace
    {
        return Ok(());
    }
    confirm_by_store(shared, term).await
}

/// Confirms the term by the owner's row, or ends it if the row names another owner.
async fn confirm_by_store(shared: &SharedState, term: &OwnerTerm) -> Result<(), StoreError> {
    let sent = shared.now();
    let (rows, _) = shared
        .store
        .read_few(StoreTable::Fleet, SHARD_PART, OWNER_KEY, None)
        .await?;
    check_owner_row(shared, term, &rows, sent);
    Ok(())
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

/// Asks the members by whose word the owner may act. Each answer may be the one that suffices: a member that is gone leaves
/// its probe unanswered until it times out.
async fn confirm_by_members(shared: &Rc<SharedState>, term: &OwnerTerm) {
    let sent = shared.now();
    let token = term.token();
    let members = term.quorum.borrow().as_ref().map(OwnerQuorum::peers);
    let mut probes = JoinSet::new();
    for member in members.unwrap_or_default() {
        let peers = shared.peers.clone();
        probes.spawn_local(async move {
            let probe = peers.probe(&member.address, token).await;
            (member.node, probe)
        });
    }
    let grace = shared.settings.dispatch.unconfirmed_grace;
    let mut confirming = HashSet::new();
    term.confirm_by_members(&confirming, sent, grace);
    while let Some(probe) = probes.join_next().await {
        let Ok((node, ProbeResult::Answered(health))) = probe else {
            continue;
        };
        shared.observe_token(health.known_token);
        if health.known_token == token && !term.is_over() {
            confirming.insert(node);
            term.confirm_by_members(&confirming, sent, grace);
        }
    }
}

//! Watches the owner and the members, and takes over the ownership when this daemon should.

use std::{
    collections::HashSet,
    rc::Rc,
    time::Duration, //
};

use serde::Serialize;
use tokio::time;

use crate::{
    LogEvent,
    MemberRecord,
    OwnerRecord,
    ProbeResult,
    RowCommit,
    StoreError,
    StoreRow,
    StoreTable,
    monitored_store::WatchedRows,
    ownership_challenge::OwnershipChallenge,
    ownership_takeover::take_over,
    shared_state::{
        MEMBER_SET_KEY,
        MEMBERS_PART,
        OWNER_KEY,
        SHARD_PART,
        SharedState,
        WATCH_WAIT, //
    }, //
};

/// The pause between two probes of the owner.
const PROBE_INTERVAL: Duration = Duration::from_millis(350);
/// The pause between two probes while the owner may have to be replaced.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(60);

/// A new version of the owner's row was read.
#[derive(Serialize)]
struct OwnerLine<'a> {
    change: &'static str,
    owner: &'a str,
    token: u64,
}

/// Enrolls this daemon as a member, then watches the owner and the members for as long as the daemon runs.
pub(crate) async fn watch_members(shared: Rc<SharedState>) {
    enroll(&shared).await;
    let mut after: Option<u64> = None;
    loop {
        let result = match after {
            None => read_all_rows(&shared).await,
            Some(version) => watch_once(&shared, version).await,
        };
        match result {
            Ok(version) => {
                after = Some(version);
                if !is_enrolled(&shared) {
                    enroll(&shared).await;
                }
            }
            Err(StoreError::HistoryDropped) => after = None,
            Err(_) => shared.store.wait_to_retry().await,
        }
    }
}

/// Probes the owner, and takes over the ownership when this daemon should, for as long as the daemon runs.
pub(crate) async fn run_succession(shared: Rc<SharedState>) {
    let mut challenge = OwnershipChallenge::default();
    loop {
        probe_owner(&shared).await;
        if !should_claim(&shared) {
            challenge = OwnershipChallenge::default();
        } else if let Some(reader) = challenge.reader_for_claim(&shared).await {
            take_over(&shared, reader).await;
        }
        let pause = match shared.succession.borrow().may_need_replacement() {
            true => SUSPECT_PROBE_INTERVAL,
            false => PROBE_INTERVAL,
        };
        time::sleep(pause).await;
    }
}

fn should_claim(shared: &SharedState) -> bool {
    shared.succession.borrow().should_claim(shared.now())
        && shared.configuration().is_some()
        && shared.term().is_none()
        && !shared.is_stopping()
        && !shared.store.is_lost()
}

fn own_record(shared: &SharedState) -> MemberRecord {
    MemberRecord {
        node: shared.settings.node.clone(),
        incarnation: shared.incarnation,
        address: shared.settings.peer_address.to_string(),
        cpu_millis: shared.settings.cpu_millis,
    }
}

/// Returns whether this daemon has a row that no former incarnation wrote: the store may apply such a write late.
fn is_enrolled(shared: &SharedState) -> bool {
    let members = shared.members.borrow();
    let row = members.get(&shared.settings.node);
    row.is_some_and(|row| row.incarnation >= shared.incarnation)
}

/// Writes this daemon's member row, with retries until the store accepts it.
async fn enroll(shared: &SharedState) {
    let member = own_record(shared);
    let Ok(value) = postcard::to_stdvec(&member) else {
        return;
    };
    loop {
        let row = StoreRow::new(
            StoreTable::Fleet,
            MEMBERS_PART,
            member.node.clone(),
            value.clone(),
        );
        let commit = RowCommit {
            guards: Vec::new(),
            writes: vec![row],
        };
        // The write is idempotent, so that an unknown outcome can be retried.
        if shared.store.commit(commit).await.is_ok() {
            return;
        }
        shared.store.wait_to_retry().await;
    }
}

async fn read_all_rows(shared: &SharedState) -> Result<u64, StoreError> {
    let (members, version) = shared
        .store
        .read_all(StoreTable::Fleet, MEMBERS_PART, "", None)
        .await?;
    let (rows, _) = shared
        .store
        .read_all(StoreTable::Fleet, SHARD_PART, MEMBER_SET_KEY, None)
        .await?;
    apply_member_set_row(shared, rows.iter().find(|row| row.key == MEMBER_SET_KEY));
    shared.members.borrow_mut().clear();
    for row in &members {
        apply_member_row(shared, row);
    }
    update_succession(shared);
    let owner = rows.iter().find(|row| row.key == OWNER_KEY);
    apply_owner_row(shared, owner);
    Ok(version)
}

async fn watch_once(shared: &SharedState, after: u64) -> Result<u64, StoreError> {
    let store = &shared.store;
    let call = store.port().watch(StoreTable::Fleet, after, WATCH_WAIT);
    let page = store.watch(WatchedRows::Members, call).await?;
    let has_changes = !page.items.is_empty();
    for change in page.items {
        match (change.part.as_str(), &change.row) {
            (MEMBERS_PART, Some(row)) => apply_member_row(shared, row),
            (MEMBERS_PART, None) => {
                shared.members.borrow_mut().shift_remove(&change.key);
            }
            (SHARD_PART, row) if change.key == OWNER_KEY => apply_owner_row(shared, row.as_ref()),
            (SHARD_PART, row) if change.key == MEMBER_SET_KEY => {
                apply_member_set_row(shared, row.as_ref());
            }
            _ => {}
        }
    }
    if has_changes {
        update_succession(shared);
    }
    Ok(page.version)
}

fn apply_member_row(shared: &SharedState, row: &StoreRow) {
    if row.value.is_empty() {
        shared.members.borrow_mut().shift_remove(&row.key);
        return;
    }
    // A row that a different release encoded is ignored.
    if let Ok(member) = postcard::from_bytes::<MemberRecord>(&row.value) {
        let mut members = shared.members.borrow_mut();
        members.insert(member.node.clone(), member);
    }
}

fn apply_member_set_row(shared: &SharedState, row: Option<&StoreRow>) {
    // A row that a different release encoded is ignored.
    if let Some(Ok(set)) = row.map(|row| postcard::from_bytes(&row.value)) {
        *shared.member_set.borrow_mut() = set;
    }
}

/// Passes the daemons that rank for the succession: those in the set of members, as members that are gone leave it soon, and
/// all that have enrolled where there is none.
fn update_succession(shared: &SharedState) {
    let set = shared.member_set.borrow();
    let counted: HashSet<&str> = set.members.iter().map(|member| &*member.node).collect();
    let enrolled = shared.members.borrow();
    let ranks = |member: &&MemberRecord| {
        let is_self = member.node == shared.settings.node;
        is_self || counted.is_empty() || counted.contains(&*member.node)
    };
    let ranked = enrolled.values().filter(ranks).cloned().collect();
    shared.succession.borrow_mut().set_members(ranked);
}

/// Applies the owner's row if it is not older than the known one; `None` if there is no row.
pub(crate) fn apply_owner_row(shared: &SharedState, row: Option<&StoreRow>) {
    let version = row.map_or(0, |row| row.version);
    if version < shared.owner_version.get() {
        return;
    }
    let owner = row.and_then(|row| postcard::from_bytes::<OwnerRecord>(&row.value).ok());
    shared.owner_version.set(version);
    let now = shared.now();
    if let Some(owner) = &owner {
        let change = if owner.vacant { "vacant" } else { "owned" };
        shared.log.line(
            LogEvent::Owner,
            OwnerLine {
                change,
                owner: &owner.node,
                token: owner.token,
            },
        );
        if owner.node != shared.settings.node || owner.incarnation != shared.incarnation {
            shared.observe_token(owner.token);
        }
        shared
            .highest_token
            .set(shared.highest_token.get().max(owner.token));
    }
    shared.succession.borrow_mut().set_owner(owner, now);
}

async fn probe_owner(shared: &SharedState) {
    let Some(address) = shared.owner_address() else {
        return;
    };
    let token = shared.highest_token.get();
    let sent = shared.now();
    let probe = shared.peers.probe(&address, token).await;
    if shared.owner_address().as_deref() != Some(address.as_str()) {
        return;
    }
    if let ProbeResult::Answered(health) = probe
        && let Some(acting) = health.acting
    {
        shared.observe_token(acting);
    }
    let now = shared.now();
    let mut succession = shared.succession.borrow_mut();
    succession.set_store_available_for(shared.store.available_for());
    succession.set_store_regained_at(shared.store.regained_at());
    succession.record_probe(probe, sent, now);
}

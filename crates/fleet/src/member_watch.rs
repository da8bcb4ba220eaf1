//! Watches the owner and the members, and takes over the ownership when this daemon should.

use std::{
    rc::Rc,
    time::Duration, //
};

use serde::Serialize;
use tokio::time;

use crate::{
    FleetRow,
    FleetTable,
    LogEvent,
    MemberRecord,
    OwnerProbe,
    OwnerRecord,
    RowCommit,
    StoreError,
    fleet_shared::{
        FleetShared,
        MEMBERS_PART,
        OWNER_KEY,
        SHARD_PART,
        WATCH_WAIT, //
    },
    owner_work::take_over,
    store_link::WatchedRows, //
};

/// The pause between two probes of the owner.
const PROBE_EVERY: Duration = Duration::from_millis(350);
/// The pause between two probes while the owner may have to be replaced.
const DOUBT_EVERY: Duration = Duration::from_millis(60);

#[derive(Serialize)]
struct OwnerLine<'a> {
    change: &'static str,
    owner: &'a str,
    token: u64,
}

/// Enrolls this daemon as a member, then watches the owner and the members for as long as the daemon runs.
pub(crate) async fn follow_members(shared: Rc<FleetShared>) {
    enroll(&shared).await;
    let mut after: Option<u64> = None;
    loop {
        let result = match after {
            None => read_whole(&shared).await,
            Some(version) => watch(&shared, version).await,
        };
        match result {
            Ok(version) => {
                after = Some(version);
                if !shared.members.borrow().contains_key(&shared.settings.node) {
                    enroll(&shared).await;
                }
            }
            Err(StoreError::Forgotten) => after = None,
            Err(_) => shared.store.pause().await,
        }
    }
}

/// Probes the owner, and takes over the ownership when this daemon should, for as long as the daemon runs.
pub(crate) async fn guard_succession(shared: Rc<FleetShared>) {
    loop {
        probe_owner(&shared).await;
        let now = shared.now();
        let claims = shared.succession.borrow().should_claim(now)
            && shared.configuration().is_some()
            && shared.seat().is_none()
            && !shared.is_stopping()
            && !shared.store.is_lost();
        if claims {
            take_over(&shared).await;
        }
        let pause = match shared.succession.borrow().is_in_doubt() {
            true => DOUBT_EVERY,
            false => PROBE_EVERY,
        };
        time::sleep(pause).await;
    }
}

/// Writes this daemon's member row, with retries until the store accepts it.
async fn enroll(shared: &FleetShared) {
    let member = MemberRecord {
        node: shared.settings.node.clone(),
        incarnation: shared.incarnation,
        address: shared.settings.peers.to_string(),
        cpu_millis: shared.settings.cpu_millis,
    };
    let Ok(value) = postcard::to_stdvec(&member) else {
        return;
    };
    loop {
        let row = FleetRow::new(
            FleetTable::Fleet,
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
        shared.store.pause().await;
    }
}

async fn read_whole(shared: &FleetShared) -> Result<u64, StoreError> {
    let (members, version) = shared
        .store
        .read_all(FleetTable::Fleet, MEMBERS_PART, "", None)
        .await?;
    let (rows, _) = shared
        .store
        .read_all(FleetTable::Fleet, SHARD_PART, OWNER_KEY, None)
        .await?;
    shared.members.borrow_mut().clear();
    for row in &members {
        note_member(shared, row);
    }
    let owner = rows.iter().find(|row| row.key == OWNER_KEY);
    note_owner(shared, owner);
    Ok(version)
}

async fn watch(shared: &FleetShared, after: u64) -> Result<u64, StoreError> {
    let store = &shared.store;
    let call = store.raw().watch(FleetTable::Fleet, after, WATCH_WAIT);
    let page = store.watch(WatchedRows::Members, call).await?;
    for change in page.items {
        match (change.part.as_str(), &change.row) {
            (MEMBERS_PART, Some(row)) => note_member(shared, row),
            (MEMBERS_PART, None) => {
                shared.members.borrow_mut().shift_remove(&change.key);
            }
            (SHARD_PART, row) if change.key == OWNER_KEY => note_owner(shared, row.as_ref()),
            _ => {}
        }
    }
    Ok(page.version)
}

fn note_member(shared: &FleetShared, row: &FleetRow) {
    if row.value.is_empty() {
        shared.members.borrow_mut().shift_remove(&row.key);
        tell_succession(shared);
        return;
    }
    // A row that a different release encoded is ignored.
    if let Ok(member) = postcard::from_bytes::<MemberRecord>(&row.value) {
        let mut members = shared.members.borrow_mut();
        members.insert(member.node.clone(), member);
        drop(members);
        tell_succession(shared);
    }
}

fn tell_succession(shared: &FleetShared) {
    let members = shared.members.borrow().values().cloned().collect();
    shared.succession.borrow_mut().note_members(members);
}

/// Applies the owner's row if it is not older than the known one; `None` if there is no row.
pub(crate) fn note_owner(shared: &FleetShared, row: Option<&FleetRow>) {
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
            shared.note_token(owner.token);
        }
        shared
            .highest_token
            .set(shared.highest_token.get().max(owner.token));
    }
    shared.succession.borrow_mut().note_owner(owner, now);
}

async fn probe_owner(shared: &FleetShared) {
    let Some(address) = shared.owner_address() else {
        return;
    };
    let token = shared.highest_token.get();
    let sent = shared.now();
    let probe = shared.peers.probe(&address, token).await;
    if shared.owner_address().as_deref() != Some(address.as_str()) {
        return;
    }
    if let OwnerProbe::Answered(health) = probe
        && let Some(acting) = health.acting
    {
        shared.note_token(acting);
    }
    let now = shared.now();
    let mut succession = shared.succession.borrow_mut();
    succession.note_store(shared.store.with());
    succession.note_probe(probe, sent, now);
}

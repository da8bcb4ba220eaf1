//! Removes members that have not answered for long.

use std::{
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use serde::Serialize;
use tokio::{
    task::JoinSet,
    time, //
};

use crate::{
    CommitOutcome,
    LogEvent,
    MemberRecord,
    ProbeResult,
    RowCommit,
    StoreRow,
    StoreTable,
    owner_term::OwnerTerm,
    shared_state::{
        MEMBERS_PART,
        SharedState, //
    }, //
};

/// The interval at which the owner probes all members.
const PROBE_INTERVAL: Duration = Duration::from_secs(30);
/// How long a member must have left every probe unanswered to be removed. A daemon that is back enrolls again.
const MEMBER_EXPIRY_TIME: Duration = Duration::from_secs(300);

/// A member was removed.
#[derive(Serialize)]
struct ExpiryLine<'a> {
    change: &'static str,
    member: &'a str,
    members: usize,
}

/// Removes members that have not answered for long, until the term is over. Without the store the ownership depends on
/// a majority of the members, so that daemons that will not return must not be counted forever. A member is removed
/// only while a majority answers.
pub(crate) async fn expire_members(shared: Rc<SharedState>, term: Rc<OwnerTerm>) {
    let mut silent_since: HashMap<String, Duration> = HashMap::new();
    while !term.is_over() {
        time::sleep(PROBE_INTERVAL).await;
        let silent = find_silent_members(&shared, term.token()).await;
        let now = shared.now();
        silent_since.retain(|node, _| silent.iter().any(|member| member.node == *node));
        let members = shared.members.borrow().len();
        let has_majority = members.saturating_sub(silent.len()) * 2 > members;
        for member in &silent {
            let since = *silent_since.entry(member.node.clone()).or_insert(now);
            let is_expired = now >= since + MEMBER_EXPIRY_TIME;
            if is_expired && has_majority && shared.may_send_orders(&term) {
                remove_member(&shared, &term, member).await;
            }
        }
    }
}

async fn find_silent_members(shared: &SharedState, token: u64) -> Vec<MemberRecord> {
    let members: Vec<MemberRecord> = shared.members.borrow().values().cloned().collect();
    let mut probes = JoinSet::new();
    for member in members {
        if member.node == shared.settings.node {
            continue;
        }
        let peers = shared.peers.clone();
        probes.spawn_local(async move {
            let probe = peers.probe(&member.address, token).await;
            (!matches!(probe, ProbeResult::Answered(_))).then_some(member)
        });
    }
    probes.join_all().await.into_iter().flatten().collect()
}

/// Clears the member's row, unless the member has enrolled again.
async fn remove_member(shared: &SharedState, term: &OwnerTerm, member: &MemberRecord) {
    let read = shared
        .store
        .read_few(StoreTable::Fleet, MEMBERS_PART, &member.node, None)
        .await;
    let Ok((rows, _)) = read else {
        return;
    };
    let Some(row) = rows.into_iter().find(|row| row.key == member.node) else {
        return;
    };
    if postcard::from_bytes::<MemberRecord>(&row.value)
        .ok()
        .as_ref()
        != Some(member)
    {
        return;
    }
    let empty = StoreRow::new(StoreTable::Fleet, MEMBERS_PART, row.key.clone(), Vec::new());
    let commit = RowCommit {
        guards: vec![term.guard.clone(), row.guard(row.version)],
        writes: vec![empty],
    };
    if let Ok(CommitOutcome::Applied(_)) = shared.store.commit(commit).await {
        shared.log.line(
            LogEvent::Owner,
            ExpiryLine {
                change: "member_expired",
                member: &member.node,
                members: shared.members.borrow().len(),
            },
        );
    }
}

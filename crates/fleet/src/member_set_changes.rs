//! Keeps the set of members up to date: admits daemons that answer, and removes members that are gone.

use std::{
    rc::Rc,
    time::Duration, //
};

use jasminebend_dispatch::Dispatcher;
use serde::Serialize;
use tokio::{
    task::JoinSet,
    time, //
};

use crate::{
    CommitOutcome,
    LogEvent,
    MemberRecord,
    MemberSet,
    OwnerQuorum,
    ProbeResult,
    RowCommit,
    SetMember,
    StoreError,
    StoreRow,
    StoreTable,
    WitnessWorker,
    member_silence::MemberSilence,
    member_watch::apply_owner_row,
    owner_term::OwnerTerm,
    shared_state::{
        MEMBER_SET_KEY,
        MEMBERS_PART,
        OWNER_KEY,
        SHARD_PART,
        SharedState, //
    }, //
};

/// The pause between two checks of the members.
const CHECK_PAUSE: Duration = Duration::from_millis(500);
/// The number of workers that witness the owner.
const WITNESS_COUNT: usize = 9;

/// The set of members was changed, or a member that is gone was removed.
#[derive(Serialize)]
struct MembersLine<'a> {
    change: &'static str,
    token: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    member: &'a str,
    members: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    witnesses: Option<usize>,
}

/// Reads the set of members after this daemon's claim, and returns it; of a store that holds none, all that have enrolled.
///
/// # Errors
///
/// Any [`StoreError`] of the reads.
pub(crate) async fn read_member_set(
    shared: &SharedState,
    term: &OwnerTerm,
) -> Result<MemberSet, StoreError> {
    let (rows, _) = shared
        .store
        .read_few(
            StoreTable::Fleet,
            SHARD_PART,
            MEMBER_SET_KEY,
            Some(OWNER_KEY),
        )
        .await?;
    let row = rows.iter().find(|row| row.key == MEMBER_SET_KEY);
    if let Some(row) = row {
        let set = postcard::from_bytes(&row.value).map_err(|_| StoreError::Malformed)?;
        term.member_set_version.set(row.version);
        return Ok(set);
    }
    Ok(MemberSet::of_enrolled(
        enrolled_members(shared),
        term.dispatcher.borrow().former_token(),
    ))
}

/// Returns all enrolled daemons, as this daemon's watch has shown them.
pub(crate) fn enrolled_members(shared: &SharedState) -> Vec<SetMember> {
    let members = shared.members.borrow();
    members.values().cloned().map(set_member).collect()
}

/// Keeps the set of members up to date until the term is over. Without the store the ownership depends on these members, so
/// that daemons that will not return must not be counted.
pub(crate) async fn maintain_member_set(shared: Rc<SharedState>, term: Rc<OwnerTerm>) {
    let mut silence = MemberSilence::default();
    while !term.is_over() {
        probe_members(&shared, &term, &mut silence).await;
        // A former owner that still acts counts by the set as it is.
        if term.is_settled(shared.now()) && !shared.store.is_lost() {
            update_member_set(&shared, &term, &silence).await;
        }
        if term.member_set_version.get() > 0 && shared.may_send_orders(&term) {
            remove_silent_members(&shared, &term, &silence).await;
        }
        time::sleep(CHECK_PAUSE).await;
    }
}

/// Probes the members that did not answer the last probe, and from time to time the others.
async fn probe_members(shared: &SharedState, term: &OwnerTerm, silence: &mut MemberSilence) {
    let sent = shared.now();
    let token = term.token();
    let members: Vec<MemberRecord> = shared.members.borrow().values().cloned().collect();
    silence.retain(|node| shared.members.borrow().contains_key(node));
    let mut probes = JoinSet::new();
    for member in members {
        if member.node == shared.settings.node || !silence.should_probe(&member, sent) {
            continue;
        }
        let peers = shared.peers.clone();
        probes.spawn_local(async move {
            let probe = peers.probe(&member.address, token).await;
            let answered = answers_as(&member, probe);
            (member, answered)
        });
    }
    for (member, answered) in probes.join_all().await {
        silence.record_probe(member, answered, sent);
    }
}

/// Returns whether a member itself has answered: another daemon may have its address by now.
fn answers_as(member: &MemberRecord, probe: ProbeResult) -> bool {
    matches!(probe, ProbeResult::Answered(health) if health.incarnation == member.incarnation)
}

/// Writes the set of members if it has changed. A commit without an answer is repeated until its outcome is known.
async fn update_member_set(shared: &SharedState, term: &OwnerTerm, silence: &MemberSilence) {
    let (pending, committed) = {
        let quorum = term.quorum.borrow();
        let Some(quorum) = quorum.as_ref() else {
            return;
        };
        (quorum.pending().cloned(), quorum.committed().clone())
    };
    let set = pending.unwrap_or_else(|| current_set(shared, term, &committed, silence));
    if set == committed {
        return;
    }
    let Ok(value) = postcard::to_stdvec(&set) else {
        return;
    };
    change_quorum(term, |quorum| quorum.begin_change(set.clone()));
    let row = StoreRow::new(StoreTable::Fleet, SHARD_PART, MEMBER_SET_KEY, value);
    let commit = RowCommit {
        guards: vec![term.guard.clone(), row.guard(term.member_set_version.get())],
        writes: vec![row],
    };
    match shared.store.commit(commit).await {
        Ok(CommitOutcome::Applied(version)) => finish_change(shared, term, set, version),
        Ok(CommitOutcome::Conflict(rows)) => handle_conflict(shared, term, &rows),
        Err(_) => {}
    }
}

/// Handles a guard that did not hold: another daemon has become the owner, or an earlier commit without an answer was
/// applied.
fn handle_conflict(shared: &SharedState, term: &OwnerTerm, rows: &[StoreRow]) {
    let owner = rows.iter().find(|row| row.key == OWNER_KEY);
    if owner.is_none_or(|row| row.version != term.guard.version) {
        apply_owner_row(shared, owner);
        term.end();
        return;
    }
    let row = rows.iter().find(|row| row.key == MEMBER_SET_KEY);
    let set = row.and_then(|row| postcard::from_bytes(&row.value).ok());
    if let (Some(row), Some(set)) = (row, set) {
        finish_change(shared, term, set, row.version);
    }
}

fn finish_change(shared: &SharedState, term: &OwnerTerm, set: MemberSet, version: u64) {
    term.member_set_version.set(version);
    shared.log.line(
        LogEvent::Owner,
        MembersLine {
            change: "member_set",
            token: term.token(),
            member: "",
            members: set.members.len(),
            witnesses: Some(set.witnesses.len()),
        },
    );
    change_quorum(term, |quorum| quorum.finish_change(set));
}

fn change_quorum(term: &OwnerTerm, change: impl FnOnce(&mut OwnerQuorum)) {
    if let Some(quorum) = term.quorum.borrow_mut().as_mut() {
        change(quorum);
    }
}

/// Returns the set as it should be: this daemon, the members that are not gone, and the enrolled daemons that answer.
fn current_set(
    shared: &SharedState,
    term: &OwnerTerm,
    committed: &MemberSet,
    silence: &MemberSilence,
) -> MemberSet {
    let now = shared.now();
    let enrolled = shared.members.borrow();
    let counts = |member: &&MemberRecord| {
        let is_self = member.node == shared.settings.node;
        let stays = committed.contains(&member.node) && !silence.is_expired(member, now);
        is_self || stays || silence.answers(member)
    };
    let mut members: Vec<SetMember> = enrolled
        .values()
        .filter(counts)
        .cloned()
        .map(set_member)
        .collect();
    members.sort_by(|left, right| left.node.cmp(&right.node));
    MemberSet {
        members,
        witnesses: choose_witnesses(&term.dispatcher.borrow(), &committed.witnesses, now),
        settled_token: term.token(),
    }
}

/// Returns the witnesses: those of `former` that still answer, and further workers that do, of each failure domain in turn.
fn choose_witnesses(
    dispatcher: &Dispatcher,
    former: &[WitnessWorker],
    now: Duration,
) -> Vec<WitnessWorker> {
    let mut candidates: Vec<WitnessWorker> = dispatcher
        .answering_workers(now)
        .map(|(id, incarnation)| WitnessWorker {
            id: id.to_string(),
            incarnation,
        })
        .collect();
    // The sort is stable: the candidates come from each domain in turn.
    candidates.sort_by_key(|candidate| !former.contains(candidate));
    candidates.truncate(WITNESS_COUNT);
    candidates.sort_by(|left, right| left.id.cmp(&right.id));
    candidates
}

fn set_member(record: MemberRecord) -> SetMember {
    SetMember {
        node: record.node,
        address: record.address,
    }
}

async fn remove_silent_members(shared: &SharedState, term: &OwnerTerm, silence: &MemberSilence) {
    let now = shared.now();
    let members: Vec<MemberRecord> = shared.members.borrow().values().cloned().collect();
    for member in members {
        if member.node != shared.settings.node && silence.is_row_expired(&member, now) {
            remove_member(shared, term, &member).await;
        }
    }
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
            MembersLine {
                change: "member_expired",
                token: term.token(),
                member: &member.node,
                members: shared.members.borrow().len(),
                witnesses: None,
            },
        );
    }
}

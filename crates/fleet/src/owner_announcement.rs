//! Announces a new owner to the other daemons, and finds out when all former owners have stopped.

use std::{
    rc::Rc,
    time::Duration, //
};

use serde::Serialize;
use tokio::{
    task::JoinSet,
    time, //
};

use crate::{
    FormerOwnerBound,
    LogEvent,
    OwnerQuorum,
    OwnerRecord,
    ProbeResult,
    StopEvidence,
    fleet_log::whole_millis,
    member_set_changes::{
        enrolled_members,
        read_member_set, //
    },
    owner_term::OwnerTerm,
    shared_state::SharedState, //
};

/// The pause before the announcement is repeated to daemons that did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How far the announcement of a new owner has got. `former_stopped_in_ms` is the time until all former owners have stopped,
/// as far as is known yet; `unanswered_workers` the number of workers that may still run a former owner's orders.
#[derive(Serialize)]
struct AnnouncementLine {
    change: &'static str,
    token: u64,
    knowing: usize,
    members: usize,
    took_ms: u64,
    former_stopped_in_ms: u64,
    unanswered_workers: usize,
}

/// All former owners have stopped, `took_ms` after the claim. `evidence` is what shows it.
#[derive(Serialize)]
struct StopLine<'a> {
    change: &'static str,
    token: u64,
    former: &'a str,
    evidence: StopEvidence,
    knowing: usize,
    members: usize,
    took_ms: u64,
    unanswered_workers: usize,
}

/// The owner that a new one replaces.
pub(crate) struct FormerOwner {
    /// Its row; `None` if there was none.
    pub(crate) record: Option<OwnerRecord>,
    /// Whether it certainly no longer acts.
    pub(crate) is_gone: bool,
}

impl FormerOwner {
    fn token(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.token)
    }

    fn node(&self) -> &str {
        self.record.as_ref().map_or("", |record| &record.node)
    }
}

/// Announces the new owner's token to the other daemons until half of the members know it, and finds out when all former owners
/// have stopped.
///
/// A former owner that has lost the store goes on acting while the members confirm that they know no newer token. Until it has
/// stopped, workers that have not reported yet may run its orders.
pub(crate) async fn announce_owner(
    shared: Rc<SharedState>,
    term: Rc<OwnerTerm>,
    former: FormerOwner,
) {
    let Some(mut bound) = read_bound(&shared, &term, &former).await else {
        return;
    };
    let mut is_logged = false;
    while !term.is_over() {
        if term.member_set_version.get() == 0 {
            bound.set_members(enrolled_members(&shared));
        }
        let was_known = bound.is_known_to_half();
        let is_telling = !was_known || !is_logged;
        let tell = async {
            if is_telling {
                tell_members(&shared, &term, &mut bound).await;
            }
        };
        let (probe, ()) = tokio::join!(probe_former_owner(&shared, &term, &former), tell);
        record_former_owner(&shared, &term, &former, probe, &mut bound);
        record_followers(&shared, &term, &mut bound);
        tighten_bound(&shared, &term, &bound);
        let is_known = bound.is_known_to_half();
        if is_known != was_known || !is_logged {
            is_logged = true;
            log_announcement(&shared, &term, &bound);
        }
        if term.is_settled(shared.now()) {
            log_stop(&shared, &term, &former, &bound);
            return;
        }
        time::sleep(RETRY_PAUSE).await;
    }
}

/// Reads by which members former owners count; returns `None` if the term is over before.
async fn read_bound(
    shared: &Rc<SharedState>,
    term: &OwnerTerm,
    former: &FormerOwner,
) -> Option<FormerOwnerBound> {
    while !term.is_over() {
        let Ok(set) = read_member_set(shared, term).await else {
            shared.store.wait_to_retry().await;
            continue;
        };
        let node = &shared.settings.node;
        *term.quorum.borrow_mut() = Some(OwnerQuorum::new(node, set.clone()));
        term.former_adds_until
            .set(term.claimed_at() + shared.settings.dispatch.unconfirmed_grace);
        let mut bound = FormerOwnerBound::new(term.claimed_at(), set);
        if term.member_set_version.get() == 0 {
            bound = bound.without_time_limits();
        }
        if former.is_gone {
            bound.record_owner_stopped(former.token(), term.claimed_at());
        }
        // It had ended before the claim, and so before any job that is not known yet was accepted.
        if bound.owner_stopped_at().is_some() {
            term.former_adds_until.set(Duration::ZERO);
        }
        bound.record_told(node, term.claimed_at());
        tighten_bound(shared, term, &bound);
        return Some(bound);
    }
    None
}

/// Sends the token to the daemons that do not know it yet, and waits until half of the members know it or all probes have
/// ended.
async fn tell_members(shared: &SharedState, term: &OwnerTerm, bound: &mut FormerOwnerBound) {
    let token = term.token();
    let mut probes = JoinSet::new();
    let members = bound
        .untold_members()
        .filter(|member| member.node != shared.settings.node);
    for member in members.cloned() {
        let peers = shared.peers.clone();
        probes.spawn_local(async move {
            let probe = peers.probe(&member.address, token).await;
            (member.node, probe)
        });
    }
    while let Some(probe) = probes.join_next().await {
        let Ok((node, probe)) = probe else {
            continue;
        };
        if let ProbeResult::Answered(health) = probe {
            shared.observe_token(health.known_token);
        }
        bound.record_member_probe(&node, probe, token, shared.now());
        if bound.is_known_to_half() {
            // The remaining probes still deliver the token.
            probes.detach_all();
            return;
        }
    }
}

/// Asks the former owner whether it knows its successor, unless all former owners have stopped already.
async fn probe_former_owner(
    shared: &SharedState,
    term: &OwnerTerm,
    former: &FormerOwner,
) -> ProbeResult {
    match &former.record {
        Some(owner) if !term.is_settled(shared.now()) => {
            shared.peers.probe(&owner.address, term.token()).await
        }
        _ => ProbeResult::Unanswered,
    }
}

/// Records the former owner's answer: one that knows its successor or has restarted has stopped.
fn record_former_owner(
    shared: &SharedState,
    term: &OwnerTerm,
    former: &FormerOwner,
    probe: ProbeResult,
    bound: &mut FormerOwnerBound,
) {
    let (Some(owner), ProbeResult::Answered(health)) = (&former.record, probe) else {
        return;
    };
    shared.observe_token(health.known_token);
    let now = shared.now();
    bound.record_owner_probe(owner, probe, term.token(), now);
    if bound.owner_stopped_at().is_some() {
        let adds_until = term.former_adds_until.get().min(now);
        term.former_adds_until.set(adds_until);
    }
}

/// Records the witnesses that have answered this owner.
fn record_followers(shared: &SharedState, term: &OwnerTerm, bound: &mut FormerOwnerBound) {
    let dispatcher = term.dispatcher.borrow();
    let answers = |id: &String| {
        let key = dispatcher.worker_key(id);
        key.is_some_and(|key| dispatcher.last_answer_at(key).is_some())
    };
    let witnesses = bound.set().witnesses.iter().map(|witness| &witness.id);
    let followers: Vec<String> = witnesses.filter(|id| answers(id)).cloned().collect();
    for id in followers {
        bound.record_follower(&id, shared.now());
    }
}

/// Applies what is known by now of when the former owners stop.
fn tighten_bound(shared: &SharedState, term: &OwnerTerm, bound: &FormerOwnerBound) {
    let until = bound.stopped_at(shared.settings.dispatch.unconfirmed_grace);
    if until < term.former_owners_until.get() {
        set_former_owners_until(term, until);
    }
}

fn set_former_owners_until(term: &OwnerTerm, until: Duration) {
    term.former_owners_until.set(until);
    let mut dispatcher = term.dispatcher.borrow_mut();
    let until = until.saturating_add(dispatcher.inherited_orders_lifetime(true));
    dispatcher.set_inherited_until(until);
    drop(dispatcher);
    term.plan_wakeup.notify_one();
}

fn log_announcement(shared: &SharedState, term: &OwnerTerm, bound: &FormerOwnerBound) {
    let now = shared.now();
    let is_known = bound.is_known_to_half();
    shared.log.line(
        LogEvent::Owner,
        AnnouncementLine {
            change: if is_known { "quorum" } else { "no_quorum" },
            token: term.token(),
            knowing: bound.told_count(),
            members: bound.set().members.len(),
            took_ms: whole_millis(now.saturating_sub(term.claimed_at())),
            former_stopped_in_ms: whole_millis(term.former_owners_until.get().saturating_sub(now)),
            unanswered_workers: term.dispatcher.borrow().inherited_worker_count(),
        },
    );
}

fn log_stop(
    shared: &SharedState,
    term: &OwnerTerm,
    former: &FormerOwner,
    bound: &FormerOwnerBound,
) {
    let grace = shared.settings.dispatch.unconfirmed_grace;
    let Some((stopped_at, evidence)) = bound.evidence(grace) else {
        return;
    };
    shared.log.line(
        LogEvent::Owner,
        StopLine {
            change: "former_stopped",
            token: term.token(),
            former: former.node(),
            evidence,
            knowing: bound.told_count(),
            members: bound.set().members.len(),
            took_ms: whole_millis(stopped_at.saturating_sub(term.claimed_at())),
            unanswered_workers: term.dispatcher.borrow().inherited_worker_count(),
        },
    );
}

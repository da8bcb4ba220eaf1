//! Announces a new owner to the other daemons.

use std::{
    collections::HashSet,
    rc::Rc,
    time::Duration, //
};

use serde::Serialize;
use tokio::{
    task::JoinSet,
    time, //
};

use crate::{
    LogEvent,
    ProbeResult,
    fleet_log::whole_millis,
    owner_term::OwnerTerm,
    shared_state::SharedState, //
};

/// The pause before the announcement is repeated to daemons that did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How far the announcement of a new owner has got.
#[derive(Serialize)]
struct AnnouncementLine {
    change: &'static str,
    token: u64,
    knowing: usize,
    members: usize,
    took_ms: u64,
}

/// Announces the new owner's token to the other daemons until half of the members know it.
///
/// A former owner that has lost the store goes on acting while more than half of the members confirm that they know no
/// newer token. Until half know the new token, workers that have not reported yet may still run its orders.
pub(crate) async fn announce_owner(
    shared: Rc<SharedState>,
    term: Rc<OwnerTerm>,
    former_gone: bool,
) {
    let started_at = shared.now();
    let mut informed = HashSet::new();
    let mut is_logged = false;
    while !term.is_over() {
        probe_members(&shared, &term, &mut informed).await;
        let is_known = is_known_to_half(&shared, &informed);
        extend_former_owner_time(&shared, &term, former_gone, is_known);
        if is_known || !is_logged {
            is_logged = true;
            shared.log.line(
                LogEvent::Owner,
                AnnouncementLine {
                    change: if is_known { "quorum" } else { "no_quorum" },
                    token: term.token(),
                    knowing: informed.len(),
                    members: shared.members.borrow().len(),
                    took_ms: whole_millis(shared.now().saturating_sub(started_at)),
                },
            );
        }
        if is_known {
            return;
        }
        time::sleep(RETRY_PAUSE).await;
    }
}

/// Sends the token to the members that do not know it yet, and waits until half know it or all probes have ended. A
/// member that refuses connections counts as knowing it: no daemon there can confirm the former owner.
async fn probe_members(shared: &SharedState, term: &OwnerTerm, informed: &mut HashSet<String>) {
    let token = term.token();
    let mut probes = JoinSet::new();
    for address in shared.peer_addresses() {
        if informed.contains(&address) {
            continue;
        }
        let peers = shared.peers.clone();
        probes.spawn_local(async move {
            let probe = peers.probe(&address, token).await;
            (address, probe)
        });
    }
    while let Some(probe) = probes.join_next().await {
        let Ok((address, probe)) = probe else {
            continue;
        };
        match probe {
            ProbeResult::Answered(health) => {
                shared.observe_token(health.known_token);
                if health.known_token >= token {
                    informed.insert(address);
                }
            }
            ProbeResult::ConnectionRefused => drop(informed.insert(address)),
            ProbeResult::Unanswered => {}
        }
        if is_known_to_half(shared, informed) {
            // The remaining probes still deliver the token.
            probes.detach_all();
            return;
        }
    }
}

/// Returns whether at least half of the members, this daemon included, know the new owner.
fn is_known_to_half(shared: &SharedState, informed: &HashSet<String>) -> bool {
    let members = shared.members.borrow();
    let known = members
        .values()
        .filter(|member| member.node == shared.settings.node || informed.contains(&member.address));
    known.count() * 2 >= members.len()
}

fn extend_former_owner_time(
    shared: &SharedState,
    term: &OwnerTerm,
    former_gone: bool,
    is_known: bool,
) {
    let now = shared.now();
    if is_known && !former_gone {
        term.former_owner_until
            .set(now + shared.settings.dispatch.unconfirmed_grace);
    }
    let mut dispatcher = term.dispatcher.borrow_mut();
    let until = now + dispatcher.inherited_orders_lifetime(former_gone);
    dispatcher.set_inherited_until(until);
}

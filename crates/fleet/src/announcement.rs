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
    OwnerProbe,
    fleet_log::whole_millis,
    fleet_shared::FleetShared,
    owner_seat::OwnerSeat, //
};

/// The pause before the announcement is repeated to daemons that did not answer.
const AGAIN: Duration = Duration::from_millis(300);

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
/// A former owner that has lost the store stays in office while more than half of the members confirm that they know
/// no newer token. Until half know the new token, workers that have not reported yet may still run its orders.
pub(crate) async fn announce(shared: Rc<FleetShared>, seat: Rc<OwnerSeat>, former_gone: bool) {
    let begun = shared.now();
    let mut knowing = HashSet::new();
    let mut told = false;
    while !seat.is_over() {
        tell(&shared, &seat, &mut knowing).await;
        let is_known = is_known_to_half(&shared, &knowing);
        wait_for_former(&shared, &seat, former_gone, is_known);
        if is_known || !told {
            told = true;
            shared.log.line(
                LogEvent::Owner,
                AnnouncementLine {
                    change: if is_known { "quorum" } else { "no_quorum" },
                    token: seat.token(),
                    knowing: knowing.len(),
                    members: shared.members.borrow().len(),
                    took_ms: whole_millis(shared.now().saturating_sub(begun)),
                },
            );
        }
        if is_known {
            return;
        }
        time::sleep(AGAIN).await;
    }
}

/// Sends the token to the members that do not know it yet, and waits until half know it or all probes have ended. A
/// member that refuses connections counts as knowing it: no daemon there can confirm the former owner.
async fn tell(shared: &FleetShared, seat: &OwnerSeat, knowing: &mut HashSet<String>) {
    let token = seat.token();
    let mut probes = JoinSet::new();
    for address in shared.peer_addresses() {
        if knowing.contains(&address) {
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
            OwnerProbe::Answered(health) => {
                shared.note_token(health.known_token);
                if health.known_token >= token {
                    knowing.insert(address);
                }
            }
            OwnerProbe::Gone => drop(knowing.insert(address)),
            OwnerProbe::Silent => {}
        }
        if is_known_to_half(shared, knowing) {
            // The remaining probes still deliver the token.
            probes.detach_all();
            return;
        }
    }
}

/// Returns whether at least half of the members, this daemon included, know the new owner.
fn is_known_to_half(shared: &FleetShared, knowing: &HashSet<String>) -> bool {
    let members = shared.members.borrow();
    let known = members
        .values()
        .filter(|member| member.node == shared.settings.node || knowing.contains(&member.address));
    known.count() * 2 >= members.len()
}

fn wait_for_former(shared: &FleetShared, seat: &OwnerSeat, former_gone: bool, is_known: bool) {
    let now = shared.now();
    if is_known && !former_gone {
        seat.shared_until
            .set(now + shared.settings.dispatch.unconfirmed);
    }
    let mut dispatcher = seat.dispatcher.borrow_mut();
    let until = now + dispatcher.inheritance(former_gone);
    dispatcher.extend_inheritance(until);
}

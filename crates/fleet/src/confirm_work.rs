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
    FleetRow,
    FleetTable,
    OwnerProbe,
    fleet_shared::{
        FleetShared,
        OWNER_KEY,
        SHARD_PART, //
    },
    member_watch::note_owner,
    owner_seat::OwnerSeat, //
};

/// The interval between checks of the last confirmation's age.
const EVERY: Duration = Duration::from_millis(200);
/// The age at which a confirmation is renewed. Commits confirm the term too, so that a busy owner rarely reads its row.
const RENEWED_AT: Duration = Duration::from_millis(600);
/// How long the store may take to answer before peers are asked.
const STORE: Duration = Duration::from_millis(400);

/// Confirms the term until it is over: by the owner's row, or, without the store, by more than half of the members,
/// this daemon included, that know no newer token.
pub(crate) async fn confirm_seat(shared: Rc<FleetShared>, seat: Rc<OwnerSeat>) {
    loop {
        time::sleep(EVERY).await;
        let sent = shared.now();
        if seat.unconfirmed(sent) < RENEWED_AT {
            continue;
        }
        let read = shared
            .store
            .read_all(FleetTable::Fleet, SHARD_PART, OWNER_KEY, None);
        match time::timeout(STORE, read).await {
            Ok(Ok((rows, _))) => judge(&shared, &seat, &rows, sent),
            Ok(Err(_)) | Err(_) => ask_peers(&shared, &seat).await,
        }
    }
}

fn judge(shared: &FleetShared, seat: &OwnerSeat, rows: &[FleetRow], sent: Duration) {
    let owner = rows.iter().find(|row| row.key == OWNER_KEY);
    if owner.is_some_and(|row| row.version == seat.guard.version) {
        seat.confirm(sent);
        return;
    }
    note_owner(shared, owner);
    seat.depose();
}

async fn ask_peers(shared: &Rc<FleetShared>, seat: &OwnerSeat) {
    let sent = shared.now();
    let token = seat.token();
    let mut probes = JoinSet::new();
    for address in shared.peer_addresses() {
        let peers = shared.peers.clone();
        probes.spawn_local(async move { peers.probe(&address, token).await });
    }
    let mut vouching = 1;
    while let Some(probe) = probes.join_next().await {
        let Ok(OwnerProbe::Answered(health)) = probe else {
            continue;
        };
        shared.note_token(health.known_token);
        vouching += usize::from(health.known_token == token);
    }
    let members = shared.members.borrow().len();
    if vouching * 2 > members && !seat.is_over() {
        seat.confirm(sent);
    }
}

//! Carries out maintenance waves.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use indexmap::{
    IndexMap,
    IndexSet, //
};
use serde::Serialize;
use tokio::time;

use crate::{
    FleetVms,
    ListedVm,
    LogEvent,
    UpkeepEnd,
    WaveRequest,
    fleet_shared::FleetShared,
    owner_seat::OwnerSeat, //
};

/// The interval between two steps of an active wave; each step reads the list of VMs, which is an expensive call.
const EVERY: Duration = Duration::from_millis(700);
/// The interval between checks for a new wave while none is active.
const IDLE: Duration = Duration::from_millis(500);
/// How long an unanswered call counts as carried out: the platform may carry it out late.
const UNSURE: Duration = Duration::from_secs(13);

/// The progress of a wave.
#[derive(Debug, Default)]
struct WaveState {
    /// The VMs whose maintenance has begun or can never take place.
    begun: IndexSet<Arc<str>>,
    /// The VMs that may be down though the list shows them as up, with the time when the call was sent: the call got no
    /// answer, or the list is not up to date yet.
    unsure: IndexMap<Arc<str>, Duration>,
    /// The completion status last written to the store; `None` before the first write.
    told: Option<bool>,
}

#[derive(Serialize)]
struct WaveLine<'a> {
    wave: u64,
    vm: &'a str,
    outcome: String,
    down: usize,
    cap: usize,
    owner_token: u64,
}

/// Carries out maintenance waves until the term is over.
pub(crate) async fn carry_waves(shared: Rc<FleetShared>, seat: Rc<OwnerSeat>) {
    let Some(vms) = shared.vms.clone() else {
        return seat.ended().await;
    };
    if seat.token() > 1 {
        // The platform counts calls of two owners within this time as two concurrent lease holders.
        time::sleep(shared.settings.duty_lease).await;
    }
    let mut states: IndexMap<u64, WaveState> = IndexMap::new();
    loop {
        let waves: Vec<WaveRequest> = shared.operator.borrow().waves.values().cloned().collect();
        states.retain(|number, _| waves.iter().any(|wave| wave.wave == *number));
        let open = waves.iter().any(|wave| {
            let state = states.get(&wave.wave);
            state.is_none_or(|state| state.told != Some(true))
        });
        if !open || !shared.may_order(&seat) {
            time::sleep(IDLE).await;
            continue;
        }
        if let Some(listed) = vms.list().await {
            for wave in &waves {
                let state = states.entry(wave.wave).or_default();
                carry_wave(&shared, &seat, &*vms, wave, state, &listed).await;
            }
        }
        time::sleep(EVERY).await;
    }
}

async fn carry_wave(
    shared: &FleetShared,
    seat: &OwnerSeat,
    vms: &dyn FleetVms,
    wave: &WaveRequest,
    state: &mut WaveState,
    listed: &[ListedVm],
) {
    if state.told == Some(true) {
        return;
    }
    let now = shared.now();
    state.unsure.retain(|_, sent| now < *sent + UNSURE);
    for vm in &wave.vms {
        let entry = listed.iter().find(|entry| entry.vm == *vm);
        let Some(entry) = entry else {
            // A VM that is no longer listed needs no maintenance.
            state.begun.insert(Arc::clone(vm));
            continue;
        };
        if state.begun.contains(vm) || !entry.up {
            continue;
        }
        let down = count_down(wave, state, listed);
        if down >= wave.cap || state.unsure.contains_key(vm) {
            continue;
        }
        let ready = entry.worker.as_ref().is_none_or(|worker| {
            let mut dispatcher = seat.dispatcher.borrow_mut();
            dispatcher.prepare_upkeep(worker, now)
        });
        seat.plan.notify_one();
        if ready && shared.may_order(seat) {
            send_down(shared, seat, vms, wave, state, vm, down).await;
        }
        // Workers are drained one VM at a time, so that the others keep running tasks.
        break;
    }
    let completed = wave.vms.iter().all(|vm| state.begun.contains(vm));
    tell(shared, seat, wave, state, completed).await;
}

/// Counts the VMs of a wave that are down or may be.
fn count_down(wave: &WaveRequest, state: &WaveState, listed: &[ListedVm]) -> usize {
    let down = wave.vms.iter().filter(|vm| {
        let up = listed.iter().any(|entry| entry.vm == **vm && entry.up);
        !up || state.unsure.contains_key(*vm)
    });
    down.count()
}

async fn send_down(
    shared: &FleetShared,
    seat: &OwnerSeat,
    vms: &dyn FleetVms,
    wave: &WaveRequest,
    state: &mut WaveState,
    vm: &Arc<str>,
    down: usize,
) {
    let sent = shared.now();
    let end = vms
        .upkeep(vm, wave.wave, &shared.settings.node, seat.token())
        .await;
    shared.log.line(
        LogEvent::Operator,
        WaveLine {
            wave: wave.wave,
            vm,
            outcome: format!("{end:?}"),
            down,
            cap: wave.cap,
            owner_token: seat.token(),
        },
    );
    match end {
        UpkeepEnd::Begun => {
            state.begun.insert(Arc::clone(vm));
            // The list may show the VM as up for a while; it counts as down until `UNSURE` has passed.
            state.unsure.insert(Arc::clone(vm), sent);
        }
        UpkeepEnd::Never => drop(state.begun.insert(Arc::clone(vm))),
        UpkeepEnd::Unknown => drop(state.unsure.insert(Arc::clone(vm), sent)),
        UpkeepEnd::Fenced => seat.depose(),
        UpkeepEnd::Busy | UpkeepEnd::Refused => {}
    }
}

async fn tell(
    shared: &FleetShared,
    seat: &OwnerSeat,
    wave: &WaveRequest,
    state: &mut WaveState,
    completed: bool,
) {
    if state.told == Some(completed) {
        return;
    }
    let store = &shared.store;
    let guard = seat.guard.clone();
    let call = store.raw().tell_wave(wave.wave, completed, guard);
    if store.call(call).await.is_ok() {
        state.told = Some(completed);
    }
}

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
    MaintenanceOutcome,
    MaintenanceWave,
    WaveStatus,
    WaveStatusOutcome,
    owner_term::OwnerTerm,
    shared_state::SharedState,
    wave_records::{
        WaveRecord,
        WaveRow,
        read_wave_rows,
        write_wave_row, //
    },
    worker_drains::WorkerDrains, //
};

/// The interval between two steps of an active wave; each step reads the list of VMs, which is an expensive call.
const WAVE_STEP_INTERVAL: Duration = Duration::from_millis(700);
/// The interval between checks for a new wave while none is active.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long an unanswered call counts as carried out: the platform may carry it out late.
const ASSUMED_DOWN_TIME: Duration = Duration::from_secs(13);

/// How long workers stay drained while the list of VMs can't be read.
const UNREADABLE_LIST_LIMIT: Duration = Duration::from_secs(2);
/// How long a worker stays drained while the platform refuses calls.
const REFUSAL_LIMIT: Duration = Duration::from_millis(1500);
/// The pause before a refused call is repeated, in which the worker takes tasks.
const REFUSAL_PAUSE: Duration = Duration::from_secs(5);

/// The progress of a wave.
#[derive(Debug, Default)]
struct WaveState {
    /// The VMs whose maintenance has begun or can never take place.
    handled: IndexSet<Arc<str>>,
    /// The VMs that may be down though the list shows them as up, with the time when the call was sent: the call got no
    /// answer, or the list is not up to date yet.
    maybe_down: IndexMap<Arc<str>, Duration>,
    /// The VMs that were busy, with the time until which no call for them is made.
    busy: IndexMap<Arc<str>, Duration>,
    /// When the platform refused the first of the latest calls; `None` if it did not refuse the last one.
    refused_since: Option<Duration>,
    /// The time until which no call is made.
    paused_until: Duration,
    /// The completion status last written to the store; `None` before the first write.
    written_status: Option<bool>,
    /// The store's version of the status as far as known; 0 if there is none.
    status_version: u64,
    /// The store's version of the record for a successor as far as known; 0 if there is none.
    record_version: u64,
}

impl WaveState {
    /// Creates the state that a former owner recorded, at `now`, which is `wall` since 1970 at least. Calls of that owner may
    /// still be carried out; if its record can't be read, for any VM.
    fn inherited(record: Option<WaveRecord>, version: u64, now: Duration, wall: Duration) -> Self {
        let paused_until = match record {
            Some(_) => Duration::ZERO,
            None => now + ASSUMED_DOWN_TIME,
        };
        let record = record.unwrap_or_default();
        let maybe_down = record.maybe_down.into_iter().map(|(vm, sent)| {
            let age = wall.saturating_sub(sent);
            (vm, now.saturating_sub(age))
        });
        Self {
            handled: record.handled.into_iter().collect(),
            maybe_down: maybe_down.collect(),
            paused_until,
            record_version: version,
            ..Self::default()
        }
    }

    /// Returns the record for a successor, with a call for `vm` that is sent at `now`, at `wall` since 1970.
    fn record_with_call(&self, vm: &Arc<str>, now: Duration, wall: Duration) -> WaveRecord {
        let calls = self.maybe_down.iter().chain(std::iter::once((vm, &now)));
        let maybe_down = calls.map(|(vm, sent)| {
            let age = now.saturating_sub(*sent);
            (Arc::clone(vm), wall.saturating_sub(age))
        });
        WaveRecord {
            handled: self.handled.iter().cloned().collect(),
            maybe_down: maybe_down.collect(),
        }
    }

    /// Puts off the next calls if a VM was busy, or the platform has refused calls for long.
    fn put_off_refused_calls(&mut self, vm: &Arc<str>, outcome: MaintenanceOutcome, now: Duration) {
        if outcome == MaintenanceOutcome::Busy {
            self.busy.insert(Arc::clone(vm), now + REFUSAL_PAUSE);
        }
        if outcome != MaintenanceOutcome::Refused {
            self.refused_since = None;
            return;
        }
        let since = *self.refused_since.get_or_insert(now);
        if now >= since + REFUSAL_LIMIT {
            self.paused_until = now + REFUSAL_PAUSE;
            self.refused_since = None;
        }
    }

    /// Returns whether no call for a VM may be made at `now`.
    fn is_put_off(&self, vm: &Arc<str>, now: Duration) -> bool {
        let is_busy = self.busy.get(vm).is_some_and(|until| now < *until);
        is_busy || now < self.paused_until || self.maybe_down.contains_key(vm)
    }
}

/// The outcome of a call that sends a VM into maintenance.
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
pub(crate) async fn carry_out_waves(shared: Rc<SharedState>, term: Rc<OwnerTerm>) {
    let Some(vms) = shared.vms.clone() else {
        return term.until_over().await;
    };
    if !term.is_first_owner() {
        // The platform counts calls of two owners within this time as two concurrent lease holders.
        time::sleep(shared.settings.maintenance_lease).await;
    }
    let mut states = inherit_states(&shared, &term).await;
    let mut drains = WorkerDrains::default();
    loop {
        let began = shared.now();
        let waves: Vec<MaintenanceWave> =
            shared.operator.borrow().waves.values().cloned().collect();
        states.retain(|number, _| waves.iter().any(|wave| wave.number == *number));
        let open = waves.iter().any(|wave| {
            let state = states.get(&wave.number);
            state.is_none_or(|state| state.written_status != Some(true))
        });
        if !open {
            drains.release_unneeded(&term, began, began);
        }
        if !open || !shared.may_send_orders(&term) {
            time::sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        let listed = vms.list().await;
        let requested_since = match listed {
            Some(listed) => {
                for wave in &waves {
                    let state = states.entry(wave.number).or_default();
                    advance_wave(&shared, &term, &*vms, wave, state, &mut drains, &listed).await;
                }
                began
            }
            None => began.saturating_sub(UNREADABLE_LIST_LIMIT),
        };
        drains.release_unneeded(&term, requested_since, shared.now());
        time::sleep(WAVE_STEP_INTERVAL).await;
    }
}

/// Returns the states of waves that former owners recorded; none if the term is over before.
async fn inherit_states(shared: &Rc<SharedState>, term: &OwnerTerm) -> IndexMap<u64, WaveState> {
    let mut rows: Vec<WaveRow> = Vec::new();
    while !term.is_over() {
        match read_wave_rows(shared).await {
            Ok(read) => {
                rows = read;
                break;
            }
            Err(_) => shared.store.wait_to_retry().await,
        }
    }
    let now = shared.now();
    let wall = shared
        .wall()
        .saturating_sub(shared.settings.dispatch.max_clock_skew);
    let states = rows
        .into_iter()
        .map(|(wave, record, version)| (wave, WaveState::inherited(record, version, now, wall)));
    states.collect()
}

async fn advance_wave(
    shared: &SharedState,
    term: &OwnerTerm,
    vms: &dyn FleetVms,
    wave: &MaintenanceWave,
    state: &mut WaveState,
    drains: &mut WorkerDrains,
    listed: &[ListedVm],
) {
    if state.written_status == Some(true) {
        return;
    }
    let now = shared.now();
    state
        .maybe_down
        .retain(|_, sent| now < *sent + ASSUMED_DOWN_TIME);
    for vm in &wave.vms {
        let listed_vm = listed.iter().find(|listed_vm| listed_vm.vm == *vm);
        let Some(listed_vm) = listed_vm else {
            // A VM that is no longer listed needs no maintenance.
            state.handled.insert(Arc::clone(vm));
            continue;
        };
        if state.handled.contains(vm) || !listed_vm.up {
            continue;
        }
        let down = count_vms_down(wave, state, listed);
        if down >= wave.max_down || state.is_put_off(vm, now) {
            continue;
        }
        if let Some(worker) = &listed_vm.worker {
            if !term.dispatcher.borrow().can_drain(worker) {
                continue;
            }
            drains.request(worker, now);
        }
        let ready = listed_vm.worker.as_ref().is_none_or(|worker| {
            let mut dispatcher = term.dispatcher.borrow_mut();
            dispatcher.prepare_maintenance(worker, now)
        });
        term.plan_wakeup.notify_one();
        if ready && record_call(shared, term, wave, state, vm).await && shared.may_send_orders(term)
        {
            let outcome = start_maintenance(shared, term, vms, wave, state, vm, down).await;
            state.put_off_refused_calls(vm, outcome, shared.now());
            if let Some(worker) = &listed_vm.worker {
                record_outcome(drains, worker, outcome, now, shared.now());
            }
        }
        // Workers are drained one VM at a time, so that the others keep running tasks.
        break;
    }
    let completed = wave.vms.iter().all(|vm| state.handled.contains(vm));
    write_status(shared, term, wave, state, completed).await;
}

/// Counts the VMs of a wave that are down or may be.
fn count_vms_down(wave: &MaintenanceWave, state: &WaveState, listed: &[ListedVm]) -> usize {
    let down = wave.vms.iter().filter(|vm| {
        let up = listed
            .iter()
            .any(|listed_vm| listed_vm.vm == **vm && listed_vm.up);
        !up || state.maybe_down.contains_key(*vm)
    });
    down.count()
}

/// Records a call for a successor before it is sent; returns whether it may be sent.
async fn record_call(
    shared: &SharedState,
    term: &OwnerTerm,
    wave: &MaintenanceWave,
    state: &mut WaveState,
    vm: &Arc<str>,
) -> bool {
    let record = state.record_with_call(vm, shared.now(), shared.wall());
    write_wave_row(
        shared,
        term,
        wave.number,
        &record,
        &mut state.record_version,
    )
    .await
}

async fn start_maintenance(
    shared: &SharedState,
    term: &OwnerTerm,
    vms: &dyn FleetVms,
    wave: &MaintenanceWave,
    state: &mut WaveState,
    vm: &Arc<str>,
    down: usize,
) -> MaintenanceOutcome {
    let sent = shared.now();
    let outcome = vms
        .start_maintenance(vm, wave.number, &shared.settings.node, term.token())
        .await;
    shared.log.line(
        LogEvent::Operator,
        WaveLine {
            wave: wave.number,
            vm,
            outcome: format!("{outcome:?}"),
            down,
            cap: wave.max_down,
            owner_token: term.token(),
        },
    );
    match outcome {
        MaintenanceOutcome::Begun => {
            state.handled.insert(Arc::clone(vm));
            // The list may show the VM as up for a while; it counts as down until `ASSUMED_DOWN_TIME` has passed.
            state.maybe_down.insert(Arc::clone(vm), sent);
        }
        MaintenanceOutcome::Never => drop(state.handled.insert(Arc::clone(vm))),
        MaintenanceOutcome::Unknown => drop(state.maybe_down.insert(Arc::clone(vm), sent)),
        MaintenanceOutcome::Fenced => term.end(),
        MaintenanceOutcome::Busy | MaintenanceOutcome::Refused => {}
    }
    outcome
}

/// Records in the drains the outcome of a call that was sent at `sent`.
fn record_outcome(
    drains: &mut WorkerDrains,
    worker: &Arc<str>,
    outcome: MaintenanceOutcome,
    sent: Duration,
    now: Duration,
) {
    match outcome {
        MaintenanceOutcome::Begun => drains.confirm(worker, now),
        MaintenanceOutcome::Unknown => drains.keep_until(worker, sent + ASSUMED_DOWN_TIME),
        MaintenanceOutcome::Busy
        | MaintenanceOutcome::Fenced
        | MaintenanceOutcome::Never
        | MaintenanceOutcome::Refused => {}
    }
}

async fn write_status(
    shared: &SharedState,
    term: &OwnerTerm,
    wave: &MaintenanceWave,
    state: &mut WaveState,
    completed: bool,
) {
    if state.written_status == Some(completed) {
        return;
    }
    let store = &shared.store;
    let status = WaveStatus {
        wave: wave.number,
        completed,
        version: state.status_version,
    };
    let call = store.port().write_wave_status(status, term.guard.clone());
    match store.call(call).await {
        Ok(WaveStatusOutcome::Written(version)) => {
            state.status_version = version;
            state.written_status = Some(completed);
        }
        // A former owner wrote it, or an earlier write without an answer was applied.
        Ok(WaveStatusOutcome::Conflict(version)) => state.status_version = version,
        Err(_) => {}
    }
}

//! Refreshes the slots of a pool by the time and the held shares.

use std::time::Duration;

use indexmap::IndexMap;
use jasminebend_base::{
    OwnerEpoch,
    ResourceId, //
};
use metrics::gauge;

use crate::{
    class_metrics::{
        INCOMPLETE_BODIES_METRIC,
        SERVING_SLOTS_METRIC,
        UNKNOWN_SLOTS_METRIC,
        WAITING_REQUESTS_METRIC, //
    },
    endpoint_entry::SlotPhase,
    pool_state::PoolState,
    refusal::Refusal,
    service_pool::ServicePool,
    slot_key::{
        EndpointKey,
        SlotKey, //
    },
};

/// The shares that this daemon holds and may use, with their epochs.
pub(crate) type HeldShares = IndexMap<ResourceId, OwnerEpoch>;

/// Refreshes the slots of a pool: which are held, which become idle because the longest request is
/// over, and which idle connections to close.
pub(crate) fn refresh_pool(pool: &ServicePool, held: &HeldShares, now: Duration) {
    let mut state = pool.lock();
    let idle_limit = pool.settings.endpoint_idle_timeout;
    let mut serving_slots = 0;
    let mut unknown_slots = 0;
    state.update_honor_leaving(now);
    let mut slots = state.endpoints.iter().flat_map(|entry| &entry.slots);
    let holds_shares = slots.any(|slot| held.contains_key(&slot.share));
    state.record_held_shares(holds_shares, now);
    for endpoint in 0..state.endpoints.len() {
        let honor_leaving = state.honor_leaving;
        let entry = &state.endpoints[endpoint];
        let usable = entry.is_usable(now, honor_leaving);
        for slot in 0..entry.slot_count() {
            let key = SlotKey {
                endpoint: EndpointKey(endpoint),
                slot,
            };
            refresh_slot(&mut state, key, held, now, idle_limit);
            let slot = state.slot(key);
            let is_unavailable =
                matches!(slot.phase, SlotPhase::Unknown { .. } | SlotPhase::Abandoned);
            unknown_slots += usize::from(is_unavailable);
            serving_slots += usize::from(usable && slot.held && !is_unavailable);
            state.add_to_free_list(Some(key).filter(|_| usable));
        }
    }
    if serving_slots > state.serving_slots {
        pool.streams.notify_waiters();
    }
    state.serving_slots = serving_slots;
    pool.set_can_serve(serving_slots > 0 || state.share_wait_deadline(now).is_some());
    if serving_slots == 0 && state.share_wait_deadline(now).is_none() {
        refuse_waiters(&mut state, now);
    }
    report_metrics(pool, &state, unknown_slots);
}

/// Refuses all waiting requests at once when no slot is left to wait for.
fn refuse_waiters(state: &mut PoolState, now: Duration) {
    while let Some(waiter) = state.queue.pop(now) {
        // Best effort: a waiter may have stopped waiting.
        waiter.reply.send(Err(Refusal::NoEndpoint)).ok();
    }
}

/// Refreshes one slot and closes its connection if it must not be kept.
fn refresh_slot(
    state: &mut PoolState,
    key: SlotKey,
    held: &HeldShares,
    now: Duration,
    idle_limit: Duration,
) {
    let awaiting_shares = state.share_wait_deadline(now).is_some();
    let entry = state.entry(key.endpoint);
    let open = entry.open;
    let is_declared = key.slot < entry.usable_slot_count();
    let slot = state.slot(key);
    let epoch = held.get(&slot.share).filter(|_| is_declared);
    slot.held = epoch.is_some();
    slot.epoch = epoch.copied().unwrap_or_default();
    if let SlotPhase::Unknown { until } = slot.phase
        && until <= now
    {
        slot.set_idle();
    }
    let held = slot.held || awaiting_shares;
    // Dropping a connection closes it, so that no more are open than slots are held.
    slot.connection.take_if(|connection| {
        let silent_for = now.saturating_sub(connection.last_received_at);
        !held || !open || silent_for > idle_limit || !connection.is_open()
    });
}

fn report_metrics(pool: &ServicePool, state: &PoolState, unknown_slots: usize) {
    let service = pool.service.to_string();
    // CAST: the numbers of slots and requests are far below 2^52, and are exact as `f64`.
    gauge!(SERVING_SLOTS_METRIC, "service" => service.clone()).set(state.serving_slots as f64);
    gauge!(UNKNOWN_SLOTS_METRIC, "service" => service.clone()).set(unknown_slots as f64);
    let incomplete_bodies = pool.streams.permit_count() as f64;
    gauge!(INCOMPLETE_BODIES_METRIC, "service" => service.clone()).set(incomplete_bodies);
    gauge!(WAITING_REQUESTS_METRIC, "service" => service).set(state.queue.len() as f64);
}

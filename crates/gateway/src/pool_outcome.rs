//! Updates a [`PoolState`] by the outcome of an exchange.

use std::time::Duration;

use crate::{
    endpoint_entry::SlotPhase,
    exchange_outcome::{
        ExchangeOutcome, //
        ResponseVerdict,
    },
    gateway_settings::GatewaySettings,
    pool_state::PoolState,
    slot_key::SlotKey,
};

impl PoolState {
    /// Applies the outcome of the exchange on a slot: to the slot, its connections and the score
    /// and backoffs of its endpoint.
    pub(crate) fn apply_outcome(
        &mut self,
        settings: &GatewaySettings,
        key: SlotKey,
        outcome: ExchangeOutcome,
        now: Duration,
    ) {
        if !matches!(outcome, ExchangeOutcome::Unknown) {
            self.slot(key).set_idle();
        }
        match outcome {
            ExchangeOutcome::NotSent { connection } => self.slot(key).connection = connection,
            ExchangeOutcome::TimedOut => self
                .slot(key)
                .add_lingering_connection(now + settings.longest_request),
            ExchangeOutcome::Unconnected => {
                let backoff = settings.refusal_backoff;
                let entry = self.entry(key.endpoint);
                entry.score.record_error();
                entry.refusal_backoff.back_off(now, backoff, Duration::ZERO);
            }
            ExchangeOutcome::Unknown => {
                let until = now + settings.longest_request;
                self.entry(key.endpoint).score.record_error();
                let slot = self.slot(key);
                slot.phase = SlotPhase::Unknown { until };
                slot.add_lingering_connection(until);
                self.serving_slots = self.serving_slots.saturating_sub(1);
            }
            ExchangeOutcome::Answered {
                latency,
                verdict,
                connection,
            } => {
                self.entry(key.endpoint).keeps_connections_open |= connection.is_some();
                self.slot(key).connection = connection;
                self.record_verdict(settings, key, latency, verdict, now);
            }
        }
    }

    /// Applies what a response indicates about its endpoint.
    fn record_verdict(
        &mut self,
        settings: &GatewaySettings,
        key: SlotKey,
        latency: Duration,
        verdict: ResponseVerdict,
        now: Duration,
    ) {
        let leaving_backoff = settings.leaving_backoff;
        let refusal_backoff = settings.refusal_backoff;
        let entry = self.entry(key.endpoint);
        match verdict {
            ResponseVerdict::Good | ResponseVerdict::Closing => {
                entry.score.record_success(latency);
                entry.refusal_backoff.record_success();
            }
            ResponseVerdict::Failed => entry.score.record_error(),
            ResponseVerdict::Refusing { requested } => {
                entry.score.record_error();
                entry
                    .refusal_backoff
                    .back_off(now, refusal_backoff, requested);
            }
        }
        if verdict == ResponseVerdict::Closing && entry.keeps_connections_open {
            entry
                .leaving_backoff
                .back_off(now, leaving_backoff, Duration::ZERO);
            self.update_honor_leaving(now);
        }
        if verdict == ResponseVerdict::Good {
            self.latency.observe(latency);
        }
    }
}

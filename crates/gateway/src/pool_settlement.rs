//! What a pool learns from the end of an exchange.

use std::time::Duration;

use crate::{
    endpoint_entry::SlotPhase,
    exchange_end::{
        AnswerVerdict,
        ExchangeEnd, //
    },
    gateway_settings::GatewaySettings,
    pool_state::PoolState,
    slot_key::SlotKey,
};

impl PoolState {
    /// Takes in what became of a slot's exchange.
    pub(crate) fn apply(
        &mut self,
        settings: &GatewaySettings,
        key: SlotKey,
        end: ExchangeEnd,
        now: Duration,
    ) {
        self.slot(key).phase = SlotPhase::Idle;
        match end {
            ExchangeEnd::Unused { connection } => self.slot(key).connection = connection,
            ExchangeEnd::Over => self.slot(key).linger(now + settings.longest_request),
            ExchangeEnd::Unconnected => {
                let hold = settings.refusal_hold;
                let entry = self.entry(key.endpoint);
                entry.score.record_error();
                entry.refusing.back_off(now, hold, Duration::ZERO);
            }
            ExchangeEnd::Unknown => {
                let until = now + settings.longest_request;
                self.entry(key.endpoint).score.record_error();
                let slot = self.slot(key);
                slot.phase = SlotPhase::Unknown { until };
                slot.linger(until);
                self.serving = self.serving.saturating_sub(1);
            }
            ExchangeEnd::Answered {
                latency,
                verdict,
                connection,
            } => {
                self.entry(key.endpoint).keeps_open |= connection.is_some();
                self.slot(key).connection = connection;
                self.judge(settings, key, latency, verdict, now);
            }
        }
    }

    fn judge(
        &mut self,
        settings: &GatewaySettings,
        key: SlotKey,
        latency: Duration,
        verdict: AnswerVerdict,
        now: Duration,
    ) {
        let leaving_hold = settings.leaving_hold;
        let refusal_hold = settings.refusal_hold;
        let entry = self.entry(key.endpoint);
        match verdict {
            AnswerVerdict::Good | AnswerVerdict::Closing => {
                entry.score.record_success(latency);
                entry.refusing.record_success();
            }
            AnswerVerdict::Failed => entry.score.record_error(),
            AnswerVerdict::Refusing { asked } => {
                entry.score.record_error();
                entry.refusing.back_off(now, refusal_hold, asked);
            }
        }
        if verdict == AnswerVerdict::Closing && entry.keeps_open {
            entry.leaving.back_off(now, leaving_hold, Duration::ZERO);
            self.weigh_leaving(now);
        }
        if verdict == AnswerVerdict::Good {
            self.latency.observe(latency);
        }
    }
}

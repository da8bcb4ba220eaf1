//! Where spans go.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::{
    SettingsError,
    given_key::GivenKey,
    key_reader::{
        KeyReader,
        RawText,
        parse_number,
        parse_remote, //
    }, //
};

const COLLECTOR: &str =
    "the IP address and port of an OTLP/HTTP collector, such as `10.0.0.9:4318`";
const SAMPLE_RATIO: &str = "a ratio from 0 to 1, such as `0.01`";
const QUEUE: &str = "a whole number of spans from 64 to 65536";
const DEFAULT_RATIO: f64 = 0.01;
const DEFAULT_QUEUE: usize = 2048;

/// Where spans go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceSettings {
    /// The OTLP/HTTP collector.
    pub collector: SocketAddr,
    /// The share of traces that begin here and are kept; one that a caller began follows the caller.
    pub sample_ratio: f64,
    /// The spans that wait for the collector at the most; further ones are dropped.
    pub queue: usize,
}

impl TraceSettings {
    /// Sends spans to a collector, with the default sampling.
    pub fn new(collector: SocketAddr) -> Self {
        Self {
            collector,
            sample_ratio: DEFAULT_RATIO,
            queue: DEFAULT_QUEUE,
        }
    }

    /// Sets the share of traces that are kept, from 0 to 1.
    pub fn with_sample_ratio(mut self, ratio: f64) -> Self {
        self.sample_ratio = ratio;
        self
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawTraces {
    collector: GivenKey<RawText>,
    sample_ratio: GivenKey<RawText>,
    queue: GivenKey<RawText>,
}

impl RawTraces {
    pub(crate) fn resolve(&self, line: u64) -> Result<TraceSettings, SettingsError> {
        let reader = KeyReader::new("traces", line);
        let collector = self.collector.as_ref();
        let collector = reader.parse("collector", COLLECTOR, collector, parse_remote)?;
        let ratio = reader.parse(
            "sample_ratio",
            SAMPLE_RATIO,
            self.sample_ratio.as_ref(),
            |text| parse_number(text, 0.0..=1.0),
        )?;
        let queue = reader.parse("queue", QUEUE, self.queue.as_ref(), |text| {
            parse_number(text, 64..=65536)
        })?;
        Ok(TraceSettings {
            collector: reader.required("collector", COLLECTOR, collector)?,
            sample_ratio: ratio.unwrap_or(DEFAULT_RATIO),
            queue: queue.unwrap_or(DEFAULT_QUEUE),
        })
    }
}

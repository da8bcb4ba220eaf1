//! Settings of the trace export.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::{
    SettingsError,
    optional_key::OptionalKey,
    section_parser::{
        RawText,
        SectionParser,
        parse_number,
        parse_remote_address, //
    }, //
};

const COLLECTOR_FORMAT: &str =
    "the IP address and port of an OTLP/HTTP collector, such as `10.0.0.9:4318`";
const SAMPLE_RATIO_FORMAT: &str = "a ratio from 0 to 1, such as `0.01`";
const QUEUE_FORMAT: &str = "a whole number of spans from 64 to 65536";
const DEFAULT_SAMPLE_RATIO: f64 = 0.01;
const DEFAULT_QUEUE_SPANS: usize = 2048;

/// Settings of the trace export.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceSettings {
    /// The address of the OTLP/HTTP collector.
    pub collector: SocketAddr,
    /// The ratio, from 0 to 1, of the traces started by this daemon that are sampled. A trace started by a caller
    /// follows the caller's sampling decision.
    pub sample_ratio: f64,
    /// The greatest number of spans that wait to be exported; further spans are dropped.
    pub queue: usize,
}

impl TraceSettings {
    /// Creates settings for a collector, with the default sampling.
    pub fn new(collector: SocketAddr) -> Self {
        Self {
            collector,
            sample_ratio: DEFAULT_SAMPLE_RATIO,
            queue: DEFAULT_QUEUE_SPANS,
        }
    }

    /// Sets the ratio of traces that are sampled, from 0 to 1.
    pub fn with_sample_ratio(mut self, ratio: f64) -> Self {
        self.sample_ratio = ratio;
        self
    }
}

/// The unparsed section `traces`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawTraces {
    collector: OptionalKey<RawText>,
    sample_ratio: OptionalKey<RawText>,
    queue: OptionalKey<RawText>,
}

impl RawTraces {
    pub(crate) fn resolve(&self, line: u64) -> Result<TraceSettings, SettingsError> {
        let section = SectionParser::new("traces", line);
        let collector = self.collector.as_ref();
        let collector = section.parse(
            "collector",
            COLLECTOR_FORMAT,
            collector,
            parse_remote_address,
        )?;
        let ratio = section.parse(
            "sample_ratio",
            SAMPLE_RATIO_FORMAT,
            self.sample_ratio.as_ref(),
            |text| parse_number(text, 0.0..=1.0),
        )?;
        let queue = section.parse("queue", QUEUE_FORMAT, self.queue.as_ref(), |text| {
            parse_number(text, 64..=65536)
        })?;
        Ok(TraceSettings {
            collector: section.required("collector", COLLECTOR_FORMAT, collector)?,
            sample_ratio: ratio.unwrap_or(DEFAULT_SAMPLE_RATIO),
            queue: queue.unwrap_or(DEFAULT_QUEUE_SPANS),
        })
    }
}

//! How a stand-in endpoint behaves.

use std::time::Duration;

use crate::{
    EndpointFault,
    ServiceTime, //
};

const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(5);
const DEFAULT_ANSWER_BYTES: usize = 256;

/// How a stand-in endpoint behaves.
#[derive(Clone, Debug)]
pub struct EndpointKnobs {
    /// How long it works on a request, at its normal speed.
    pub service_time: ServiceTime,
    /// Its speed, in thousandths of the normal one; noisy neighbours lower it.
    pub speed_millis: u32,
    /// The bytes of an answer's filler, where the request doesn't say so by `X-Answer-Bytes`.
    pub answer_bytes: usize,
    /// It is about to stop: it refuses new requests and closes its connections after their answer.
    pub leaving: bool,
    /// Every request meets this fault.
    pub always: Option<EndpointFault>,
    /// Each request meets each of these faults by chance, in thousandths.
    pub mix: Vec<(EndpointFault, u32)>,
}

impl Default for EndpointKnobs {
    fn default() -> Self {
        Self {
            service_time: ServiceTime::Fixed(DEFAULT_SERVICE_TIME),
            speed_millis: 1000,
            answer_bytes: DEFAULT_ANSWER_BYTES,
            leaving: false,
            always: None,
            mix: Vec::new(),
        }
    }
}

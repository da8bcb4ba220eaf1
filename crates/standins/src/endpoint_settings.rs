//! The settings of a stand-in endpoint.

use std::time::Duration;

use crate::{
    EndpointFault,
    ServiceTime, //
};

const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(5);
const DEFAULT_ANSWER_BYTES: usize = 256;

/// The settings of a stand-in endpoint: its service time, its response size and its faults.
#[derive(Clone, Debug)]
pub struct EndpointSettings {
    /// The time that a request takes at normal speed.
    pub service_time: ServiceTime,
    /// The speed in thousandths of the normal speed. A lower value simulates interference by other tasks on the VM.
    pub speed_millis: u32,
    /// The number of padding bytes in a response, unless the request sets it by the header `X-Answer-Bytes`.
    pub answer_bytes: usize,
    /// Whether the endpoint is about to stop: it refuses new requests and closes each connection after its response.
    pub leaving: bool,
    /// The fault of every request that has no queued fault.
    pub always: Option<EndpointFault>,
    /// Random faults, each with its probability in thousandths. They apply to requests without another fault.
    pub mix: Vec<(EndpointFault, u32)>,
}

impl Default for EndpointSettings {
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

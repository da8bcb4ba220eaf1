//! What the clients of a daemon may hold.

use jasminebend_ingress::ConnectionLimits;

/// The memory of a connection without its request, in bytes.
const CONNECTION_BYTES: usize = 24 << 10;
/// The most connections for readiness checks, and as many for metrics: each has a few clients.
const MAX_MONITORING_CONNECTIONS: usize = 32;
/// The memory of readiness checks and requests for metrics, in bytes. Their bodies are not read.
const MONITORING_BYTES: usize = 64 << 10;
/// The largest head of a request, in bytes.
const HEAD_BYTES: usize = 16 << 10;
/// The fewest connections of a listener.
const MIN_CONNECTIONS: usize = 4;
/// The least memory for the requests of a listener, in bytes.
const MIN_REQUEST_BYTES: usize = 1 << 20;

/// What the clients of each of a daemon's addresses may hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IngressSettings {
    /// The limits of callers.
    pub callers: ConnectionLimits,
    /// The limits of other daemons.
    pub peers: ConnectionLimits,
    /// The limits of readiness checks, and of requests for metrics.
    pub monitoring: ConnectionLimits,
    /// The most callers' requests that call the store at once, and as many that call other daemons. Each that calls the store
    /// takes up to three connections.
    pub caller_calls: usize,
}

impl IngressSettings {
    /// Returns the defaults for a process that may use this much memory, in bytes, and this many descriptors. Over half of
    /// each is left for the daemon's own state and calls.
    pub fn for_process(memory_bytes: usize, descriptors: usize) -> Self {
        Self {
            callers: share(memory_bytes / 8, descriptors / 4),
            peers: share(memory_bytes / 16, descriptors / 8),
            monitoring: ConnectionLimits {
                connections: (descriptors / 16).clamp(MIN_CONNECTIONS, MAX_MONITORING_CONNECTIONS),
                request_bytes: MONITORING_BYTES,
                head_bytes: HEAD_BYTES,
            },
            caller_calls: (descriptors / 16).max(MIN_CONNECTIONS),
        }
    }

    /// Returns the most connections that all addresses together accept.
    pub fn connections(&self) -> usize {
        self.callers.connections + self.peers.connections + 2 * self.monitoring.connections
    }
}

/// Returns limits of at most `descriptors` connections, for which `bytes` are set aside, and as many for their requests.
fn share(bytes: usize, descriptors: usize) -> ConnectionLimits {
    ConnectionLimits {
        connections: descriptors
            .min(bytes / CONNECTION_BYTES)
            .max(MIN_CONNECTIONS),
        request_bytes: bytes.max(MIN_REQUEST_BYTES),
        head_bytes: HEAD_BYTES,
    }
}

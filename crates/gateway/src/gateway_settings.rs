//! [`GatewaySettings`]: the timeouts and limits of the gateway.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use jasminebend_base::DomainName;

/// The least time that a connection to an endpoint may take to open, however short the target.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// The timeouts and limits of the gateway. [`GatewaySettings::new`] gives the defaults, and each
/// field is described at the method that sets it.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    pub(crate) domain: DomainName,
    pub(crate) slot_shares: u16,
    pub(crate) longest_request: Duration,
    pub(crate) timeout_target_multiple: u32,
    pub(crate) min_request_timeout: Duration,
    pub(crate) connect_timeout: Duration,
    pub(crate) max_connection_silence: Duration,
    pub(crate) endpoint_idle_timeout: Duration,
    pub(crate) caller_idle_timeout: Duration,
    pub(crate) head_timeout: Duration,
    pub(crate) body_stall_timeout: Duration,
    pub(crate) max_callers: usize,
    pub(crate) max_waiting_requests: usize,
    pub(crate) max_head_bytes: usize,
    pub(crate) max_body_bytes: u64,
    pub(crate) max_buffered_body_bytes: u64,
    pub(crate) max_total_buffered_bytes: usize,
    pub(crate) incomplete_slots_percent: u8,
    pub(crate) cross_domain_round_trip_time: Duration,
    pub(crate) refresh_interval: Duration,
    pub(crate) leaving_backoff: Duration,
    pub(crate) refusal_backoff: Duration,
    pub(crate) retry_ratio: f64,
    pub(crate) key_retention: Duration,
    pub(crate) key_sweep_interval: Duration,
    pub(crate) traces_enabled: bool,
    pub(crate) peer_address: Option<SocketAddr>,
}

impl GatewaySettings {
    /// Creates the default settings of a daemon in the failure domain `domain`, where the slots of
    /// every endpoint are divided into `slot_shares` shares.
    pub fn new(domain: DomainName, slot_shares: u16) -> Self {
        Self {
            domain,
            slot_shares,
            longest_request: Duration::from_secs(30),
            timeout_target_multiple: 4,
            min_request_timeout: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(500),
            max_connection_silence: Duration::from_secs(2),
            endpoint_idle_timeout: Duration::from_secs(30),
            caller_idle_timeout: Duration::from_secs(75),
            head_timeout: Duration::from_secs(10),
            body_stall_timeout: Duration::from_secs(10),
            max_callers: 12_000,
            max_waiting_requests: 1_000,
            max_head_bytes: 16 * 1024,
            max_body_bytes: 16 * 1024 * 1024,
            max_buffered_body_bytes: 64 * 1024,
            max_total_buffered_bytes: 64 * 1024 * 1024,
            incomplete_slots_percent: 50,
            cross_domain_round_trip_time: Duration::from_millis(2),
            refresh_interval: Duration::from_millis(50),
            leaving_backoff: Duration::from_secs(30),
            refusal_backoff: Duration::from_secs(2),
            retry_ratio: 0.1,
            key_retention: Duration::from_secs(24 * 60 * 60),
            key_sweep_interval: Duration::from_secs(600),
            traces_enabled: false,
            peer_address: None,
        }
    }

    /// Sets the longest time that an endpoint may work on one request. A slot whose request has an
    /// unknown outcome is not reused for this long; the idle time after a takeover of a share must
    /// not be less.
    pub fn with_longest_request(mut self, duration: Duration) -> Self {
        self.longest_request = duration;
        self
    }

    /// Sets the request timeout: `target_multiple` times the target of its class, but at least
    /// `min_timeout` and at most the longest request.
    pub fn with_request_timeout(mut self, target_multiple: u32, min_timeout: Duration) -> Self {
        self.timeout_target_multiple = target_multiple;
        self.min_request_timeout = min_timeout;
        self
    }

    /// Sets how long a connection to an endpoint may take to open. Half of the target applies if
    /// that is less, but never less than 20 ms.
    pub fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets for how long an idle connection may have been silent to carry a request that must not
    /// run twice. A connection that was silent for longer is replaced first.
    pub fn with_max_connection_silence(mut self, silence: Duration) -> Self {
        self.max_connection_silence = silence;
        self
    }

    /// Sets how long a connection from a caller may be idle, and how long the head of a request may
    /// take to arrive.
    pub fn with_caller_timeouts(mut self, idle: Duration, head: Duration) -> Self {
        self.caller_idle_timeout = idle;
        self.head_timeout = head;
        self
    }

    /// Sets how often the held shares are checked. Each change of the configuration and of the VM
    /// list also causes a refresh.
    pub fn with_refresh_interval(mut self, interval: Duration) -> Self {
        self.refresh_interval = interval;
        self
    }

    /// Sets how long a body may make no progress, in either direction.
    pub fn with_body_stall_timeout(mut self, timeout: Duration) -> Self {
        self.body_stall_timeout = timeout;
        self
    }

    /// Sets how many callers may be connected, and how many requests of one service may wait for a
    /// slot.
    pub fn with_caller_and_queue_limits(mut self, callers: usize, waiting: usize) -> Self {
        self.max_callers = callers;
        self.max_waiting_requests = waiting;
        self
    }

    /// Sets the largest head and body of a request, and up to which size a body is read completely
    /// before a slot is taken for its request; in bytes.
    pub fn with_size_limits(
        mut self,
        max_head: usize,
        max_body: u64,
        max_buffered_body: u64,
    ) -> Self {
        self.max_head_bytes = max_head;
        self.max_body_bytes = max_body;
        self.max_buffered_body_bytes = max_buffered_body;
        self
    }

    /// Sets how many bytes of request bodies may be buffered in memory, for all requests together.
    pub fn with_max_buffered_bytes(mut self, max_bytes: usize) -> Self {
        self.max_total_buffered_bytes = max_bytes;
        self
    }

    /// Sets which part of the slots of a service requests with large incomplete bodies may take, in
    /// percent. They may always take one.
    pub fn with_incomplete_slots_percent(mut self, percent: u8) -> Self {
        self.incomplete_slots_percent = percent;
        self
    }

    /// Sets the round-trip time to an endpoint in another failure domain, which the choice of an
    /// endpoint takes into account.
    pub fn with_cross_domain_round_trip_time(mut self, round_trip_time: Duration) -> Self {
        self.cross_domain_round_trip_time = round_trip_time;
        self
    }

    /// Sets for how long no requests are sent to an endpoint that announced its shutdown, and to
    /// one that refused a request or a connection.
    pub fn with_backoffs(mut self, leaving: Duration, refusal: Duration) -> Self {
        self.leaving_backoff = leaving;
        self.refusal_backoff = refusal;
        self
    }

    /// Sets how many retries and hedged attempts are allowed for each first attempt, as a ratio.
    pub fn with_retry_ratio(mut self, ratio: f64) -> Self {
        self.retry_ratio = ratio;
        self
    }

    /// Sets how long the outcome of a request with an idempotency key is stored.
    pub fn with_key_retention(mut self, retention: Duration) -> Self {
        self.key_retention = retention;
        self
    }

    /// Sets how often expired idempotency keys are searched for.
    pub fn with_key_sweep_interval(mut self, interval: Duration) -> Self {
        self.key_sweep_interval = interval;
        self
    }

    /// Sets the address at which other daemons reach the listener for callers of this one. They
    /// forward requests to it for services of which they have no slot; without an address they do
    /// not.
    pub fn with_peer_address(mut self, address: SocketAddr) -> Self {
        self.peer_address = Some(address);
        self
    }

    /// Sets whether a span is created for each hop of a request.
    pub fn with_traces(mut self, enabled: bool) -> Self {
        self.traces_enabled = enabled;
        self
    }

    /// Returns how long a connection may take to open for a request with this target.
    pub(crate) fn connect_timeout_for(&self, target: Duration) -> Duration {
        (target / 2).clamp(
            MIN_CONNECT_TIMEOUT,
            self.connect_timeout.max(MIN_CONNECT_TIMEOUT),
        )
    }

    /// Returns the request timeout for this target.
    pub(crate) fn timeout_for(&self, target: Duration) -> Duration {
        (target * self.timeout_target_multiple)
            .max(self.min_request_timeout)
            .min(self.longest_request)
    }
}

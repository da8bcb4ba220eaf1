//! How the gateway is set.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use jasminebend_base::DomainName;

const LEAST_CONNECT: Duration = Duration::from_millis(20);

/// How the gateway is set; [`GatewaySettings::new`] gives defaults that fit today's sizes.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    pub(crate) domain: DomainName,
    pub(crate) slot_shares: u16,
    pub(crate) longest_request: Duration,
    pub(crate) target_multiple: u32,
    pub(crate) least_patience: Duration,
    pub(crate) connect_timeout: Duration,
    pub(crate) trusted_silence: Duration,
    pub(crate) endpoint_idle: Duration,
    pub(crate) caller_idle: Duration,
    pub(crate) head_timeout: Duration,
    pub(crate) body_stall: Duration,
    pub(crate) most_callers: usize,
    pub(crate) most_waiting: usize,
    pub(crate) most_head_bytes: usize,
    pub(crate) most_body_bytes: u64,
    pub(crate) buffered_body_bytes: u64,
    pub(crate) most_held_bytes: usize,
    pub(crate) domain_distance: Duration,
    pub(crate) refresh_every: Duration,
    pub(crate) leaving_hold: Duration,
    pub(crate) refusal_hold: Duration,
    pub(crate) retry_ratio: f64,
    pub(crate) key_retention: Duration,
    /// How often expired idempotency keys are looked for.
    pub(crate) key_sweep_every: Duration,
    pub(crate) traces: bool,
    pub(crate) peer_address: Option<SocketAddr>,
}

impl GatewaySettings {
    /// Creates the settings of a daemon in this failure domain, where every endpoint's slots are
    /// divided into so many shares.
    pub fn new(domain: DomainName, slot_shares: u16) -> Self {
        Self {
            domain,
            slot_shares,
            longest_request: Duration::from_secs(30),
            target_multiple: 4,
            least_patience: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(500),
            trusted_silence: Duration::from_secs(2),
            endpoint_idle: Duration::from_secs(30),
            caller_idle: Duration::from_secs(75),
            head_timeout: Duration::from_secs(10),
            body_stall: Duration::from_secs(10),
            most_callers: 12_000,
            most_waiting: 1_000,
            most_head_bytes: 16 * 1024,
            most_body_bytes: 16 * 1024 * 1024,
            buffered_body_bytes: 64 * 1024,
            most_held_bytes: 64 * 1024 * 1024,
            domain_distance: Duration::from_millis(2),
            refresh_every: Duration::from_millis(50),
            leaving_hold: Duration::from_secs(30),
            refusal_hold: Duration::from_secs(2),
            retry_ratio: 0.1,
            key_retention: Duration::from_secs(24 * 60 * 60),
            key_sweep_every: Duration::from_secs(600),
            traces: false,
            peer_address: None,
        }
    }

    /// Sets the longest time that an endpoint may work on one request. A slot whose request's fate
    /// is not known stays empty for this long; the cluster's idle time of a share must not be less.
    pub fn with_longest_request(mut self, longest: Duration) -> Self {
        self.longest_request = longest;
        self
    }

    /// Sets how long a request may go unanswered: so many times its class's target, but at least
    /// this long.
    pub fn with_patience(mut self, target_multiple: u32, least: Duration) -> Self {
        self.target_multiple = target_multiple;
        self.least_patience = least;
        self
    }

    /// Sets how long a connection to an endpoint may take to open; half of the target if that is less.
    pub fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets how long ago a connection may last have been heard from to carry a request that must
    /// not run twice; an older one is replaced first.
    pub fn with_trusted_silence(mut self, silence: Duration) -> Self {
        self.trusted_silence = silence;
        self
    }

    /// Sets how long a caller's connection may be idle, and how long a request's head may take.
    pub fn with_caller_timeouts(mut self, idle: Duration, head: Duration) -> Self {
        self.caller_idle = idle;
        self.head_timeout = head;
        self
    }

    /// Sets how often the held shares and the clock are looked at, besides each change of the
    /// configuration and the VM list.
    pub fn with_refresh(mut self, every: Duration) -> Self {
        self.refresh_every = every;
        self
    }

    /// Sets how long a body may stand still, in either direction.
    pub fn with_body_stall(mut self, stall: Duration) -> Self {
        self.body_stall = stall;
        self
    }

    /// Sets how many callers may be connected, and how many requests of a service may wait.
    pub fn with_bounds(mut self, callers: usize, waiting: usize) -> Self {
        self.most_callers = callers;
        self.most_waiting = waiting;
        self
    }

    /// Sets the largest head and body of a request, and the body up to which it is taken in whole
    /// before a slot is taken for it; in bytes.
    pub fn with_sizes(mut self, head: usize, body: u64, buffered: u64) -> Self {
        self.most_head_bytes = head;
        self.most_body_bytes = body;
        self.buffered_body_bytes = buffered;
        self
    }

    /// Sets how many bytes of bodies may be held in memory at once, for all requests together.
    pub fn with_held_bytes(mut self, most: usize) -> Self {
        self.most_held_bytes = most;
        self
    }

    /// Sets the round trip to an endpoint in another failure domain.
    pub fn with_domain_distance(mut self, distance: Duration) -> Self {
        self.domain_distance = distance;
        self
    }

    /// Sets how long an endpoint that announced its end, and one that refused, is left alone.
    pub fn with_holds(mut self, leaving: Duration, refusal: Duration) -> Self {
        self.leaving_hold = leaving;
        self.refusal_hold = refusal;
        self
    }

    /// Sets the retries and hedges allowed for each first attempt.
    pub fn with_retry_ratio(mut self, ratio: f64) -> Self {
        self.retry_ratio = ratio;
        self
    }

    /// Sets how long the outcome of a request with an idempotency key is kept.
    pub fn with_key_retention(mut self, retention: Duration) -> Self {
        self.key_retention = retention;
        self
    }

    /// Sets how often expired idempotency keys are looked for.
    pub fn with_key_sweep_every(mut self, pause: Duration) -> Self {
        self.key_sweep_every = pause;
        self
    }

    /// Sets where the other daemons reach this one's callers' listener. They hand requests to it for
    /// services of which they have no slot; without it they do not.
    pub fn with_peer_address(mut self, address: SocketAddr) -> Self {
        self.peer_address = Some(address);
        self
    }

    /// Makes a span for each hop of a request.
    pub fn with_traces(mut self, traces: bool) -> Self {
        self.traces = traces;
        self
    }

    pub(crate) fn connect_patience(&self, target: Duration) -> Duration {
        (target / 2).clamp(LEAST_CONNECT, self.connect_timeout.max(LEAST_CONNECT))
    }

    pub(crate) fn patience(&self, target: Duration) -> Duration {
        (target * self.target_multiple)
            .max(self.least_patience)
            .min(self.longest_request)
    }
}

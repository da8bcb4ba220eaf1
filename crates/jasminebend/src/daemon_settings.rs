//! Settings of a daemon.

use std::{
    path::PathBuf,
    time::Duration, //
};

use jasminebend_base::{
    DomainName,
    VmName, //
};

use crate::{
    LimitSettings,
    ListenSettings,
    LogSettings,
    PeerKeySource,
    PlatformSettings,
    TlsSettings,
    TraceSettings, //
};

/// The default number of seats.
pub const DEFAULT_SEATS: u8 = 7;
/// The default number of slot shares: about ten for each seat.
pub const DEFAULT_SLOT_SHARES: u16 = 70;
/// The default number of shards: one handles today's sizes, and quotas are divided among shards.
pub const DEFAULT_SHARDS: u16 = 1;
/// The default time that the balancer may take to react to readiness.
pub const DEFAULT_BALANCER_LAG: Duration = Duration::from_secs(5);
/// The default time that a stop waits for the table service.
pub const DEFAULT_LEAVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Settings of a daemon, read once when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// The addresses to listen on.
    pub listen: ListenSettings,
    /// The failure domain that the daemon runs in.
    pub domain: DomainName,
    /// The VM that the daemon runs on, as the VM list names it; `None` if it is not known.
    pub vm: Option<VmName>,
    /// The region that the daemon runs in.
    pub region: String,
    /// The greatest number of daemons at a time; must be the same for all daemons.
    pub seats: u8,
    /// The number of shares that the endpoints' slots are divided into; must be the same for all daemons.
    pub slot_shares: u16,
    /// The number of shards that the jobs are divided into; must be the same for all daemons.
    pub shards: u16,
    /// The source of the key that daemons share.
    pub peer_key: PeerKeySource,
    /// The addresses of the platform's services; `None` if the ports are passed to [`crate::EntryDaemon::start`]
    /// directly.
    pub platform: Option<PlatformSettings>,
    /// The administration API's certificate; `None` serves plain HTTP.
    pub tls: Option<TlsSettings>,
    /// The file with the operators' token digests; `None` allows everything without a token.
    pub tokens_file: Option<PathBuf>,
    /// Whether the administration API may listen off loopback without TLS and tokens.
    pub allow_open_administration: bool,
    /// The format and level of the log.
    pub log: LogSettings,
    /// The trace collector; `None` exports no spans.
    pub traces: Option<TraceSettings>,
    /// Limits on callers' and operators' requests.
    pub limits: LimitSettings,
    /// How long the balancer may go on sending callers after `/readyz` fails.
    pub balancer_lag: Duration,
    /// How long a stop waits until this daemon's resources are released in the table service.
    pub leave_timeout: Duration,
}

impl DaemonSettings {
    /// Creates settings with every default, for a daemon whose ports are passed in directly.
    pub fn new(listen: ListenSettings, domain: DomainName, peer_key: PeerKeySource) -> Self {
        Self {
            listen,
            domain,
            vm: None,
            region: "local".to_owned(),
            seats: DEFAULT_SEATS,
            slot_shares: DEFAULT_SLOT_SHARES,
            shards: DEFAULT_SHARDS,
            peer_key,
            platform: None,
            tls: None,
            tokens_file: None,
            allow_open_administration: false,
            log: LogSettings::default(),
            traces: None,
            limits: LimitSettings::default(),
            balancer_lag: DEFAULT_BALANCER_LAG,
            leave_timeout: DEFAULT_LEAVE_TIMEOUT,
        }
    }

    /// Sets the VM that the daemon runs on, as the VM list names it.
    pub fn with_vm(mut self, vm: VmName) -> Self {
        self.vm = Some(vm);
        self
    }

    /// Sets the number of seats.
    pub fn with_seats(mut self, seats: u8) -> Self {
        self.seats = seats;
        self
    }

    /// Sets the number of slot shares.
    pub fn with_slot_shares(mut self, shares: u16) -> Self {
        self.slot_shares = shares;
        self
    }

    /// Sets the number of shards.
    pub fn with_shards(mut self, shards: u16) -> Self {
        self.shards = shards;
        self
    }

    /// Sets how long the balancer may go on sending callers after `/readyz` fails.
    pub fn with_balancer_lag(mut self, lag: Duration) -> Self {
        self.balancer_lag = lag;
        self
    }

    /// Sets the administration API's certificate.
    pub fn with_tls(mut self, tls: TlsSettings) -> Self {
        self.tls = Some(tls);
        self
    }

    /// Sets the file of the operators' tokens.
    pub fn with_tokens_file(mut self, file: PathBuf) -> Self {
        self.tokens_file = Some(file);
        self
    }

    /// Sets the limits.
    pub fn with_limits(mut self, limits: LimitSettings) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the trace collector.
    pub fn with_traces(mut self, traces: TraceSettings) -> Self {
        self.traces = Some(traces);
        self
    }

    /// Returns whether the administration API is on loopback, has TLS and tokens, or is explicitly allowed to be open.
    pub fn is_administration_protected(&self) -> bool {
        let authenticated = self.tls.is_some() && self.tokens_file.is_some();
        let loopback = self.listen.administration.ip().is_loopback();
        authenticated || loopback || self.allow_open_administration
    }
}

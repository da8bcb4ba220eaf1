//! What a daemon is told when it starts.

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

/// The seats by default.
pub const DEFAULT_SEATS: u8 = 7;
/// The slot shares by default: about ten for each seat.
pub const DEFAULT_SLOT_SHARES: u16 = 70;
/// The shards by default: one carries today's sizes, and quotas are divided among shards.
pub const DEFAULT_SHARDS: u16 = 1;
/// The balancer's lag by default.
pub const DEFAULT_BALANCER_LAG: Duration = Duration::from_secs(5);
/// How long a stop waits for the table service by default.
pub const DEFAULT_LEAVE_TIMEOUT: Duration = Duration::from_secs(60);

/// What a daemon is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// Where it listens.
    pub listen: ListenSettings,
    /// The failure domain that it runs in.
    pub domain: DomainName,
    /// The VM that it runs on, as the VM list names it.
    pub vm: Option<VmName>,
    /// The region that it runs in.
    pub region: String,
    /// How many daemons there can be at once; the same for all of them.
    pub seats: u8,
    /// Into how many shares the endpoints' slots are divided; the same for all daemons.
    pub slot_shares: u16,
    /// Into how many shards the jobs are divided; the same for all daemons.
    pub shards: u16,
    /// The key that daemons share.
    pub peer_key: PeerKeySource,
    /// How the platform is reached; `None` when its ports are handed in.
    pub platform: Option<PlatformSettings>,
    /// The administration API's certificate; without one it speaks plain HTTP.
    pub tls: Option<TlsSettings>,
    /// The file of the operators' tokens; without one anybody may come in.
    pub tokens_file: Option<PathBuf>,
    /// Whether an administration API off loopback may be open.
    pub allow_open_administration: bool,
    /// What is logged, and how.
    pub log: LogSettings,
    /// Where spans go; `None` keeps none.
    pub traces: Option<TraceSettings>,
    /// The limits on what callers and operators may send.
    pub limits: LimitSettings,
    /// How long the balancer may go on sending callers here after `/readyz` says no.
    pub balancer_lag: Duration,
    /// How long a stop waits for the table service to take back what this daemon holds.
    pub leave_timeout: Duration,
}

impl DaemonSettings {
    /// Creates settings with every default, for a daemon whose platform is handed in.
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

    /// Sets the VM that it runs on, as the VM list names it.
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

    /// Sets the balancer's lag.
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

    /// Sets where spans go.
    pub fn with_traces(mut self, traces: TraceSettings) -> Self {
        self.traces = Some(traces);
        self
    }

    /// Tells whether nobody unknown can reach the administration API, or the settings allow it.
    pub fn administration_guarded(&self) -> bool {
        let guarded = self.tls.is_some() && self.tokens_file.is_some();
        let loopback = self.listen.administration.ip().is_loopback();
        guarded || loopback || self.allow_open_administration
    }
}

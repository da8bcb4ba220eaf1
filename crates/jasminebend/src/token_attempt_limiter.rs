//! Rate limit of failed token attempts.

use std::{
    net::{
        IpAddr,
        Ipv6Addr, //
    },
    time::Duration, //
};

use indexmap::IndexMap;

/// The number of failed attempts that an address may make at once.
const MAX_BURST_ATTEMPTS: f64 = 10.0;
/// The number of failed attempts per second that an address regains.
const ATTEMPTS_PER_SECOND: f64 = 10.0;
/// The greatest number of addresses that are tracked at a time.
const MAX_TRACKED_ADDRESSES: usize = 1024;
/// The least time between two log lines about rate-limited addresses.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// The mask of the IPv6 prefix that a site has at least; all addresses of a site share one limit.
const IPV6_SITE_MASK: u128 = !0 << 64;

/// Rate limit of failed token attempts: a token bucket for each address.
///
/// Only a failed attempt takes from the bucket. While the bucket is empty, a valid token is refused too, because a
/// different response would reveal that it is valid.
#[derive(Debug, Default)]
pub struct TokenAttemptLimiter {
    buckets: IndexMap<IpAddr, AttemptBucket>,
    /// The time of the last log line; `None` if there was none.
    last_logged: Option<Duration>,
}

/// The token bucket of one address.
#[derive(Clone, Copy, Debug)]
struct AttemptBucket {
    /// The number of attempts left at the time of `updated`.
    level: f64,
    updated: Duration,
}

/// Outcome of a token attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenAttemptOutcome<Found> {
    /// The token belongs to an operator.
    Found(Found),
    /// The token belongs to no operator.
    Unknown,
    /// The address is rate-limited, and the token was not checked.
    TooFast {
        /// Whether to log the refusal: the last log line is at least 10 seconds old.
        log: bool,
    },
}

impl TokenAttemptLimiter {
    /// Creates a limiter that tracks no address.
    pub fn new() -> Self {
        Self::default()
    }

    /// Calls `find` to check a token from `address`, unless the address is rate-limited.
    pub fn attempt<Found, Find>(
        &mut self,
        address: IpAddr,
        now: Duration,
        find: Find,
    ) -> TokenAttemptOutcome<Found>
    where
        Find: FnOnce() -> Option<Found>,
    {
        let site = site_of(address);
        let level = self
            .buckets
            .get(&site)
            .map_or(MAX_BURST_ATTEMPTS, |bucket| bucket.level_at(now));
        if level < 1.0 {
            return TokenAttemptOutcome::TooFast {
                log: self.take_log_permit(now),
            };
        }
        if let Some(found) = find() {
            return TokenAttemptOutcome::Found(found);
        }
        self.evict_if_full(site, now);
        let bucket = AttemptBucket {
            level: level - 1.0,
            updated: now,
        };
        self.buckets.insert(site, bucket);
        TokenAttemptOutcome::Unknown
    }

    /// Returns the number of tracked addresses.
    pub fn tracked_addresses(&self) -> usize {
        self.buckets.len()
    }

    /// Removes a bucket if the table is full, so that a sender with ever new addresses cannot exhaust the memory.
    ///
    /// It removes full buckets, or else the fullest one, which gives its address the smallest advantage.
    fn evict_if_full(&mut self, site: IpAddr, now: Duration) {
        if self.buckets.len() < MAX_TRACKED_ADDRESSES || self.buckets.contains_key(&site) {
            return;
        }
        self.buckets
            .retain(|_, bucket| bucket.level_at(now) < MAX_BURST_ATTEMPTS);
        if self.buckets.len() < MAX_TRACKED_ADDRESSES {
            return;
        }
        let levels = self.buckets.values().map(|bucket| bucket.level_at(now));
        let fullest = levels
            .enumerate()
            .max_by(|one, other| one.1.total_cmp(&other.1));
        if let Some((index, _)) = fullest {
            self.buckets.swap_remove_index(index);
        }
    }

    /// Returns whether a log line is due, and records it.
    fn take_log_permit(&mut self, now: Duration) -> bool {
        let due = self
            .last_logged
            .is_none_or(|last_logged| now.saturating_sub(last_logged) >= MIN_LOG_INTERVAL);
        if due {
            self.last_logged = Some(now);
        }
        due
    }
}

impl AttemptBucket {
    /// Returns the number of attempts left at the time `now`.
    fn level_at(self, now: Duration) -> f64 {
        let gained = now.saturating_sub(self.updated).as_secs_f64() * ATTEMPTS_PER_SECOND;
        (self.level + gained).min(MAX_BURST_ATTEMPTS)
    }
}

/// Returns the address that stands for the site of `address`: its 64-bit prefix for IPv6, the address itself for IPv4.
fn site_of(address: IpAddr) -> IpAddr {
    match address.to_canonical() {
        IpAddr::V6(address) => Ipv6Addr::from_bits(address.to_bits() & IPV6_SITE_MASK).into(),
        address => address,
    }
}

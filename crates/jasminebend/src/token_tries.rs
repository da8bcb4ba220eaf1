//! How fast one address may try tokens.

use std::{
    net::{
        IpAddr,
        Ipv6Addr, //
    },
    time::Duration, //
};

use indexmap::IndexMap;

/// Failed tries that one address has at once.
const BURST: f64 = 10.0;
/// Failed tries that one address regains a second.
const TRIES_PER_SECOND: f64 = 10.0;
/// Addresses that are remembered at once.
const MOST_ADDRESSES: usize = 1024;
/// The least time between two lines of the log.
const SILENCE: Duration = Duration::from_secs(10);
/// An IPv6 site has this prefix at the least, so that its addresses count as one.
const SITE_PREFIX: u128 = !0 << 64;

/// How fast one address may try tokens: a token bucket of failed tries for each address.
///
/// Only a try that fails takes from the bucket. While the bucket is empty a right token is refused
/// too, because its answer would tell it apart from a wrong one.
#[derive(Debug, Default)]
pub struct TokenTries {
    buckets: IndexMap<IpAddr, TryBucket>,
    logged: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct TryBucket {
    level: f64,
    filled: Duration,
}

/// What became of a try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TryOutcome<Found> {
    /// The token is somebody's.
    Found(Found),
    /// The token is nobody's.
    Unknown,
    /// The address tries too fast, and the token was not looked at.
    TooFast {
        /// Whether this is to be logged: it was not for a while.
        log: bool,
    },
}

impl TokenTries {
    /// Creates a limit that no address has used.
    pub fn new() -> Self {
        Self::default()
    }

    /// Has `find` look at a token from `address`, unless too many of its tries failed.
    pub fn attempt<Found, Find>(
        &mut self,
        address: IpAddr,
        now: Duration,
        find: Find,
    ) -> TryOutcome<Found>
    where
        Find: FnOnce() -> Option<Found>,
    {
        let site = site(address);
        let level = self
            .buckets
            .get(&site)
            .map_or(BURST, |bucket| bucket.level_at(now));
        if level < 1.0 {
            return TryOutcome::TooFast {
                log: self.may_log(now),
            };
        }
        if let Some(found) = find() {
            return TryOutcome::Found(found);
        }
        self.make_room(site, now);
        let bucket = TryBucket {
            level: level - 1.0,
            filled: now,
        };
        self.buckets.insert(site, bucket);
        TryOutcome::Unknown
    }

    /// Counts the addresses that are remembered.
    pub fn tracked(&self) -> usize {
        self.buckets.len()
    }

    /// Whoever sends from ever new addresses would fill the memory otherwise. The fullest bucket is
    /// forgotten, which gives its address the least.
    fn make_room(&mut self, site: IpAddr, now: Duration) {
        if self.buckets.len() < MOST_ADDRESSES || self.buckets.contains_key(&site) {
            return;
        }
        self.buckets
            .retain(|_, bucket| bucket.level_at(now) < BURST);
        if self.buckets.len() < MOST_ADDRESSES {
            return;
        }
        let levels = self.buckets.values().map(|bucket| bucket.level_at(now));
        let fullest = levels
            .enumerate()
            .max_by(|one, other| one.1.total_cmp(&other.1));
        if let Some((place, _)) = fullest {
            self.buckets.swap_remove_index(place);
        }
    }

    fn may_log(&mut self, now: Duration) -> bool {
        let due = self
            .logged
            .is_none_or(|logged| now.saturating_sub(logged) >= SILENCE);
        if due {
            self.logged = Some(now);
        }
        due
    }
}

impl TryBucket {
    fn level_at(self, now: Duration) -> f64 {
        let gained = now.saturating_sub(self.filled).as_secs_f64() * TRIES_PER_SECOND;
        (self.level + gained).min(BURST)
    }
}

fn site(address: IpAddr) -> IpAddr {
    match address.to_canonical() {
        IpAddr::V6(address) => Ipv6Addr::from_bits(address.to_bits() & SITE_PREFIX).into(),
        address => address,
    }
}

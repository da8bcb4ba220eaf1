//! Which slot share a slot belongs to.

use std::net::{
    IpAddr,
    SocketAddr, //
};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the slot share, below `shares`, that an endpoint's slot belongs to.
///
/// Every daemon must get the same answer, whatever its version: the hash is fixed (FNV-1a, then
/// the finalizer of splitmix64) and is over the address alone. The VM's name and incarnation are
/// left out on purpose: the VM list lags, so two daemons may know one address under two names, and
/// would then give the same slot to two shares.
pub fn slot_share(address: SocketAddr, slot: u16, shares: u16) -> u16 {
    let hash = match address.ip() {
        IpAddr::V4(ip) => hash_bytes(FNV_OFFSET, &ip.octets()),
        IpAddr::V6(ip) => hash_bytes(FNV_OFFSET, &ip.octets()),
    };
    let hash = hash_bytes(hash, &address.port().to_be_bytes());
    let first = finish(hash) % u64::from(shares.max(1));
    // No share has two slots of one endpoint while there are more shares than slots, and a daemon
    // that holds shares side by side has slots of many endpoints.
    let share = (first + spread(slot, shares)) % u64::from(shares.max(1));
    u16::try_from(share).unwrap_or_default()
}

fn spread(slot: u16, shares: u16) -> u64 {
    let step = u64::from(shares.max(1)) * 618 / 1000;
    let step = coprime_from(step.max(1), u64::from(shares.max(1)));
    u64::from(slot) * step
}

fn coprime_from(step: u64, shares: u64) -> u64 {
    (step..)
        .find(|step| divisor(*step, shares) == 1)
        .unwrap_or(1)
}

fn divisor(left: u64, right: u64) -> u64 {
    if right == 0 {
        return left;
    }
    divisor(right, left % right)
}

fn hash_bytes(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

fn finish(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
